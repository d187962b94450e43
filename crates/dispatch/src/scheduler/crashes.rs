//! Decides whether a task may start again after an endpoint crashed under it.
//!
//! A task may crash every endpoint that starts it. Each start then takes an endpoint away from all
//! callers for seconds, so the job ends once two endpoints have crashed soon after they had started
//! the task. A task that had run for longer more likely ran beside the one that caused the crash, and
//! may survive one crash more.

use std::time::Duration;

use crate::id::AgentId;
use crate::job::Answer;

use super::{Action, Decision, Scheduler, TaskEvent};

/// Number of crashes soon after the start of a task from which its job is given up.
const MAX_SUSPECTED_CRASHES: u32 = 2;
/// Number of crashes at any time of a task's runs from which its job is given up.
const MAX_CRASHES: u32 = 3;

impl Scheduler {
    /// Handles a run that was lost because its endpoint crashed.
    pub(super) fn on_crashed(
        &mut self,
        now: Duration,
        index: usize,
        agent: &AgentId,
        event: &TaskEvent,
        is_suspect: bool,
    ) {
        let name = &event.run.task;
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.on_crashed(agent, is_suspect);
        if task.suspected_crashes < MAX_SUSPECTED_CRASHES && task.crashes < MAX_CRASHES {
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
