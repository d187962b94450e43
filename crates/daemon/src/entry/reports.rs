//! Handles the reports of agents.

use cowslipwing_claims::{JobPhase, Report, Stage};
use cowslipwing_policy::TaskResult;
use cowslipwing_proto::{FromAgent, TaskReport};
use cowslipwing_types::{Incarnation, TaskId};

use super::dispatch::UNSPECIFIED_KIND;
use super::jobs::on_job_changed;
use super::shared::{QueueItem, Shared, lock};
use crate::convert::{report_from_proto, task_id_from_proto};

/// Handles a batch of credits and reports from an agent. Ignores a batch that names another
/// incarnation.
pub(crate) fn on_batch(shared: &Shared, agent: &Incarnation, batch: &FromAgent) {
    if batch.incarnation != agent.as_str() {
        return;
    }
    if batch.credits > 0 {
        let mut dispatch = lock(&shared.dispatch);
        dispatch.dispatcher.on_credits(agent, batch.credits);
    }
    for message in &batch.reports {
        on_report(shared, agent, message);
    }
    shared.dispatch_wakeup.notify_one();
}

/// Applies a report to its task, and queues the task again if it was not started.
fn on_report(shared: &Shared, agent: &Incarnation, message: &TaskReport) {
    let Some(task) = message.task.as_ref().and_then(task_id_from_proto) else {
        return;
    };
    let report = report_from_proto(message);
    if report.stage.is_final() {
        record_task_end(shared, agent, &task, &report);
    }
    let range = task.job.range();
    let mut shard = shared.shard(range);
    let now = shared.now();
    let Some(open) = shard.open_jobs.get_mut(&task.job) else {
        return;
    };
    let changed = open.job.on_report(now, task.index, agent, &report);
    let must_requeue = report.stage == Stage::NotStarted && open.job.phase() == JobPhase::Running;
    if changed && must_requeue {
        let queued = QueueItem { job: task.job.clone(), range, requirements: open.requirements };
        let mut dispatch = lock(&shared.dispatch);
        let cost = dispatch.dispatcher.estimates.get(&task.job.customer, UNSPECIFIED_KIND, None);
        dispatch.dispatcher.queue.push(&task.job.customer, queued, 1, cost);
    }
    if changed {
        on_job_changed(shared, &mut shard, range, &task.job);
    }
}

/// Updates the estimates and the agent's health with a task that has ended at the agent.
fn record_task_end(shared: &Shared, agent: &Incarnation, task: &TaskId, report: &Report) {
    let result = match report.stage {
        Stage::Succeeded => TaskResult::Succeeded(report.run_time),
        Stage::Errored | Stage::Unknown => TaskResult::Failed,
        Stage::Queued | Stage::Started | Stage::NotStarted => TaskResult::NotStarted,
    };
    lock(&shared.dispatch).dispatcher.on_ended(shared.now(), agent, task, result);
    if report.stage == Stage::Succeeded {
        shared.metrics.time("entry.tasks.run", report.run_time);
    }
}

/// Handles the loss of an agent that was superseded or silent for too long: the tasks that were
/// sent to it may have run.
pub(crate) fn on_agent_lost(shared: &Shared, agent: &Incarnation) {
    let now = shared.now();
    for range in shared.ranges() {
        let mut shard = shared.shard(range);
        let jobs: Vec<_> = shard.open_jobs.keys().cloned().collect();
        for job in jobs {
            if let Some(open) = shard.open_jobs.get_mut(&job) {
                open.job.on_agent_lost(now, agent);
            }
            on_job_changed(shared, &mut shard, range, &job);
        }
    }
}
