//! Simulates the policy of the daemons: workers grant credits to entries, and an entry binds a task
//! to a worker only when it has a credit of that worker.
//!
//! The decisions are made by the same code as in the daemons ([`AdmissionCheck`], [`Dispatcher`]
//! and [`CreditIssuer`]); only workers, links and time are simulated.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use cowslipwing_fold::Terms;
use cowslipwing_policy::{
    AdmissionCheck, Capacity, CreditIssuer, Dispatcher, JobLimits, QueuedJob, Requirements,
    TaskResult,
};
use cowslipwing_types::{ByteSize, CustomerName, EntryId, Incarnation};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::events::{EventQueue, Outcome, Progress};
use crate::ideal::run_time;
use crate::profile::{Cluster, FAILURE_TIME};
use crate::report::DETECTION_FAILURES;
use crate::workload::{DEADLINE, Job};

/// Interval at which an entry with open jobs or unused credits drops expired jobs and sends tasks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Length of a worker's queue as a fraction of its slots.
const QUEUE_FRACTION: f64 = 0.0;
const LIMITS: JobLimits =
    JobLimits { tasks_per_job: 1000, open_jobs: 1, open_memory: ByteSize::new(1 << 20) };
const CUSTOMERS: [&str; 2] = ["modest", "greedy"];

#[derive(Clone, Debug, Eq, PartialEq)]
struct JobRef {
    job: usize,
}

impl QueuedJob for JobRef {
    fn requirements(&self) -> Requirements {
        Requirements::default()
    }
}

enum Event {
    JobArrived(usize),
    Poll { entry: usize },
    CreditsRequested { entry: usize, worker: usize, credits: u32 },
    CreditsReturned { entry: usize, worker: usize, credits: u32 },
    CreditsGranted { entry: usize, worker: usize, credits: u32 },
    OrderArrived { entry: usize, worker: usize, job: usize, task: usize },
    TaskEnded { entry: usize, worker: usize, job: usize, task: usize },
    EndReported { entry: usize, worker: usize, job: usize, task: usize, took: Duration, ok: bool },
}

struct Entry {
    dispatcher: Dispatcher<JobRef, (usize, usize)>,
    /// The open jobs with unsent tasks, each with the indexes of these tasks; the next one is last.
    unsent: Vec<(usize, Vec<usize>)>,
    /// The number of jobs with tasks that have not ended.
    open_jobs: u32,
}

struct Worker {
    issuer: CreditIssuer,
    /// The entry, the job and the task of each queued order.
    queue: VecDeque<(usize, usize, usize)>,
    running: u32,
}

struct Simulation<'a> {
    cluster: &'a Cluster,
    jobs: &'a [Job],
    /// The instant that corresponds to the start of the run.
    origin: Instant,
    events: EventQueue<Event>,
    entries: Vec<Entry>,
    workers: Vec<Worker>,
    entry_ids: Vec<EntryId>,
    worker_ids: Vec<Incarnation>,
    customers: Vec<CustomerName>,
    terms: Terms,
    progress: Progress,
    outcome: Outcome,
    /// The number of tasks that failed.
    failures: u64,
    /// The time of the last message on each route: entry, worker, and whether the entry is the
    /// sender.
    last_sent: HashMap<(usize, usize, bool), Duration>,
    rng: StdRng,
}

/// Runs the jobs and returns the outcome.
pub fn run(cluster: &Cluster, jobs: &[Job], seed: u64) -> Outcome {
    let mut simulation = Simulation::new(cluster, jobs, seed);
    for (index, job) in jobs.iter().enumerate() {
        simulation.events.push(job.arrival, Event::JobArrived(index));
    }
    while let Some((now, event)) = simulation.events.pop() {
        simulation.on_event(now, event);
    }
    simulation.outcome
}

