//! Helpers that build test data.

use std::time::Duration;

use cowslipwing_dispatch::{
    Action, AgentId, Answer, ContractTerms, CpuByPriority, EndpointStatus, FreeResources, JobSpec,
    QueuedCpu, Resources, Scheduler, SchedulerSettings, StepSpec, TaskOrder, TimeoutSource,
};

/// The settings that the daemons use.
pub const SETTINGS: SchedulerSettings = SchedulerSettings {
    entry_lease: Duration::from_millis(600),
    endpoint_lease: Duration::from_millis(500),
    suspect_after: Duration::from_millis(400),
    remote_run_time_ratio: 1.5,
};

pub const TERMS: ContractTerms = ContractTerms {
    max_attempts: 3,
    stretch: 1.6,
    target_latency: Duration::from_millis(60),
    priority: 0,
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn agent(number: usize) -> AgentId {
    format!("side-{number}@1").parse().unwrap()
}

pub fn resources(cpu_millis: u32) -> Resources {
    Resources { cpu_millis, memory_mb: 64, gpus: 0 }
}

/// Returns a job with one step.
pub fn job(id: &str, count: u32, cpu_millis: u32, declared_run_time: Duration) -> JobSpec {
    let step = StepSpec {
        count,
        resources: resources(cpu_millis),
        declared_run_time,
        depends_on: Vec::new(),
        required_label: None,
        data_rack: None,
        max_per_endpoint: 0,
    };
    JobSpec {
        id: id.parse().unwrap(),
        queue: "q".into(),
        service: "desk".into(),
        payload: "do it".into(),
        steps: vec![step],
        terms: TERMS,
        caller_timeout: ms(1500),
        timeout_source: TimeoutSource::Caller,
    }
}

/// Returns the status of an idle endpoint.
pub fn status(cpu_millis: u32, slowness: f64) -> EndpointStatus {
    let capacity = Resources { cpu_millis, memory_mb: 65536, gpus: 0 };
    EndpointStatus {
        usable: true,
        service: "desk".into(),
        kind: "a".into(),
        rack: "r1".into(),
        site: "here".into(),
        capacity,
        free: FreeResources::from_capacity(capacity),
        queued: QueuedCpu::default(),
        mean_remaining: ms(100),
        slowness,
        failure_rate: 0.0,
        orders_seen: 0,
        started_cpu: CpuByPriority::default(),
        queued_cpu: CpuByPriority::default(),
    }
}

/// Time after which a scheduler expects no more endpoints to attach.
pub const WARM_UP: Duration = Duration::from_secs(1);

/// Returns a scheduler with these endpoints attached, whose warm-up is over.
pub fn scheduler_with(now: Duration, endpoints: &[EndpointStatus]) -> Scheduler {
    let mut scheduler = Scheduler::new(SETTINGS);
    scheduler.on_tick(now - WARM_UP);
    for (number, status) in endpoints.iter().enumerate() {
        scheduler.on_attached(now - WARM_UP, &agent(number), &[]);
        scheduler.on_status(now, &agent(number), status.clone());
    }
    scheduler
}

/// Returns the orders in a list of actions.
pub fn orders(actions: &[Action]) -> Vec<(AgentId, TaskOrder)> {
    let order = |action: &Action| match action {
        Action::Order(agent, order) => Some((agent.clone(), order.clone())),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

/// Returns the answers in a list of actions.
pub fn answers(actions: &[Action]) -> Vec<(String, Answer)> {
    let answer = |action: &Action| match action {
        Action::Answer(id, answer) => Some((id.to_string(), *answer)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}
