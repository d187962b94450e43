//! What an agent does in an evacuated data centre and after the withdrawal.

use cowslipwing_dispatch::{EndpointReport, Listing, RunOutcome, RunStatus, StartOutcome, TaskEnd};

use crate::executor::{START, entry, executor, listing, order, report, reported, run, starts};
use crate::support::ms;

/// Guards against starts after the evacuation is known, and against runs that it interrupts.
#[test]
fn queued_tasks_return_and_running_ones_complete() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_order(START, order(1, 3000, ms(500)));
    executor.take_actions();
    assert!(executor.set_evacuated(START, true));
    assert_eq!(reported(&executor.take_actions()), [(run(1), RunStatus::NotStarted)]);
    assert!(!executor.status(START).usable);
    let at = START + ms(50);
    let end = TaskEnd { sequence: 1, run: run(0), outcome: RunOutcome::Done };
    executor.on_listing(at, &Listing { ended: vec![end], ..listing(at) });
    executor.on_order(at, order(2, 100, ms(500)));
    let actions = executor.take_actions();
    let expected = [(run(0), RunStatus::Done(ms(50))), (run(2), RunStatus::NotStarted)];
    assert_eq!(reported(&actions), expected);
    assert!(starts(&actions).is_empty());
}

/// Guards against a start that is sent once more after the evacuation is known.
#[test]
fn an_unanswered_start_is_not_sent_again() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
    executor.set_evacuated(START, true);
    executor.on_start_reply(START, &run(0), StartOutcome::NoReply);
    executor.on_tick(START + ms(15));
    executor.on_tick(START + ms(31));
    assert!(starts(&executor.take_actions()).is_empty());
}

/// Guards against a warm endpoint that stays idle, and a cold one that is filled at once.
#[test]
fn a_cold_endpoint_takes_less_at_first() {
    struct Case {
        name: &'static str,
        cold_remaining_ms: u64,
        age_ms: u64,
        expected_starts: usize,
    }
    // The endpoint has 4,000 millicores, and each task needs 500.
    let cases = [
        Case { name: "warm", cold_remaining_ms: 0, age_ms: 0, expected_starts: 8 },
        Case { name: "cold", cold_remaining_ms: 800, age_ms: 0, expected_starts: 2 },
        Case { name: "half warm", cold_remaining_ms: 800, age_ms: 400, expected_starts: 5 },
        Case { name: "no longer cold", cold_remaining_ms: 800, age_ms: 800, expected_starts: 8 },
    ];
    for case in cases {
        let mut executor = executor();
        let cold_remaining = ms(case.cold_remaining_ms);
        executor.on_report(START, EndpointReport { cold_remaining, ..report(2) });
        executor.set_evacuated(START, true);
        executor.set_evacuated(START, false);
        let now = START + ms(case.age_ms);
        executor.on_listing(now, &listing(now));
        executor.on_entry_heartbeat(now, &entry(), now);
        assert!(executor.status(now).usable, "{}", case.name);
        for index in 0..10 {
            executor.on_order(now, order(index, 500, ms(500)));
        }
        let started = starts(&executor.take_actions()).len();
        assert_eq!(started, case.expected_starts, "{}", case.name);
    }
}

/// Guards against a cold endpoint that is filled at once after an entry has returned the agent's own
/// report, which has no cold time.
#[test]
fn a_remembered_report_does_not_end_the_cold_time() {
    let mut executor = executor();
    executor.on_report(START, EndpointReport { cold_remaining: ms(800), ..report(2) });
    executor.on_report(START, report(2));
    executor.set_evacuated(START, true);
    executor.set_evacuated(START, false);
    for index in 0..10 {
        executor.on_order(START, order(index, 500, ms(500)));
    }
    assert_eq!(starts(&executor.take_actions()).len(), 2);
}

/// Guards against a large task that waits at an idle endpoint until it is warm.
#[test]
fn a_large_task_starts_at_an_idle_cold_endpoint() {
    let mut executor = executor();
    executor.on_report(START, EndpointReport { cold_remaining: ms(9000), ..report(2) });
    executor.set_evacuated(START, true);
    executor.set_evacuated(START, false);
    executor.on_order(START, order(0, 4000, ms(500)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
}
