//! Tests of the leases of entries and of the endpoint.

use std::time::Duration;

use cowslipwing_dispatch::{ExecutorAction, Listing, RunStatus, StartOutcome, TaskProgress};

use super::{START, entry, executor, listing, order, reported, run, starts};
use crate::support::ms;

#[test]
fn tasks_are_stopped_when_the_lease_of_their_entry_expires() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    // The lease of the endpoint stays valid.
    let at = START + ms(400);
    let running = vec![TaskProgress { run: run(0), percent: 99 }];
    executor.on_listing(at, &Listing { running, ..listing(at) });
    executor.extend_lease(at);
    executor.on_tick(START + ms(599));
    assert!(executor.take_actions().is_empty());
    executor.on_tick(START + ms(600));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
    // An order that was already in flight is not carried out.
    executor.on_order(START + ms(601), order(1, 1000, ms(500)));
    let actions = executor.take_actions();
    assert!(starts(&actions).is_empty());
    assert_eq!(reported(&actions), [(run(1), RunStatus::NotStarted)]);
}

/// An entry that returned a time in the future kept its lease until then.
#[test]
fn a_lease_does_not_count_from_the_future() {
    for heard_at in [START + ms(5000), Duration::from_millis(u64::MAX)] {
        let mut executor = executor();
        executor.on_entry_heartbeat(START, &entry(), heard_at);
        let at = START + ms(700);
        executor.on_listing(at, &listing(at));
        executor.on_order(at, order(0, 1000, ms(500)));
        assert_eq!(reported(&executor.take_actions()), [(run(0), RunStatus::NotStarted)]);
    }
}

/// A VM that was suspended may receive an order before its first tick.
#[test]
fn an_order_under_an_expired_lease_is_returned() {
    let mut executor = executor();
    let at = START + ms(700);
    executor.on_listing(at, &listing(at));
    executor.on_order(at, order(0, 1000, ms(500)));
    let actions = executor.take_actions();
    assert_eq!(reported(&actions), [(run(0), RunStatus::NotStarted)]);
    assert!(starts(&actions).is_empty());
}

#[test]
fn runs_of_a_silent_endpoint_are_lost_when_its_lease_expires() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_entry_heartbeat(START + ms(5000), &entry(), START + ms(5000));
    executor.on_tick(START + ms(505));
    assert!(reported(&executor.take_actions()).is_empty());
    // The endpoint's clock may run 2% slow.
    executor.on_tick(START + ms(520));
    assert_eq!(reported(&executor.take_actions()), [(run(0), RunStatus::Stopped)]);
}
