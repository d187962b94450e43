//! Tests of restarts of agents and endpoints.

use cowslipwing_dispatch::{
    CrashRecord, CrashRole, EndpointActivity, EndpointReport, Executor, ExecutorAction, Listing,
    ReportMemory, Resources, RunStatus, StartOutcome, StartRefusal, TaskProgress,
};
use std::time::Duration;

use super::{SETTINGS, START, executor, listing, order, report, reported, run, starts};
use crate::support::ms;

#[test]
fn a_restarted_agent_stops_unknown_runs_before_it_starts_tasks() {
    let mut executor = executor();
    let found = TaskProgress { run: run(9), percent: 10 };
    let at = START + ms(5);
    executor.on_listing(at, &Listing { running: vec![found], ..listing(at) });
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(9))]);
    assert!(!executor.status(at).usable);
    executor.on_order(at, order(0, 1000, ms(500)));
    assert!(starts(&executor.take_actions()).is_empty());
    executor.on_listing(START + ms(20), &listing(START + ms(10)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
}

#[test]
fn a_restarted_endpoint_has_lost_its_previous_runs() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    let at = START + ms(50);
    executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
    assert_eq!(
        reported(&executor.take_actions()),
        [(run(0), RunStatus::Crashed(CrashRole::Suspect))]
    );
    // A late listing of the previous incarnation has no effect.
    let running = vec![TaskProgress { run: run(0), percent: 50 }];
    executor.on_listing(at, &Listing { running, ..listing(START) });
    assert!(executor.take_actions().is_empty());
    // Neither has a late report of it.
    assert!(!executor.on_report(at, report(9)));
}

/// An endpoint that leaves as planned ends what still runs. That is no crash.
#[test]
fn runs_that_end_with_a_draining_endpoint_count_as_stopped() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_report(START + ms(10), EndpointReport { draining: true, ..report(2) });
    let at = START + ms(50);
    executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
    assert_eq!(reported(&executor.take_actions()), [(run(0), RunStatus::Stopped)]);
}

/// The report of a new incarnation can arrive after its first listing. It must not be taken for
/// another restart, which would give up tasks started in between. No task starts before the report,
/// because only the report states the capacity. Found by the soak test with seed 1.
#[test]
fn a_listed_incarnation_gets_tasks_only_after_its_report() {
    let mut executor = executor();
    let reborn_at = START + ms(50);
    executor.on_listing(reborn_at, &Listing { incarnation: 8, ..listing(reborn_at) });
    executor.on_order(reborn_at, order(0, 1000, ms(500)));
    assert!(executor.take_actions().is_empty());
    assert!(!executor.status(reborn_at).usable);
    let at = START + ms(90);
    executor.on_report(at, EndpointReport { incarnation: 8, ..report(1) });
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
    executor.on_start_reply(at, &run(0), StartOutcome::Started);
    executor.on_report(at, EndpointReport { incarnation: 8, ..report(2) });
    assert!(executor.take_actions().is_empty());
    assert_eq!(executor.started_count(), 1);
}

/// A new incarnation may have a smaller capacity than the previous one at its address.
#[test]
fn capacity_is_that_of_the_current_incarnation() {
    let mut executor = executor();
    let at = START + ms(50);
    executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
    executor.on_order(at, order(0, 3000, ms(500)));
    executor.on_order(at, order(1, 1000, ms(500)));
    let small = Resources { cpu_millis: 2000, memory_mb: 1024, gpus: 0 };
    executor.on_report(at, EndpointReport { incarnation: 8, capacity: small, ..report(1) });
    assert_eq!(starts(&executor.take_actions()), [run(1)]);
}

/// A start in flight when the endpoint crashes may be carried out by the new incarnation, and may
/// have been carried out by the former one.
#[test]
fn a_start_in_flight_during_a_crash_is_cancelled_first() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    let at = START + ms(10);
    executor.on_listing(at, &Listing { incarnation: 8, clock_ms: 3, ..listing(at) });
    assert!(reported(&executor.take_actions()).is_empty());
    executor.on_tick(START + ms(31));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
    executor.on_stop_confirmed(START + ms(32), &run(0));
    let at = START + ms(40);
    executor.on_listing(at, &Listing { incarnation: 8, clock_ms: 33, ..listing(at) });
    assert_eq!(
        reported(&executor.take_actions()),
        [(run(0), RunStatus::Crashed(CrashRole::Unconfirmed))]
    );
}

