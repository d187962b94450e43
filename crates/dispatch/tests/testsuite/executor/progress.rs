//! Tests of slow tasks that are detected by their progress.

use std::time::Duration;

use cowslipwing_dispatch::{
    Executor, Listing, ReceivedOrder, RunStatus, StartOutcome, TaskProgress, TaskRun,
};

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

/// A long task that will not end before its caller's timeout is reported as soon as its progress proves
/// it, so that its caller does not wait and its endpoint is free.
#[test]
fn a_task_that_cannot_end_in_time_is_reported_early() {
    let mut executor = executor();
    let mut long_task = order(0, 1000, ms(500));
    long_task.order.expected_work = ms(700);
    executor.on_order(START, long_task);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.take_actions();
    let at = START + ms(100);
    let running = vec![TaskProgress { run: run(0), percent: 5 }];
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
        executor.on_entry_heartbeat(at, &entry(), at);
        executor.on_listing(at, &Listing { running, ..listing(at) });
        let reported = reported(&executor.take_actions());
        assert!(reported.is_empty(), "at {elapsed_ms} ms: {reported:?}");
    }
}

/// A job of a queue's tail is much more work than expected. At an endpoint where other jobs run as
/// usual its tasks must not count as slow: they were moved from one endpoint to the next and lost
/// their progress each time.
#[test]
fn a_large_task_at_a_healthy_endpoint_is_not_slow() {
    let mut executor = busy_executor();
    let mut large = order(9, 100, ms(500));
    large.order.expected_work = ms(200);
    start(&mut executor, &large);
    for elapsed_ms in (45..1350).step_by(45) {
        let at = START + ms(elapsed_ms);
        let percent = (elapsed_ms / 14) as u32;
        let reported = list(&mut executor, at, percent);
        assert!(reported.is_empty(), "at {elapsed_ms} ms: {reported:?}");
    }
}

/// A task that stops or becomes much slower at such an endpoint is still reported within a few tens
/// of milliseconds.
#[test]
fn a_task_that_stops_at_a_healthy_endpoint_is_slow() {
    struct Case {
        name: &'static str,
        percent_at: fn(u64) -> u32,
        reported_by_ms: u64,
    }
    let cases = [
        Case { name: "never advances", percent_at: |_| 0, reported_by_ms: 90 },
        Case {
            name: "stops half way",
            percent_at: |ms| (ms / 2).min(45) as u32,
            reported_by_ms: 180,
        },
        Case {
            name: "falls to a tenth of its rate",
            percent_at: |ms| if ms <= 90 { ms / 2 } else { 45 + (ms - 90) / 20 } as u32,
            reported_by_ms: 225,
        },
    ];
    for case in cases {
        let mut executor = busy_executor();
        let mut task = order(9, 100, ms(500));
        task.order.expected_work = ms(200);
        start(&mut executor, &task);
        let mut reported_at = None;
        for elapsed_ms in (45..=450).step_by(45) {
            let at = START + ms(elapsed_ms);
            let slow = list(&mut executor, at, (case.percent_at)(elapsed_ms));
            if slow.iter().any(|status| matches!(status, RunStatus::Slow(_))) {
                reported_at.get_or_insert(elapsed_ms);
            }
        }
        assert!(
            reported_at.is_some_and(|at| at <= case.reported_by_ms),
            "{}: {reported_at:?}",
            case.name
        );
    }
}

/// Returns an executor whose endpoint runs four jobs at the usual rate.
fn busy_executor() -> Executor {
    let mut executor = executor();
    for index in 0..4 {
        let mut usual = order(index, 100, ms(500));
        usual.order.run = usual_run(index);
        usual.order.expected_work = USUAL_WORK;
        start(&mut executor, &usual);
    }
    executor
}

/// Run time of the jobs that run beside the task under test.
const USUAL_WORK: Duration = Duration::from_secs(10);

fn usual_run(index: u32) -> TaskRun {
    TaskRun { task: format!("b{index}.0.0").parse().unwrap(), number: 1 }
}

fn start(executor: &mut Executor, order: &ReceivedOrder) {
    executor.on_order(START, order.clone());
    executor.on_start_reply(START, &order.order.run, StartOutcome::Started);
    executor.take_actions();
}

/// Lists the usual jobs and the task under test; returns what is reported of the latter.
fn list(executor: &mut Executor, at: Duration, percent: u32) -> Vec<RunStatus> {
    let usual_percent = ((at - START).as_secs_f64() * 100.0 / USUAL_WORK.as_secs_f64()) as u32;
    let mut running: Vec<TaskProgress> = (0..4)
        .map(|index| TaskProgress { run: usual_run(index), percent: usual_percent })
        .collect();
    running.push(TaskProgress { run: run(9), percent });
    executor.extend_lease(at);
    executor.on_entry_heartbeat(at, &entry(), at);
    executor.on_listing(at, &Listing { running, ..listing(at) });
    let of_task = |(found, status): (TaskRun, RunStatus)| (found == run(9)).then_some(status);
    reported(&executor.take_actions()).into_iter().filter_map(of_task).collect()
}
