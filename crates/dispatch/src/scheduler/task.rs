//! The state of jobs and tasks at an entry.

use std::time::Duration;

use compact_str::CompactString;

use crate::crash_log::{CrashCount, CrashRecord};
use crate::id::{AgentId, TaskName, TaskRun};
use crate::job::JobSpec;

use super::locality::TaskWait;
use super::{CrashRole, RunStatus};

/// The location of a task.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TaskState {
    /// The task waits at the entry.
    Waiting,
    /// The task was sent to an agent and is not known to have ended.
    Sent {
        agent: AgentId,
        sent_at: Duration,
        expected_run_time: Duration,
        expected_work: Duration,
        /// Whether a cancellation of the run was sent to the agent.
        cancelled: bool,
    },
    /// The task completed.
    Done,
}

/// A task of an open job.
pub(super) struct Task {
    pub(super) name: TaskName,
    pub(super) state: TaskState,
    /// Number of the latest run, or 0 if the task was never sent.
    pub(super) last_run: u32,
    pub(super) failures: u32,
    /// Endpoints that crashed while the task was or may have been there.
    pub(super) crashes: CrashCount,
    /// Names of the VMs whose endpoints the task is suspected to have crashed. It is not sent there
    /// again.
    pub(super) excluded_vms: Vec<CompactString>,
    /// Agent that last failed, returned or lost the task.
    pub(super) avoid: Option<AgentId>,
    /// Whether any run of the task may have started.
    pub(super) may_have_started: bool,
    /// Number of a run that was reported as slow, and the work that its progress showed.
    pub(super) slow_run: Option<(u32, Duration)>,
    /// Wait for the rack of the data, if there was any.
    pub(super) near_wait: Option<TaskWait>,
}

impl Task {
    fn new(name: TaskName) -> Self {
        Self {
            name,
            state: TaskState::Waiting,
            last_run: 0,
            failures: 0,
            crashes: CrashCount::default(),
            excluded_vms: Vec::new(),
            avoid: None,
            may_have_started: false,
            slow_run: None,
            near_wait: None,
        }
    }

    /// Returns a number that differs between tasks and between runs, so that different subsets of
    /// the endpoints are compared for them.
    pub(super) fn rotation(&self) -> usize {
        self.name.index as usize + self.last_run as usize
    }

    /// Returns whether the task waits at the entry and none of its runs may have started.
    pub(super) fn is_unstarted(&self) -> bool {
        self.state == TaskState::Waiting && !self.may_have_started
    }

    /// Returns whether the task is suspected of a crash.
    pub(super) fn is_suspect(&self) -> bool {
        !self.excluded_vms.is_empty()
    }

    /// Returns whether the task was sent to `agent` and is not known to have ended.
    pub(super) fn is_sent_to(&self, agent: &AgentId) -> bool {
        matches!(&self.state, TaskState::Sent { agent: sent_to, .. } if sent_to == agent)
    }

    pub(super) fn send(
        &mut self,
        now: Duration,
        agent: &AgentId,
        expected_run_time: Duration,
        expected_work: Duration,
    ) -> TaskRun {
        self.last_run += 1;
        self.state = TaskState::Sent {
            agent: agent.clone(),
            sent_at: now,
            expected_run_time,
            expected_work,
            cancelled: false,
        };
        TaskRun { task: self.name.clone(), number: self.last_run }
    }

    /// Handles the return of the task by an agent.
    pub(super) fn on_returned(
        &mut self,
        status: RunStatus,
        agent: &AgentId,
        stale_run_increment: u32,
    ) {
        self.state = TaskState::Waiting;
        match status {
            RunStatus::StaleRun => {
                self.last_run += stale_run_increment;
                self.may_have_started = true;
            }
            RunStatus::NotStarted => self.avoid = Some(agent.clone()),
            _ => self.on_lost(agent),
        }
    }

    pub(super) fn on_failed(&mut self, agent: &AgentId) {
        self.failures += 1;
        self.on_lost(agent);
    }

    /// Counts a crash under the task, in this attempt of the caller or in an earlier one.
    pub(super) fn add_crash(&mut self, record: &CrashRecord) {
        self.crashes.add(record.role);
        self.may_have_started = true;
        if record.role == CrashRole::Suspect {
            self.exclude_vm(&record.vm);
        }
    }

    /// Counts a crash under the task in an earlier attempt of the caller. Runs are numbered from
    /// there on, since endpoints refuse run numbers that they have seen.
    pub(super) fn add_earlier_crash(&mut self, record: &CrashRecord) {
        self.add_crash(record);
        self.last_run = self.last_run.max(record.run.number);
    }

    /// Handles the return of the task by an agent whose endpoint it may have crashed before.
    pub(super) fn on_known_suspect(&mut self, agent: &AgentId) {
        self.exclude_vm(agent.vm_name());
        self.on_lost(agent);
    }

