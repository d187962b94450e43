//! A fleet of executors with simulated endpoints under one scheduler.
//!
//! An endpoint crashes soon after it has started a deadly task, and is back under a new incarnation
//! after its downtime.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipwing_dispatch::{
    Action, AgentId, Answer, Decision, EndpointReport, EndpointStatus, EntryId, Executor,
    ExecutorAction, ExecutorSettings, JobSpec, Listing, ReceivedOrder, Resources, RunOutcome,
    Scheduler, StartOutcome, StartRefusal, TaskEnd, TaskOrder, TaskProgress, TaskRun,
};

use crate::support::{SETTINGS, WARM_UP, agent, answers, ms, resources};

/// Payload of a deadly task.
pub const DEADLY: &str = "deadly";
/// Start of the simulation.
pub const START: Duration = Duration::from_secs(100);
/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Initial run time of a fleet.
pub const RUN_TIME: Duration = Duration::from_millis(60);
const ENDPOINT_CPU_MILLIS: u32 = 8000;
/// Steps between two statuses of an agent with eight streams, which sends one every 64 ms.
const STATUS_STEPS: u32 = 13;

/// How an endpoint answers the start of a deadly task before it crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LastReply {
    Started,
    None,
}

/// An agent and its simulated endpoint.
pub struct Host {
    executor: Executor,
    incarnation: u64,
    /// Time at which the crashed endpoint is back.
    down_until: Option<Duration>,
    /// Running runs and the times at which they complete.
    pub running: BTreeMap<TaskRun, Duration>,
    /// Time at which each run was started, also of those that have ended.
    started_at: BTreeMap<TaskRun, Duration>,
    cpu_millis: u32,
    /// Number of orders received from each entry.
    orders_seen: Vec<u64>,
    ended: Vec<TaskEnd>,
    end_count: u64,
}

impl Host {
    fn new(number: usize, cpu_millis: u32) -> Self {
        let settings = ExecutorSettings {
            max_tasks: 4000,
            entry_lease: SETTINGS.entry_lease,
            endpoint_lease: SETTINGS.endpoint_lease,
            longest_lease: ms(1000),
            vm: agent(number).vm_name().into(),
            site: "here".into(),
        };
        Self {
            executor: Executor::new(settings),
            incarnation: 1,
            down_until: None,
            running: BTreeMap::new(),
            started_at: BTreeMap::new(),
            cpu_millis,
            orders_seen: Vec::new(),
            ended: Vec::new(),
            end_count: 0,
        }
    }

    fn report(&self) -> EndpointReport {
        EndpointReport {
            id: format!("i-{}", self.incarnation).into(),
            incarnation: self.incarnation,
            service: "desk".into(),
            capacity: Resources { cpu_millis: self.cpu_millis, memory_mb: 65536, gpus: 0 },
            kind: "a".into(),
            rack: "r1".into(),
            draining: false,
            cold_remaining: Duration::ZERO,
            sequence: 1,
        }
    }

    /// Crashes the endpoint, which is back at `until`.
    pub fn crash(&mut self, until: Duration) {
        self.down_until = Some(until);
        self.incarnation += 1;
        self.running.clear();
        self.ended.clear();
        self.end_count = 0;
    }

    /// Restarts the endpoint if its downtime is over, completes runs, and lists what runs.
    fn advance(&mut self, now: Duration) {
        if self.down_until.is_some_and(|until| now < until) {
            self.executor.on_not_listening(now);
            return;
        }
        self.down_until = None;
        let report = self.report();
        self.executor.on_report(now, report.clone());
        let known_id = self.executor.endpoint().map(|known| known.id.clone());
        if let Some(id) = known_id.filter(|id| *id != report.id) {
            // The endpoint refuses calls that are addressed to its former incarnation.
            self.executor.on_incarnation_mismatch(now, &id);
        }
        let acked = self.executor.last_acked();
        self.ended.retain(|end| end.sequence > acked);
        let is_done = |until: &Duration| now >= *until;
        for (run, _) in self.running.clone().iter().filter(|(_, until)| is_done(until)) {
            self.end(run, RunOutcome::Done);
        }
        let running = self.running.iter();
        let listing = Listing {
            requested_at: now,
            incarnation: self.incarnation,
            clock_ms: now.as_millis() as u64,
            running: running.map(|(run, until)| self.progress(now, run, *until)).collect(),
            ended: self.ended.clone(),
        };
        self.executor.on_listing(now, &listing);
    }

    fn progress(&self, now: Duration, run: &TaskRun, until: Duration) -> TaskProgress {
        let started_at = self.started_at[run];
        let share = (now - started_at).as_secs_f64() / (until - started_at).as_secs_f64();
        TaskProgress { run: run.clone(), percent: (share * 100.0) as u32 }
    }