/// The deadline of a start refers to the previous incarnation's clock and has no meaning for the
/// next one.
#[test]
fn a_start_is_not_resent_to_another_incarnation() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    let at = START + ms(5);
    executor.on_listing(at, &Listing { incarnation: 8, clock_ms: 3, ..listing(at) });
    executor.on_tick(START + ms(10));
    assert!(starts(&executor.take_actions()).is_empty());
}

/// An endpoint that crashed and whose clock went back reports an earlier start time than before.
#[test]
fn another_incarnation_with_an_earlier_start_time_is_accepted() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_incarnation_mismatch(START, "i-1");
    assert_eq!(
        reported(&executor.take_actions()),
        [(run(0), RunStatus::Crashed(CrashRole::Suspect))]
    );
    assert!(
        executor.on_report(START, EndpointReport { id: "i-2".into(), incarnation: 3, ..report(1) })
    );
}

/// All VMs restart at once after a power failure. The agent calls the endpoint that it remembers,
/// and the new incarnation reports itself before that call is answered.
#[test]
fn a_mismatch_of_the_previous_incarnation_keeps_the_reported_one() {
    let mut executor = executor();
    executor.on_report(START, EndpointReport { id: "i-2".into(), incarnation: 9, ..report(1) });
    executor.on_incarnation_mismatch(START, "i-1");
    let at = START + ms(5);
    executor.on_listing(at, &Listing { incarnation: 9, ..listing(at) });
    executor.on_order(at, order(0, 1000, ms(500)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
}

/// An agent learns of its endpoint's incarnation by the first listing, which must not wait for the
/// end of a run.
#[test]
fn the_activity_is_unknown_until_an_incarnation_is_listed() {
    let mut executor = Executor::new(SETTINGS);
    executor.on_report(START, report(1));
    assert_eq!(executor.activity(), EndpointActivity::Unknown);
    executor.on_listing(START, &listing(START));
    assert_eq!(executor.activity(), EndpointActivity::Idle);
    executor.on_report(START, EndpointReport { incarnation: 8, ..report(1) });
    assert_eq!(executor.activity(), EndpointActivity::Unknown);
}

/// A restarted agent loads the report that its predecessor saved. The endpoint may have left since,
/// and another may run at its address.
#[test]
fn a_remembered_endpoint_that_has_left_gets_no_task() {
    let mut executor = Executor::new(SETTINGS);
    executor.on_report(START, report(1));
    executor.on_entry_heartbeat(START, &super::entry(), START);
    executor.on_listing(START, &Listing { incarnation: 8, ..listing(START) });
    executor.on_order(START, order(0, 1000, ms(500)));
    assert!(!executor.status(START).usable);
    assert!(starts(&executor.take_actions()).is_empty());
}

/// A start meets no listener while a listing of the next incarnation is already on its way.
#[test]
fn an_endpoint_without_a_listener_takes_tasks_again_after_its_next_listing() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    let refusal = StartOutcome::Refused(StartRefusal::NotListening);
    executor.on_start_reply(START, &run(0), refusal);
    assert_eq!(reported(&executor.take_actions()), [(run(0), RunStatus::NotStarted)]);
    assert!(!executor.status(START).usable);
    assert_eq!(executor.activity(), EndpointActivity::Unknown);
    executor.on_listing(START + ms(5), &listing(START + ms(4)));
    assert!(executor.status(START + ms(5)).usable);
}

/// A start without an answer may still reach the next incarnation of a crashed endpoint.
#[test]
fn an_unanswered_start_is_kept_while_its_endpoint_is_down() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.on_order(START, order(1, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_not_listening(START);
    assert_eq!(
        reported(&executor.take_actions()),
        [(run(0), RunStatus::Crashed(CrashRole::Suspect))]
    );
    executor.on_tick(START + ms(31));
    // The agent goes on asking for a listing, and each call may extend the lease.
    executor.extend_lease(START + ms(2000));
    executor.on_tick(START + ms(2000));
    assert!(reported(&executor.take_actions()).is_empty());
    assert_eq!(executor.started_count(), 1);
}

/// Guards against an agent that restarts with the capacity that its endpoint had before it shrank:
/// only reports with a change are saved.
#[test]
fn a_report_with_another_capacity_is_a_change() {
    let mut executor = executor();
    assert!(!executor.on_report(START + ms(10), report(2)));
    for (sequence, cpu_millis) in [(3, 2000), (4, 4000)] {
        let capacity = Resources { cpu_millis, memory_mb: 1024, gpus: 0 };
        let report = EndpointReport { capacity, ..report(sequence) };
        assert!(executor.on_report(START + ms(20), report), "{cpu_millis}");
    }
}

/// An endpoint that does not guard its capacity starts whatever it is told to. Runs that started
/// before its capacity shrank, also those being stopped, count against the smaller one.
#[test]
fn a_shrunken_endpoint_gets_no_task_beyond_its_capacity() {
    let mut executor = executor();
    for index in 0..3 {
        executor.on_order(START, order(index, 1000, ms(500)));
        executor.on_start_reply(START, &run(index), StartOutcome::Started);
    }
    executor.take_actions();
    let capacity = Resources { cpu_millis: 2000, memory_mb: 1024, gpus: 0 };
    executor.on_report(START + ms(10), EndpointReport { capacity, ..report(2) });
    executor.on_cancel(START + ms(11), &super::entry(), &run(0));
    executor.on_order(START + ms(12), order(3, 1000, ms(500)));
    assert!(starts(&executor.take_actions()).is_empty());
    assert_eq!(executor.status(START + ms(12)).free.cpu_millis, -1000);
}

/// A task crashes its endpoint soon after its start, beside others that have run for longer.
#[test]
fn the_last_started_runs_are_suspected_of_a_crash() {
    let mut executor = executor();
    for (index, started_at) in [(0, START), (1, START + ms(30)), (2, START + ms(31))] {
        executor.on_order(started_at, order(index, 1000, ms(500)));
        executor.on_start_reply(started_at, &run(index), StartOutcome::Started);
    }
    executor.take_actions();
    executor.on_not_listening(START);
    let crashed = |index, role| (run(index), RunStatus::Crashed(role));
    let expected = [
        crashed(0, CrashRole::Bystander),
        crashed(1, CrashRole::Suspect),
        crashed(2, CrashRole::Suspect),
    ];
    assert_eq!(reported(&executor.take_actions()), expected);
}

/// Guards against a task that crashes the same endpoint in each attempt of its caller, at one entry
/// after another. Found by the soak test with seed 745.
#[test]
fn a_suspect_of_a_crash_is_not_started_at_the_endpoint_again() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_not_listening(START);
    let at = START + ms(50);
    executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
    executor.on_report(at, EndpointReport { incarnation: 8, ..report(1) });
    executor.take_actions();
    let mut other = order(0, 1000, ms(500));
    other.entry = "front-2@1".parse().unwrap();
    executor.on_entry_heartbeat(at, &other.entry, at);
    executor.on_order(at, other);
    executor.on_order(at, order(1, 1000, ms(500)));
    let actions = executor.take_actions();
    assert_eq!(reported(&actions), [(run(0), RunStatus::KnownSuspect)]);
    assert_eq!(starts(&actions), [run(1)]);
}

/// Guards against a task that crashes its endpoint once more after the agent has restarted.
#[test]
fn a_restarted_agent_learns_of_the_suspects_of_its_endpoint() {
    let crash_of = |index, vm: &str, role| {
        (CrashRecord { run: run(index), vm: vm.into(), role }, Duration::ZERO)
    };
    let records = [
        crash_of(0, "side-1", CrashRole::Suspect),
        crash_of(1, "side-2", CrashRole::Suspect),
        crash_of(2, "side-1", CrashRole::Bystander),
        // Task 3 has reached the limit at other endpoints.
        crash_of(3, "side-2", CrashRole::Suspect),
        crash_of(3, "side-3", CrashRole::Suspect),
    ];
    let mut executor = executor();
    executor.on_crash_records(START, records.clone());
    let shared = executor.take_actions();
    assert_eq!(shared.len(), records.len());
    executor.on_crash_records(START, records);
    assert!(executor.take_actions().is_empty());
    for index in 0..4 {
        executor.on_order(START, order(index, 1000, ms(500)));
    }
    let actions = executor.take_actions();
    let expected = [(run(0), RunStatus::KnownSuspect), (run(3), RunStatus::NotStarted)];
    assert_eq!(reported(&actions), expected);
    assert_eq!(starts(&actions), [run(1), run(2)]);
}

/// Guards against a suspect that counts as a bystander, because its endpoint restarted without
/// downtime and started other runs before the agent noticed. Found by the soak test with seed 901.
#[test]
fn runs_of_the_next_incarnation_do_not_hide_the_suspect() {
    // The agent may learn of the new incarnation by a report before the listing.
    for is_reported_first in [false, true] {
        let mut executor = executor();
        for (index, started_at) in [(0, START), (1, START + ms(30)), (2, START + ms(60))] {
            executor.on_order(started_at, order(index, 1000, ms(500)));
            executor.on_start_reply(started_at, &run(index), StartOutcome::Started);
        }
        executor.take_actions();
        let at = START + ms(70);
        if is_reported_first {
            executor.on_report(at, EndpointReport { incarnation: 8, ..report(1) });
        }
        let running = vec![TaskProgress { run: run(2), percent: 1 }];
        executor.on_listing(at, &Listing { incarnation: 8, running, ..listing(at) });
        let crashed = |index, role| (run(index), RunStatus::Crashed(role));
        let expected = [crashed(0, CrashRole::Bystander), crashed(1, CrashRole::Suspect)];
        assert_eq!(reported(&executor.take_actions()), expected);
        // The run of the new incarnation goes on, and its stop is no crash.
        let at = START + ms(80);
        executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
        assert_eq!(reported(&executor.take_actions()), [(run(2), RunStatus::Stopped)]);
    }
}

/// Guards against an agent that restarts while the store has an older, larger capacity, and against
/// starts before any capacity is known.
#[test]
fn a_restarted_agent_takes_the_latest_capacity_that_anyone_remembers() {
    let capacity = Resources { cpu_millis: 1000, memory_mb: 1024, gpus: 0 };
    let shrunken = EndpointReport { capacity, ..report(5) };
    let mut remembered = ReportMemory::default();
    remembered.insert("side-1", shrunken.clone());
    let saved = report(2);
    for is_saved_first in [false, true] {
        let mut executor = Executor::new(SETTINGS);
        executor.on_listing(START, &listing(START));
        executor.on_entry_heartbeat(START, &super::entry(), START);
        executor.on_order(START, order(0, 1000, ms(500)));
        assert!(starts(&executor.take_actions()).is_empty(), "no capacity is known");
        let told = remembered.get("side-1").unwrap().clone();
        let reports = if is_saved_first { [saved.clone(), told] } else { [told, saved.clone()] };
        for report in reports {
            executor.on_report(START, report);
        }
        for index in 1..4 {
            executor.on_order(START, order(index, 1000, ms(500)));
        }
        assert_eq!(starts(&executor.take_actions()), [run(1)]);
    }
}

/// Guards against an endpoint that stays unusable after a report from another writer with a start in
/// the future, or after a restart with the clock set back. No further report of the endpoint is
/// needed.
#[test]
fn a_report_that_is_not_listed_does_not_replace_that_of_the_listed_incarnation() {
    let mut executor = executor();
    let claim = EndpointReport { incarnation: 4_000_000, ..report(2) };
    assert!(!executor.on_report(START + ms(10), claim));
    assert!(!executor.status(START + ms(10)).usable);
    // A listing that was requested before does not disprove the report.
    executor.on_listing(START + ms(20), &listing(START + ms(5)));
    assert!(!executor.on_report(START + ms(25), report(3)));
    assert!(!executor.status(START + ms(25)).usable);
    executor.on_listing(START + ms(40), &listing(START + ms(30)));
    assert!(executor.status(START + ms(40)).usable);
    assert_eq!(executor.confirmed_report(), Some(&report(3)));
}

/// Guards against a task that waits at the agent and starts on the next incarnation of the endpoint,
/// which lacks the label that the task requires. An order may also arrive after that incarnation has
/// replaced the one that its entry knows.
#[test]
fn tasks_start_only_at_an_incarnation_with_their_required_label() {
    struct Case {
        kind: &'static str,
        rack: &'static str,
        starts: bool,
    }
    let cases = [
        Case { kind: "b", rack: "r1", starts: false },
        Case { kind: "a", rack: "r2", starts: true },
        Case { kind: "b", rack: "a", starts: true },
    ];
    let labelled = |index| {
        let mut received = order(index, 4000, ms(500));
        received.order.required_label = Some("a".into());
        received
    };
    for case in cases {
        let mut executor = executor();
        executor.on_order(START, order(0, 4000, ms(500)));
        executor.on_start_reply(START, &run(0), StartOutcome::Started);
        executor.on_order(START, labelled(1));
        executor.take_actions();
        let at = START + ms(20);
        executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
        let (kind, rack) = (case.kind.into(), case.rack.into());
        executor.on_report(at, EndpointReport { incarnation: 8, kind, rack, ..report(1) });
        executor.on_order(at, labelled(2));
        let actions = executor.take_actions();
        let lost = (run(0), RunStatus::Crashed(CrashRole::Suspect));
        if case.starts {
            assert_eq!((reported(&actions), starts(&actions)), (vec![lost], vec![run(1)]));
        } else {
            let returned = |index| (run(index), RunStatus::NotStarted);
            assert_eq!(reported(&actions), [lost, returned(1), returned(2)]);
            assert!(starts(&actions).is_empty());
        }
    }
}
