//! Measures the time and memory that scheduling decisions take, and the size of control messages,
//! for several sizes of the system.

use std::hint::black_box;
use std::time::{Duration, Instant};

use cowslipwing_claims::{KeyAgeLimits, Ledger, LedgerLimits, Report, Stage, StartRequest};
use cowslipwing_dispatch::{
    ContractTerms, EndpointStatus, FreeResources, JobSpec, Resources, Scheduler, SchedulerSettings,
    StepSpec, TimeoutSource,
};
use cowslipwing_fold::Fold;
use cowslipwing_policy::{Capacity, Dispatcher, QueuedJob, Requirements, TaskResult};
use cowslipwing_proto::{
    Announcement, Contract, ContractChange, LeaseCheck, LeaseReply, Message, RangeEpoch, Record,
    record::Body,
};
use cowslipwing_types::{
    CustomerName, Epoch, Incarnation, JobId, JobKey, Offset, TaskId, TaskIndex,
};

#[derive(Clone, Debug, Eq, PartialEq)]
struct Job(u32);

impl QueuedJob for Job {
    fn requirements(&self) -> Requirements {
        Requirements::default()
    }
}

fn main() {
    println!("{:<34} {:>8} {:>12}", "decision", "size", "micros each");
    for endpoints in [10, 100, 900] {
        print_row("send and end a task, by endpoints", endpoints, dispatch_micros(endpoints, 10));
    }
    for contracts in [10, 90, 900] {
        print_row("send and end a task, by contracts", contracts, dispatch_micros(100, contracts));
    }
    for contracts in [10, 90, 900] {
        print_row("fold a contract change", contracts, fold_micros(contracts));
    }
    for tasks in [10_000, 100_000] {
        print_row("start and end a task at an agent", tasks, ledger_micros(tasks));
    }
    for endpoints in [60, 300] {
        print_row("submit, no rack, by endpoints", endpoints, submit_micros(endpoints, None));
        print_row("submit, near place free", endpoints, submit_micros(endpoints, Some("r0")));
        print_row("submit, wait for a near place", endpoints, submit_micros(endpoints, Some("r1")));
        print_row("tick, nothing waits", endpoints, tick_micros(endpoints, None));
        print_row("tick, one decision about a wait", endpoints, tick_micros(endpoints, Some("r1")));
    }
    println!("\n{:<34} {:>12}", "memory", "bytes each");
    println!("{:<34} {:>12}", "task remembered by an agent", ledger_task_bytes());
    println!("{:<34} {:>12}", "contract in a fold", contract_bytes());
    print_control_messages();
}

fn print_row(label: &str, size: usize, micros: f64) {
    println!("{label:<34} {size:>8} {micros:>12.2}");
}

fn customers(count: usize) -> Vec<CustomerName> {
    (0..count).map(|n| format!("customer-{n}").parse().expect("the name is valid")).collect()
}

fn agents(count: usize) -> Vec<Incarnation> {
    (0..count)
        .map(|n| format!("endpoint-{n:04}@0a1b2c3d").parse().expect("the name is valid"))
        .collect()
}

/// Returns the time in microseconds to choose an agent for a task and to record its start and its
/// end.
fn dispatch_micros(endpoints: usize, contracts: usize) -> f64 {
    const TASKS: u32 = 20_000;
    const SLOTS: u32 = 8;
    let (now, agents, customers) = (Instant::now(), agents(endpoints), customers(contracts));
    let mut dispatcher: Dispatcher<Job, u32> = Dispatcher::default();
    for agent in &agents {
        let capacity = Capacity { cores: 8, memory_mb: 1024, slots: SLOTS };
        dispatcher.placement.set_agent(agent, capacity, false);
        dispatcher.placement.set_connected(agent, true);
        dispatcher.on_credits(agent, SLOTS);
    }
    for (index, customer) in (0..).zip(&customers) {
        dispatcher.queue.set_terms(customer, 1, TASKS);
        dispatcher.queue.push(customer, Job(index), TASKS, Duration::from_millis(100));
    }
    let started = Instant::now();
    for task in 0..TASKS {
        let (customer, _, agent) =
            dispatcher.assign_next(now, |_| true, |_, _| true).expect("tasks and credits remain");
        dispatcher.on_sent(&agent, &customer, task, "kind", None);
        let ending = TaskResult::Succeeded(Duration::from_millis(100));
        dispatcher.on_ended(now, &agent, &task, ending);
        dispatcher.on_credits(&agent, 1);
    }
    micros_each(started, TASKS)
}

