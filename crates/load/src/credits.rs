//! The policy of the daemons: credits from agents, late binding at the owner.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use cowslipwing_fold::Terms;
use cowslipwing_policy::{
    Admission, Capacity, CreditIssuer, Dispatcher, Ending, Limits, Need, Waiting,
};
use cowslipwing_types::{CustomerName, EntryId, Incarnation};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::events::{Events, Outcome, Progress};
use crate::ideal::run_time;
use crate::profile::World;
use crate::report::FIRST_FAILURES;
use crate::workload::{DEADLINE, Job};

/// Time between two looks of an entry that nothing has woken.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Part of a worker's slots that may wait in its queue.
const QUEUE_PART: f64 = 0.0;
const LIMITS: Limits = Limits { tasks_per_job: 1000, open_jobs: 1 };
const CUSTOMERS: [&str; 2] = ["modest", "greedy"];

#[derive(Clone, Debug, Eq, PartialEq)]
struct Queued {
    job: usize,
}

impl Waiting for Queued {
    fn need(&self) -> Need {
        Need::default()
    }
}

enum Event {
    Arrive(usize),
    Look { entry: usize },
    Ask { entry: usize, worker: usize, credits: u32 },
    Return { entry: usize, worker: usize, credits: u32 },
    Grant { entry: usize, worker: usize, credits: u32 },
    Start { entry: usize, worker: usize, job: usize, task: usize },
    End { entry: usize, worker: usize, job: usize, task: usize },
    Report { entry: usize, worker: usize, job: usize, task: usize, ran: Duration, ok: bool },
}

struct Entry {
    dispatcher: Dispatcher<Queued, (usize, usize)>,
    /// Tasks of each open job that have not been sent, the next one last.
    unsent: Vec<(usize, Vec<usize>)>,
    open: u32,
}

struct Worker {
    issuer: CreditIssuer,
    queue: VecDeque<(usize, usize, usize)>,
    running: u32,
}

struct Run<'a> {
    world: &'a World,
    jobs: &'a [Job],
    base: Instant,
    events: Events<Event>,
    entries: Vec<Entry>,
    workers: Vec<Worker>,
    entry_ids: Vec<EntryId>,
    worker_ids: Vec<Incarnation>,
    customers: Vec<CustomerName>,
    terms: Terms,
    progress: Progress,
    outcome: Outcome,
    failures: u64,
    /// When a message last left for each entry and worker, and the other way.
    last_sent: HashMap<(usize, usize, bool), Duration>,
    rng: StdRng,
}

/// Runs the jobs.
pub fn run(world: &World, jobs: &[Job], seed: u64) -> Outcome {
    let mut run = Run::new(world, jobs, seed);
    for (number, job) in jobs.iter().enumerate() {
        run.events.push(job.at, Event::Arrive(number));
    }
    while let Some((now, event)) = run.events.pop() {
        run.take(now, event);
    }
    run.outcome
}

