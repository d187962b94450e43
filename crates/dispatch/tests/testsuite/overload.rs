//! Bursts of one queue that meet full endpoints.
//!
//! The queues are those of `pzgs-grafik-grown` in docs/design/hard-load.md, at a quarter of their
//! rates, at 4 entries and 12 endpoints with 16 cores and slowness 1.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cowslipwing_dispatch::{
    Action, Answer, CpuByPriority, Decision, EndpointStatus, JobSpec, Scheduler,
};

use crate::fleet::Fleet;
use crate::support::{agent, answers, job, ms, orders, scheduler_with, status};

const ENTRIES: usize = 4;
const ENDPOINTS: usize = 12;
const ENDPOINT_CPU_MILLIS: u32 = 16_000;
const TASK_CPU_MILLIS: u32 = 1300;
/// Interval of the fleet's steps.
const STEP: Duration = Duration::from_millis(5);

struct Queue {
    name: &'static str,
    priority: u32,
    tasks: u32,
    run_time: Duration,
    jobs_per_second: f64,
}

const QUEUES: [Queue; 3] = [
    Queue {
        name: "chair-check",
        priority: 0,
        tasks: 8,
        run_time: ms_const(60),
        jobs_per_second: 51.5,
    },
    Queue { name: "rebook", priority: 2, tasks: 4, run_time: ms_const(900), jobs_per_second: 9.4 },
    Queue {
        name: "confirm",
        priority: 1,
        tasks: 2,
        run_time: ms_const(200),
        jobs_per_second: 150.0,
    },
];

const fn ms_const(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Queue {
    fn job(&self, number: u32) -> JobSpec {
        let id = format!("{}-{number}", self.name);
        let mut spec = job(&id, self.tasks, TASK_CPU_MILLIS, self.run_time);
        spec.queue = self.name.into();
        spec.payload = self.run_time.as_millis().to_string().into();
        spec.terms.priority = self.priority;
        spec
    }

    /// Returns the processor time that the queue needs, relative to the capacity.
    fn load(&self, rate: f64) -> f64 {
        let cpu = f64::from(self.tasks * TASK_CPU_MILLIS) * self.run_time.as_secs_f64();
        rate * self.jobs_per_second * cpu / (ENDPOINTS as f64 * f64::from(ENDPOINT_CPU_MILLIS))
    }
}

/// Answers to the jobs of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    submitted: u32,
    completed: u32,
    in_time: u32,
    refused: u32,
}

impl Tally {
    fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.submitted.max(1))
    }
}

/// A load of the three queues on a fleet.
struct Load {
    fleet: Fleet,
    seed: u64,
    /// Jobs due and not submitted yet, by queue.
    due: [f64; 3],
    /// Queue and submission time of each job.
    submitted: BTreeMap<String, (usize, Duration)>,
    /// Priority of all queues, if it differs from that of [`QUEUES`].
    priority: Option<u32>,
}

