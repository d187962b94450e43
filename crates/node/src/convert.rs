//! Conversion of messages between agents and entries from and to the types of the dispatch crate.
//! Some fields have other names on the wire, such as `fate` for the status of a run.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_dispatch::{
    CpuByPriority, CrashLog, CrashRecord, CrashRole, EndpointReport, EndpointStatus,
    EvacuationState, EvacuationVersion, FreeResources, QueuedCpu, Resources, RunStatus, TaskEvent,
    TaskOrder,
};
use cowslipwing_proto as proto;

use crate::wire_ids::{run_from_proto, run_to_proto};

#[cfg(test)]
mod tests;

/// Value of the ratio 1 in percent.
const PERCENT: f64 = 100.0;

/// Converts a duration to whole milliseconds, at most `u64::MAX`.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn millis32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn from_millis32(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

pub(crate) fn order_to_proto(order: &TaskOrder) -> proto::TaskOrder {
    proto::TaskOrder {
        run: Some(run_to_proto(&order.run)),
        work: order.payload.to_string(),
        cpu_millis: order.resources.cpu_millis,
        memory_mb: order.resources.memory_mb,
        gpus: order.resources.gpus,
        work_ms: millis32(order.expected_work),
        start_within_ms: millis32(order.start_within),
        give_up_ms: millis32(order.abandon_after),
        end_within_ms: millis32(order.end_within),
        most_here: order.max_per_endpoint,
        priority: order.priority,
        same_work: false,
        required_label: order.required_label.as_deref().unwrap_or_default().to_owned(),
    }
}

/// Leaves out the payload of each order that has the same one as the order before. The tasks of a job
/// share their payload, which is most of a frame.
pub(crate) fn share_payloads(orders: &mut [proto::TaskOrder]) {
    for index in (1..orders.len()).rev() {
        if orders[index].work == orders[index - 1].work {
            orders[index].work.clear();
            orders[index].same_work = true;
        }
    }
}

/// Converts the orders of a frame, with `None` for each that has no valid run.
pub(crate) fn orders_from_proto(orders: Vec<proto::TaskOrder>) -> Vec<Option<TaskOrder>> {
    let mut payload: Arc<str> = Arc::default();
    let convert = |wire: proto::TaskOrder| {
        if !wire.same_work {
            payload = wire.work.as_str().into();
        }
        order_from_proto(&wire, payload.clone())
    };
    orders.into_iter().map(convert).collect()
}

/// Converts an order from its message; returns `None` if it has no valid run.
fn order_from_proto(wire: &proto::TaskOrder, payload: Arc<str>) -> Option<TaskOrder> {
    Some(TaskOrder {
        run: run_from_proto(wire.run.as_ref()?)?,
        payload,
        resources: Resources {
            cpu_millis: wire.cpu_millis,
            memory_mb: wire.memory_mb,
            gpus: wire.gpus,
        },
        expected_work: from_millis32(wire.work_ms),
        start_within: from_millis32(wire.start_within_ms),
        abandon_after: from_millis32(wire.give_up_ms),
        end_within: from_millis32(wire.end_within_ms),
        max_per_endpoint: wire.most_here,
        priority: wire.priority,
        required_label: (!wire.required_label.is_empty())
            .then(|| wire.required_label.as_str().into()),
    })
}

pub(crate) fn event_to_proto(event: &TaskEvent) -> proto::TaskEvent {
    let (fate, time) = match event.status {
        RunStatus::NotStarted => (proto::TaskFate::NotStarted, Duration::ZERO),
        RunStatus::StaleRun => (proto::TaskFate::StaleRun, Duration::ZERO),
        RunStatus::Done(run_time) => (proto::TaskFate::Done, run_time),
        RunStatus::Failed => (proto::TaskFate::Failed, Duration::ZERO),
        RunStatus::Stopped | RunStatus::Crashed(_) | RunStatus::KnownSuspect => {
            (proto::TaskFate::Stopped, Duration::ZERO)
        }
        RunStatus::Slow(remaining) => (proto::TaskFate::Slow, remaining),
        RunStatus::Overrun(remaining) => (proto::TaskFate::Overrun, remaining),
    };
    proto::TaskEvent {
        run: Some(run_to_proto(&event.run)),
        fate: fate.into(),
        millis: millis32(time),
        // Entries of the previous version take a known suspect for one of a new crash.
        crashed: matches!(event.status, RunStatus::Crashed(_) | RunStatus::KnownSuspect),
        crash_suspect: matches!(
            event.status,
            RunStatus::Crashed(CrashRole::Suspect) | RunStatus::KnownSuspect
        ),
        crash_unconfirmed: event.status == RunStatus::Crashed(CrashRole::Unconfirmed),
        crash_known: event.status == RunStatus::KnownSuspect,
    }
}

