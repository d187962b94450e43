//! Tests of tasks that crash the endpoints that start them.
//!
//! A fleet of executors with simulated endpoints runs under one scheduler. An endpoint crashes soon
//! after it has started a deadly task, and is back under a new incarnation after its downtime.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipwing_dispatch::{
    Action, Answer, CrashRole, EndpointReport, EntryId, Executor, ExecutorAction, ExecutorSettings,
    JobSpec, Listing, ReceivedOrder, Resources, RunOutcome, RunStatus, Scheduler, StartOutcome,
    StartRefusal, TaskEnd, TaskEvent, TaskOrder, TaskProgress, TaskRun,
};

use crate::support::{
    SETTINGS, TERMS, WARM_UP, agent, answers, job, ms, orders, resources, scheduler_with, status,
};

const START: Duration = Duration::from_secs(100);
/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Time that each task takes.
const RUN_TIME: Duration = Duration::from_millis(60);
const ENDPOINT_CPU_MILLIS: u32 = 8000;

/// How an endpoint answers the start of a deadly task before it crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LastReply {
    Started,
    None,
}

struct Host {
    executor: Executor,
    incarnation: u64,
    /// Time at which the crashed endpoint is back.
    down_until: Option<Duration>,
    /// Running runs and the times at which they complete.
    running: BTreeMap<TaskRun, Duration>,
    ended: Vec<TaskEnd>,
    end_count: u64,
}

impl Host {
    fn new() -> Self {
        let settings = ExecutorSettings {
            entry_lease: SETTINGS.entry_lease,
            endpoint_lease: SETTINGS.endpoint_lease,
            longest_lease: ms(1000),
        };
        Self {
            executor: Executor::new(settings),
            incarnation: 1,
            down_until: None,
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
        }
    }

    fn report(&self) -> EndpointReport {
        EndpointReport {
            id: format!("i-{}", self.incarnation).into(),
            incarnation: self.incarnation,
            service: "desk".into(),
            capacity: Resources { cpu_millis: ENDPOINT_CPU_MILLIS, memory_mb: 4096, gpus: 0 },
            kind: "a".into(),
            rack: "r1".into(),
            draining: false,
            sequence: 1,
        }
    }

    fn crash(&mut self, until: Duration) {
        self.down_until = Some(until);
        self.incarnation += 1;
        self.running.clear();
        self.ended.clear();
        self.end_count = 0;
    }

    /// Restarts the endpoint if its downtime is over, completes runs, and lists what runs.
    fn advance(&mut self, now: Duration) {
        if self.down_until.is_some_and(|until| now < until) {
            self.executor.on_not_listening();
            return;
        }
        self.down_until = None;
        self.executor.on_report(now, self.report());
        let acked = self.executor.last_acked();
        self.ended.retain(|end| end.sequence > acked);
        let is_done = |until: &Duration| now >= *until;
        for (run, _) in self.running.clone().iter().filter(|(_, until)| is_done(until)) {
            self.end(run, RunOutcome::Done);
        }
        let running = self.running.keys().cloned();
        let listing = Listing {
            requested_at: now,
            incarnation: self.incarnation,
            clock_ms: now.as_millis() as u64,
            running: running.map(|run| TaskProgress { run, percent: 50 }).collect(),
            ended: self.ended.clone(),
        };
        self.executor.on_listing(now, &listing);
    }

    fn end(&mut self, run: &TaskRun, outcome: RunOutcome) {
        if self.running.remove(run).is_some() {
            self.end_count += 1;
            self.ended.push(TaskEnd { sequence: self.end_count, run: run.clone(), outcome });
        }
    }
}

struct Fleet {
    now: Duration,
    scheduler: Scheduler,
    hosts: Vec<Host>,
    /// Payload of the deadly tasks.
    deadly: &'static str,
    last_reply: LastReply,
    downtime: Duration,
    crashes: u32,
    /// Number of orders that entries sent.
    orders: u32,
    answers: Vec<(Duration, String, Answer)>,
}

fn entry() -> EntryId {
    "front-1@1".parse().unwrap()
}