    fn end(&mut self, run: &TaskRun, outcome: RunOutcome) {
        if self.running.remove(run).is_some() {
            self.end_count += 1;
            self.ended.push(TaskEnd { sequence: self.end_count, run: run.clone(), outcome });
        }
    }
}

/// Agents with their endpoints, and the schedulers of the entries.
pub struct Fleet {
    pub now: Duration,
    /// One for each entry.
    schedulers: Vec<Scheduler>,
    /// Number of jobs submitted, which go to the entries in turn.
    submitted: usize,
    /// Number of steps so far.
    steps: u32,
    pub hosts: Vec<Host>,
    last_reply: LastReply,
    pub downtime: Duration,
    /// Time that each task takes whose payload is not a time in milliseconds.
    pub run_time: Duration,
    /// Number of crashes caused by deadly tasks.
    pub crashes: u32,
    /// Number of orders that the entry sent.
    pub orders: u32,
    /// Number of times that a queue was contained.
    pub contained: u32,
    /// Number of jobs refused for the sake of another priority.
    pub yielded: u32,
    answers: Vec<(Duration, String, Answer)>,
    steps_per_status: u32,
}

fn entry(number: usize) -> EntryId {
    format!("front-{number}@1").parse().unwrap()
}

fn new_scheduler(size: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(SETTINGS);
    scheduler.on_tick(START - WARM_UP);
    for number in 0..size {
        scheduler.on_attached(START - WARM_UP, &agent(number), &[]);
    }
    scheduler
}

impl Fleet {
    pub fn new(size: usize, last_reply: LastReply, downtime: Duration) -> Self {
        Self::with_cpu(size, ENDPOINT_CPU_MILLIS, last_reply, downtime)
    }

    /// Creates a fleet for a lasting load, whose endpoints have this processor time, in thousandths
    /// of a core. Statuses are sent at the interval that agents with eight streams have.
    pub fn for_load(entries: usize, size: usize, cpu_millis: u32) -> Self {
        let mut fleet = Self::with_cpu(size, cpu_millis, LastReply::Started, Duration::ZERO);
        fleet.schedulers = (0..entries).map(|_| new_scheduler(size)).collect();
        fleet.hosts.iter_mut().for_each(|host| host.orders_seen = vec![0; entries]);
        fleet.steps_per_status = STATUS_STEPS;
        fleet.steps = 0;
        fleet.step();
        fleet
    }

    fn with_cpu(size: usize, cpu_millis: u32, last_reply: LastReply, downtime: Duration) -> Self {
        let mut hosts: Vec<Host> = (0..size).map(|number| Host::new(number, cpu_millis)).collect();
        hosts.iter_mut().for_each(|host| host.orders_seen = vec![0]);
        let mut fleet = Self {
            now: START,
            schedulers: vec![new_scheduler(size)],
            submitted: 0,
            steps: 0,
            hosts,
            last_reply,
            downtime,
            run_time: RUN_TIME,
            crashes: 0,
            orders: 0,
            contained: 0,
            yielded: 0,
            answers: Vec::new(),
            steps_per_status: 1,
        };
        fleet.step();
        fleet
    }

    pub fn submit(&mut self, spec: JobSpec) {
        let entry = self.submitted % self.schedulers.len();
        self.submitted += 1;
        self.schedulers[entry].submit(self.now, spec);
        self.exchange();
    }

