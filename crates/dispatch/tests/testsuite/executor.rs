//! Tests of what an agent starts, stops and gives up.

mod claims;
mod incarnations;
mod leases;
mod progress;
mod queue_order;
mod starts;
mod unanswered;

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_dispatch::{
    EndpointReport, EntryId, Executor, ExecutorAction, ExecutorSettings, Listing, ReceivedOrder,
    Resources, RunStatus, TaskEvent, TaskOrder, TaskRun,
};

use crate::support::{ms, resources};

pub const START: Duration = Duration::from_secs(10);

const SETTINGS: ExecutorSettings = ExecutorSettings {
    max_tasks: 4000,
    entry_lease: Duration::from_millis(600),
    endpoint_lease: Duration::from_millis(500),
    longest_lease: Duration::from_millis(1000),
    vm: CompactString::const_new("side-1"),
    site: CompactString::const_new("here"),
};

pub fn entry() -> EntryId {
    "front-1@1".parse().unwrap()
}

pub fn run(index: u32) -> TaskRun {
    TaskRun { task: format!("a1.0.{index}").parse().unwrap(), number: 1 }
}

pub fn report(sequence: u64) -> EndpointReport {
    EndpointReport {
        id: "i-1".into(),
        incarnation: 7,
        service: "desk".into(),
        capacity: Resources { cpu_millis: 4000, memory_mb: 1024, gpus: 0 },
        kind: "a".into(),
        rack: "r1".into(),
        draining: false,
        cold_remaining: Duration::ZERO,
        sequence,
    }
}

pub fn listing(requested_at: Duration) -> Listing {
    let clock_ms = requested_at.as_millis() as u64;
    Listing { requested_at, incarnation: 7, clock_ms, running: Vec::new(), ended: Vec::new() }
}

pub fn order(index: u32, cpu_millis: u32, start_within: Duration) -> ReceivedOrder {
    let order = TaskOrder {
        run: run(index),
        payload: "do it".into(),
        resources: resources(cpu_millis),
        expected_work: ms(100),
        start_within,
        abandon_after: ms(1000),
        end_within: ms(1400),
        max_per_endpoint: 0,
        priority: 0,
        required_label: None,
    };
    ReceivedOrder { entry: entry(), order }
}

/// Returns an executor with an empty endpoint and one entry whose lease is valid.
pub fn executor() -> Executor {
    let mut executor = Executor::new(SETTINGS);
    executor.on_report(START, report(1));
    executor.on_listing(START, &listing(START));
    executor.on_entry_heartbeat(START, &entry(), START);
    executor.take_actions();
    executor
}

/// Tasks that request no resources fit an endpoint in any number.
#[test]
fn tasks_over_the_limit_are_returned() {
    let mut executor = executor();
    for index in 0..SETTINGS.max_tasks as u32 {
        executor.on_order(START, order(index, 0, ms(500)));
    }
    assert_eq!(reported(&executor.take_actions()), []);
    assert!(!executor.status(START).usable);
    let next = SETTINGS.max_tasks as u32;
    executor.on_order(START, order(next, 0, ms(500)));
    assert_eq!(reported(&executor.take_actions()), [(run(next), RunStatus::NotStarted)]);
}

/// Returns the runs that a list of actions starts.
pub fn starts(actions: &[ExecutorAction]) -> Vec<TaskRun> {
    let start = |action: &ExecutorAction| match action {
        ExecutorAction::Start { run, .. } => Some(run.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Returns the runs and statuses that a list of actions reports to entries.
pub fn reported(actions: &[ExecutorAction]) -> Vec<(TaskRun, RunStatus)> {
    let report_of = |action: &ExecutorAction| match action {
        ExecutorAction::NotifyEntry(_, TaskEvent { run, status }) => Some((run.clone(), *status)),
        _ => None,
    };
    actions.iter().filter_map(report_of).collect()
}
