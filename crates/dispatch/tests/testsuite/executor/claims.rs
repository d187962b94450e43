//! Tests of reports that are late or from another writer.

use cowslipwing_dispatch::{
    CrashRole, EndpointReport, Executor, Listing, RunOutcome, RunStatus, StartOutcome, TaskEnd,
    TaskProgress,
};

use super::{SETTINGS, START, entry, executor, listing, order, report, reported, run, starts};
use crate::support::ms;

/// Returns an executor whose endpoint runs a task, beside one that waits for it.
fn busy_executor() -> Executor {
    let mut executor = executor();
    executor.on_order(START, order(0, 3000, ms(500)));
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_order(START, order(1, 3000, ms(500)));
    executor.take_actions();
    executor
}

fn other(id: &str, incarnation: u64) -> EndpointReport {
    EndpointReport { id: id.into(), incarnation, service: "elsewhere".into(), ..report(1) }
}

/// Guards against a run that is reported as lost, and started elsewhere, while it goes on at a sound
/// endpoint: a report from another writer was taken for that of the next incarnation.
#[test]
fn a_report_of_another_writer_does_not_end_the_runs_of_a_sound_endpoint() {
    struct Case {
        name: &'static str,
        claim: EndpointReport,
    }
    let cases = [
        Case { name: "another id, later start", claim: other("i-77", 9) },
        Case { name: "another id, earlier start", claim: other("i-77", 3) },
        Case { name: "another id, same start", claim: other("i-77", 7) },
        Case { name: "same id, later start", claim: other("i-1", 9) },
        Case {
            name: "another id, about to leave",
            claim: EndpointReport { draining: true, ..other("i-77", 9) },
        },
    ];
    for case in cases {
        let mut executor = busy_executor();
        executor.on_report(START + ms(30), case.claim);
        let known = executor.endpoint().map(|known| known.id.to_string());
        assert_eq!(known.as_deref(), Some("i-1"), "{}", case.name);
        let running = vec![TaskProgress { run: run(0), percent: 50 }];
        let at = START + ms(50);
        executor.on_listing(at, &Listing { running, ..listing(at) });
        assert_eq!(reported(&executor.take_actions()), [], "{}", case.name);
        let end = TaskEnd { sequence: 1, run: run(0), outcome: RunOutcome::Done };
        let at = START + ms(100);
        executor.on_listing(at, &Listing { ended: vec![end], ..listing(at) });
        let actions = executor.take_actions();
        let done = (run(0), RunStatus::Done(ms(100)));
        assert_eq!((reported(&actions), starts(&actions)), (vec![done], vec![run(1)]));
    }
}

/// Guards against an agent without an endpoint after a restart: the latest of several claims may be
/// another writer's.
#[test]
fn after_a_restart_the_claims_are_tried_until_one_is_confirmed() {
    let mut executor = busy_executor();
    executor.on_report(START + ms(10), other("i-2", 8));
    executor.on_report(START + ms(11), other("i-77", 9));
    assert!(executor.on_incarnation_mismatch(START + ms(20), "i-1"));
    let lost = (run(0), RunStatus::Crashed(CrashRole::Suspect));
    let returned = (run(1), RunStatus::NotStarted);
    assert_eq!(reported(&executor.take_actions()), [lost, returned]);
    assert_eq!(executor.confirmed_report(), None);
    assert!(executor.on_incarnation_mismatch(START + ms(22), "i-77"));
    let at = START + ms(24);
    executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
    assert!(executor.status(at).usable);
    executor.on_order(at, order(2, 1000, ms(500)));
    assert_eq!(starts(&executor.take_actions()), [run(2)]);
}

/// Guards against an agent that starts and hears of another writer's endpoint first, from the store
/// or an entry.
#[test]
fn the_first_report_is_replaced_if_its_endpoint_is_not_there() {
    for is_known_in_time in [false, true] {
        let mut executor = Executor::new(SETTINGS);
        executor.on_entry_heartbeat(START, &entry(), START);
        executor.on_report(START, other("i-77", 9));
        assert_eq!(executor.confirmed_report(), None);
        if is_known_in_time {
            executor.on_report(START + ms(1), report(1));
        }
        executor.on_incarnation_mismatch(START + ms(2), "i-77");
        if !is_known_in_time {
            executor.on_report(START + ms(3), report(1));
        }
        let at = START + ms(4);
        executor.on_listing(at, &listing(at));
        assert_eq!(executor.confirmed_report(), Some(&report(1)));
        assert!(executor.status(at).usable);
    }
}

/// Guards against runs that lapse at a sound endpoint, because the departure of an earlier endpoint
/// with the same id was announced late, or by another writer.
#[test]
fn the_runs_of_an_endpoint_are_followed_after_its_departure_was_announced() {
    for is_reported_again in [false, true] {
        let mut executor = busy_executor();
        executor.on_endpoint_left(START + ms(10), "i-1");
        assert_eq!(reported(&executor.take_actions()), [(run(1), RunStatus::NotStarted)]);
        assert!(!executor.status(START + ms(10)).usable);
        assert!(executor.endpoint().is_some(), "the agent goes on asking for listings");
        let running = vec![TaskProgress { run: run(0), percent: 50 }];
        let at = START + ms(20);
        executor.on_listing(at, &Listing { running, ..listing(at) });
        assert!(reported(&executor.take_actions()).is_empty());
        if is_reported_again {
            executor.on_report(START + ms(30), report(2));
        }
        assert_eq!(executor.status(START + ms(30)).usable, is_reported_again);
        let end = TaskEnd { sequence: 1, run: run(0), outcome: RunOutcome::Done };
        let at = START + ms(40);
        executor.on_listing(at, &Listing { ended: vec![end], ..listing(at) });
        let done = (run(0), RunStatus::Done(ms(40)));
        assert_eq!(reported(&executor.take_actions()), [done]);
        assert_eq!(executor.endpoint().is_some(), is_reported_again);
    }
}

/// An endpoint that has left as announced ends what still runs. That is no crash.
#[test]
fn runs_of_an_endpoint_that_has_left_count_as_stopped() {
    let mut executor = busy_executor();
    executor.on_endpoint_left(START + ms(10), "i-1");
    executor.take_actions();
    executor.on_not_listening(START + ms(20));
    assert_eq!(reported(&executor.take_actions()), [(run(0), RunStatus::Stopped)]);
    assert!(executor.endpoint().is_none());
}