/// Converts an event from its message; returns `None` if it has no valid run or no known status.
pub(crate) fn event_from_proto(wire: &proto::TaskEvent) -> Option<TaskEvent> {
    let time = from_millis32(wire.millis);
    let status = match wire.fate() {
        proto::TaskFate::Unspecified => return None,
        proto::TaskFate::NotStarted => RunStatus::NotStarted,
        proto::TaskFate::StaleRun => RunStatus::StaleRun,
        proto::TaskFate::Done => RunStatus::Done(time),
        proto::TaskFate::Failed => RunStatus::Failed,
        proto::TaskFate::Stopped if wire.crash_known => RunStatus::KnownSuspect,
        proto::TaskFate::Stopped if wire.crashed => RunStatus::Crashed(crash_role_from_proto(wire)),
        proto::TaskFate::Stopped => RunStatus::Stopped,
        proto::TaskFate::Slow => RunStatus::Slow(time),
        proto::TaskFate::Overrun => RunStatus::Overrun(time),
    };
    Some(TaskEvent { run: run_from_proto(wire.run.as_ref()?)?, status })
}

fn crash_role_from_proto(wire: &proto::TaskEvent) -> CrashRole {
    if wire.crash_unconfirmed {
        CrashRole::Unconfirmed
    } else if wire.crash_suspect {
        CrashRole::Suspect
    } else {
        CrashRole::Bystander
    }
}

/// Converts a crash record and the time since the crash to their message.
pub(crate) fn crash_to_proto(record: &CrashRecord, age: Duration) -> proto::CrashRecord {
    let role = match record.role {
        CrashRole::Suspect => proto::CrashRole::Suspect,
        CrashRole::Bystander => proto::CrashRole::Bystander,
        CrashRole::Unconfirmed => proto::CrashRole::Unconfirmed,
    };
    proto::CrashRecord {
        run: Some(run_to_proto(&record.run)),
        vm: record.vm.to_string(),
        role: role.into(),
        age_ms: millis32(age),
    }
}

/// Converts a crash record from its message; returns `None` if it has no valid run or role.
pub(crate) fn crash_from_proto(wire: &proto::CrashRecord) -> Option<(CrashRecord, Duration)> {
    let role = match wire.role() {
        proto::CrashRole::Unspecified => return None,
        proto::CrashRole::Suspect => CrashRole::Suspect,
        proto::CrashRole::Bystander => CrashRole::Bystander,
        proto::CrashRole::Unconfirmed => CrashRole::Unconfirmed,
    };
    let run = run_from_proto(wire.run.as_ref()?)?;
    let record = CrashRecord { run, vm: wire.vm.as_str().into(), role };
    Some((record, from_millis32(wire.age_ms)))
}

/// Converts all records of a log to messages.
pub(crate) fn crashes_to_proto(now: Duration, log: &CrashLog) -> Vec<proto::CrashRecord> {
    log.records(now).map(|(record, age)| crash_to_proto(record, age)).collect()
}

pub(crate) fn report_to_proto(report: &EndpointReport) -> proto::EndpointReport {
    proto::EndpointReport {
        id: report.id.to_string(),
        incarnation: report.incarnation,
        service: report.service.to_string(),
        cpu_millis: report.capacity.cpu_millis,
        memory_mb: report.capacity.memory_mb,
        gpus: report.capacity.gpus,
        kind: report.kind.to_string(),
        rack: report.rack.to_string(),
        draining: report.draining,
        sequence: report.sequence,
    }
}

