//! Conversions between protocol messages and domain types.

use std::time::Duration;

use cowslipwing_claims::{
    HeldTask, Job, JobPhase, RecoveredTask, Report, Stage, TaskOutcome, TaskState,
};
use cowslipwing_proto as proto;
use cowslipwing_types::{Epoch, Incarnation, JobId, RangeId, TaskId, TaskIndex};

/// Converts range epochs from their messages. Ranges that do not exist are left out.
pub(crate) fn range_epochs_from_proto(ranges: &[proto::RangeEpoch]) -> Vec<(RangeId, Epoch)> {
    let claim = |r: &proto::RangeEpoch| Some((RangeId::from_number(r.range)?, Epoch::new(r.epoch)));
    ranges.iter().filter_map(claim).collect()
}

/// Converts range epochs to their messages.
pub(crate) fn range_epochs_to_proto(ranges: &[(RangeId, Epoch)]) -> Vec<proto::RangeEpoch> {
    ranges.iter().map(|(r, e)| proto::RangeEpoch { range: r.get(), epoch: e.get() }).collect()
}

/// Converts range numbers to range ids. Ranges that do not exist are left out.
pub(crate) fn range_ids_from_proto(numbers: &[u32]) -> Vec<RangeId> {
    numbers.iter().copied().filter_map(RangeId::from_number).collect()
}

/// Converts a task id from its message. Returns `None` if the customer or key is invalid.
pub(crate) fn task_id_from_proto(id: &proto::TaskId) -> Option<TaskId> {
    let job = JobId { customer: id.customer.parse().ok()?, key: id.key.parse().ok()? };
    Some(TaskId { job, index: TaskIndex::new(id.index) })
}

/// Converts a task id to its message.
pub(crate) fn task_id_to_proto(task: &TaskId) -> proto::TaskId {
    proto::TaskId {
        customer: task.job.customer.to_string(),
        key: task.job.key.to_string(),
        index: task.index.get(),
    }
}

fn stage_from_proto(stage: proto::TaskStage) -> Stage {
    match stage {
        proto::TaskStage::Queued => Stage::Queued,
        proto::TaskStage::Started => Stage::Started,
        proto::TaskStage::Succeeded => Stage::Succeeded,
        proto::TaskStage::Errored => Stage::Errored,
        proto::TaskStage::NotStarted => Stage::NotStarted,
        proto::TaskStage::Unknown => Stage::Unknown,
    }
}

fn stage_to_proto(stage: Stage) -> proto::TaskStage {
    match stage {
        Stage::Queued => proto::TaskStage::Queued,
        Stage::Started => proto::TaskStage::Started,
        Stage::Succeeded => proto::TaskStage::Succeeded,
        Stage::Errored => proto::TaskStage::Errored,
        Stage::NotStarted => proto::TaskStage::NotStarted,
        Stage::Unknown => proto::TaskStage::Unknown,
    }
}

/// Converts an agent's report from its message.
///
/// A stage that this version does not know becomes [`Stage::Unknown`].
pub(crate) fn report_from_proto(report: &proto::TaskReport) -> Report {
    let stage = proto::TaskStage::try_from(report.stage).unwrap_or(proto::TaskStage::Unknown);
    Report {
        stage: stage_from_proto(stage),
        output: report.output.as_str().into(),
        run_time: Duration::from_micros(report.run_micros),
    }
}

/// Converts an agent's report on a task to its message.
pub(crate) fn report_to_proto(
    task: &TaskId,
    fingerprint: u64,
    report: &Report,
) -> proto::TaskReport {
    proto::TaskReport {
        task: Some(task_id_to_proto(task)),
        stage: stage_to_proto(report.stage) as i32,
        output: report.output.to_string(),
        run_micros: u64::try_from(report.run_time.as_micros()).unwrap_or(u64::MAX),
        fingerprint,
    }
}

/// Converts a task that an agent holds to its message.
pub(crate) fn held_task_to_proto(task: &TaskId, held: &HeldTask) -> proto::TaskReport {
    report_to_proto(task, held.fingerprint, &held.report)
}

/// Converts a task that `agent` holds from its message.
///
/// Returns `None` if the message has no valid task id.
pub(crate) fn recovered_task_from_proto(
    agent: &Incarnation,
    held: &proto::TaskReport,
) -> Option<(TaskId, RecoveredTask)> {
    let task = task_id_from_proto(held.task.as_ref()?)?;
    let (agent, fingerprint) = (agent.clone(), held.fingerprint);
    Some((task, RecoveredTask { agent, fingerprint, report: report_from_proto(held) }))
}

fn outcome_to_proto(outcome: TaskOutcome) -> proto::TaskOutcome {
    match outcome {
        TaskOutcome::Done => proto::TaskOutcome::Done,
        TaskOutcome::Error => proto::TaskOutcome::Error,
        TaskOutcome::NotRun => proto::TaskOutcome::NotRun,
        TaskOutcome::MayHaveRun => proto::TaskOutcome::MayHaveRun,
    }
}

fn task_answer_to_proto<F>(index: u32, state: &TaskState, endpoint_of: &F) -> proto::TaskAnswer
where
    F: Fn(&Incarnation) -> String,
{
    let endpoint_name = |agent: &Incarnation| endpoint_of(agent);
    let (outcome, endpoint, output) = match state {
        TaskState::Waiting => (proto::TaskOutcome::Pending, String::new(), String::new()),
        TaskState::Sent { to } => (proto::TaskOutcome::Pending, endpoint_name(to), String::new()),
        TaskState::Ended { outcome, agent, output } => (
            outcome_to_proto(*outcome),
            agent.as_ref().map(endpoint_name).unwrap_or_default(),
            output.to_string(),
        ),
    };
    proto::TaskAnswer { index, outcome: outcome as i32, endpoint, output }
}

/// Converts the current state of a job to the answer for its caller.
///
/// `endpoint_of` returns the endpoint name of an agent incarnation.
pub(crate) fn job_answer_to_proto<F>(job: &Job, endpoint_of: F) -> proto::JobAnswer
where
    F: Fn(&Incarnation) -> String,
{
    let (state, reason) = match job.phase() {
        JobPhase::Running | JobPhase::Stopping { .. } => (proto::JobState::Running, ""),
        JobPhase::Complete => (proto::JobState::Complete, ""),
        JobPhase::Failed { reason } => (proto::JobState::Failed, reason.as_str()),
    };
    let tasks = (0..).zip(job.tasks());
    proto::JobAnswer {
        customer: job.id().customer.to_string(),
        key: job.id().key.to_string(),
        state: state as i32,
        reason: reason.to_owned(),
        tasks: tasks.map(|(index, task)| task_answer_to_proto(index, task, &endpoint_of)).collect(),
        retry_after_ms: 0,
    }
}
