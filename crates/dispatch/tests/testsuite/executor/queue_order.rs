//! Tests of the order of the tasks that wait at an agent.

use std::time::Duration;

use cowslipwing_dispatch::{Executor, Listing, RunOutcome, StartOutcome, TaskEnd};

use super::{START, executor, listing, order, run, starts};
use crate::support::ms;

fn submit(
    executor: &mut Executor,
    now: Duration,
    index: u32,
    (priority, start_within): (u32, Duration),
) {
    let mut received = order(index, 4000, start_within);
    received.order.priority = priority;
    executor.on_order(now, received);
}

/// Ends the only running task, and returns the index of the task that starts in its place.
fn next_start(executor: &mut Executor, now: Duration, running: u32, sequence: u64) -> u32 {
    let end = TaskEnd { sequence, run: run(running), outcome: RunOutcome::Done };
    executor.on_listing(now, &Listing { ended: vec![end], ..listing(now) });
    let started = starts(&executor.take_actions());
    assert_eq!(started.len(), 1);
    executor.on_start_reply(now, &started[0], StartOutcome::Started);
    started[0].task.index
}

/// Guards against long tasks that start before short urgent ones, and late tasks before others.
#[test]
fn queued_tasks_start_by_priority_and_then_by_latest_start() {
    struct Case {
        name: &'static str,
        /// Priority and time until the latest start of each task; zero if it can only be late.
        tasks: [(u32, Duration); 3],
        expected: [u32; 3],
    }
    let cases = [
        Case {
            name: "one priority",
            tasks: [(1, ms(300)), (1, ms(100)), (1, ms(200))],
            expected: [2, 3, 1],
        },
        Case {
            name: "three priorities",
            tasks: [(2, ms(100)), (1, ms(200)), (0, ms(300))],
            expected: [3, 2, 1],
        },
        Case {
            name: "urgent but late",
            tasks: [(0, Duration::ZERO), (2, ms(400)), (2, ms(300))],
            expected: [3, 2, 1],
        },
    ];
    for case in cases {
        let mut executor = executor();
        submit(&mut executor, START, 0, (0, ms(500)));
        for (index, task) in (1..).zip(case.tasks) {
            submit(&mut executor, START, index, task);
        }
        executor.take_actions();
        executor.on_start_reply(START, &run(0), StartOutcome::Started);
        let mut running = 0;
        for (sequence, expected) in (1..).zip(case.expected) {
            let now = START + ms(10 * sequence);
            running = next_start(&mut executor, now, running, sequence);
            assert_eq!(running, expected, "{}", case.name);
        }
    }
}

/// Guards against a long task that never starts because short urgent ones keep coming.
#[test]
fn a_task_waits_behind_more_urgent_ones_for_a_bounded_time() {
    let mut executor = executor();
    submit(&mut executor, START, 0, (0, ms(500)));
    submit(&mut executor, START, 1, (2, ms(540)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    let (mut running, mut started_at) = (0, None);
    for sequence in 1..=8 {
        let now = START + ms(50 * sequence);
        executor.on_entry_heartbeat(now, &super::entry(), now);
        let index = u32::try_from(sequence).unwrap() + 1;
        submit(&mut executor, now, index, (0, ms(90)));
        running = next_start(&mut executor, now, running, sequence);
        if running == 1 {
            started_at.get_or_insert(now - START);
            break;
        }
    }
    assert_eq!(started_at, Some(ms(250)));
}