pub(crate) fn report_from_proto(wire: &proto::EndpointReport) -> EndpointReport {
    EndpointReport {
        id: wire.id.as_str().into(),
        incarnation: wire.incarnation,
        service: wire.service.as_str().into(),
        capacity: Resources {
            cpu_millis: wire.cpu_millis,
            memory_mb: wire.memory_mb,
            gpus: wire.gpus,
        },
        kind: wire.kind.as_str().into(),
        rack: wire.rack.as_str().into(),
        draining: wire.draining,
        // Not sent, because reports are remembered for long.
        cold_remaining: Duration::ZERO,
        sequence: wire.sequence,
    }
}

pub(crate) fn status_to_proto(status: &EndpointStatus) -> proto::EndpointStatus {
    proto::EndpointStatus {
        usable: status.usable,
        service: status.service.to_string(),
        kind: status.kind.to_string(),
        rack: status.rack.to_string(),
        site: status.site.to_string(),
        cpu_millis: status.capacity.cpu_millis,
        memory_mb: status.capacity.memory_mb,
        gpus: status.capacity.gpus,
        free_cpu_millis: status.free.cpu_millis,
        free_memory_mb: status.free.memory_mb,
        free_gpus: status.free.gpus,
        turnover_ms: millis32(status.mean_remaining),
        slowness_percent: (status.slowness * PERCENT) as u32,
        failing_percent: (status.failure_rate * PERCENT) as u32,
        orders_seen: status.orders_seen,
        queued_cpu_millis: status.queued.classes.to_vec(),
        started_by_priority: status.started_cpu.classes.to_vec(),
        queued_by_priority: status.queued_cpu.classes.to_vec(),
    }
}

pub(crate) fn status_from_proto(wire: &proto::EndpointStatus) -> EndpointStatus {
    EndpointStatus {
        usable: wire.usable,
        service: wire.service.as_str().into(),
        kind: wire.kind.as_str().into(),
        rack: wire.rack.as_str().into(),
        site: wire.site.as_str().into(),
        capacity: Resources {
            cpu_millis: wire.cpu_millis,
            memory_mb: wire.memory_mb,
            gpus: wire.gpus,
        },
        free: FreeResources {
            cpu_millis: wire.free_cpu_millis,
            memory_mb: wire.free_memory_mb,
            gpus: wire.free_gpus,
        },
        queued: queued_from_proto(&wire.queued_cpu_millis),
        mean_remaining: from_millis32(wire.turnover_ms),
        slowness: f64::from(wire.slowness_percent) / PERCENT,
        failure_rate: f64::from(wire.failing_percent) / PERCENT,
        orders_seen: wire.orders_seen,
        started_cpu: by_priority_from_proto(&wire.started_by_priority),
        queued_cpu: by_priority_from_proto(&wire.queued_by_priority),
    }
}

pub(crate) fn evacuation_to_proto(state: &EvacuationState) -> proto::EvacuationState {
    proto::EvacuationState {
        site: state.site.to_string(),
        version: state.version.0,
        active: state.active,
    }
}

/// Converts a state from its message; returns `None` if it has no valid data centre.
pub(crate) fn evacuation_from_proto(wire: &proto::EvacuationState) -> Option<EvacuationState> {
    Some(EvacuationState {
        site: wire.site.parse().ok()?,
        version: EvacuationVersion(wire.version),
        active: wire.active,
    })
}

fn by_priority_from_proto(wire: &[u32]) -> CpuByPriority {
    let mut cpu = CpuByPriority::default();
    for (priority, cpu_millis) in (0u32..).zip(wire) {
        cpu.add(priority, *cpu_millis);
    }
    cpu
}

fn queued_from_proto(wire: &[u32]) -> QueuedCpu {
    let mut queued = QueuedCpu::default();
    for (class, cpu_millis) in queued.classes.iter_mut().zip(wire) {
        *class = *cpu_millis;
    }
    queued
}
