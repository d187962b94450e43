//! Starts that get no answer.

use cowslipwing_dispatch::{
    ExecutorAction, Fate, Listing, StartOutcome, StartRefusal, TaskProgress,
};

use super::{START, executor, listing, order, run, starts, told};
use crate::support::ms;

/// Returns a start as it is sent again.
fn copy(actions: &[ExecutorAction], times: u32) -> Vec<ExecutorAction> {
    let copy = |action: &ExecutorAction| match action.clone() {
        ExecutorAction::Start { run, payload, deadline_ms, .. } => {
            ExecutorAction::Start { run, payload, deadline_ms, sends: times }
        }
        other => other,
    };
    actions.iter().map(copy).collect()
}

/// An order that nobody answers may be carried out later: its room stays reserved until a stop was
/// confirmed and a later listing shows nothing, or its deadline has passed there.
#[test]
fn an_unanswered_start_is_ruled_out_before_it_goes_back() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_order(START, order(1, 4000, ms(500)));
    executor.take_actions();
    executor.on_tick(START + ms(30));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
    executor.on_listing(START + ms(35), &listing(START + ms(32)));
    assert!(executor.take_actions().is_empty());
    executor.on_stop_confirmed(START + ms(36), &run(0));
    executor.on_listing(START + ms(40), &listing(START + ms(37)));
    let actions = executor.take_actions();
    assert_eq!(told(&actions), [(run(0), Fate::NotStarted)]);
    assert_eq!(starts(&actions), [run(1)]);
}

/// Load pattern: a share of all orders gets no answer. Most of them start within 20 ms all the same,
/// since the endpoint takes each run only once, however often it is told to.
#[test]
fn an_unanswered_start_is_sent_again() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    let first = executor.take_actions();
    assert!(matches!(first[..], [ExecutorAction::Start { .. }]), "{first:?}");
    executor.on_tick(START + ms(9));
    assert!(executor.take_actions().is_empty());
    executor.on_tick(START + ms(10));
    assert_eq!(executor.take_actions(), copy(&first, 2));
    executor.on_tick(START + ms(19));
    assert!(executor.take_actions().is_empty());
    executor.on_tick(START + ms(20));
    assert_eq!(executor.take_actions(), copy(&first, 3));
    executor.on_tick(START + ms(30));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
}

/// Load pattern: an endpoint answers nothing at all. Each copy would take a connection of its own.
#[test]
fn a_silent_endpoint_gets_no_copies() {
    let mut executor = executor();
    let at = START + ms(145);
    executor.on_order(at, order(0, 4000, ms(500)));
    executor.take_actions();
    executor.on_tick(at + ms(10));
    executor.on_start_reply(at + ms(11), &run(0), StartOutcome::NoReply);
    assert!(executor.take_actions().is_empty());
    executor.on_tick(at + ms(30));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
}

#[test]
fn a_start_whose_connection_broke_is_sent_again_at_once() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    let first = executor.take_actions();
    executor.on_start_reply(START + ms(1), &run(0), StartOutcome::NoReply);
    assert_eq!(executor.take_actions(), copy(&first, 2));
    executor.on_start_reply(START + ms(2), &run(0), StartOutcome::Started);
    executor.on_tick(START + ms(31));
    assert!(executor.take_actions().is_empty());
}

/// The copy that was not answered may still be carried out.
#[test]
fn a_refused_copy_does_not_settle_the_others() {
    let refusals = [
        StartRefusal::OldRun,
        StartRefusal::NoRoom,
        StartRefusal::TooLate,
        StartRefusal::Unhealthy,
        StartRefusal::Fenced,
    ];
    for refusal in refusals {
        let mut executor = executor();
        executor.on_order(START, order(0, 4000, ms(500)));
        executor.on_tick(START + ms(10));
        executor.take_actions();
        executor.on_start_reply(START + ms(11), &run(0), StartOutcome::Refused(refusal));
        assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))], "{refusal:?}");
        assert_eq!(executor.started_count(), 1);
    }
}

#[test]
fn answers_to_copies_change_nothing_once_the_task_runs() {
    let late = [
        StartOutcome::NoReply,
        StartOutcome::Started,
        StartOutcome::Refused(StartRefusal::OldRun),
        StartOutcome::Refused(StartRefusal::TooLate),
    ];
    for outcome in late {
        let mut executor = executor();
        executor.on_order(START, order(0, 4000, ms(500)));
        executor.on_tick(START + ms(10));
        executor.on_start_reply(START + ms(11), &run(0), StartOutcome::Started);
        executor.take_actions();
        executor.on_start_reply(START + ms(150), &run(0), outcome);
        assert!(executor.take_actions().is_empty(), "{outcome:?}");
        assert_eq!(executor.started_count(), 1);
    }
}

#[test]
fn an_unanswered_start_that_is_listed_goes_on() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.take_actions();
    let running = vec![TaskProgress { run: run(0), percent: 3 }];
    executor.on_listing(START + ms(20), &Listing { running, ..listing(START + ms(10)) });
    executor.on_tick(START + ms(31));
    assert!(executor.take_actions().is_empty());
}
