//! Handles what agents report of the runs that they were sent.

use std::time::Duration;

use crate::id::{AgentId, TaskName};
use crate::job::Answer;

use super::task::TaskState;
use super::{
    Action, Decision, MIN_SLOWNESS, MIN_WORK_SECS, RunStatus, STALE_RUN_INCREMENT, Scheduler,
    TaskEvent,
};

impl Scheduler {
    /// Handles a task event from an agent.
    pub fn on_task_event(&mut self, now: Duration, agent: &AgentId, event: &TaskEvent) {
        let name = &event.run.task;
        if event.status.ends_run() {
            self.ending_runs.on_end(agent, &event.run);
        }
        let Some(index) = self.find_sent(name, agent, event.run.number) else {
            return;
        };
        if !matches!(event.status, RunStatus::Done(_) | RunStatus::Slow(_) | RunStatus::Overrun(_))
        {
            let (run, agent, status) = (event.run.clone(), agent.clone(), event.status);
            self.actions.push(Action::Record(Decision::Returned { run, agent, status }));
        }
        match event.status {
            RunStatus::Done(run_time) => self.on_done(now, name, index, run_time),
            RunStatus::Failed => self.on_failed(now, name, index, agent),
            RunStatus::Crashed(role) => self.on_crashed(now, index, agent, event, role),
            RunStatus::KnownSuspect => self.on_known_suspect(now, index, agent, name),
            RunStatus::NotStarted | RunStatus::StaleRun | RunStatus::Stopped => {
                if let Some(job) = self.jobs.get_mut(&name.request) {
                    job.tasks[index].on_returned(event.status, agent, STALE_RUN_INCREMENT);
                }
                self.place_task(now, &name.request, index);
            }
            RunStatus::Slow(left) => {
                self.record_running(now, name, index);
                let work = self.confirmed_work(now, name, index, left);
                self.consider_move(now, name, index, agent, left, work);
            }
            RunStatus::Overrun(left) => {
                self.record_running(now, name, index);
                let work = self.observed_work(now, name, index, left);
                self.consider_move(now, name, index, agent, left, work);
            }
        }
    }

    /// Records that a task is known to run.
    fn record_running(&mut self, now: Duration, name: &TaskName, index: usize) {
        if let Some(job) = self.jobs.get_mut(&name.request) {
            job.tasks[index].may_have_started = true;
        }
        self.settle_withdrawal(now, &name.request);
    }

    /// Returns the index of a task if `agent` has its latest run and that run has this number.
    pub(super) fn find_sent(
        &self,
        name: &TaskName,
        agent: &AgentId,
        run_number: u32,
    ) -> Option<usize> {
        let job = self.jobs.get(&name.request)?;
        let index = job.index_of(name)?;
        let task = &job.tasks[index];
        (task.is_sent_to(agent) && task.last_run == run_number).then_some(index)
    }

    fn on_done(&mut self, now: Duration, name: &TaskName, index: usize, run_time: Duration) {
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let declared_run_time = job.spec.steps[usize::from(name.step)].declared_run_time;
        let previous = std::mem::replace(&mut job.tasks[index].state, TaskState::Done);
        let TaskState::Sent { expected_run_time, expected_work, .. } = previous else {
            return;
        };
        // The endpoint's slowness is the ratio of the expected run time to the expected work.
        let slowness =
            expected_run_time.as_secs_f64() / expected_work.as_secs_f64().max(MIN_WORK_SECS);
        let work = run_time.mul_f64(1.0 / slowness.max(MIN_SLOWNESS));
        self.predictor.observe(&job.spec.queue, declared_run_time, work);
        self.containment.on_completed(&job.spec.queue);
        if job.is_done() {
            self.end_job(&name.request, Some(Answer::Completed));
        } else {
            self.place_ready(now, &name.request);
        }
    }

    fn on_failed(&mut self, now: Duration, name: &TaskName, index: usize, agent: &AgentId) {
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.on_failed(agent);
        if task.failures >= job.spec.terms.max_attempts.max(1) {
            self.end_job(&name.request, Some(Answer::Failed));
        } else {
            self.place_task(now, &name.request, index);
        }
    }
}