    /// Ends a job whose caller has left.
    pub fn abandon(&mut self, id: &str) {
        for scheduler in &mut self.schedulers {
            scheduler.abandon(&id.parse().unwrap());
        }
        self.exchange();
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let now = self.now;
        for host in &mut self.hosts {
            for number in 0..self.schedulers.len() {
                host.executor.on_entry_heartbeat(now, &entry(number), now);
            }
            host.advance(now);
            host.executor.on_tick(now);
        }
        self.exchange();
        for (entry, scheduler) in self.schedulers.iter_mut().enumerate() {
            for (number, host) in self.hosts.iter().enumerate() {
                scheduler.on_heartbeat(now, &agent(number));
                let turn = self.steps + u32::try_from(number).unwrap();
                if turn.is_multiple_of(self.steps_per_status) || self.steps == 1 {
                    let orders_seen = host.orders_seen[entry];
                    let status = EndpointStatus { orders_seen, ..host.executor.status(now) };
                    scheduler.on_status(now, &agent(number), status);
                }
            }
            scheduler.on_tick(now);
        }
        self.exchange();
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Carries out actions until none is left.
    fn exchange(&mut self) {
        loop {
            let actions: Vec<(usize, Action)> = (0..self.schedulers.len())
                .flat_map(|entry| {
                    let actions = self.schedulers[entry].take_actions();
                    actions.into_iter().map(move |action| (entry, action))
                })
                .collect();
            let host_actions: Vec<(usize, ExecutorAction)> = (0..self.hosts.len())
                .flat_map(|number| {
                    let actions = self.hosts[number].executor.take_actions();
                    actions.into_iter().map(move |action| (number, action))
                })
                .collect();
            if actions.is_empty() && host_actions.is_empty() {
                return;
            }
            for (entry, action) in actions {
                let given = answers(std::slice::from_ref(&action));
                self.answers.extend(given.into_iter().map(|(id, answer)| (self.now, id, answer)));
                self.carry_out(entry, action);
            }
            for (number, action) in host_actions {
                self.carry_out_at_host(number, action);
            }
        }
    }

    fn host_of(&self, wanted: &AgentId) -> usize {
        (0..self.hosts.len()).find(|number| agent(*number) == *wanted).unwrap()
    }

    fn carry_out(&mut self, from: usize, action: Action) {
        match action {
            Action::Order(to, order) => {
                self.orders += 1;
                let number = self.host_of(&to);
                let received = ReceivedOrder { entry: entry(from), order };
                self.hosts[number].orders_seen[from] += 1;
                self.hosts[number].executor.on_order(self.now, received);
            }
            Action::Cancel(to, run) => {
                let number = self.host_of(&to);
                self.hosts[number].executor.on_cancel(self.now, &entry(from), &run);
            }
            Action::ShareCrash(to, record, age) => {
                let number = self.host_of(&to);
                self.hosts[number].executor.on_crash_records(self.now, [(record, age)]);
            }
            Action::Record(Decision::QueueContained { .. }) => self.contained += 1,
            Action::Record(Decision::Refused { yields_to: Some(_), .. }) => self.yielded += 1,
            Action::Answer(..) | Action::Record(_) => {}
        }
    }

    fn carry_out_at_host(&mut self, number: usize, action: ExecutorAction) {
        let now = self.now;
        let host = &mut self.hosts[number];
        match action {
            ExecutorAction::Start { run, .. } if host.down_until.is_some() => {
                let refusal = StartOutcome::Refused(StartRefusal::NotListening);
                host.executor.on_start_reply(now, &run, refusal);
            }
            ExecutorAction::Start { run, payload, .. } if &*payload == DEADLY => {
                self.crashes += 1;
                host.crash(now + self.downtime);
                let outcome = match self.last_reply {
                    LastReply::Started => StartOutcome::Started,
                    LastReply::None => StartOutcome::NoReply,
                };
                host.executor.on_start_reply(now, &run, outcome);
            }
            ExecutorAction::Start { run, payload, .. } => {
                let run_time = payload.parse().map_or(self.run_time, Duration::from_millis);
                host.running.entry(run.clone()).or_insert(now + run_time);
                host.started_at.entry(run.clone()).or_insert(now);
                host.executor.on_start_reply(now, &run, StartOutcome::Started);
            }
            ExecutorAction::Stop(run) => {
                if host.down_until.is_none() {
                    host.end(&run, RunOutcome::Aborted);
                    host.executor.on_stop_confirmed(now, &run);
                }
            }
            ExecutorAction::ShareCrash(record, age) => {
                for scheduler in &mut self.schedulers {
                    scheduler.on_crash_records(now, &agent(number), [(record.clone(), age)]);
                }
            }
            ExecutorAction::NotifyEntry(to, event) => {
                let to = (0..self.schedulers.len()).find(|number| entry(*number) == to).unwrap();
                self.schedulers[to].on_task_event(now, &agent(number), &event);
            }
        }
    }

    /// Crashes each endpoint that runs a task of a job.
    pub fn crash_endpoints_of(&mut self, id: &str) {
        let until = self.now + self.downtime;
        let runs_job =
            |host: &&mut Host| host.running.keys().any(|run| run.task.request.to_string() == id);
        for host in self.hosts.iter_mut().filter(runs_job) {
            host.crash(until);
        }
    }

    /// Starts a run at a host that no job of the scheduler has ordered.
    pub fn start_beside(&mut self, host: usize, run: TaskRun) {
        let order = TaskOrder {
            run,
            payload: "do it".into(),
            resources: resources(1000),
            expected_work: RUN_TIME,
            start_within: ms(100),
            abandon_after: ms(1000),
            end_within: ms(1400),
            max_per_endpoint: 0,
            priority: 0,
            required_label: None,
        };
        self.hosts[host].executor.on_order(self.now, ReceivedOrder { entry: entry(0), order });
        self.exchange();
    }

    /// Returns the processor time that queued tasks require, in thousandths of a core.
    pub fn queued_cpu(&self) -> u32 {
        self.hosts.iter().map(|host| host.executor.status(self.now).queued.total()).sum()
    }

    /// Returns the time and the answer of each answered job, in the order of the answers.
    pub fn answers(&self) -> &[(Duration, String, Answer)] {
        &self.answers
    }

    pub fn answer_of(&self, id: &str) -> Option<Answer> {
        self.answers.iter().find(|(_, other, _)| other == id).map(|(_, _, answer)| *answer)
    }
}
