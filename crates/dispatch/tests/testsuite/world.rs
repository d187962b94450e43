//! Random worlds of one agent and its endpoint: orders are answered, lost, or carried out late.
//!
//! The endpoint follows the published rules: it starts whatever it is told to within the deadline of
//! the order, refuses runs that it has stopped, and kills everything once its lease is over. Checked at
//! each step: its room is never exceeded, no task runs twice, and what is reported as not started does
//! not run then or later.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipwing_dispatch::{
    EndpointReport, EntryName, Executor, ExecutorAction, ExecutorSettings, Fate, Listing,
    ReceivedOrder, Resources, RunOutcome, StartOutcome, StartRefusal, TaskEnd, TaskOrder,
    TaskProgress, TaskRun,
};
use quickcheck::quickcheck;

use crate::support::{ms, room};

const CAPACITY: u32 = 4000;
/// Time after which a call ends without an answer.
const CALL_LIMIT: Duration = Duration::from_millis(150);

/// A call that the endpoint has not carried out yet.
#[derive(Clone)]
enum Call {
    Start { run: TaskRun, deadline_ms: u64 },
    Stop(TaskRun),
    Hold { deadline_ms: Option<u64> },
}

#[derive(Default)]
struct Endpoint {
    running: BTreeMap<TaskRun, Duration>,
    stopped: Vec<TaskRun>,
    ended: Vec<TaskEnd>,
    lease_ms: u64,
    ends: u64,
}

impl Endpoint {
    fn end(&mut self, run: TaskRun, outcome: RunOutcome) {
        self.running.remove(&run);
        self.stopped.push(run.clone());
        self.ends += 1;
        self.ended.push(TaskEnd { sequence: self.ends, run, outcome });
    }