impl Fleet {
    fn new(size: usize, last_reply: LastReply, downtime: Duration) -> Self {
        let mut scheduler = Scheduler::new(SETTINGS);
        scheduler.on_tick(START - WARM_UP);
        for number in 0..size {
            scheduler.on_attached(START - WARM_UP, &agent(number), &[]);
        }
        let mut fleet = Self {
            now: START,
            scheduler,
            hosts: (0..size).map(|_| Host::new()).collect(),
            deadly: "deadly",
            last_reply,
            downtime,
            crashes: 0,
            orders: 0,
            answers: Vec::new(),
        };
        fleet.step();
        fleet
    }

    fn submit(&mut self, spec: JobSpec) {
        self.scheduler.submit(self.now, spec);
        self.exchange();
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for host in &mut self.hosts {
            host.executor.on_entry_heartbeat(&entry(), now);
            host.advance(now);
            host.executor.on_tick(now);
        }
        self.exchange();
        for (number, host) in self.hosts.iter().enumerate() {
            self.scheduler.on_status(now, &agent(number), host.executor.status(now));
        }
        self.scheduler.on_tick(now);
        self.exchange();
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Carries out actions until none is left.
    fn exchange(&mut self) {
        loop {
            let actions = self.scheduler.take_actions();
            let host_actions: Vec<(usize, ExecutorAction)> = (0..self.hosts.len())
                .flat_map(|number| {
                    let actions = self.hosts[number].executor.take_actions();
                    actions.into_iter().map(move |action| (number, action))
                })
                .collect();
            if actions.is_empty() && host_actions.is_empty() {
                return;
            }
            let now = self.now;
            self.answers
                .extend(answers(&actions).into_iter().map(|(id, answer)| (now, id, answer)));
            for action in actions {
                self.carry_out(action);
            }
            for (number, action) in host_actions {
                self.carry_out_at_host(number, action);
            }
        }
    }

    fn host_of(&self, wanted: &cowslipwing_dispatch::AgentId) -> usize {
        (0..self.hosts.len()).find(|number| agent(*number) == *wanted).unwrap()
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Order(to, order) => {
                self.orders += 1;
                let number = self.host_of(&to);
                let received = ReceivedOrder { entry: entry(), order };
                self.hosts[number].executor.on_order(self.now, received);
            }
            Action::Cancel(to, run) => {
                let number = self.host_of(&to);
                self.hosts[number].executor.on_cancel(self.now, &entry(), &run);
            }
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
            ExecutorAction::Start { run, payload, .. } if &*payload == self.deadly => {
                self.crashes += 1;
                host.crash(now + self.downtime);
                let outcome = match self.last_reply {
                    LastReply::Started => StartOutcome::Started,
                    LastReply::None => StartOutcome::NoReply,
                };
                host.executor.on_start_reply(now, &run, outcome);
            }
            ExecutorAction::Start { run, .. } => {
                host.running.entry(run.clone()).or_insert(now + RUN_TIME);
                host.executor.on_start_reply(now, &run, StartOutcome::Started);
            }
            ExecutorAction::Stop(run) => {
                if host.down_until.is_none() {
                    host.end(&run, RunOutcome::Aborted);
                    host.executor.on_stop_confirmed(now, &run);
                }
            }
            ExecutorAction::NotifyEntry(_, event) => {
                self.scheduler.on_task_event(now, &agent(number), &event);
            }
        }
    }

    /// Crashes each endpoint that runs a task of a job.
    fn crash_endpoints_of(&mut self, id: &str) {
        let until = self.now + self.downtime;
        let runs_job =
            |host: &&mut Host| host.running.keys().any(|run| run.task.request.to_string() == id);
        for host in self.hosts.iter_mut().filter(runs_job) {
            host.crash(until);
        }
    }

    /// Starts a run at a host that no job of the scheduler has ordered.
    fn start_beside(&mut self, host: usize, run: TaskRun) {
        let order = TaskOrder {
            run,
            payload: "do it".into(),
            resources: resources(1000),
            expected_work: RUN_TIME,
            start_within: ms(100),
            abandon_after: ms(1000),
            end_within: ms(1400),
            max_per_endpoint: 0,
        };
        self.hosts[host].executor.on_order(self.now, ReceivedOrder { entry: entry(), order });
        self.exchange();
    }