impl Load {
    fn new(seed: u64) -> Self {
        let fleet = Fleet::for_load(ENTRIES, ENDPOINTS, ENDPOINT_CPU_MILLIS);
        Self {
            fleet,
            seed: seed * 2 + 1,
            due: [0.0; 3],
            submitted: BTreeMap::new(),
            priority: None,
        }
    }

    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_041);
        (self.seed >> 40) as f64 / (1u64 << 24) as f64
    }

    /// Submits jobs at these multiples of the queues' rates.
    fn run_for(&mut self, time: Duration, rates: [f64; 3]) {
        let until = self.fleet.now + time;
        while self.fleet.now < until {
            for (index, queue) in QUEUES.iter().enumerate() {
                // The number of arrivals in a step varies between none and twice the mean.
                let mean = rates[index] * queue.jobs_per_second * STEP.as_secs_f64();
                self.due[index] += 2.0 * mean * self.random();
                while self.due[index] >= 1.0 {
                    self.due[index] -= 1.0;
                    self.submit(index);
                }
            }
            self.fleet.step();
        }
    }

    fn submit(&mut self, index: usize) {
        let number = u32::try_from(self.submitted.len()).unwrap();
        let mut spec = QUEUES[index].job(number);
        spec.terms.priority = self.priority.unwrap_or(spec.terms.priority);
        self.submitted.insert(spec.id.to_string(), (index, self.fleet.now));
        self.fleet.submit(spec);
    }

    /// Returns the times after which refused callers of a queue may retry.
    fn retry_hints(&self, index: usize) -> Vec<Duration> {
        let hint = |answer: &Answer| match answer {
            Answer::Refused { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        let answers =
            self.fleet.answers().iter().filter(|(_, id, _)| self.submitted[id].0 == index);
        answers.filter_map(|(_, _, answer)| hint(answer)).collect()
    }

    /// Returns the answers to the jobs submitted from `since` on, by queue.
    fn tallies(&self, since: Duration) -> [Tally; 3] {
        let mut tallies = [Tally::default(); 3];
        for (index, _) in self.submitted.values().filter(|(_, at)| *at >= since) {
            tallies[*index].submitted += 1;
        }
        for (answered_at, id, answer) in self.fleet.answers() {
            let (index, at) = self.submitted[id];
            if at < since {
                continue;
            }
            let tally = &mut tallies[index];
            let objective = QUEUES[index].run_time.mul_f64(1.6) + ms(60);
            match answer {
                Answer::Completed => {
                    tally.completed += 1;
                    tally.in_time += u32::from(*answered_at <= at + objective);
                }
                Answer::Refused { .. } => tally.refused += 1,
                _ => {}
            }
        }
        tallies
    }
}

/// Guards against refusals of the queue with the shortest objectives, which comes first, when a burst
/// of the queue with the longest tasks meets full endpoints.
#[test]
fn a_burst_of_long_tasks_is_refused_before_urgent_jobs() {
    for seed in 0..3 {
        let mut load = Load::new(seed);
        load.run_for(ms(3000), [1.0; 3]);
        let since = load.fleet.now;
        load.run_for(ms(8000), [1.0, 2.5, 1.0]);
        let [checks, rebooks, confirms] = load.tallies(since);
        assert!(checks.refused_share() < rebooks.refused_share(), "{checks:?} {rebooks:?}");
        assert!(confirms.refused_share() < rebooks.refused_share(), "{confirms:?} {rebooks:?}");
        for tally in [checks, rebooks, confirms] {
            assert!(tally.completed > 0, "{seed}: {tally:?}");
        }
    }
}

/// Guards against refusals while there is capacity, and against capacity that is kept for nobody.
#[test]
fn nothing_is_refused_below_a_load_of_0_8() {
    struct Case {
        name: &'static str,
        rates: [f64; 3],
    }
    let cases = [
        Case { name: "usual mix", rates: [0.95; 3] },
        Case { name: "mostly long tasks", rates: [0.3, 2.5, 0.3] },
        Case { name: "mostly short tasks", rates: [2.5, 0.5, 0.5] },
        Case { name: "long tasks only", rates: [0.0, 3.0, 0.0] },
    ];
    for case in cases {
        let total: f64 = QUEUES.iter().zip(case.rates).map(|(queue, rate)| queue.load(rate)).sum();
        assert!((0.55..0.8).contains(&total), "{}: {total}", case.name);
        let mut load = Load::new(7);
        let since = load.fleet.now;
        load.run_for(ms(8000), case.rates);
        let tallies = load.tallies(since);
        for tally in tallies {
            assert_eq!(tally.refused, 0, "{}: {tallies:?}", case.name);
        }
    }
}

/// Guards against a queue that is refused for good while more urgent ones could use all capacity. Each
/// keeps a tenth of it, which includes what waits, so that at least half of this must be served.
#[test]
fn no_queue_starves() {
    struct Case {
        name: &'static str,
        rates: [f64; 3],
    }
    let cases = [
        Case { name: "urgent jobs", rates: [6.0, 1.0, 1.0] },
        Case { name: "jobs of the middle priority", rates: [1.0, 1.0, 3.0] },
        Case { name: "long jobs", rates: [1.0, 6.0, 1.0] },
        Case { name: "all", rates: [3.0; 3] },
    ];
    for case in cases {
        let mut load = Load::new(11);
        load.run_for(ms(2000), case.rates);
        let since = load.fleet.now;
        load.run_for(ms(8000), case.rates);
        let tallies = load.tallies(since);
        for (queue, tally) in QUEUES.iter().zip(tallies) {
            let served = queue.load(f64::from(tally.completed) / 8.0 / queue.jobs_per_second);
            assert!(served > 0.05, "{}, {}: {served} {tally:?}", case.name, queue.name);
        }
    }
}

/// Guards against a change for deployments whose queues have one priority.
#[test]
fn queues_of_one_priority_are_not_refused_for_each_other() {
    let mut load = Load::new(5);
    load.priority = Some(1);
    load.run_for(ms(5000), [1.0, 2.5, 1.0]);
    assert!(load.tallies(Duration::ZERO).iter().any(|tally| tally.refused > 0));
    assert_eq!(load.fleet.yielded, 0);
    let hints = load.retry_hints(0).into_iter().chain(load.retry_hints(1));
    assert!(hints.map(|hint| hint.as_secs_f64().ceil() as u64).all(|seconds| seconds <= 1));
}

/// Guards against callers that were refused in one burst and all return at the same time.
#[test]
fn retries_are_spread_more_widely_for_less_urgent_queues() {
    let mut load = Load::new(5);
    load.run_for(ms(5000), [4.0, 3.0, 3.0]);
    let widest = |index: usize| load.retry_hints(index).into_iter().max().unwrap_or_default();
    let narrowest = |index: usize| load.retry_hints(index).into_iter().min().unwrap_or_default();
    let seconds: BTreeSet<u64> =
        load.retry_hints(1).iter().map(|hint| hint.as_secs_f64().ceil() as u64).collect();
    assert!(seconds.len() >= 3, "{seconds:?}");
    assert!(widest(1) > widest(2), "{:?} {:?}", widest(1), widest(2));
    assert!(widest(1) <= ms(12_500), "{:?}", widest(1));
    assert!(narrowest(1) >= ms(500));
}

/// Returns the status of a full endpoint of 32 cores on which other entries run and queue tasks.
fn full(started: [u32; 4], queued: [u32; 4]) -> EndpointStatus {
    let mut status = status(32_000, 1.0);
    status.started_cpu = CpuByPriority { classes: started };
    status.queued_cpu = CpuByPriority { classes: queued };
    status.free.cpu_millis -= i32::try_from(status.started_cpu.total()).unwrap();
    status
}

/// Returns the class for whose sake a long job of priority 2 is refused, after these statuses have
/// been in force for 3 s.
fn yields_to(
    scheduler: &mut Scheduler,
    now: Duration,
    statuses: &[EndpointStatus],
) -> Option<usize> {
    let mut at = now;
    while at < now + ms(3000) {
        for (number, status) in statuses.iter().enumerate() {
            scheduler.on_status(at, &agent(number), status.clone());
        }
        scheduler.on_tick(at);
        at += ms(10);
    }
    submit_long_job(scheduler, at)
}

fn submit_long_job(scheduler: &mut Scheduler, at: Duration) -> Option<usize> {
    scheduler.take_actions();
    scheduler.submit(at, QUEUES[1].job(1));
    let actions = scheduler.take_actions();
    assert_eq!(orders(&actions).is_empty(), !answers(&actions).is_empty());
    actions.iter().find_map(|action| match action {
        Action::Record(Decision::Refused { yields_to, .. }) => *yields_to,
        _ => None,
    })
}

/// Guards against limits that each entry applies to its own jobs only.
#[test]
fn usage_by_other_entries_counts() {
    struct Case {
        name: &'static str,
        started: [u32; 4],
        queued: [u32; 4],
        expected: Option<usize>,
    }
    let cases = [
        Case {
            name: "long tasks of others fill the endpoints",
            started: [8000, 0, 23_000, 0],
            queued: [0, 0, 5000, 0],
            expected: Some(0),
        },
        Case {
            name: "mostly the middle priority",
            started: [2000, 12_000, 17_000, 0],
            queued: [0; 4],
            expected: Some(1),
        },
        Case {
            name: "below its guaranteed share",
            started: [8000, 20_000, 1000, 0],
            queued: [0; 4],
            expected: None,
        },
        Case {
            name: "no recent urgent work",
            started: [0, 0, 31_000, 0],
            queued: [0; 4],
            expected: None,
        },
        Case {
            name: "load below capacity",
            started: [4000, 4000, 16_000, 0],
            queued: [0; 4],
            expected: None,
        },
        Case {
            name: "agents of the previous version",
            started: [0; 4],
            queued: [0; 4],
            expected: None,
        },
    ];
    for case in cases {
        let statuses = [full(case.started, case.queued), full(case.started, case.queued)];
        let start = Duration::from_secs(10);
        let mut scheduler = scheduler_with(start, &statuses);
        let found = yields_to(&mut scheduler, start, &statuses);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// Guards against capacity that is kept for urgent work which has stopped, or counted at a lost VM.
#[test]
fn the_reserve_ends_with_the_need_for_it() {
    let start = Duration::from_secs(10);
    let busy = full([8000, 0, 20_000, 0], [0, 0, 4000, 0]);
    let long_only = full([0, 0, 24_000, 0], [0, 0, 4000, 0]);
    let mut scheduler = scheduler_with(start, &[busy.clone(), busy.clone()]);
    assert_eq!(yields_to(&mut scheduler, start, &[busy.clone(), busy]), Some(0));
    let later = start + ms(4000);
    let mut quiet = scheduler_with(start, &[long_only.clone(), long_only.clone()]);
    for scheduler in [&mut scheduler, &mut quiet] {
        let found = yields_to(scheduler, later, &[long_only.clone(), long_only.clone()]);
        assert_eq!(found, None);
    }
}

/// Guards against an entry that fills the reserve of others after its restart.
#[test]
fn a_restarted_entry_leaves_the_reserve_from_its_first_statuses_on() {
    let start = Duration::from_secs(10);
    let busy = full([8000, 0, 20_000, 0], [0, 0, 4000, 0]);
    let mut scheduler = scheduler_with(start, &[busy.clone(), busy]);
    scheduler.on_tick(start + ms(10));
    assert_eq!(submit_long_job(&mut scheduler, start + ms(10)), Some(0));
}

/// Guards against limits that count the capacity or the tasks of a VM whose link is lost.
#[test]
fn a_lost_endpoint_counts_neither_as_capacity_nor_as_used() {
    struct Case {
        name: &'static str,
        lost: EndpointStatus,
        left: EndpointStatus,
        expected: Option<usize>,
    }
    let idle = status(32_000, 1.0);
    let busy = full([8000, 0, 20_000, 0], [0, 0, 4000, 0]);
    let cases = [
        Case { name: "idle one lost", lost: idle.clone(), left: busy.clone(), expected: Some(0) },
        Case { name: "busy one lost", lost: busy, left: idle, expected: None },
    ];
    for case in cases {
        let start = Duration::from_secs(10);
        let mut scheduler = scheduler_with(start, &[case.left.clone(), case.lost]);
        scheduler.on_detached(start, &agent(1));
        let found = yields_to(&mut scheduler, start, &[case.left]);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