impl<'a> Run<'a> {
    fn new(world: &'a World, jobs: &'a [Job], seed: u64) -> Self {
        let name = |kind: &str, number: usize| format!("{kind}-{number}@1");
        let worker_ids: Vec<Incarnation> = (0..world.workers.len())
            .map(|number| name("worker", number).parse().expect("a name"))
            .collect();
        let entry_ids = (0..world.entries).map(|n| name("entry", n).parse().expect("a name"));
        let customers: Vec<CustomerName> =
            CUSTOMERS.iter().map(|name| name.parse().expect("a name")).collect();
        let entries = (0..world.entries)
            .map(|_| Entry {
                dispatcher: new_dispatcher(world, &worker_ids, &customers),
                unsent: Vec::new(),
                open: 0,
            })
            .collect();
        let workers = world.workers.iter().map(|worker| {
            let queue = (f64::from(worker.slots) * QUEUE_PART) as u32;
            Worker {
                issuer: CreditIssuer::new(worker.slots + queue),
                queue: VecDeque::new(),
                running: 0,
            }
        });
        Self {
            world,
            jobs,
            base: Instant::now(),
            events: Events::new(),
            entries,
            workers: workers.collect(),
            entry_ids: entry_ids.collect(),
            worker_ids,
            customers,
            terms: Terms {
                share: 1,
                concurrency: 1,
                deadline: DEADLINE,
                refusals: "5%".parse().expect("a percentage"),
                open_jobs: 1,
            },
            progress: Progress::new(jobs.iter().map(|job| job.tasks.len())),
            outcome: Outcome { responses: vec![None; jobs.len()], ..Outcome::default() },
            failures: 0,
            last_sent: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn take(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(now, job),
            Event::Look { entry } => self.look(now, entry),
            Event::Ask { entry, worker, credits } => {
                let (at, id) = (self.base + now, &self.entry_ids[entry]);
                self.workers[worker].issuer.set_demand(at, id, credits);
                self.grant(now, worker);
            }
            Event::Return { entry, worker, credits } => {
                self.workers[worker].issuer.on_returned(&self.entry_ids[entry], credits);
                self.grant(now, worker);
            }
            Event::Grant { entry, worker, credits } => {
                self.entries[entry].dispatcher.on_credits(&self.worker_ids[worker], credits);
                self.dispatch(now, entry);
            }
            Event::Start { entry, worker, job, task } => self.start(now, entry, worker, job, task),
            Event::End { entry, worker, job, task } => self.end(now, entry, worker, job, task),
            Event::Report { entry, worker, job, task, ran, ok } => {
                self.report(now, entry, worker, (job, task), ran, ok);
            }
        }
    }

    fn arrive(&mut self, now: Duration, number: usize) {
        let job = &self.jobs[number];
        let entry = &mut self.entries[job.entry];
        let customer = &self.customers[job.customer];
        let cost = entry.dispatcher.estimates.get(customer, "task", Some(job.declared));
        let ahead = entry.dispatcher.ahead(
            customer,
            cost * job.tasks.len() as u32,
            self.world.entries as u32,
        );
        let admission = Admission {
            open_jobs: 0,
            customer_open_jobs: 0,
            ahead,
            longest: cost,
            time_left: DEADLINE,
        };
        if admission.judge(1, &self.terms, &LIMITS).is_err() {
            self.outcome.refused += 1;
            return;
        }
        let count = job.tasks.len();
        entry.unsent.push((number, (0..count).rev().collect()));
        entry.dispatcher.queue.push(customer, Queued { job: number }, count as u32, cost);
        entry.open += 1;
        if entry.open == 1 {
            self.events.push(now + LOOK_INTERVAL, Event::Look { entry: job.entry });
        }
        self.dispatch(now, job.entry);
    }

    fn look(&mut self, now: Duration, entry: usize) {
        self.drop_late(now, entry);
        self.dispatch(now, entry);
        let dispatcher = &self.entries[entry].dispatcher;
        if self.entries[entry].open > 0 || dispatcher.placement.credits() > 0 {
            self.events.push(now + LOOK_INTERVAL, Event::Look { entry });
        }
    }

    /// Ends jobs whose deadline has passed while tasks of theirs still wait.
    fn drop_late(&mut self, now: Duration, number: usize) {
        let jobs = self.jobs;
        let entry = &mut self.entries[number];
        let is_late = |job: usize| now > jobs[job].at + DEADLINE;
        let late: Vec<(usize, Vec<usize>)> =
            entry.unsent.extract_if(.., |(job, _)| is_late(*job)).collect();
        for (job, tasks) in late {
            let customer = &self.customers[jobs[job].customer];
            entry.dispatcher.queue.remove(customer, &Queued { job });
            for _ in &tasks {
                self.progress.end(job, false);
            }
            if !tasks.is_empty() {
                entry.open -= 1;
            }
        }
    }

    fn dispatch(&mut self, now: Duration, number: usize) {
        let at = self.base + now;
        let link = self.world.link;
        let entry = &mut self.entries[number];
        while let Some((customer, queued, agent)) = entry.dispatcher.next(at, |_| true, |_, _| true)
        {
            let job = queued.job;
            let unsent = entry.unsent.iter_mut().find(|(open, _)| *open == job);
            let Some(task) = unsent.and_then(|(_, tasks)| tasks.pop()) else {
                entry.dispatcher.on_unused(&customer, &agent);
                continue;
            };
            let declared = Some(self.jobs[job].declared);
            entry.dispatcher.on_sent(&agent, &customer, (job, task), "task", declared);
            let worker = self.worker_ids.binary_search(&agent).expect("a known worker");
            self.outcome.starts += 1;
            count_message(&mut self.last_sent, &mut self.outcome, now, (number, worker, true));
            self.events.push(now + link, Event::Start { entry: number, worker, job, task });
        }
        entry.unsent.retain(|(_, tasks)| !tasks.is_empty());
        let start: u32 = self.rng.random();
        for (agent, credits) in entry.dispatcher.asks(at, start as usize) {
            let worker = self.worker_ids.binary_search(&agent).expect("a known worker");
            count_message(&mut self.last_sent, &mut self.outcome, now, (number, worker, true));
            self.events.push(now + link, Event::Ask { entry: number, worker, credits });
        }
        for (agent, credits) in entry.dispatcher.returns(at) {
            let worker = self.worker_ids.binary_search(&agent).expect("a known worker");
            count_message(&mut self.last_sent, &mut self.outcome, now, (number, worker, true));
            self.events.push(now + link, Event::Return { entry: number, worker, credits });
        }
    }

    fn grant(&mut self, now: Duration, worker: usize) {
        for (id, credits) in self.workers[worker].issuer.issue(self.base + now) {
            let entry = self.entry_ids.binary_search(&id).expect("a known entry");
            count_message(&mut self.last_sent, &mut self.outcome, now, (entry, worker, false));
            self.events.push(now + self.world.link, Event::Grant { entry, worker, credits });
        }
    }

    fn start(&mut self, now: Duration, entry: usize, worker: usize, job: usize, task: usize) {
        let state = &mut self.workers[worker];
        state.issuer.on_start(&self.entry_ids[entry]);
        state.queue.push_back((entry, job, task));
        self.begin(now, worker);
    }

    fn begin(&mut self, now: Duration, worker: usize) {
        while self.workers[worker].running < self.world.workers[worker].slots {
            let Some((entry, job, task)) = self.workers[worker].queue.pop_front() else {
                return;
            };
            self.workers[worker].running += 1;
            let takes = match self.world.workers[worker].fails {
                true => Duration::from_millis(1),
                false => run_time(self.world, worker, self.jobs[job].tasks[task]),
            };
            self.events.push(now + takes, Event::End { entry, worker, job, task });
        }
    }

    fn end(&mut self, now: Duration, entry: usize, worker: usize, job: usize, task: usize) {
        let ok = !self.world.workers[worker].fails;
        self.outcome.succeeded += u64::from(ok);
        if !ok {
            self.failures += 1;
            self.outcome.swallowed += u64::from(self.failures > FIRST_FAILURES);
        }
        self.workers[worker].running -= 1;
        self.workers[worker].issuer.on_end();
        count_message(&mut self.last_sent, &mut self.outcome, now, (entry, worker, false));
        let ran = run_time(self.world, worker, self.jobs[job].tasks[task]);
        let report = Event::Report { entry, worker, job, task, ran, ok };
        self.events.push(now + self.world.link, report);
        self.begin(now, worker);
        self.grant(now, worker);
    }

    fn report(
        &mut self,
        now: Duration,
        number: usize,
        worker: usize,
        (job, task): (usize, usize),
        ran: Duration,
        ok: bool,
    ) {
        let entry = &mut self.entries[number];
        let ending = if ok { Ending::Succeeded(ran) } else { Ending::Failed };
        entry.dispatcher.on_ended(self.base + now, &self.worker_ids[worker], &(job, task), ending);
        if self.progress.end(job, ok) {
            self.outcome.answer(&self.jobs[job], job, now);
        }
        if self.progress.is_over(job) {
            entry.open = entry.open.saturating_sub(1);
        }
        self.dispatch(now, number);
    }
}

/// Counts a message; what goes the same way at the same time goes in one batch.
fn count_message(
    last_sent: &mut HashMap<(usize, usize, bool), Duration>,
    outcome: &mut Outcome,
    now: Duration,
    way: (usize, usize, bool),
) {
    if last_sent.insert(way, now) != Some(now) {
        outcome.messages += 1;
    }
}

fn new_dispatcher(
    world: &World,
    worker_ids: &[Incarnation],
    customers: &[CustomerName],
) -> Dispatcher<Queued, (usize, usize)> {
    const NO_LIMIT: u32 = 1 << 20;
    let mut dispatcher = Dispatcher::default();
    for (id, worker) in worker_ids.iter().zip(&world.workers) {
        let capacity = Capacity { cores: 1, memory_mb: 1, slots: worker.slots };
        dispatcher.placement.set_agent(id, capacity, false);
        dispatcher.placement.set_connected(id, true);
    }
    for customer in customers {
        dispatcher.queue.set_terms(customer, 1, NO_LIMIT);
    }
    dispatcher
}
