//! Decides whether a task may start again after an endpoint crashed under it.
//!
//! A task may crash every endpoint that starts it. Each start then takes an endpoint away from all
//! callers for seconds, so the job ends once two endpoints have crashed under one of its tasks. A
//! single crash does not tell the task that caused it from those that ran beside it.

use std::time::Duration;

use crate::id::AgentId;
use crate::job::Answer;

use super::{Action, Decision, Scheduler, TaskEvent};

/// Number of endpoints that may crash under a task before its job is given up.
const MAX_CRASHES: u32 = 2;

impl Scheduler {
    /// Handles a run that was lost because its endpoint crashed.
    pub(super) fn on_crashed(
        &mut self,
        now: Duration,
        index: usize,
        agent: &AgentId,
        event: &TaskEvent,
    ) {
        let name = &event.run.task;
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.on_crashed(agent);
        if task.crashes < MAX_CRASHES {
            self.place_task(now, &name.request, index);
            return;
        }
        let decision = Decision::CrashLimitReached {
            run: event.run.clone(),
            agent: agent.clone(),
            crashes: task.crashes,
        };
        self.actions.push(Action::Record(decision));
        self.end_job(&name.request, Some(Answer::Failed));
    }
}
