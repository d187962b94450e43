//! Tests of the conversion of messages.

use std::time::Duration;

use cowslipwing_dispatch::{
    Action, AgentId, ContractTerms, JobSpec, Resources, Scheduler, SchedulerSettings, StepSpec,
    TaskOrder, TaskRun, TimeoutSource,
};
use cowslipwing_proto as proto;

use super::{
    event_from_proto, order_to_proto, orders_from_proto, run_to_proto, share_payloads,
    status_from_proto,
};

fn order(task: &str, payload: &str) -> TaskOrder {
    TaskOrder {
        run: TaskRun { task: task.parse().unwrap(), number: 1 },
        payload: payload.into(),
        resources: Resources { cpu_millis: 100, memory_mb: 64, gpus: 0 },
        expected_work: Duration::from_millis(60),
        start_within: Duration::from_millis(90),
        abandon_after: Duration::from_millis(900),
        end_within: Duration::from_millis(1400),
        max_per_endpoint: 0,
        priority: 2,
        required_label: None,
    }
}

/// Each task must get its own job's payload, wherever it stands in the frame.
#[test]
fn orders_keep_their_payloads_when_they_are_shared() {
    let orders: Vec<TaskOrder> = [("a.0.0", "x"), ("a.0.1", "x"), ("b.0.0", "y"), ("a.0.2", "x")]
        .map(|(task, payload)| order(task, payload))
        .into();
    let mut wire: Vec<_> = orders.iter().map(order_to_proto).collect();
    share_payloads(&mut wire);
    assert_eq!(wire.iter().filter(|order| order.same_work).count(), 1);
    let decoded: Option<Vec<TaskOrder>> = orders_from_proto(wire).into_iter().collect();
    assert_eq!(decoded, Some(orders));
}

/// An agent of the previous version gets frames without shared payloads, and sends none.
#[test]
fn orders_without_shared_payloads_are_understood() {
    let orders = [order("a.0.0", "x"), order("a.0.1", "x")];
    let wire = orders.iter().map(order_to_proto).collect();
    let decoded: Option<Vec<TaskOrder>> = orders_from_proto(wire).into_iter().collect();
    assert_eq!(decoded.as_deref(), Some(&orders[..]));
}

/// Statuses and events of an agent that are out of range must not end the entry: a panic aborts it.
#[test]
fn extreme_numbers_of_an_agent_are_survived() {
    let usual = proto::EndpointStatus {
        usable: true,
        service: "desk".into(),
        cpu_millis: 64_000,
        memory_mb: 65_536,
        free_cpu_millis: 64_000,
        free_memory_mb: 65_536,
        turnover_ms: 100,
        slowness_percent: 100,
        queued_cpu_millis: vec![0; 4],
        started_by_priority: vec![0; 4],
        queued_by_priority: vec![0; 4],
        ..proto::EndpointStatus::default()
    };
    let wide = || vec![u32::MAX; 70];
    let statuses = [
        proto::EndpointStatus { cpu_millis: u32::MAX, memory_mb: u32::MAX, ..usual.clone() },
        proto::EndpointStatus { free_cpu_millis: i32::MIN, ..usual.clone() },
        proto::EndpointStatus { free_cpu_millis: i32::MAX, ..usual.clone() },
        proto::EndpointStatus { turnover_ms: u32::MAX, free_cpu_millis: -1, ..usual.clone() },
        proto::EndpointStatus {
            turnover_ms: u32::MAX,
            free_cpu_millis: i32::MIN,
            cpu_millis: 500,
            ..usual.clone()
        },
        proto::EndpointStatus { slowness_percent: u32::MAX, ..usual.clone() },
        proto::EndpointStatus { slowness_percent: 0, ..usual.clone() },
        proto::EndpointStatus { failing_percent: u32::MAX, ..usual.clone() },
        proto::EndpointStatus { orders_seen: u64::MAX, ..usual.clone() },
        proto::EndpointStatus { queued_cpu_millis: wide(), ..usual.clone() },
        proto::EndpointStatus {
            started_by_priority: wide(),
            queued_by_priority: wide(),
            ..usual.clone()
        },
    ];
    for wire in statuses {
        for fate in [proto::TaskFate::Slow, proto::TaskFate::Overrun, proto::TaskFate::Done] {
            survive(&wire, &usual, fate);
        }
    }
}

/// Gives an entry a usual endpoint and one with the status `wire`, and ends a job with an event that
/// states the longest time.
fn survive(wire: &proto::EndpointStatus, usual: &proto::EndpointStatus, fate: proto::TaskFate) {
    let at = Duration::from_millis;
    let mut scheduler = Scheduler::new(SchedulerSettings {
        entry_lease: at(600),
        endpoint_lease: at(500),
        suspect_after: at(400),
        remote_run_time_ratio: 1.5,
    });
    for (name, wire) in [("side-1@1", usual), ("side-2@1", wire)] {
        let agent: AgentId = name.parse().unwrap();
        scheduler.on_attached(at(5000), &agent, &[]);
        scheduler.on_status(at(5000), &agent, status_from_proto(wire));
    }
    for number in 0..20u64 {
        scheduler.submit(at(5000), extreme_job(number));
    }
    scheduler.on_tick(at(5010));
    let sent: Vec<(AgentId, TaskRun)> = scheduler
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Order(agent, order) => Some((agent, order.run)),
            _ => None,
        })
        .collect();
    for (agent, run) in sent {
        let wire = proto::TaskEvent {
            run: Some(run_to_proto(&run)),
            fate: fate.into(),
            millis: u32::MAX,
            ..proto::TaskEvent::default()
        };
        scheduler.on_task_event(at(5020), &agent, &event_from_proto(&wire).unwrap());
    }
    scheduler.on_tick(at(5030));
    scheduler.submit(at(5030), extreme_job(99));
}

fn extreme_job(number: u64) -> JobSpec {
    let step = StepSpec {
        count: 2,
        resources: Resources { cpu_millis: 500, memory_mb: 64, gpus: 0 },
        declared_run_time: Duration::from_millis(60),
        depends_on: Vec::new(),
        required_label: None,
        data_rack: None,
        max_per_endpoint: 0,
    };
    JobSpec {
        id: format!("a{number}").parse().unwrap(),
        queue: "q".into(),
        service: "desk".into(),
        payload: "do it".into(),
        steps: vec![step],
        terms: ContractTerms {
            max_attempts: 3,
            stretch: 1.6,
            target_latency: Duration::from_millis(60),
            priority: (number % 4) as u32,
        },
        caller_timeout: Duration::from_secs(86_400),
        timeout_source: TimeoutSource::Caller,
    }
}