    fn exclude_vm(&mut self, vm: &str) {
        if !self.excluded_vms.iter().any(|excluded| excluded == vm) {
            self.excluded_vms.push(vm.into());
        }
    }

    /// Returns the task to the entry after a run that may have had effects.
    pub(super) fn on_lost(&mut self, agent: &AgentId) {
        self.state = TaskState::Waiting;
        self.may_have_started = true;
        self.avoid = Some(agent.clone());
    }
}

/// An open job.
pub(super) struct Job {
    pub(super) spec: std::sync::Arc<JobSpec>,
    /// Estimated time at which the caller sent the request.
    pub(super) sent_at: Duration,
    /// Time by which the contract promises the answer, according to the declared run times.
    pub(super) objective: Duration,
    /// Time at which the caller times out.
    pub(super) deadline: Duration,
    /// Sorted by name.
    pub(super) tasks: Vec<Task>,
    /// Time at which the tasks at agents were cancelled, because the job can no longer be served.
    pub(super) withdrawn_at: Option<Duration>,
}

impl Job {
    pub(super) fn new(now: Duration, spec: JobSpec, network_delay: Duration) -> Self {
        let promised = spec.longest_chain().mul_f64(spec.terms.stretch) + spec.terms.target_latency;
        let steps = (0u16..).zip(&spec.steps);
        let positions =
            steps.flat_map(|(step, spec)| (0..spec.count).map(move |index| (step, index)));
        let name = |(step, index)| TaskName { request: spec.id.clone(), step, index };
        let tasks = positions.map(|position| Task::new(name(position))).collect();
        Self {
            sent_at: now.saturating_sub(network_delay),
            objective: now + promised.saturating_sub(network_delay),
            deadline: now + spec.caller_timeout.saturating_sub(network_delay),
            tasks,
            withdrawn_at: None,
            spec: std::sync::Arc::new(spec),
        }
    }

    pub(super) fn index_of(&self, name: &TaskName) -> Option<usize> {
        self.tasks.binary_search_by(|task| task.name.cmp(name)).ok()
    }

    fn is_step_done(&self, step: u16) -> bool {
        let mut step_tasks = self.tasks.iter().filter(|task| task.name.step == step);
        step_tasks.all(|task| task.state == TaskState::Done)
    }

    /// Returns the indices of the waiting tasks whose dependencies are done.
    pub(super) fn ready(&self) -> Vec<usize> {
        let is_ready = |task: &Task| {
            task.state == TaskState::Waiting
                && !task.is_waiting_for_rack()
                && self.spec.steps[usize::from(task.name.step)]
                    .depends_on
                    .iter()
                    .all(|step| self.is_step_done(*step))
        };
        let waiting = self.tasks.iter().enumerate().filter(|(_, task)| is_ready(task));
        waiting.map(|(index, _)| index).collect()
    }

    pub(super) fn has_waiting(&self) -> bool {
        let is_waiting =
            |task: &Task| task.state == TaskState::Waiting && !task.is_waiting_for_rack();
        self.tasks.iter().any(is_waiting)
    }

    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Returns whether any task is at an agent, is done, or may have started.
    pub(super) fn has_started(&self) -> bool {
        self.tasks.iter().any(|task| !task.is_unstarted())
    }

    /// Returns whether any task was sent to an agent and is not known to have ended.
    pub(super) fn has_sent_tasks(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.state, TaskState::Sent { .. }))
    }

    /// Returns whether any task is done or may have started, apart from those at agents of which
    /// nothing is known.
    pub(super) fn is_known_to_have_started(&self) -> bool {
        self.tasks.iter().any(|task| task.may_have_started || task.state == TaskState::Done)
    }

    /// Returns whether any task that is not done may have started.
    pub(super) fn may_have_lost_run(&self) -> bool {
        self.tasks.iter().any(|task| task.may_have_started && task.state != TaskState::Done)
    }

    /// Returns the number of tasks of a step at each agent; empty if the step has no limit.
    pub(super) fn tasks_per_agent(&self, step: u16) -> Vec<(AgentId, u32)> {
        let mut tasks_per_agent: Vec<(AgentId, u32)> = Vec::new();
        if self.spec.steps[usize::from(step)].max_per_endpoint == 0 {
            return tasks_per_agent;
        }
        for task in self.tasks.iter().filter(|task| task.name.step == step) {
            if let TaskState::Sent { agent, .. } = &task.state {
                match tasks_per_agent.iter_mut().find(|(other, _)| other == agent) {
                    Some((_, count)) => *count += 1,
                    None => tasks_per_agent.push((agent.clone(), 1)),
                }
            }
        }
        tasks_per_agent
    }
}