impl<'a> Simulation<'a> {
    fn new(cluster: &'a Cluster, jobs: &'a [Job], seed: u64) -> Self {
        let name = |kind: &str, number: usize| format!("{kind}-{number}@1");
        let worker_ids: Vec<Incarnation> = (0..cluster.workers.len())
            .map(|number| name("worker", number).parse().expect("the name is valid"))
            .collect();
        let entry_ids =
            (0..cluster.entries).map(|n| name("entry", n).parse().expect("the name is valid"));
        let customers: Vec<CustomerName> =
            CUSTOMERS.iter().map(|name| name.parse().expect("the name is valid")).collect();
        let entries = (0..cluster.entries)
            .map(|_| Entry {
                dispatcher: new_dispatcher(cluster, &worker_ids, &customers),
                unsent: Vec::new(),
                open_jobs: 0,
            })
            .collect();
        let workers = cluster.workers.iter().map(|worker| {
            let queue = (f64::from(worker.slots) * QUEUE_FRACTION) as u32;
            Worker {
                issuer: CreditIssuer::new(worker.slots + queue),
                queue: VecDeque::new(),
                running: 0,
            }
        });
        Self {
            cluster,
            jobs,
            origin: Instant::now(),
            events: EventQueue::new(),
            entries,
            workers: workers.collect(),
            entry_ids: entry_ids.collect(),
            worker_ids,
            customers,
            terms: Terms {
                share: 1,
                concurrency: 1,
                deadline: DEADLINE,
                refusals: "5%".parse().expect("the percentage is valid"),
                open_jobs: 1,
            },
            progress: Progress::new(jobs.iter().map(|job| job.tasks.len())),
            outcome: Outcome { response_times: vec![None; jobs.len()], ..Outcome::default() },
            failures: 0,
            last_sent: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn on_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::JobArrived(job) => self.on_job_arrived(now, job),
            Event::Poll { entry } => self.on_poll(now, entry),
            Event::CreditsRequested { entry, worker, credits } => {
                let (at, id) = (self.origin + now, &self.entry_ids[entry]);
                self.workers[worker].issuer.set_demand(at, id, credits);
                self.issue_credits(now, worker);
            }
            Event::CreditsReturned { entry, worker, credits } => {
                self.workers[worker].issuer.on_returned(&self.entry_ids[entry], credits);
                self.issue_credits(now, worker);
            }
            Event::CreditsGranted { entry, worker, credits } => {
                self.entries[entry].dispatcher.on_credits(&self.worker_ids[worker], credits);
                self.dispatch(now, entry);
            }
            Event::OrderArrived { entry, worker, job, task } => {
                self.on_order(now, entry, worker, job, task)
            }
            Event::TaskEnded { entry, worker, job, task } => {
                self.on_task_ended(now, entry, worker, job, task)
            }
            Event::EndReported { entry, worker, job, task, took, ok } => {
                self.on_report(now, entry, worker, (job, task), took, ok);
            }
        }
    }

    fn on_job_arrived(&mut self, now: Duration, job_index: usize) {
        let job = &self.jobs[job_index];
        let entry = &mut self.entries[job.entry];
        let customer = &self.customers[job.customer];
        let cost = entry.dispatcher.estimates.get(customer, "task", Some(job.declared));
        let queue_delay = entry.dispatcher.queue_delay(
            customer,
            cost * job.tasks.len() as u32,
            self.cluster.entries as u32,
        );
        let admission = AdmissionCheck {
            open_jobs: 0,
            open_memory: ByteSize::new(0),
            job_memory: ByteSize::new(0),
            customer_open_jobs: 0,
            queue_delay,
            longest_task: cost,
            time_left: DEADLINE,
        };
        if admission.check(1, &self.terms, &LIMITS).is_err() {
            self.outcome.refused += 1;
            return;
        }
        let count = job.tasks.len();
        entry.unsent.push((job_index, (0..count).rev().collect()));
        entry.dispatcher.queue.push(customer, JobRef { job: job_index }, count as u32, cost);
        entry.open_jobs += 1;
        if entry.open_jobs == 1 {
            self.events.push(now + POLL_INTERVAL, Event::Poll { entry: job.entry });
        }
        self.dispatch(now, job.entry);
    }

    fn on_poll(&mut self, now: Duration, entry: usize) {
        self.drop_expired_jobs(now, entry);
        self.dispatch(now, entry);
        let dispatcher = &self.entries[entry].dispatcher;
        if self.entries[entry].open_jobs > 0 || dispatcher.placement.credits() > 0 {
            self.events.push(now + POLL_INTERVAL, Event::Poll { entry });
        }
    }

    /// Drops the unsent tasks of jobs whose deadline has passed.
    fn drop_expired_jobs(&mut self, now: Duration, entry_index: usize) {
        let jobs = self.jobs;
        let entry = &mut self.entries[entry_index];
        let is_expired = |job: usize| now > jobs[job].arrival + DEADLINE;
        let expired: Vec<(usize, Vec<usize>)> =
            entry.unsent.extract_if(.., |(job, _)| is_expired(*job)).collect();
        for (job, tasks) in expired {
            let customer = &self.customers[jobs[job].customer];
            entry.dispatcher.queue.remove(customer, &JobRef { job });
            for _ in &tasks {
                self.progress.on_task_ended(job, false);
            }
            if !tasks.is_empty() {
                entry.open_jobs -= 1;
            }
        }
    }

