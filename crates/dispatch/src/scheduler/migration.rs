//! Decides which running tasks are stopped.
//!
//! An endpoint may become slow or stall while tasks run. A task is moved to another endpoint if it
//! would meet its objective or its caller's deadline only there, or if it misses its objective here
//! and would end there in less than half of the remaining time. If a task turns out to be more work
//! than its caller waits for, its job ends.

use std::time::Duration;

use crate::id::{AgentId, TaskName, TaskRun};

use super::selection::EndpointQuery;
use super::task::TaskState;
use super::{Action, Decision, MIN_WORK_SECS, Scheduler};

/// Time to stop a task at one endpoint and start it at another.
const MOVE_TIME: Duration = Duration::from_millis(40);
/// Time past the deadline by which a task must be projected to end before its job is given up. It
/// covers the error of progress, which is listed in whole percents.
const OVERRUN_MARGIN: Duration = Duration::from_millis(60);

impl Scheduler {
    /// Returns the work of a running task that needs `left` more time, or `None` if no agent has
    /// the task.
    pub(super) fn observed_work(
        &self,
        now: Duration,
        name: &TaskName,
        index: usize,
        left: Duration,
    ) -> Option<Duration> {
        let job = self.jobs.get(&name.request)?;
        let TaskState::Sent { sent_at, expected_run_time, expected_work, .. } =
            &job.tasks[index].state
        else {
            return None;
        };
        let run_time = now.saturating_sub(*sent_at) + left;
        Some(run_time.mul_f64(
            expected_work.as_secs_f64() / expected_run_time.as_secs_f64().max(MIN_WORK_SECS),
        ))
    }

    /// Returns the work of a slow task that needs `left` more time if an earlier run at another
    /// endpoint was slow as well, so that the task and not an endpoint is the likely cause.
    pub(super) fn confirmed_work(
        &mut self,
        now: Duration,
        name: &TaskName,
        index: usize,
        left: Duration,
    ) -> Option<Duration> {
        let work = self.observed_work(now, name, index, left)?;
        let task = &mut self.jobs.get_mut(&name.request)?.tasks[index];
        match task.slow_run {
            Some((run, earlier)) if run != task.last_run => {
                (work * 2 >= earlier).then(|| work.min(earlier))
            }
            _ => {
                task.slow_run = Some((task.last_run, work));
                None
            }
        }
    }

    /// Ends a job with a task that its caller will not wait for, and learns from the task's work, of
    /// which no end will tell.
    fn end_overrun(
        &mut self,
        now: Duration,
        name: &TaskName,
        index: usize,
        agent: &AgentId,
        left: Duration,
        work: Duration,
    ) {
        if let Some(job) = self.jobs.get(&name.request) {
            let declared_run_time = job.spec.steps[usize::from(name.step)].declared_run_time;
            self.predictor.observe(&job.spec.queue, declared_run_time, work);
            self.actions.push(Action::Record(Decision::Overrun {
                run: TaskRun { task: name.clone(), number: job.tasks[index].last_run },
                agent: agent.clone(),
                remaining_here: left,
                deadline: job.deadline.saturating_sub(now),
            }));
        }
        self.end_unserved(now, &name.request);
    }

    /// Stops a task that needs `left` more time if it should move to another endpoint.
    ///
    /// `work` is the observed work of a task that is more work than expected, and `None` for a task
    /// that is only slow. If a task with observed work misses its caller's deadline by more than
    /// [`OVERRUN_MARGIN`] and would not meet it at the selected endpoint either, its job ends.
    pub(super) fn consider_move(
        &mut self,
        now: Duration,
        name: &TaskName,
        index: usize,
        agent: &AgentId,
        left: Duration,
        work: Option<Duration>,
    ) {
        let Some(job) = self.jobs.get(&name.request) else {
            return;
        };
        let step = &job.spec.steps[usize::from(name.step)];
        let deadline = job.deadline;
        let misses_deadline = now + left > deadline + OVERRUN_MARGIN;
        let initial = EndpointQuery::initial(step, job.tasks[index].rotation());
        let excluded_vms = &job.tasks[index].excluded_vms;
        let query =
            EndpointQuery { observed_work: work, avoid: Some(agent), excluded_vms, ..initial };
        let selected = self.select_endpoint(now, job, query);
        let Some(selected) = selected.filter(|selected| selected.agent != *agent) else {
            if let Some(work) = work.filter(|_| misses_deadline) {
                self.end_overrun(now, name, index, agent, left, work);
            }
            return;
        };
        let promised =
            selected.work.mul_f64(job.spec.terms.stretch) + job.spec.terms.target_latency;
        let objective = (job.sent_at + promised).min(deadline);
        let end_elsewhere = now + MOVE_TIME + selected.forecast.response_time();
        let end_here = now + left;
        let saves_objective = end_here > objective && end_elsewhere <= objective;
        let saves_answer = end_here > deadline && end_elsewhere < deadline;
        let is_much_earlier = end_here > objective && (end_elsewhere - now) * 2 < left;
        if !(saves_objective || saves_answer || is_much_earlier) {
            if let Some(work) = work.filter(|_| misses_deadline) {
                self.end_overrun(now, name, index, agent, left, work);
            }
            return;
        }
        let decision = |run: &TaskRun| Decision::Moved {
            run: run.clone(),
            agent: agent.clone(),
            remaining_here: left,
            time_elsewhere: end_elsewhere - now,
        };
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let task = &mut job.tasks[index];
        let TaskState::Sent { cancelled, .. } = &mut task.state else {
            return;
        };
        if std::mem::replace(cancelled, true) {
            return;
        }
        let run = TaskRun { task: name.clone(), number: task.last_run };
        self.actions.push(Action::Record(decision(&run)));
        self.actions.push(Action::Cancel(agent.clone(), run));
    }
}
