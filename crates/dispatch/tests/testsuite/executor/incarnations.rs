//! Agents and endpoints that start anew.

use cowslipwing_dispatch::{
    EndpointReport, ExecutorAction, Fate, Listing, Resources, StartOutcome, TaskProgress,
};

use super::{START, executor, listing, order, report, run, starts, told};
use crate::support::ms;

#[test]
fn a_restarted_agent_stops_what_it_finds_before_it_starts_anything() {
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
fn a_reborn_endpoint_runs_nothing_of_before() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    let at = START + ms(50);
    executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
    assert_eq!(told(&executor.take_actions()), [(run(0), Fate::Stopped)]);
    // A listing of the former incarnation that comes late changes nothing.
    let running = vec![TaskProgress { run: run(0), percent: 50 }];
    executor.on_listing(at, &Listing { running, ..listing(START) });
    assert!(executor.take_actions().is_empty());
    // Nor does its announcement.
    assert!(!executor.on_report(at, report(9)));
}

/// Soak seed 1: the announcement of a new incarnation came after its first listing, and took what had
/// started there since for lost. The size of a new incarnation is known from its announcement on, so
/// that nothing starts before.
#[test]
fn a_listed_incarnation_takes_tasks_once_it_is_announced() {
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

/// A new incarnation may be smaller than the former one at its address.
#[test]
fn room_is_that_of_the_incarnation_that_is_there() {
    let mut executor = executor();
    let at = START + ms(50);
    executor.on_listing(at, &Listing { incarnation: 8, ..listing(at) });
    executor.on_order(at, order(0, 3000, ms(500)));
    executor.on_order(at, order(1, 1000, ms(500)));
    let small = Resources { cpu_millis: 2000, memory_mb: 1024, gpus: 0 };
    executor.on_report(at, EndpointReport { incarnation: 8, capacity: small, ..report(1) });
    assert_eq!(starts(&executor.take_actions()), [run(1)]);
}

/// An order that was on its way when the endpoint crashed may start at its new incarnation.
#[test]
fn a_start_on_its_way_over_a_crash_is_ruled_out_first() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    let at = START + ms(10);
    executor.on_listing(at, &Listing { incarnation: 8, clock_ms: 3, ..listing(at) });
    assert!(told(&executor.take_actions()).is_empty());
    executor.on_tick(START + ms(31));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
    executor.on_stop_confirmed(START + ms(32), &run(0));
    let at = START + ms(40);
    executor.on_listing(at, &Listing { incarnation: 8, clock_ms: 33, ..listing(at) });
    assert_eq!(told(&executor.take_actions()), [(run(0), Fate::NotStarted)]);
}

/// A deadline on the former incarnation's clock means nothing to the next one.
#[test]
fn a_start_is_not_sent_again_to_another_incarnation() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    let at = START + ms(5);
    executor.on_listing(at, &Listing { incarnation: 8, clock_ms: 3, ..listing(at) });
    executor.on_tick(START + ms(10));
    assert!(starts(&executor.take_actions()).is_empty());
}

/// A crashed endpoint whose clock has gone back announces an earlier start than the former one.
#[test]
fn another_incarnation_with_an_earlier_clock_is_taken() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_incarnation_mismatch("i-1");
    assert_eq!(told(&executor.take_actions()), [(run(0), Fate::Stopped)]);
    assert!(
        executor.on_report(START, EndpointReport { id: "i-2".into(), incarnation: 3, ..report(1) })
    );
}

/// Load pattern: all VMs come back at once after a loss of power. The agent asks for the endpoint that it
/// remembers, and the new one announces itself before the answer is there.
#[test]
fn an_answer_for_the_former_incarnation_leaves_the_announced_one() {
    let mut executor = executor();
    executor.on_report(START, EndpointReport { id: "i-2".into(), incarnation: 9, ..report(1) });
    executor.on_incarnation_mismatch("i-1");
    let at = START + ms(5);
    executor.on_listing(at, &Listing { incarnation: 9, ..listing(at) });
    executor.on_order(at, order(0, 1000, ms(500)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
}