    fn dispatch(&mut self, now: Duration, entry_index: usize) {
        let at = self.origin + now;
        let latency = self.cluster.link_latency;
        let entry = &mut self.entries[entry_index];
        while let Some((customer, queued, agent)) =
            entry.dispatcher.assign_next(at, |_| true, |_, _| true)
        {
            let job = queued.job;
            let unsent = entry.unsent.iter_mut().find(|(open, _)| *open == job);
            let Some(task) = unsent.and_then(|(_, tasks)| tasks.pop()) else {
                entry.dispatcher.cancel_assignment(&customer, &agent);
                continue;
            };
            let declared = Some(self.jobs[job].declared);
            entry.dispatcher.on_sent(&agent, &customer, (job, task), "task", declared);
            let worker = self.worker_ids.binary_search(&agent).expect("the worker exists");
            self.outcome.starts += 1;
            count_message(&mut self.last_sent, &mut self.outcome, now, (entry_index, worker, true));
            self.events
                .push(now + latency, Event::OrderArrived { entry: entry_index, worker, job, task });
        }
        entry.unsent.retain(|(_, tasks)| !tasks.is_empty());
        let first: u32 = self.rng.random();
        for (agent, credits) in entry.dispatcher.plan_credit_requests(at, first as usize) {
            let worker = self.worker_ids.binary_search(&agent).expect("the worker exists");
            count_message(&mut self.last_sent, &mut self.outcome, now, (entry_index, worker, true));
            self.events.push(
                now + latency,
                Event::CreditsRequested { entry: entry_index, worker, credits },
            );
        }
        for (agent, credits) in entry.dispatcher.take_idle_credits(at) {
            let worker = self.worker_ids.binary_search(&agent).expect("the worker exists");
            count_message(&mut self.last_sent, &mut self.outcome, now, (entry_index, worker, true));
            self.events.push(
                now + latency,
                Event::CreditsReturned { entry: entry_index, worker, credits },
            );
        }
    }

    fn issue_credits(&mut self, now: Duration, worker: usize) {
        for (id, credits) in self.workers[worker].issuer.issue(self.origin + now) {
            let entry = self.entry_ids.binary_search(&id).expect("the entry exists");
            count_message(&mut self.last_sent, &mut self.outcome, now, (entry, worker, false));
            self.events.push(
                now + self.cluster.link_latency,
                Event::CreditsGranted { entry, worker, credits },
            );
        }
    }

    fn on_order(&mut self, now: Duration, entry: usize, worker: usize, job: usize, task: usize) {
        let state = &mut self.workers[worker];
        state.issuer.on_start(&self.entry_ids[entry]);
        state.queue.push_back((entry, job, task));
        self.start_queued(now, worker);
    }

    fn start_queued(&mut self, now: Duration, worker: usize) {
        while self.workers[worker].running < self.cluster.workers[worker].slots {
            let Some((entry, job, task)) = self.workers[worker].queue.pop_front() else {
                return;
            };
            self.workers[worker].running += 1;
            let duration = match self.cluster.workers[worker].fails {
                true => FAILURE_TIME,
                false => run_time(self.cluster, worker, self.jobs[job].tasks[task]),
            };
            self.events.push(now + duration, Event::TaskEnded { entry, worker, job, task });
        }
    }

    fn on_task_ended(
        &mut self,
        now: Duration,
        entry: usize,
        worker: usize,
        job: usize,
        task: usize,
    ) {
        let ok = !self.cluster.workers[worker].fails;
        self.outcome.succeeded += u64::from(ok);
        if !ok {
            self.failures += 1;
            self.outcome.swallowed += u64::from(self.failures > DETECTION_FAILURES);
        }
        self.workers[worker].running -= 1;
        self.workers[worker].issuer.on_end();
        count_message(&mut self.last_sent, &mut self.outcome, now, (entry, worker, false));
        let took = run_time(self.cluster, worker, self.jobs[job].tasks[task]);
        let report = Event::EndReported { entry, worker, job, task, took, ok };
        self.events.push(now + self.cluster.link_latency, report);
        self.start_queued(now, worker);
        self.issue_credits(now, worker);
    }

    fn on_report(
        &mut self,
        now: Duration,
        entry_index: usize,
        worker: usize,
        (job, task): (usize, usize),
        took: Duration,
        ok: bool,
    ) {
        let entry = &mut self.entries[entry_index];
        let ending = if ok { TaskResult::Succeeded(took) } else { TaskResult::Failed };
        entry.dispatcher.on_ended(
            self.origin + now,
            &self.worker_ids[worker],
            &(job, task),
            ending,
        );
        if self.progress.on_task_ended(job, ok) {
            self.outcome.on_completed(&self.jobs[job], job, now);
        }
        if self.progress.is_finished(job) {
            entry.open_jobs = entry.open_jobs.saturating_sub(1);
        }
        self.dispatch(now, entry_index);
    }
}

/// Counts a message. Messages that are sent on one route at the same time form a batch, which
/// counts as one.
fn count_message(
    last_sent: &mut HashMap<(usize, usize, bool), Duration>,
    outcome: &mut Outcome,
    now: Duration,
    route: (usize, usize, bool),
) {
    if last_sent.insert(route, now) != Some(now) {
        outcome.messages += 1;
    }
}

fn new_dispatcher(
    cluster: &Cluster,
    worker_ids: &[Incarnation],
    customers: &[CustomerName],
) -> Dispatcher<JobRef, (usize, usize)> {
    const UNLIMITED: u32 = 1 << 20;
    let mut dispatcher = Dispatcher::default();
    for (id, worker) in worker_ids.iter().zip(&cluster.workers) {
        let capacity = Capacity { cores: 1, memory_mb: 1, slots: worker.slots };
        dispatcher.placement.set_agent(id, capacity, false);
        dispatcher.placement.set_connected(id, true);
    }
    for customer in customers {
        dispatcher.queue.set_terms(customer, 1, UNLIMITED);
    }
    dispatcher
}
