//! Random histories of an agent and its endpoint, in which calls are answered, lost or delayed.
//!
//! The endpoint follows the published protocol: it carries out every start that arrives before its
//! deadline, refuses runs that it has stopped, and stops all runs when its lease expires. Each step
//! checks that its capacity is not exceeded, that no task runs twice, and that a run reported as
//! not started does not run then or later.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipwing_dispatch::{
    EndpointReport, EntryId, Executor, ExecutorAction, ExecutorSettings, Listing, ReceivedOrder,
    Resources, RunOutcome, RunStatus, StartOutcome, StartRefusal, TaskEnd, TaskOrder, TaskProgress,
    TaskRun,
};
use quickcheck::quickcheck;

use crate::support::{ms, resources};

const CAPACITY_MILLIS: u32 = 4000;
/// Time after which a call ends without an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// A call to the endpoint.
#[derive(Clone)]
enum Call {
    Start { run: TaskRun, deadline_ms: u64 },
    Stop(TaskRun),
    List { deadline_ms: Option<u64> },
}

#[derive(Default)]
struct Endpoint {
    /// Running runs and the times at which they complete.
    running: BTreeMap<TaskRun, Duration>,
    /// Runs that have ended or were stopped, and that must not start again.
    stopped: Vec<TaskRun>,
    /// Ends that the agent has not acknowledged.
    ended: Vec<TaskEnd>,
    /// End of the lease of all running tasks, in milliseconds on the endpoint's clock.
    lease_ms: u64,
    /// Number of ends so far.
    end_count: u64,
}

impl Endpoint {
    fn end(&mut self, run: TaskRun, outcome: RunOutcome) {
        self.running.remove(&run);
        self.stopped.push(run.clone());
        self.end_count += 1;
        self.ended.push(TaskEnd { sequence: self.end_count, run, outcome });
    }

    fn advance(&mut self, now: Duration) {
        let is_expired = millis(now) > self.lease_ms;
        for (run, until) in self.running.clone() {
            if is_expired {
                self.end(run, RunOutcome::Aborted);
            } else if now >= until {
                self.end(run, RunOutcome::Done);
            }
        }
    }

