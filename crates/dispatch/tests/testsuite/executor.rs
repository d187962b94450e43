//! What an agent starts, and what it takes to be gone.

mod incarnations;
mod leases;
mod progress;
mod starts;
mod unanswered;

use std::time::Duration;

use cowslipwing_dispatch::{
    EndpointReport, EntryName, Executor, ExecutorAction, ExecutorSettings, Fate, Listing, Order,
    Room, TaskEvent, TaskOrder, TaskRun,
};

use crate::support::{ms, room};

const START: Duration = Duration::from_secs(10);

fn entry() -> EntryName {
    "front-1@1".parse().unwrap()
}

fn run(index: u32) -> TaskRun {
    TaskRun { task: format!("a1.0.{index}").parse().unwrap(), run: 1 }
}

fn report(sequence: u64) -> EndpointReport {
    EndpointReport {
        id: "i-1".into(),
        born: 7,
        service: "desk".into(),
        capacity: Room { cpu_millis: 4000, memory_mb: 1024, gpus: 0 },
        kind: "a".into(),
        rack: "r1".into(),
        draining: false,
        sequence,
    }
}

fn listing(asked_at: Duration) -> Listing {
    let clock_ms = asked_at.as_millis() as u64;
    Listing { asked_at, born: 7, clock_ms, running: Vec::new(), ended: Vec::new() }
}

fn order(index: u32, cpu_millis: u32, start_within: Duration) -> Order {
    let order = TaskOrder {
        run: run(index),
        work: "do it".into(),
        need: room(cpu_millis),
        work_time: ms(100),
        start_within,
        give_up: ms(1000),
        end_within: ms(1400),
        most_here: 0,
    };
    Order { entry: entry(), order }
}

/// Returns an executor beside an empty endpoint, leased by one entry.
fn executor() -> Executor {
    let settings =
        ExecutorSettings { entry_lease: ms(600), endpoint_lease: ms(500), longest_lease: ms(1000) };
    let mut executor = Executor::new(settings);
    executor.on_report(START, report(1));
    executor.on_listing(START, &listing(START));
    executor.on_entry_heard(&entry(), START);
    executor.take_actions();
    executor
}

fn starts(actions: &[ExecutorAction]) -> Vec<TaskRun> {
    let start = |action: &ExecutorAction| match action {
        ExecutorAction::Start { run, .. } => Some(run.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn told(actions: &[ExecutorAction]) -> Vec<(TaskRun, Fate)> {
    let tell = |action: &ExecutorAction| match action {
        ExecutorAction::Tell(_, TaskEvent { run, fate }) => Some((run.clone(), *fate)),
        _ => None,
    };
    actions.iter().filter_map(tell).collect()
}