    fn answer_of(&self, id: &str) -> Option<Answer> {
        self.answers.iter().find(|(_, other, _)| other == id).map(|(_, _, answer)| *answer)
    }
}

/// Returns a job of one task whose caller waits for a long time.
fn long_job(id: &str, payload: &str) -> JobSpec {
    let caller_timeout = Duration::from_secs(30);
    JobSpec { payload: payload.into(), caller_timeout, ..job(id, 1, 1000, RUN_TIME) }
}

/// Guards against a task that crashes one endpoint after another until its caller's deadline.
#[test]
fn a_task_that_has_crashed_two_endpoints_is_not_started_again() {
    let mut fleet = Fleet::new(5, LastReply::Started, ms(300));
    fleet.submit(long_job("a1", "deadly"));
    fleet.run_for(Duration::from_secs(10));
    assert_eq!((fleet.crashes, fleet.answer_of("a1")), (2, Some(Answer::Failed)));
}

/// Guards against the same if no start is confirmed before the crash. That the task was started is
/// not known then, so its job is given up but not called failed.
#[test]
fn a_task_that_crashes_endpoints_before_they_confirm_it_is_given_up() {
    let mut fleet = Fleet::new(5, LastReply::None, ms(300));
    fleet.submit(long_job("a1", "deadly"));
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(fleet.crashes, 3);
    assert!(matches!(fleet.answer_of("a1"), Some(Answer::GaveUp { .. })));
}

/// Guards against a job that is called failed although the task was not started at the endpoints
/// that crashed: a start that meets a crash is also the last one.
#[test]
fn a_job_is_failed_only_for_crashes_after_confirmed_starts() {
    use CrashRole::{Bystander, Suspect, Unconfirmed};
    struct Case {
        roles: &'static [CrashRole],
        is_failed: Option<bool>,
    }
    let cases = [
        Case { roles: &[Suspect], is_failed: None },
        Case { roles: &[Suspect, Suspect], is_failed: Some(true) },
        Case { roles: &[Suspect, Bystander], is_failed: None },
        Case { roles: &[Suspect, Bystander, Bystander], is_failed: Some(true) },
        Case { roles: &[Unconfirmed, Suspect], is_failed: None },
        Case { roles: &[Unconfirmed, Unconfirmed], is_failed: None },
        Case { roles: &[Unconfirmed, Suspect, Bystander], is_failed: Some(false) },
        Case { roles: &[Unconfirmed, Unconfirmed, Unconfirmed], is_failed: Some(false) },
    ];
    for Case { roles, is_failed } in cases {
        let mut scheduler = scheduler_with(START, &[status(32_000, 1.0), status(32_000, 1.0)]);
        scheduler.submit(START, long_job("a1", "deadly"));
        let mut actions = scheduler.take_actions();
        for role in roles {
            let (to, order) = orders(&actions).pop().unwrap();
            let event = TaskEvent { run: order.run, status: RunStatus::Crashed(*role) };
            scheduler.on_task_event(START, &to, &event);
            actions = scheduler.take_actions();
        }
        let answer = answers(&actions).pop().map(|(_, answer)| answer);
        assert_eq!(answer.map(|answer| answer == Answer::Failed), is_failed, "{roles:?}");
    }
}

/// Guards against a refusal that says "not run" although a start without an answer has run and
/// crashed its endpoint.
#[test]
fn a_job_whose_unanswered_start_crashed_its_endpoint_is_not_refused() {
    struct Case {
        endpoints: usize,
        downtimes_ms: std::ops::Range<u64>,
        caller_timeout: Duration,
    }
    let cases = [
        // Little or no time is left once the endpoint is back.
        Case { endpoints: 1, downtimes_ms: 300..500, caller_timeout: ms(500) },
        Case { endpoints: 1, downtimes_ms: 1300..1500, caller_timeout: ms(1500) },
        Case { endpoints: 2, downtimes_ms: 8800..9000, caller_timeout: ms(9000) },
        Case { endpoints: 5, downtimes_ms: 300..310, caller_timeout: ms(9000) },
    ];
    for Case { endpoints, downtimes_ms, caller_timeout } in cases {
        for downtime_ms in downtimes_ms.step_by(10) {
            let mut fleet = Fleet::new(endpoints, LastReply::None, ms(downtime_ms));
            fleet.submit(JobSpec { caller_timeout, ..long_job("a1", "deadly") });
            fleet.run_for(caller_timeout);
            let answer = fleet.answer_of("a1");
            let is_true = matches!(answer, Some(Answer::Failed | Answer::GaveUp { .. }));
            assert!(is_true, "{endpoints} endpoints, down for {downtime_ms} ms: {answer:?}");
        }
    }
}

