//! Jobs and tasks as an entry sees them.

use std::time::Duration;

use crate::id::{AgentId, TaskName, TaskRun};
use crate::job::JobSpec;

use super::Fate;

/// Where a task is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TaskState {
    /// At the entry.
    Waiting,
    /// At an agent, as far as is known.
    Sent { agent: AgentId, sent_at: Duration, expected: Duration, work: Duration, cancelled: bool },
    /// Done.
    Done,
}

/// A task of an open job.
pub(super) struct Task {
    pub(super) name: TaskName,
    pub(super) state: TaskState,
    /// Number of the latest run.
    pub(super) runs: u32,
    pub(super) failures: u32,
    /// Agent where it failed or crawled last.
    pub(super) avoid: Option<AgentId>,
    /// Some run of it may have started.
    pub(super) may_have_started: bool,
}

impl Task {
    fn new(name: TaskName) -> Self {
        Self {
            name,
            state: TaskState::Waiting,
            runs: 0,
            failures: 0,
            avoid: None,
            may_have_started: false,
        }
    }

    /// Returns a number that differs between tasks and between runs.
    pub(super) fn turn(&self) -> usize {
        self.name.index as usize + self.runs as usize
    }

    /// Tells whether no agent has it and none had.
    pub(super) fn is_idle(&self) -> bool {
        self.state == TaskState::Waiting && !self.may_have_started
    }

    pub(super) fn send(
        &mut self,
        now: Duration,
        agent: &AgentId,
        expected: Duration,
        work: Duration,
    ) -> TaskRun {
        self.runs += 1;
        self.state = TaskState::Sent {
            agent: agent.clone(),
            sent_at: now,
            expected,
            work,
            cancelled: false,
        };
        TaskRun { task: self.name.clone(), run: self.runs }
    }

    /// Takes the task back from an agent.
    pub(super) fn on_back(&mut self, fate: Fate, agent: &AgentId, stale_step: u32) {
        self.state = TaskState::Waiting;
        match fate {
            Fate::StaleRun => self.runs += stale_step,
            Fate::NotStarted => self.avoid = Some(agent.clone()),
            _ => {
                self.avoid = Some(agent.clone());
                self.may_have_started = true;
            }
        }
    }

    pub(super) fn on_failed(&mut self, agent: &AgentId) {
        self.state = TaskState::Waiting;
        self.failures += 1;
        self.may_have_started = true;
        self.avoid = Some(agent.clone());
    }
}

/// An open job.
pub(super) struct Job {
    pub(super) spec: std::sync::Arc<JobSpec>,
    /// When the caller sent the request, as far as can be told.
    pub(super) sent_at: Duration,
    /// When it is to be done if the declared times are right.
    pub(super) objective: Duration,
    pub(super) deadline: Duration,
    /// In the order of their names.
    pub(super) tasks: Vec<Task>,
}

impl Job {
    pub(super) fn new(now: Duration, spec: JobSpec, transfer: Duration) -> Self {
        let promised = spec.longest_chain().mul_f64(spec.terms.stretch) + spec.terms.target_latency;
        let steps = (0u16..).zip(&spec.steps);
        let names = steps.flat_map(|(step, found)| (0..found.count).map(move |at| (step, at)));
        let name = |(step, index)| TaskName { request: spec.id.clone(), step, index };
        let tasks = names.map(|at| Task::new(name(at))).collect();
        Self {
            sent_at: now.saturating_sub(transfer),
            objective: now + promised.saturating_sub(transfer),
            deadline: now + spec.caller_timeout.saturating_sub(transfer),
            tasks,
            spec: std::sync::Arc::new(spec),
        }
    }

    pub(super) fn index_of(&self, name: &TaskName) -> Option<usize> {
        self.tasks.binary_search_by(|task| task.name.cmp(name)).ok()
    }

    fn step_done(&self, step: u16) -> bool {
        let mut of_step = self.tasks.iter().filter(|task| task.name.step == step);
        of_step.all(|task| task.state == TaskState::Done)
    }

    /// Returns the tasks at the entry whose earlier steps are done.
    pub(super) fn ready(&self) -> Vec<usize> {
        let is_ready = |task: &Task| {
            task.state == TaskState::Waiting
                && self.spec.steps[usize::from(task.name.step)]
                    .depends_on
                    .iter()
                    .all(|step| self.step_done(*step))
        };
        let waiting = self.tasks.iter().enumerate().filter(|(_, task)| is_ready(task));
        waiting.map(|(at, _)| at).collect()
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::Waiting)
    }

    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Tells whether some task is at an agent, done, or was.
    pub(super) fn has_started(&self) -> bool {
        self.tasks.iter().any(|task| !task.is_idle())
    }

    /// Tells whether some task may have run or may still start.
    pub(super) fn may_have_started(&self) -> bool {
        self.has_started()
    }

    /// Returns how many tasks of a step each agent has.
    pub(super) fn used(&self, step: u16) -> Vec<(AgentId, u32)> {
        let mut used: Vec<(AgentId, u32)> = Vec::new();
        if self.spec.steps[usize::from(step)].max_per_endpoint == 0 {
            return used;
        }
        for task in self.tasks.iter().filter(|task| task.name.step == step) {
            if let TaskState::Sent { agent, .. } = &task.state {
                match used.iter_mut().find(|(known, _)| known == agent) {
                    Some((_, count)) => *count += 1,
                    None => used.push((agent.clone(), 1)),
                }
            }
        }
        used
    }
}
