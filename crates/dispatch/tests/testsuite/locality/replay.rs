//! Replays arrivals of tasks that name a rack, with several policies of waiting for it.
//!
//! Every task that starts too late for its objective is dropped, whatever the policy is, so that a
//! policy does not lose by the lack of an admission check.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipwing_dispatch::{
    Action, Decision, EndpointStatus, JobSpec, RunStatus, Scheduler, TaskEvent, TaskRun,
};

use crate::support::{SETTINGS, WARM_UP, agent, job, ms, resources, status};

const START: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(5);
const RACKS: usize = 4;
const ENDPOINTS: usize = 8;
const SLOTS: usize = 8;
const REMOTE_RATIO: f64 = 2.0;
/// Time from an order to the start, and from the end to the answer, together.
const TRANSFER: Duration = Duration::from_millis(12);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The scheduler decides.
    Scheduler,
    /// A task waits for this time until a near place is free.
    FixedWait(Duration),
}

/// The load of a replay.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    pub per_second: f64,
    /// Share of the tasks that name the first rack; the others name any rack.
    pub hot_share: f64,
    pub seed: u64,
    /// Number of entries, which do not know of each other's waiting tasks.
    pub entries: usize,
}

/// What a replay has shown.
#[derive(Debug, Default, PartialEq)]
pub struct Outcome {
    pub tasks: u32,
    pub in_time: u32,
    pub near: u32,
    /// Work of all tasks, and of those in time.
    pub work: Duration,
    pub work_in_time: Duration,
    pub waits: u32,
    pub waits_lost: u32,
}

impl Outcome {
    pub fn share_of_work_in_time(&self) -> f64 {
        self.work_in_time.as_secs_f64() / self.work.as_secs_f64()
    }

    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.tasks)
    }
}

struct Job {
    arrived: Duration,
    rack: usize,
    work: Duration,
    run: Option<TaskRun>,
}

#[derive(Default)]
struct Host {
    running: Vec<(Duration, usize)>,
    queue: VecDeque<usize>,
    /// Number of orders from each entry.
    orders: Vec<u64>,
}

struct Replay {
    now: Duration,
    jobs: Vec<Job>,
    hosts: Vec<Host>,
    /// One for each entry.
    schedulers: Vec<Scheduler>,
    outcome: Outcome,
}

/// A linear congruential generator; returns numbers from 0 to 1.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn rack_of(host: usize) -> usize {
    host % RACKS
}

fn rack_name(rack: usize) -> String {
    format!("r{rack}")
}

fn spec_of(index: usize, job: &Job) -> JobSpec {
    let mut spec = self::job(&format!("j{index:05}"), 1, 1000, job.work);
    spec.steps[0].data_rack = Some(rack_name(job.rack).into());
    spec
}

/// Replays 6 s of arrivals.
pub fn replay(policy: Policy, arrivals: Arrivals) -> Outcome {
    let mut random = Random(arrivals.seed);
    let mut settings = SETTINGS;
    settings.remote_run_time_ratio = REMOTE_RATIO;
    let new_scheduler = || {
        let mut scheduler = Scheduler::new(settings);
        scheduler.on_tick(START - WARM_UP);
        (0..ENDPOINTS).for_each(|host| scheduler.on_attached(START - WARM_UP, &agent(host), &[]));
        scheduler
    };
    let schedulers = (0..arrivals.entries).map(|_| new_scheduler()).collect();
    let new_host = || Host { orders: vec![0; arrivals.entries], ..Host::default() };
    let hosts = (0..ENDPOINTS).map(|_| new_host()).collect();
    let outcome = Outcome::default();
    let mut replay = Replay { now: START, jobs: Vec::new(), hosts, schedulers, outcome };
    let mut next_arrival = START + STEP;
    let mut held: Vec<usize> = Vec::new();
    while replay.now < START + Duration::from_secs(8) {
        replay.end_runs();
        replay.report();
        while next_arrival <= replay.now && replay.now < START + Duration::from_secs(6) {
            next_arrival += Duration::from_secs_f64(-random.next().ln() / arrivals.per_second);
            let rack =
                if random.next() < arrivals.hot_share { 0 } else { (random.next() * 4.0) as usize };
            let work = Duration::from_secs_f64(0.04 + 0.36 * random.next());
            replay.jobs.push(Job { arrived: replay.now, rack, work, run: None });
            held.push(replay.jobs.len() - 1);
        }
        match policy {
            Policy::Scheduler => replay.submit(std::mem::take(&mut held)),
            Policy::FixedWait(wait) => held.retain(|index| !replay.place(*index, wait)),
        }
        replay.now += STEP;
    }
    replay.outcome.work = replay.jobs.iter().map(|job| job.work).sum();
    replay.outcome.tasks = replay.jobs.len() as u32;
    replay.outcome
}