/// Guards against tasks that wait for a crashed endpoint until their callers' deadlines, although
/// others have room.
#[test]
fn a_task_that_ran_at_a_crashed_endpoint_is_run_elsewhere_in_time() {
    let mut fleet = Fleet::new(3, LastReply::Started, Duration::from_secs(3));
    fleet.submit(job("a1", 1, 1000, RUN_TIME));
    fleet.step();
    fleet.crash_endpoints_of("a1");
    let promised = RUN_TIME.mul_f64(TERMS.stretch) + TERMS.target_latency;
    fleet.run_for(promised);
    assert_eq!(fleet.answer_of("a1"), Some(Answer::Completed));
}

/// Guards against tasks that are sent to crashed endpoints again and again, each of which returns
/// them at once.
#[test]
fn a_crashed_endpoint_gets_no_orders() {
    let mut fleet = Fleet::new(3, LastReply::Started, Duration::from_secs(3));
    fleet.submit(job("a1", 1, 1000, RUN_TIME));
    fleet.step();
    fleet.crash_endpoints_of("a1");
    fleet.step();
    fleet.orders = 0;
    for number in 0..20 {
        fleet.submit(job(&format!("b{number}"), 1, 1000, RUN_TIME));
        fleet.step();
    }
    assert_eq!(fleet.orders, 20);
}

/// Guards against a job that is given up because other tasks crashed the endpoints that it ran at.
#[test]
fn a_task_that_ran_beside_two_crashes_is_still_served() {
    let mut fleet = Fleet::new(4, LastReply::Started, Duration::from_secs(3));
    fleet.submit(long_job("a1", "do it"));
    for _ in 0..2 {
        fleet.run_for(ms(20));
        // Another task starts last at the endpoint.
        let host = fleet.hosts.iter().position(|host| !host.running.is_empty()).unwrap();
        let run = TaskRun { task: "b1.0.0".parse().unwrap(), number: 1 };
        fleet.start_beside(host, run);
        fleet.crash_endpoints_of("a1");
    }
    fleet.run_for(ms(200));
    assert_eq!(fleet.answer_of("a1"), Some(Answer::Completed));
}

/// Guards against a queue whose tasks crash endpoint after endpoint for the callers of all queues: a
/// tenth of its jobs is deadly, which alone would keep all endpoints down.
#[test]
fn a_queue_with_deadly_tasks_leaves_endpoints_to_the_others() {
    const SECONDS: u64 = 10;
    /// Time in which the entry learns of the deadly tasks and the endpoints come back.
    const LEARNING_SECONDS: u64 = 5;
    let mut fleet = Fleet::new(11, LastReply::Started, ms(3200));
    let mut sent_late = Vec::new();
    for step in 0..SECONDS * 200 {
        if step % 6 == 0 {
            let payload = if step % 60 == 0 { "deadly" } else { "do it" };
            let spec = job(&format!("a{step}"), 4, 3000, RUN_TIME);
            fleet.submit(JobSpec { queue: "deadly".into(), payload: payload.into(), ..spec });
        }
        if step % 2 == 0 {
            let id = format!("b{step}");
            fleet.submit(job(&id, 1, 2000, RUN_TIME));
            if step >= LEARNING_SECONDS * 200 {
                sent_late.push(id);
            }
        }
        fleet.step();
    }
    fleet.run_for(Duration::from_secs(2));
    let is_completed = |id: &&String| fleet.answer_of(id) == Some(Answer::Completed);
    let completed = sent_late.iter().filter(is_completed).count();
    let share = completed as f64 / sent_late.len() as f64;
    assert!(
        share > 0.95,
        "{completed} of {} completed; {} crashes",
        sent_late.len(),
        fleet.crashes
    );
}