/// Returns the mean time per repetition since an instant, in microseconds.
fn micros_each(started: Instant, repetitions: u32) -> f64 {
    const MICROS_PER_SECOND: f64 = 1e6;
    started.elapsed().as_secs_f64() * MICROS_PER_SECOND / f64::from(repetitions)
}

/// Returns the time in microseconds to submit and cancel a job of one task at an entry. Rack `r1` is
/// full, and the other 29 are idle. A task that waits is not placed, which saves a selection.
fn submit_micros(endpoints: usize, rack: Option<&str>) -> f64 {
    const BATCHES: u32 = 200;
    // Orders stay in flight without a status, so that a longer batch would fill endpoints.
    const JOBS_PER_BATCH: u32 = 25;
    let now = Duration::from_secs(100);
    let spec = rack_job(rack);
    let mut micros = 0.0;
    for _ in 0..BATCHES {
        let mut scheduler = rack_scheduler(now, endpoints);
        scheduler.take_actions();
        let started = Instant::now();
        for _ in 0..JOBS_PER_BATCH {
            scheduler.submit(now, spec.clone());
            scheduler.cancel(&spec.id);
            black_box(scheduler.take_actions());
        }
        micros += micros_each(started, JOBS_PER_BATCH);
    }
    micros / f64::from(BATCHES)
}

/// Returns the time in microseconds of a tick. If a task waits for a rack, the tick decides about it
/// once, so the difference is the cost of the decision.
fn tick_micros(endpoints: usize, rack: Option<&str>) -> f64 {
    const TICKS: u32 = 20_000;
    let now = Duration::from_secs(100);
    let mut scheduler = rack_scheduler(now, endpoints);
    scheduler.submit(now, rack_job(rack));
    scheduler.take_actions();
    let started = Instant::now();
    for _ in 0..TICKS {
        scheduler.on_tick(black_box(now));
    }
    let micros = micros_each(started, TICKS);
    assert_eq!(scheduler.unstarted_jobs("queue"), usize::from(rack.is_some()));
    micros
}

fn rack_scheduler(now: Duration, endpoints: usize) -> Scheduler {
    const RACKS: usize = 30;
    let capacity = Resources { cpu_millis: 64_000, memory_mb: 65_536, gpus: 0 };
    let mut scheduler = Scheduler::new(SchedulerSettings {
        entry_lease: Duration::from_millis(600),
        endpoint_lease: Duration::from_millis(500),
        suspect_after: Duration::from_millis(400),
        remote_run_time_ratio: 3.0,
    });
    for number in 0..endpoints {
        let agent = format!("side-{number}@1").parse().expect("the id is valid");
        let rack = number % RACKS;
        let mut free = FreeResources::from_capacity(capacity);
        if rack == 1 {
            free.reserve(capacity);
        }
        let status = EndpointStatus {
            usable: true,
            service: "desk".into(),
            rack: format!("r{rack}").into(),
            capacity,
            free,
            mean_remaining: Duration::from_millis(100),
            slowness: 1.0,
            ..EndpointStatus::default()
        };
        scheduler.on_attached(now, &agent, &[]);
        scheduler.on_status(now, &agent, status);
    }
    scheduler
}

fn rack_job(rack: Option<&str>) -> JobSpec {
    let step = StepSpec {
        count: 1,
        resources: Resources { cpu_millis: 1000, memory_mb: 64, gpus: 0 },
        declared_run_time: Duration::from_millis(300),
        depends_on: Vec::new(),
        required_label: None,
        data_rack: rack.map(Into::into),
        max_per_endpoint: 0,
    };
    JobSpec {
        id: "job-1".parse().expect("the id is valid"),
        queue: "queue".into(),
        service: "desk".into(),
        payload: "payload".into(),
        steps: vec![step],
        terms: ContractTerms {
            max_attempts: 3,
            stretch: 1.6,
            target_latency: Duration::from_millis(60),
            priority: 0,
        },
        caller_timeout: Duration::from_millis(1500),
        timeout_source: TimeoutSource::Caller,
    }
}

fn contract_change(customer: &CustomerName, base_version: u64) -> Record {
    let contract = Contract {
        share: 1,
        concurrency: 100,
        deadline: "5s".to_owned(),
        refusals: "5%".to_owned(),
        open_jobs: 100,
    };
    let customer = customer.to_string();
    let change = ContractChange { customer, base_version, contract: Some(contract) };
    Record { append_id: "0123456789abcdef".to_owned(), body: Some(Body::Contract(change)) }
}

