//! Takes the waiting tasks of a job back from agents before the job is answered.
//!
//! During a burst of load, the tasks of a job may all wait at agents until the job can no longer be
//! served. Whether one of them has started is known to the agents only, so the entry cancels them
//! and waits a short time for the confirmations. A job of which no task has started is refused
//! truthfully; otherwise the answer is that it may have run.

use std::time::Duration;

use crate::id::{RequestId, TaskRun};
use crate::job::{Answer, RefusalReason};

use super::task::{Job, TaskState};
use super::{Action, Decision, Scheduler};

/// Longest time for which an answer may be held until the tasks are confirmed as not started.
pub(super) const MAX_HOLD_TIME: Duration = Duration::from_millis(50);
/// Longest interval between two ticks of the scheduler while jobs are open.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which missing confirmations are not awaited any longer. The tick that notices it may
/// come one interval later.
const CONFIRMATION_TIMEOUT: Duration = MAX_HOLD_TIME.saturating_sub(TICK_INTERVAL);

/// What is known of a job whose tasks are withdrawn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// No task has started, and none will.
    NotStarted,
    /// A task has started or may have started, and not all tasks are done.
    MayHaveStarted,
    /// The agents of some tasks have not answered.
    Unconfirmed,
}

impl Progress {
    fn of(job: &Job) -> Self {
        let is_sent = |state: &TaskState| matches!(state, TaskState::Sent { .. });
        let any_sent = job.tasks.iter().any(|task| is_sent(&task.state));
        let any_waiting = job.tasks.iter().any(|task| task.state == TaskState::Waiting);
        // Runs that ended just before they were cancelled may still complete the job.
        let may_complete = any_sent && !any_waiting && !job.may_have_lost_run();
        if job.is_known_to_have_started() && !may_complete {
            Self::MayHaveStarted
        } else if any_sent {
            Self::Unconfirmed
        } else {
            Self::NotStarted
        }
    }
}

impl Scheduler {
    /// Ends a job that can no longer be served in time. If no task of it is known to have started,
    /// those at agents are withdrawn first.
    pub(super) fn end_unserved(&mut self, now: Duration, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.withdrawn_at.is_some() {
            self.settle_withdrawal(now, id);
        } else if job.is_known_to_have_started() {
            self.give_up(now, id);
        } else if job.has_sent_tasks() {
            self.withdraw(now, id);
        } else {
            self.refuse_unstarted(now, id);
        }
    }

    /// Cancels the tasks of a job at their agents, whose answers decide about the answer to the job.
    fn withdraw(&mut self, now: Duration, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.withdrawn_at = Some(now);
        for task in &mut job.tasks {
            if let TaskState::Sent { agent, cancelled, .. } = &mut task.state
                && !std::mem::replace(cancelled, true)
            {
                let run = TaskRun { task: task.name.clone(), number: task.last_run };
                self.actions.push(Action::Cancel(agent.clone(), run));
            }
        }
    }

    /// Answers a job whose tasks are being withdrawn, once the answer is known.
    pub(super) fn settle_withdrawal(&mut self, now: Duration, id: &RequestId) {
        let Some((job, withdrawn_at)) =
            self.jobs.get(id).and_then(|job| Some((job, job.withdrawn_at?)))
        else {
            return;
        };
        let progress = Progress::of(job);
        let held_for = now.saturating_sub(withdrawn_at);
        if progress == Progress::Unconfirmed && held_for < CONFIRMATION_TIMEOUT {
            return;
        }
        let is_sent = |state: &TaskState| matches!(state, TaskState::Sent { .. });
        let decision = Decision::Withdrawn {
            id: id.clone(),
            queue: job.spec.queue.clone(),
            tasks: job.tasks.len(),
            unconfirmed: job.tasks.iter().filter(|task| is_sent(&task.state)).count(),
            not_started: progress == Progress::NotStarted,
            held_for,
        };
        self.actions.push(Action::Record(decision));
        if progress == Progress::NotStarted {
            self.refuse_unstarted(now, id);
        } else {
            self.give_up(now, id);
        }
    }

    /// Returns whether the tasks of a job are being withdrawn.
    pub(super) fn is_withdrawn(&self, id: &RequestId) -> bool {
        self.jobs.get(id).is_some_and(|job| job.withdrawn_at.is_some())
    }

    /// Answers the jobs whose tasks were not confirmed as not started in time.
    pub(super) fn expire_withdrawals(&mut self, now: Duration) {
        let withdrawn = self.jobs.iter().filter(|(_, job)| job.withdrawn_at.is_some());
        let ids: Vec<RequestId> = withdrawn.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.settle_withdrawal(now, &id);
        }
    }

    fn give_up(&mut self, now: Duration, id: &RequestId) {
        let retry_after = self.settings.entry_lease;
        let reason = self.give_up_reason(now);
        self.end_job(id, Some(Answer::GaveUp { reason, retry_after }));
    }

    fn refuse_unstarted(&mut self, now: Duration, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let retry_after = self.retry_after(now, &job.spec, self.settings.entry_lease);
        let reason = if self.is_stop_due(now) {
            RefusalReason::Stopping
        } else if self.usable_endpoints(now) == 0 {
            RefusalReason::NoEndpoint
        } else {
            RefusalReason::Load
        };
        self.end_job(id, Some(Answer::Refused { reason, retry_after }));
    }
}