impl Replay {
    fn run_time(&self, host: usize, index: usize) -> Duration {
        let job = &self.jobs[index];
        job.work.mul_f64(if rack_of(host) == job.rack { 1.0 } else { REMOTE_RATIO })
    }

    fn end_runs(&mut self) {
        for host in 0..ENDPOINTS {
            let now = self.now;
            let (ended, running): (Vec<_>, Vec<_>) =
                self.hosts[host].running.drain(..).partition(|(end, _)| *end <= now);
            self.hosts[host].running = running;
            for (end, index) in ended {
                let job = &self.jobs[index];
                let objective = job.work.mul_f64(1.6) + ms(60);
                let is_in_time = end + TRANSFER <= job.arrived + objective;
                self.outcome.in_time += u32::from(is_in_time);
                self.outcome.work_in_time += job.work * u32::from(is_in_time);
                self.outcome.near += u32::from(rack_of(host) == job.rack);
                if let Some(run) = job.run.clone() {
                    let status = RunStatus::Done(self.run_time(host, index));
                    let event = TaskEvent { run, status };
                    self.scheduler_of(index).on_task_event(now, &agent(host), &event);
                }
            }
            self.start_queued(host);
        }
        self.carry_out();
    }

    fn start_queued(&mut self, host: usize) {
        while self.hosts[host].running.len() < SLOTS {
            let Some(index) = self.hosts[host].queue.pop_front() else {
                return;
            };
            let end = self.now + self.run_time(host, index);
            let job = &self.jobs[index];
            if end + TRANSFER <= job.arrived + job.work.mul_f64(1.6) + ms(60) {
                self.hosts[host].running.push((end, index));
            } else if let Some(run) = job.run.clone() {
                self.scheduler_of(index).cancel(&run.task.request);
            }
        }
    }

    fn scheduler_of(&mut self, index: usize) -> &mut Scheduler {
        let entries = self.schedulers.len();
        &mut self.schedulers[index % entries]
    }

    fn status(&self, host: usize, entry: usize) -> EndpointStatus {
        let Host { running, queue, orders } = &self.hosts[host];
        let mut status = status(1000 * SLOTS as u32, 1.0);
        status.rack = rack_name(rack_of(host)).into();
        running.iter().for_each(|_| status.free.reserve(resources(1000)));
        queue.iter().for_each(|_| status.queued.add(Some(ms(100)), 1000));
        let left: Duration = running.iter().map(|(end, _)| *end - self.now).sum();
        status.mean_remaining = left / running.len().max(1) as u32;
        status.orders_seen = orders[entry];
        status
    }

    fn report(&mut self) {
        for entry in 0..self.schedulers.len() {
            for host in 0..ENDPOINTS {
                let status = self.status(host, entry);
                self.schedulers[entry].on_status(self.now, &agent(host), status);
            }
            self.schedulers[entry].on_tick(self.now);
        }
        self.carry_out();
    }

    fn submit(&mut self, indices: Vec<usize>) {
        for index in indices {
            let spec = spec_of(index, &self.jobs[index]);
            let now = self.now;
            self.scheduler_of(index).submit(now, spec);
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        let actions: Vec<Action> =
            self.schedulers.iter_mut().flat_map(Scheduler::take_actions).collect();
        for action in actions {
            match action {
                Action::Order(to, order) => {
                    let host = (0..ENDPOINTS).find(|host| agent(*host) == to).unwrap();
                    let index: usize = order.run.task.request.to_string()[1..].parse().unwrap();
                    self.jobs[index].run = Some(order.run);
                    let entry = index % self.schedulers.len();
                    self.hosts[host].orders[entry] += 1;
                    self.hosts[host].queue.push_back(index);
                    self.start_queued(host);
                }
                Action::Record(Decision::NearWaitBegun { .. }) => self.outcome.waits += 1,
                Action::Record(Decision::NearWaitLost { .. }) => self.outcome.waits_lost += 1,
                _ => {}
            }
        }
    }

    /// Places a task on the near rack if it has room, or after the wait on any host with room or
    /// with the shortest queue; returns whether it was placed.
    fn place(&mut self, index: usize, wait: Duration) -> bool {
        let Job { arrived, rack, .. } = self.jobs[index];
        let claimed =
            |host: &usize| self.hosts[*host].running.len() + self.hosts[*host].queue.len();
        let near = (0..ENDPOINTS).filter(|host| rack_of(*host) == rack).min_by_key(claimed);
        let near = near.filter(|host| claimed(host) < SLOTS);
        let is_over = self.now >= arrived + wait;
        let any = (0..ENDPOINTS).min_by_key(claimed).filter(|_| is_over);
        let Some(host) = near.or(any) else {
            return false;
        };
        self.hosts[host].queue.push_back(index);
        self.start_queued(host);
        true
    }
}
