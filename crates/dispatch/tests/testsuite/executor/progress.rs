//! Tests of slow tasks that are detected by their progress.

use cowslipwing_dispatch::{Listing, RunStatus, StartOutcome, TaskProgress, TaskRun};

use super::{START, entry, executor, listing, order, reported, run};
use crate::support::ms;

/// All tasks at the endpoint stall while its reports remain good.
#[test]
fn a_stalled_endpoint_is_detected_within_tens_of_milliseconds() {
    let mut executor = executor();
    for index in 0..3 {
        let mut order = order(0, 1000, ms(500));
        order.order.run = TaskRun { task: format!("j{index}.0.0").parse().unwrap(), number: 1 };
        executor.on_order(START, order.clone());
        executor.on_start_reply(START, &order.order.run, StartOutcome::Started);
    }
    executor.take_actions();
    let running = |percent| -> Vec<TaskProgress> {
        let task = |index| format!("j{index}.0.0").parse().unwrap();
        let run = |index| TaskRun { task: task(index), number: 1 };
        (0..3).map(|index| TaskProgress { run: run(index), percent }).collect()
    };
    let at = START + ms(45);
    executor.on_listing(at, &Listing { running: running(0), ..listing(at) });
    assert!(executor.status(at).slowness > 5.0);
    let slow = reported(&executor.take_actions());
    assert!(slow.iter().all(|(_, status)| matches!(status, RunStatus::Slow(_))) && slow.len() == 3);
}

/// A long task that will not end before its caller's timeout is reported early.
#[test]
fn a_task_that_cannot_end_in_time_is_reported_early() {
    let mut executor = executor();
    let mut long_task = order(0, 1000, ms(500));
    long_task.order.expected_work = ms(700);
    executor.on_order(START, long_task);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.take_actions();
    for (elapsed_ms, percent) in [(100, 5), (200, 10), (300, 15), (400, 20)] {
        let at = START + ms(elapsed_ms);
        let running = vec![TaskProgress { run: run(0), percent }];
        executor.on_listing(at, &Listing { running, ..listing(at) });
        assert!(reported(&executor.take_actions()).is_empty());
    }
    let at = START + ms(480);
    let running = vec![TaskProgress { run: run(0), percent: 25 }];
    executor.on_listing(at, &Listing { running, ..listing(at) });
    let reported = reported(&executor.take_actions());
    assert!(
        matches!(reported[..], [(_, RunStatus::Overrun(left))] if left > ms(1300)),
        "{reported:?}"
    );
}

/// Progress is listed in whole percents. A task that ends just in time must not be given up because
/// of the rounding.
#[test]
fn a_task_that_ends_just_in_time_is_not_reported() {
    let mut executor = executor();
    let mut long_task = order(0, 1000, ms(500));
    long_task.order.expected_work = ms(1300);
    executor.on_order(START, long_task);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.take_actions();
    for elapsed_ms in (40..1380).step_by(45) {
        let at = START + ms(elapsed_ms);
        let percent = (elapsed_ms * 100 / 1385) as u32;
        let running = vec![TaskProgress { run: run(0), percent }];
        executor.extend_lease(at);
        executor.on_entry_heartbeat(&entry(), at);
        executor.on_listing(at, &Listing { running, ..listing(at) });
        let reported = reported(&executor.take_actions());
        assert!(reported.is_empty(), "at {elapsed_ms} ms: {reported:?}");
    }
}