fn fold_with(contracts: usize) -> (Fold, Vec<CustomerName>) {
    let (mut fold, customers) = (Fold::default(), customers(contracts));
    for customer in &customers {
        fold.apply(fold.next_offset(), &contract_change(customer, 0));
    }
    (fold, customers)
}

/// Returns the time in microseconds to apply a contract change.
fn fold_micros(contracts: usize) -> f64 {
    const RECORDS: u32 = 20_000;
    let (mut fold, customers) = fold_with(contracts);
    let records: Vec<Record> = (0..RECORDS as usize)
        .map(|n| contract_change(&customers[n % contracts], 1 + (n / contracts) as u64))
        .collect();
    let started = Instant::now();
    for record in &records {
        let offset: Offset = fold.next_offset();
        black_box(fold.apply(offset, record));
    }
    micros_each(started, RECORDS)
}

fn new_ledger() -> Ledger {
    const TASKS: usize = 1_000_000;
    let key_ages = KeyAgeLimits {
        skew: Duration::from_millis(500),
        retention: Duration::from_secs(600),
        ageless_retention: Duration::from_secs(3600),
    };
    Ledger::new(
        "endpoint-1@0a1b2c3d".parse().expect("the name is valid"),
        LedgerLimits { max_tasks: TASKS, key_ages },
    )
}

fn run_tasks(ledger: &mut Ledger, tasks: usize) {
    const DISTINCT_INDEXES: u32 = 10;
    let (now, wall) = (Instant::now(), std::time::SystemTime::now());
    let customer: CustomerName = "customer-1".parse().expect("the name is valid");
    for index in 0..tasks {
        let job = JobId { customer: customer.clone(), key: JobKey::generate(wall) };
        let order = StartRequest {
            task: TaskId { job, index: TaskIndex::new(index as u32 % DISTINCT_INDEXES) },
            epoch: Epoch::new(1),
            incarnation: ledger.incarnation().clone(),
            fingerprint: 7,
        };
        black_box(ledger.start(now, &order));
        ledger.mark_started(&order.task);
        ledger.mark_finished(now, &order.task, Report::new(Stage::Succeeded));
    }
}

/// Returns the time in microseconds to record the start and the end of a task in a ledger.
fn ledger_micros(tasks: usize) -> f64 {
    let mut ledger = new_ledger();
    let started = Instant::now();
    run_tasks(&mut ledger, tasks);
    micros_each(started, tasks as u32)
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the memory per task in a ledger, in bytes.
fn ledger_task_bytes() -> u64 {
    const TASKS: usize = 300_000;
    let before = resident_bytes();
    let mut ledger = new_ledger();
    run_tasks(&mut ledger, TASKS);
    let after = resident_bytes();
    black_box(ledger.len());
    after.saturating_sub(before) / TASKS as u64
}

/// Returns the memory per contract in a fold, in bytes.
fn contract_bytes() -> u64 {
    const CONTRACTS: usize = 100_000;
    let customers = customers(CONTRACTS);
    let before = resident_bytes();
    let mut fold = Fold::default();
    for customer in &customers {
        fold.apply(fold.next_offset(), &contract_change(customer, 0));
    }
    let after = resident_bytes();
    black_box(fold.next_offset());
    after.saturating_sub(before) / CONTRACTS as u64
}

/// Prints the sizes of the messages that are exchanged even without jobs.
fn print_control_messages() {
    let announcement = Announcement {
        endpoint: "endpoint-0001".to_owned(),
        incarnation: "endpoint-0001@0a1b2c3d".to_owned(),
        site: "bkk-a".to_owned(),
        address: "10.120.130.140:7101".to_owned(),
        slots: 30,
        cores: 30,
        memory_mb: 65_536,
        leaving: false,
        history_from_ms: 1_790_000_000_000,
    };
    println!("\n{:<34} {:>8} {:>12}", "control message", "size", "bytes");
    println!("{:<34} {:>8} {:>12}", "announcement", "", announcement.encoded_len());
    for ranges in [5, 64] {
        let epochs = (0..ranges).map(|range| RangeEpoch { range, epoch: 300 }).collect();
        let check = LeaseCheck {
            entry: "order-desk-01@0a1b2c3d".to_owned(),
            member_version: 300,
            ranges: epochs,
            heard_after: 10_000,
        };
        let reply = LeaseReply {
            member_version: 300,
            confirmed: (0..ranges).collect(),
            within_version: 300,
            ..LeaseReply::default()
        };
        println!("{:<34} {ranges:>8} {:>12}", "lease check, by ranges", check.encoded_len());
        println!("{:<34} {ranges:>8} {:>12}", "lease reply, by ranges", reply.encoded_len());
    }
}