    fn advance(&mut self, now: Duration) {
        let lapsed = millis(now) > self.lease_ms;
        for (run, until) in self.running.clone() {
            if lapsed {
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
                let same = |other: &TaskRun| other.task == run.task && other.run >= run.run;
                if self.stopped.iter().any(same) {
                    return StartOutcome::Refused(StartRefusal::OldRun);
                }
                self.lease_ms = self.lease_ms.max(*deadline_ms);
                self.running.entry(run.clone()).or_insert(now + ms(90));
            }
            Call::Stop(run) if self.running.contains_key(run) => {
                self.end(run.clone(), RunOutcome::Aborted);
            }
            Call::Stop(run) => self.stopped.push(run.clone()),
            Call::Hold { deadline_ms } => {
                self.lease_ms = self.lease_ms.max(deadline_ms.unwrap_or(0));
            }
        }
        StartOutcome::Started
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

struct World {
    now: Duration,
    executor: Executor,
    endpoint: Endpoint,
    /// Calls without an answer, carried out at a later time.
    late: Vec<(Duration, Call)>,
    /// Starts whose calls end without an answer at some time.
    unanswered: Vec<(Duration, TaskRun)>,
    /// Run and room of each task ordered.
    ordered: BTreeMap<TaskRun, u32>,
    not_started: Vec<TaskRun>,
    next: u32,
}

fn entry() -> EntryName {
    "front-1@1".parse().unwrap()
}

impl World {
    fn new() -> Self {
        let settings = ExecutorSettings {
            entry_lease: ms(600),
            endpoint_lease: ms(500),
            longest_lease: ms(1000),
        };
        let mut world = Self {
            now: ms(10_000),
            executor: Executor::new(settings),
            endpoint: Endpoint::default(),
            late: Vec::new(),
            unanswered: Vec::new(),
            ordered: BTreeMap::new(),
            not_started: Vec::new(),
            next: 0,
        };
        let capacity = Resources { cpu_millis: CAPACITY, memory_mb: 4096, gpus: 0 };
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
        world.executor.on_report(world.now, report);
        world.list(0);
        world
    }

    /// Makes a call; `luck` decides whether it is answered, lost, or carried out late.
    fn call(&mut self, call: Call, luck: u8) -> Option<StartOutcome> {
        match luck % 8 {
            0 => {
                let at = self.now + ms(40 + u64::from(luck) * 10);
                self.late.push((at, call));
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

    fn list(&mut self, luck: u8) {
        let deadline_ms = self.executor.extend_lease(self.now);
        let acked = self.executor.last_acked();
        self.endpoint.ended.retain(|end| end.sequence > acked);
        if luck % 8 == 2 {
            return;
        }
        self.endpoint.carry_out(self.now, &Call::Hold { deadline_ms });
        let requested_at = self.now;
        self.step(ms(1));
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

    fn order(&mut self, luck: u8) {
        let name = format!("job{}.0.0", self.next % 6);
        let number = 1 + self.next / 6;
        self.next += 1;
        let run = TaskRun { task: name.parse().unwrap(), run: number };
        let cpu_millis = 500 + u32::from(luck) * 10;
        self.ordered.insert(run.clone(), cpu_millis);
        let order = TaskOrder {
            run,
            payload: "do it".into(),
            resources: room(cpu_millis),
            expected_work: ms(90),
            start_within: ms(u64::from(luck)),
            abandon_after: ms(700),
            end_within: ms(1400),
            max_per_endpoint: 0,
        };
        self.executor.on_order(self.now, ReceivedOrder { entry: entry(), order });
    }

    fn carry_out(&mut self, luck: u8) {
        for action in self.executor.take_actions() {
            match action {
                ExecutorAction::Start { run, deadline_ms, .. } => {
                    let call = Call::Start { run: run.clone(), deadline_ms };
                    match self.call(call, luck) {
                        Some(outcome) => self.executor.on_start_reply(self.now, &run, outcome),
                        // The connection breaks at once, or the call ends without an answer later.
                        None if luck % 16 < 8 => self.no_reply(&run),
                        None => self.unanswered.push((self.now + CALL_LIMIT, run)),
                    }
                }
                ExecutorAction::Stop(run) => {
                    if self.call(Call::Stop(run.clone()), luck / 8).is_some() {
                        self.executor.on_stop_confirmed(self.now, &run);
                    }
                }
                ExecutorAction::NotifyEntry(_, event) => {
                    if matches!(event.fate, Fate::NotStarted | Fate::StaleRun) {
                        self.not_started.push(event.run);
                    }
                }
            }
        }
    }

    fn no_reply(&mut self, run: &TaskRun) {
        self.executor.on_start_reply(self.now, run, StartOutcome::NoReply);
    }

    fn step(&mut self, by: Duration) {
        self.now += by;
        let now = self.now;
        let (over, open) = self.unanswered.iter().cloned().partition(|(at, _)| now >= *at);
        self.unanswered = open;
        let over: Vec<(Duration, TaskRun)> = over;
        over.iter().for_each(|(_, run)| self.no_reply(run));
        let due: Vec<Call> =
            self.late.iter().filter(|(at, _)| now >= *at).map(|(_, call)| call.clone()).collect();
        self.late.retain(|(at, _)| now < *at);
        self.endpoint.advance(now);
        for call in due {
            self.endpoint.carry_out(now, &call);
        }
    }

    fn check(&self) -> Result<(), String> {
        let used: u32 = self.endpoint.running.keys().map(|run| self.ordered[run]).sum();
        if used > CAPACITY {
            return Err(format!("{used} of {CAPACITY} in use"));
        }
        let mut tasks: Vec<_> = self.endpoint.running.keys().map(|run| &run.task).collect();
        tasks.dedup();
        if tasks.len() < self.endpoint.running.len() {
            return Err("a task runs twice".into());
        }
        match self.not_started.iter().find(|run| self.endpoint.running.contains_key(*run)) {
            Some(run) => Err(format!("{run} was told not to have started")),
            None => Ok(()),
        }
    }
}

quickcheck! {
    fn room_and_reports_hold_in_any_world(events: Vec<(u8, u8)>) -> Result<(), String> {
        let mut world = World::new();
        for (kind, luck) in events {
            world.step(ms(u64::from(luck % 32)));
            match kind % 5 {
                0 | 1 => world.order(luck),
                2 => world.executor.on_tick(world.now),
                _ => world.list(luck),
            }
            if kind < 240 {
                // The entry is heard from most of the time.
                let heard = world.now.saturating_sub(ms(20));
                world.executor.on_entry_heartbeat(&entry(), heard);
            }
            world.carry_out(luck);
            world.check()?;
        }
        Ok(())
    }
}

/// The same, for longer histories than the library draws by itself.
#[test]
fn room_and_reports_hold_in_long_histories() {
    for seed in 0..400u64 {
        let mut state = seed * 2 + 1;
        let mut byte = move || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040);
            (state >> 33) as u8
        };
        let mut world = World::new();
        for _ in 0..600 {
            let (kind, luck) = (byte(), byte());
            world.step(ms(u64::from(luck % 32)));
            match kind % 5 {
                0 | 1 => world.order(byte()),
                2 => world.executor.on_tick(world.now),
                _ => world.list(byte()),
            }
            if kind < 240 {
                let heard = world.now.saturating_sub(ms(20));
                world.executor.on_entry_heartbeat(&entry(), heard);
            }
            world.carry_out(byte());
            world.check().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
    }
}