    fn carry_out(&mut self, now: Duration, call: &Call) -> StartOutcome {
        match call {
            Call::Start { run, deadline_ms } if millis(now) > *deadline_ms => {
                let _ = run;
                return StartOutcome::Refused(StartRefusal::TooLate);
            }
            Call::Start { run, deadline_ms } => {
                let is_same_or_newer =
                    |other: &TaskRun| other.task == run.task && other.number >= run.number;
                if self.stopped.iter().any(is_same_or_newer) {
                    return StartOutcome::Refused(StartRefusal::OldRun);
                }
                self.lease_ms = self.lease_ms.max(*deadline_ms);
                self.running.entry(run.clone()).or_insert(now + ms(90));
            }
            Call::Stop(run) if self.running.contains_key(run) => {
                self.end(run.clone(), RunOutcome::Aborted);
            }
            Call::Stop(run) => self.stopped.push(run.clone()),
            Call::List { deadline_ms } => {
                self.lease_ms = self.lease_ms.max(deadline_ms.unwrap_or(0));
            }
        }
        StartOutcome::Started
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

struct Simulation {
    now: Duration,
    executor: Executor,
    endpoint: Endpoint,
    /// Calls without an answer that are carried out at a later time.
    delayed_calls: Vec<(Duration, Call)>,
    /// Starts whose calls end without an answer at a later time.
    unanswered_starts: Vec<(Duration, TaskRun)>,
    /// Processor time of each run that was ordered, in thousandths of a core.
    ordered_cpu: BTreeMap<TaskRun, u32>,
    /// Runs that were reported as not started.
    not_started: Vec<TaskRun>,
    next_order: u32,
}

fn entry() -> EntryId {
    "front-1@1".parse().unwrap()
}

impl Simulation {
    fn new() -> Self {
        let settings = ExecutorSettings {
            entry_lease: ms(600),
            endpoint_lease: ms(500),
            longest_lease: ms(1000),
        };
        let mut simulation = Self {
            now: ms(10_000),
            executor: Executor::new(settings),
            endpoint: Endpoint::default(),
            delayed_calls: Vec::new(),
            unanswered_starts: Vec::new(),
            ordered_cpu: BTreeMap::new(),
            not_started: Vec::new(),
            next_order: 0,
        };
        let capacity = Resources { cpu_millis: CAPACITY_MILLIS, memory_mb: 4096, gpus: 0 };
        let report = EndpointReport {
            id: "i-1".into(),
            incarnation: 7,
            service: "desk".into(),
            capacity,
            kind: "a".into(),
            rack: "r1".into(),
            draining: false,
            sequence: 1,
        };
        simulation.executor.on_report(simulation.now, report);
        simulation.list(0);
        simulation
    }

    /// Makes a call; `random` decides whether it is answered, lost or delayed.
    fn call(&mut self, call: Call, random: u8) -> Option<StartOutcome> {
        match random % 8 {
            0 => {
                let at = self.now + ms(40 + u64::from(random) * 10);
                self.delayed_calls.push((at, call));
                None
            }
            1 => {
                self.endpoint.carry_out(self.now, &call);
                None
            }
            2 => None,
            _ => Some(self.endpoint.carry_out(self.now, &call)),
        }
    }

    /// Sends a list request, whose answer arrives after 1 ms; `random` decides whether it is lost.
    fn list(&mut self, random: u8) {
        let deadline_ms = self.executor.extend_lease(self.now);
        let acked = self.executor.last_acked();
        self.endpoint.ended.retain(|end| end.sequence > acked);
        if random % 8 == 2 {
            return;
        }
        self.endpoint.carry_out(self.now, &Call::List { deadline_ms });
        let requested_at = self.now;
        self.advance(ms(1));
        let running = self.endpoint.running.keys().cloned();
        let listing = Listing {
            requested_at,
            incarnation: 7,
            clock_ms: millis(self.now),
            running: running.map(|run| TaskProgress { run, percent: 50 }).collect(),
            ended: self.endpoint.ended.clone(),
        };
        self.executor.on_listing(self.now, &listing);
    }

    fn order(&mut self, random: u8) {
        let name = format!("job{}.0.0", self.next_order % 6);
        let run_number = 1 + self.next_order / 6;
        self.next_order += 1;
        let run = TaskRun { task: name.parse().unwrap(), number: run_number };
        let cpu_millis = 500 + u32::from(random) * 10;
        self.ordered_cpu.insert(run.clone(), cpu_millis);
        let order = TaskOrder {
            run,
            payload: "do it".into(),
            resources: resources(cpu_millis),
            expected_work: ms(90),
            start_within: ms(u64::from(random)),
            abandon_after: ms(700),
            end_within: ms(1400),
            max_per_endpoint: 0,
        };
        self.executor.on_order(self.now, ReceivedOrder { entry: entry(), order });
    }

    fn execute_actions(&mut self, random: u8) {
        for action in self.executor.take_actions() {
            match action {
                ExecutorAction::Start { run, deadline_ms, .. } => {
                    let call = Call::Start { run: run.clone(), deadline_ms };
                    match self.call(call, random) {
                        Some(outcome) => self.executor.on_start_reply(self.now, &run, outcome),
                        // The connection breaks at once, or the call times out later.
                        None if random % 16 < 8 => self.no_reply(&run),
                        None => self.unanswered_starts.push((self.now + CALL_TIMEOUT, run)),
                    }
                }
                ExecutorAction::Stop(run) => {
                    if self.call(Call::Stop(run.clone()), random / 8).is_some() {
                        self.executor.on_stop_confirmed(self.now, &run);
                    }
                }
                ExecutorAction::NotifyEntry(_, event) => {
                    if matches!(event.status, RunStatus::NotStarted | RunStatus::StaleRun) {
                        self.not_started.push(event.run);
                    }
                }
            }
        }
    }

    fn no_reply(&mut self, run: &TaskRun) {
        self.executor.on_start_reply(self.now, run, StartOutcome::NoReply);
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        let now = self.now;
        let (timed_out, pending) =
            self.unanswered_starts.iter().cloned().partition(|(at, _)| now >= *at);
        self.unanswered_starts = pending;
        let timed_out: Vec<(Duration, TaskRun)> = timed_out;
        timed_out.iter().for_each(|(_, run)| self.no_reply(run));
        let due_calls: Vec<Call> = self
            .delayed_calls
            .iter()
            .filter(|(at, _)| now >= *at)
            .map(|(_, call)| call.clone())
            .collect();
        self.delayed_calls.retain(|(at, _)| now < *at);
        self.endpoint.advance(now);
        for call in due_calls {
            self.endpoint.carry_out(now, &call);
        }
    }

    fn check(&self) -> Result<(), String> {
        let used_millis: u32 = self.endpoint.running.keys().map(|run| self.ordered_cpu[run]).sum();
        if used_millis > CAPACITY_MILLIS {
            return Err(format!("{used_millis} of {CAPACITY_MILLIS} thousandths of a core in use"));
        }
        let mut tasks: Vec<_> = self.endpoint.running.keys().map(|run| &run.task).collect();
        tasks.dedup();
        if tasks.len() < self.endpoint.running.len() {
            return Err("a task runs twice".into());
        }
        match self.not_started.iter().find(|run| self.endpoint.running.contains_key(*run)) {
            Some(run) => Err(format!("{run} was reported as not started but runs")),
            None => Ok(()),
        }
    }
}

quickcheck! {
    fn capacity_and_reports_hold_in_random_histories(events: Vec<(u8, u8)>) -> Result<(), String> {
        let mut simulation = Simulation::new();
        for (kind, random) in events {
            simulation.advance(ms(u64::from(random % 32)));
            match kind % 5 {
                0 | 1 => simulation.order(random),
                2 => simulation.executor.on_tick(simulation.now),
                _ => simulation.list(random),
            }
            if kind < 240 {
                // The entry is in contact most of the time.
                let heard_at = simulation.now.saturating_sub(ms(20));
                simulation.executor.on_entry_heartbeat(&entry(), heard_at);
            }
            simulation.execute_actions(random);
            simulation.check()?;
        }
        Ok(())
    }
}

/// Runs longer histories than quickcheck generates.
#[test]
fn capacity_and_reports_hold_in_long_histories() {
    for seed in 0..400u64 {
        let mut state = seed * 2 + 1;
        let mut byte = move || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040);
            (state >> 33) as u8
        };
        let mut simulation = Simulation::new();
        for _ in 0..600 {
            let (kind, random) = (byte(), byte());
            simulation.advance(ms(u64::from(random % 32)));
            match kind % 5 {
                0 | 1 => simulation.order(byte()),
                2 => simulation.executor.on_tick(simulation.now),
                _ => simulation.list(byte()),
            }
            if kind < 240 {
                let heard_at = simulation.now.saturating_sub(ms(20));
                simulation.executor.on_entry_heartbeat(&entry(), heard_at);
            }
            simulation.execute_actions(byte());
            simulation.check().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
    }
}
