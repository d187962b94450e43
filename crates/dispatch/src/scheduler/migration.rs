//! Which running tasks are stopped.
//!
//! Answers endpoints that turn slow or stand still under their tasks: these move where that saves their
//! objective. A task that is more work than its caller waits ends its job.

use std::time::Duration;

use crate::id::{AgentId, TaskName, TaskRun};

use super::selection::Ask;
use super::task::TaskState;
use super::{Action, Decision, Scheduler};

/// Time to stop a task at one endpoint and to start it at another.
const MOVE_TIME: Duration = Duration::from_millis(40);
/// Time past the deadline by which a task must be projected to end for its job to be given up; progress
/// is listed in whole percents.
const OVERRUN: Duration = Duration::from_millis(60);

impl Scheduler {
    /// Returns how much work a running task is that needs `left` more.
    pub(super) fn work_seen(
        &self,
        now: Duration,
        name: &TaskName,
        at: usize,
        left: Duration,
    ) -> Option<Duration> {
        let job = self.jobs.get(&name.request)?;
        let TaskState::Sent { sent_at, expected, work, .. } = &job.tasks[at].state else {
            return None;
        };
        let takes = now.saturating_sub(*sent_at) + left;
        Some(takes.mul_f64(work.as_secs_f64() / expected.as_secs_f64().max(0.001)))
    }

    /// Stops a slow task where it would end in time elsewhere, or much earlier.
    pub(super) fn consider_move(
        &mut self,
        now: Duration,
        name: &TaskName,
        at: usize,
        agent: &AgentId,
        left: Duration,
        work: Option<Duration>,
    ) {
        let Some(job) = self.jobs.get(&name.request) else {
            return;
        };
        let step = &job.spec.steps[usize::from(name.step)];
        let deadline = job.deadline;
        let is_hopeless = now + left > deadline + OVERRUN;
        let first = Ask::first(step, job.tasks[at].turn());
        let ask = Ask { work_seen: work, avoid: Some(agent), ..first };
        let choice = self.choose(now, job, ask);
        let Some(choice) = choice.filter(|choice| choice.agent != *agent) else {
            if is_hopeless && work.is_some() {
                self.end_unserved(now, &name.request);
            }
            return;
        };
        let promised = choice.work.mul_f64(job.spec.terms.stretch) + job.spec.terms.target_latency;
        let objective = (job.sent_at + promised).min(deadline);
        let there = now + MOVE_TIME + choice.forecast.response_time();
        let here = now + left;
        let saves_objective = here > objective && there <= objective;
        let saves_answer = here > deadline && there < deadline;
        let much_earlier = here > objective && (there - now) * 2 < left;
        if !(saves_objective || saves_answer || much_earlier) {
            if is_hopeless && work.is_some() {
                self.end_unserved(now, &name.request);
            }
            return;
        }
        let decision = |run: &TaskRun| Decision::Moved {
            run: run.clone(),
            agent: agent.clone(),
            remaining_here: left,
            time_elsewhere: there - now,
        };
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let task = &mut job.tasks[at];
        let TaskState::Sent { cancelled, .. } = &mut task.state else {
            return;
        };
        if std::mem::replace(cancelled, true) {
            return;
        }
        let run = TaskRun { task: name.clone(), run: task.runs };
        self.actions.push(Action::Record(decision(&run)));
        self.actions.push(Action::Cancel(agent.clone(), run));
    }
}
