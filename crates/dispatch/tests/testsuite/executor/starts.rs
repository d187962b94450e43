//! Tests of the order of starts and of tasks returned without a start.

use cowslipwing_dispatch::{
    EndpointReport, ExecutorAction, Listing, RunOutcome, RunStatus, StartOutcome, StartRefusal,
    TaskEnd,
};

use super::{START, executor, listing, order, report, reported, run, starts};
use crate::support::ms;

/// A burst fills the endpoint, and the most urgent queued task starts first.
#[test]
fn queued_tasks_start_in_the_order_of_their_latest_useful_start() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_order(START, order(1, 3000, ms(300)));
    executor.on_order(START, order(2, 3000, ms(100)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    let end = TaskEnd { sequence: 1, run: run(0), outcome: RunOutcome::Done };
    let at = START + ms(50);
    executor.on_listing(at, &Listing { ended: vec![end], ..listing(at) });
    let actions = executor.take_actions();
    assert_eq!(starts(&actions), [run(2)]);
    assert_eq!(reported(&actions), [(run(0), RunStatus::Done(ms(50)))]);
}

#[test]
fn tasks_that_cannot_start_in_time_are_returned_as_not_started() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_order(START, order(1, 3000, ms(30)));
    executor.take_actions();
    executor.on_tick(START + ms(31));
    assert_eq!(reported(&executor.take_actions()), [(run(1), RunStatus::NotStarted)]);
}

#[test]
fn a_draining_endpoint_returns_queued_tasks_and_accepts_none() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_order(START, order(1, 3000, ms(500)));
    executor.take_actions();
    executor.on_report(START, EndpointReport { draining: true, ..report(2) });
    assert_eq!(reported(&executor.take_actions()), [(run(1), RunStatus::NotStarted)]);
    executor.on_order(START, order(2, 100, ms(500)));
    let actions = executor.take_actions();
    assert_eq!(reported(&actions), [(run(2), RunStatus::NotStarted)]);
    assert!(starts(&actions).is_empty());
    assert!(!executor.status(START).usable);
}

#[test]
fn refused_starts_count_as_not_run() {
    struct Case {
        refusal: StartRefusal,
        status: RunStatus,
    }
    let cases = [
        Case { refusal: StartRefusal::OldRun, status: RunStatus::StaleRun },
        Case { refusal: StartRefusal::NoRoom, status: RunStatus::NotStarted },
        Case { refusal: StartRefusal::TooLate, status: RunStatus::NotStarted },
        Case { refusal: StartRefusal::Unhealthy, status: RunStatus::NotStarted },
        Case { refusal: StartRefusal::NotSent, status: RunStatus::NotStarted },
        Case { refusal: StartRefusal::OtherIncarnation, status: RunStatus::NotStarted },
    ];
    for case in cases {
        let mut executor = executor();
        executor.on_order(START, order(0, 4000, ms(500)));
        executor.take_actions();
        executor.on_start_reply(START, &run(0), StartOutcome::Refused(case.refusal));
        let found = reported(&executor.take_actions());
        assert_eq!(found, [(run(0), case.status)], "{:?}", case.refusal);
        assert_eq!(executor.started_count(), 0);
    }
}

/// Guards against a start that another endpoint carries out after its run was reported as lost: the
/// known endpoint changed between the decision and the call.
#[test]
fn a_start_is_addressed_to_the_endpoint_that_it_was_decided_for() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.on_incarnation_mismatch(START, "i-1");
    executor.on_report(START, EndpointReport { id: "i-2".into(), incarnation: 8, ..report(1) });
    let addressee = |action: &ExecutorAction| match action {
        ExecutorAction::Start { endpoint_id, .. } => Some(endpoint_id.to_string()),
        _ => None,
    };
    let addressees: Vec<String> = executor.take_actions().iter().filter_map(addressee).collect();
    assert_eq!(addressees, ["i-1"]);
}
