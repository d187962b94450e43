//! What progress tells of the tasks that run.

use cowslipwing_dispatch::{Fate, Listing, StartOutcome, TaskProgress, TaskRun};

use super::{START, entry, executor, listing, order, run, told};
use crate::support::ms;

/// Load pattern: everything on the endpoint stands still while its announcements stay good.
#[test]
fn an_endpoint_that_stands_still_shows_within_tens_of_milliseconds() {
    let mut executor = executor();
    for index in 0..3 {
        let mut order = order(0, 1000, ms(500));
        order.order.run = TaskRun { task: format!("j{index}.0.0").parse().unwrap(), run: 1 };
        executor.on_order(START, order.clone());
        executor.on_start_reply(START, &order.order.run, StartOutcome::Started);
    }
    executor.take_actions();
    let running = |percent| -> Vec<TaskProgress> {
        let task = |index| format!("j{index}.0.0").parse().unwrap();
        let run = |index| TaskRun { task: task(index), run: 1 };
        (0..3).map(|index| TaskProgress { run: run(index), percent }).collect()
    };
    let at = START + ms(45);
    executor.on_listing(at, &Listing { running: running(0), ..listing(at) });
    assert!(executor.status(at).slowness > 5.0);
    let slow = told(&executor.take_actions());
    assert!(slow.iter().all(|(_, fate)| matches!(fate, Fate::Slow(_))) && slow.len() == 3);
}

/// A long task that turns out to be longer than its caller waits is told of early.
#[test]
fn a_task_that_cannot_end_in_time_is_told_of_early() {
    let mut executor = executor();
    let mut long = order(0, 1000, ms(500));
    long.order.expected_work = ms(700);
    executor.on_order(START, long);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.take_actions();
    for (passed, percent) in [(100, 5), (200, 10), (300, 15), (400, 20)] {
        let at = START + ms(passed);
        let running = vec![TaskProgress { run: run(0), percent }];
        executor.on_listing(at, &Listing { running, ..listing(at) });
        assert!(told(&executor.take_actions()).is_empty());
    }
    let at = START + ms(480);
    let running = vec![TaskProgress { run: run(0), percent: 25 }];
    executor.on_listing(at, &Listing { running, ..listing(at) });
    let told = told(&executor.take_actions());
    assert!(matches!(told[..], [(_, Fate::Overrun(left))] if left > ms(1300)), "{told:?}");
}

/// Whole percents are listed; a task that just ends in time must not be given up for it.
#[test]
fn a_task_that_ends_just_in_time_is_not_told_of() {
    let mut executor = executor();
    let mut long = order(0, 1000, ms(500));
    long.order.expected_work = ms(1300);
    executor.on_order(START, long);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.take_actions();
    for passed in (40..1380).step_by(45) {
        let at = START + ms(passed);
        let percent = (passed * 100 / 1385) as u32;
        let running = vec![TaskProgress { run: run(0), percent }];
        executor.extend_lease(at);
        executor.on_entry_heartbeat(&entry(), at);
        executor.on_listing(at, &Listing { running, ..listing(at) });
        let told = told(&executor.take_actions());
        assert!(told.is_empty(), "at {passed} ms: {told:?}");
    }
}
