//! Tests of starts that get no answer.

use cowslipwing_dispatch::{
    ExecutorAction, Listing, RunStatus, StartOutcome, StartRefusal, TaskProgress,
};

use super::{START, executor, listing, order, reported, run, starts};
use crate::support::ms;

/// Returns the actions with `sends` of each start replaced by `count`.
fn resent(actions: &[ExecutorAction], count: u32) -> Vec<ExecutorAction> {
    let resent = |action: &ExecutorAction| match action.clone() {
        ExecutorAction::Start { endpoint_id, run, payload, deadline_ms, .. } => {
            ExecutorAction::Start { endpoint_id, run, payload, deadline_ms, sends: count }
        }
        other => other,
    };
    actions.iter().map(resent).collect()
}

/// An unanswered start may be carried out later. Its resources stay reserved until a stop is
/// confirmed and a later listing does not show the run, or until its deadline has passed at the
/// endpoint.
#[test]
fn an_unanswered_start_is_cancelled_before_it_is_returned() {
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
    assert_eq!(reported(&actions), [(run(0), RunStatus::NotStarted)]);
    assert_eq!(starts(&actions), [run(1)]);
}

/// A share of all starts gets no answer. Sending them again lets most tasks start within 20 ms, and
/// is safe because the endpoint accepts each run only once.
#[test]
fn an_unanswered_start_is_resent() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    let first = executor.take_actions();
    assert!(matches!(first[..], [ExecutorAction::Start { .. }]), "{first:?}");
    executor.on_tick(START + ms(9));
    assert!(executor.take_actions().is_empty());
    executor.on_tick(START + ms(10));
    assert_eq!(executor.take_actions(), resent(&first, 2));
    executor.on_tick(START + ms(19));
    assert!(executor.take_actions().is_empty());
    executor.on_tick(START + ms(20));
    assert_eq!(executor.take_actions(), resent(&first, 3));
    executor.on_tick(START + ms(30));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
}

/// An endpoint does not answer any call. Each copy of a start would occupy another connection.
#[test]
fn starts_are_not_resent_to_a_silent_endpoint() {
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
fn a_start_whose_connection_broke_is_resent_at_once() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    let first = executor.take_actions();
    executor.on_start_reply(START + ms(1), &run(0), StartOutcome::NoReply);
    assert_eq!(executor.take_actions(), resent(&first, 2));
    executor.on_start_reply(START + ms(2), &run(0), StartOutcome::Started);
    executor.on_tick(START + ms(31));
    assert!(executor.take_actions().is_empty());
}

/// Another copy that was not answered may still be carried out.
#[test]
fn a_refused_copy_does_not_resolve_the_other_copies() {
    let refusals = [
        StartRefusal::OldRun,
        StartRefusal::NoRoom,
        StartRefusal::TooLate,
        StartRefusal::Unhealthy,
        StartRefusal::NotSent,
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
fn replies_to_copies_have_no_effect_once_the_task_runs() {
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
fn an_unanswered_start_that_is_listed_counts_as_confirmed() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.take_actions();
    let running = vec![TaskProgress { run: run(0), percent: 3 }];
    executor.on_listing(START + ms(20), &Listing { running, ..listing(START + ms(10)) });
    executor.on_tick(START + ms(31));
    assert!(executor.take_actions().is_empty());
}
