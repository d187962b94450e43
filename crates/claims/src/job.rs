//! The state of a job at its owner, from submission to the final answer.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use cowslipwing_types::{Incarnation, JobId, TaskId, TaskIndex};

use crate::key::KeyFreshness;
use crate::ledger::{Report, Stage};
use crate::takeover::{RecoveredTask, Recovery};

/// How long a failed job waits for agents to confirm that tasks are taken back.
const TAKE_BACK_TIMEOUT: Duration = Duration::from_millis(250);

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TaskOutcome {
    /// Ran and succeeded.
    Done,
    /// Ran and failed.
    Error,
    /// Never started and never will.
    NotRun,
    /// Sent to an agent, or possibly sent by an earlier owner, with an unknown result.
    MayHaveRun,
}

/// The state of a task.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum TaskState {
    /// Waits to be sent to an agent.
    Waiting,
    /// Was sent to an agent.
    Sent {
        /// The agent that the task was sent to.
        to: Incarnation,
    },
    /// Ended, with an outcome that no longer changes.
    Ended {
        /// How it ended.
        outcome: TaskOutcome,
        /// The agent that ran or may have run it; absent if it did not run or the agent is unknown.
        agent: Option<Incarnation>,
        /// The endpoint's answer; empty if there is none.
        output: CompactString,
    },
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureReason {
    /// A task ran and failed.
    TaskError,
    /// A task may have run, but its result is unknown.
    TaskLost,
    /// The caller or an operator withdrew the job.
    Withdrawn,
    /// The deadline passed.
    DeadlinePassed,
}

impl FailureReason {
    /// Returns the message for the caller: the reason and, where there is one, the remedy.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TaskError => "a task failed at its endpoint; correct it and use a new key",
            Self::TaskLost => "a task may have run; check its effect before using a new key",
            Self::Withdrawn => "the job was withdrawn",
            Self::DeadlinePassed => "the deadline passed; allow more time and use a new key",
        }
    }
}

/// The phase of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum JobPhase {
    /// Tasks are waiting or running.
    Running,
    /// The job has failed; its owner waits for agents to confirm which tasks are taken back.
    Stopping {
        /// Why it has failed.
        reason: FailureReason,
        /// When the job is answered even if confirmations are missing.
        until: Instant,
    },
    /// Every task ran and succeeded.
    Complete,
    /// At least one task failed, did not run, or may have run.
    Failed {
        /// Why the job failed.
        reason: FailureReason,
    },
}

impl JobPhase {
    /// Returns whether the job has its final answer.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed { .. })
    }
}

/// A job and the state of its tasks.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_claims::{Job, JobPhase, Report, Stage};
/// use cowslipwing_types::JobId;
///
/// let now = Instant::now();
/// let id = JobId { customer: "gym".parse().unwrap(), key: "hold-1".parse().unwrap() };
/// let mut job = Job::new(id, 7, 1, now + Duration::from_secs(5));
/// let agent = "agent-1".parse().unwrap();
/// let index = job.send_next(&agent).unwrap();
/// job.on_report(now, index, &agent, &Report::new(Stage::Succeeded));
/// assert_eq!(job.phase(), JobPhase::Complete);
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Job {
    id: JobId,
    fingerprint: u64,
    tasks: Vec<TaskState>,
    /// Indexes of the waiting tasks; the next one to send is last.
    waiting: Vec<u32>,
    /// Number of tasks that have not ended.
    open: usize,
    deadline: Instant,
    phase: JobPhase,
}

impl Job {
    /// Creates a job of which no task has started.
    pub fn new(id: JobId, fingerprint: u64, tasks: u32, deadline: Instant) -> Self {
        Self {
            id,
            fingerprint,
            tasks: vec![TaskState::Waiting; tasks as usize],
            waiting: (0..tasks).rev().collect(),
            open: tasks as usize,
            deadline,
            phase: JobPhase::Running,
        }
    }

    /// Restores the state of the tasks that agents held when this owner took over.
    ///
    /// A task that no agent held waits to be sent if the key is fresh. Otherwise it may have run, and
    /// the job fails.
    pub fn recover(&mut self, now: Instant, freshness: KeyFreshness, recovery: &Recovery) {
        let indexes = || (0..self.tasks.len() as u32).map(TaskIndex::new);
        let lookup = |index| {
            let recovered = recovery.task(&TaskId { job: self.id.clone(), index });
            recovered.filter(|recovered| recovered.report.stage != Stage::NotStarted)
        };
        let held: Vec<(TaskIndex, &RecoveredTask)> =
            indexes().filter_map(|index| Some((index, lookup(index)?))).collect();
        let lost: Vec<TaskIndex> = match freshness {
            KeyFreshness::Fresh => Vec::new(),
            _ => indexes().filter(|index| lookup(*index).is_none()).collect(),
        };
        for (index, recovered) in &held {
            self.mark_sent(*index, &recovered.agent);
        }
        for index in &lost {
            self.waiting.retain(|waiting| *waiting != index.get());
            self.end_task(*index, TaskOutcome::MayHaveRun, None, CompactString::default());
        }
        if !lost.is_empty() {
            self.fail(now, FailureReason::TaskLost);
        }
        for (index, recovered) in &held {
            self.on_report(now, *index, &recovered.agent, &recovered.report);
        }
        self.finish_if_all_ended();
    }

    /// Returns the job's id: its customer and its key.
    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// Returns the hash by which two submissions under the same key are compared.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the job's current phase.
    pub fn phase(&self) -> JobPhase {
        self.phase
    }

    /// Returns the time by which the job must be answered.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the tasks in the order of their indexes.
    pub fn tasks(&self) -> &[TaskState] {
        &self.tasks
    }

    /// Returns the number of tasks that wait for an agent.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Marks the next waiting task as sent to an agent and returns its index.
    ///
    /// Returns `None` if no task is waiting or the job is no longer running.
    pub fn send_next(&mut self, to: &Incarnation) -> Option<TaskIndex> {
        if self.phase != JobPhase::Running {
            return None;
        }
        let index = TaskIndex::new(self.waiting.pop()?);
        self.tasks[index.get() as usize] = TaskState::Sent { to: to.clone() };
        Some(index)
    }

    /// Iterates over the tasks that were sent to the given agent and have not ended.
    pub fn sent_to(&self, agent: &Incarnation) -> impl Iterator<Item = TaskIndex> {
        let sent = move |state: &TaskState| matches!(state, TaskState::Sent { to } if to == agent);
        (0..).zip(&self.tasks).filter(move |(_, state)| sent(state)).map(|(i, _)| TaskIndex::new(i))
    }

    /// Iterates over the tasks that were sent to any agent and have not ended.
    pub fn sent_tasks(&self) -> impl Iterator<Item = (TaskIndex, &Incarnation)> {
        (0..).zip(&self.tasks).filter_map(|(index, state)| match state {
            TaskState::Sent { to } => Some((TaskIndex::new(index), to)),
            _ => None,
        })
    }

    /// Handles an agent's report and returns whether it changed the task.
    ///
    /// Repeated reports, late reports and reports from an agent that the task was not sent to change
    /// nothing.
    pub fn on_report(
        &mut self,
        now: Instant,
        index: TaskIndex,
        from: &Incarnation,
        report: &Report,
    ) -> bool {
        let was_sent_to = matches!(self.tasks.get(index.get() as usize), Some(TaskState::Sent { to }) if to == from);
        if !was_sent_to || self.phase.is_final() {
            return false;
        }
        match report.stage {
            Stage::Queued => return false,
            Stage::Started => return self.on_started(index, from),
            Stage::Succeeded => {
                self.end_task(index, TaskOutcome::Done, Some(from), report.output.clone())
            }
            Stage::Errored => {
                self.end_task(index, TaskOutcome::Error, Some(from), report.output.clone());
                self.fail(now, FailureReason::TaskError);
            }
            Stage::Unknown => {
                self.end_task(index, TaskOutcome::MayHaveRun, Some(from), report.output.clone());
                self.fail(now, FailureReason::TaskLost);
            }
            Stage::NotStarted => self.on_not_started(index),
        }
        self.finish_if_all_ended();
        true
    }

    /// Handles the loss of an agent: the tasks that were sent to it may have run.
    pub fn on_agent_lost(&mut self, now: Instant, agent: &Incarnation) {
        if self.phase.is_final() {
            return;
        }
        let lost: Vec<TaskIndex> = self.sent_to(agent).collect();
        for index in &lost {
            self.end_task(*index, TaskOutcome::MayHaveRun, Some(agent), CompactString::default());
        }
        if !lost.is_empty() {
            self.fail(now, FailureReason::TaskLost);
            self.finish_if_all_ended();
        }
    }

    /// Withdraws the job: no further task is sent, and agents are asked to return queued tasks.
    pub fn withdraw(&mut self, now: Instant) {
        if !self.phase.is_final() {
            self.fail(now, FailureReason::Withdrawn);
            self.finish_if_all_ended();
        }
    }

    /// Returns whether [`Self::on_tick`] would end the job now.
    pub fn is_due(&self, now: Instant) -> bool {
        match self.phase {
            JobPhase::Running => now >= self.deadline,
            JobPhase::Stopping { until, .. } => now >= until,
            JobPhase::Complete | JobPhase::Failed { .. } => false,
        }
    }

    /// Ends the job if its deadline, or the time-out of a failed job, has passed.
    pub fn on_tick(&mut self, now: Instant) {
        match self.phase {
            JobPhase::Running if now >= self.deadline => {
                self.fail(now, FailureReason::DeadlinePassed);
                self.end_all(FailureReason::DeadlinePassed);
            }
            JobPhase::Stopping { reason, until } if now >= until => self.end_all(reason),
            _ => {}
        }
    }

    /// Handles the report that a task has started and returns whether it ended the task.
    ///
    /// A started task cannot be taken back, and a stopping job does not wait for its result.
    fn on_started(&mut self, index: TaskIndex, from: &Incarnation) -> bool {
        let stopping = matches!(self.phase, JobPhase::Stopping { .. });
        if stopping {
            self.end_task(index, TaskOutcome::MayHaveRun, Some(from), CompactString::default());
            self.finish_if_all_ended();
        }
        stopping
    }

    fn on_not_started(&mut self, index: TaskIndex) {
        if self.phase == JobPhase::Running {
            self.tasks[index.get() as usize] = TaskState::Waiting;
            self.waiting.push(index.get());
        } else {
            self.end_task(index, TaskOutcome::NotRun, None, CompactString::default());
        }
    }

    fn mark_sent(&mut self, index: TaskIndex, to: &Incarnation) {
        self.waiting.retain(|waiting| *waiting != index.get());
        self.tasks[index.get() as usize] = TaskState::Sent { to: to.clone() };
    }

    fn end_task(
        &mut self,
        index: TaskIndex,
        outcome: TaskOutcome,
        agent: Option<&Incarnation>,
        output: CompactString,
    ) {
        let state = &mut self.tasks[index.get() as usize];
        if matches!(state, TaskState::Ended { .. }) {
            return;
        }
        *state = TaskState::Ended { outcome, agent: agent.cloned(), output };
        self.open -= 1;
    }

    fn fail(&mut self, now: Instant, reason: FailureReason) {
        if self.phase != JobPhase::Running {
            return;
        }
        for index in std::mem::take(&mut self.waiting) {
            self.end_task(
                TaskIndex::new(index),
                TaskOutcome::NotRun,
                None,
                CompactString::default(),
            );
        }
        self.phase = JobPhase::Stopping { reason, until: now + TAKE_BACK_TIMEOUT };
    }

    fn finish_if_all_ended(&mut self) {
        if self.open > 0 {
            return;
        }
        match self.phase {
            JobPhase::Running => self.phase = JobPhase::Complete,
            JobPhase::Stopping { reason, .. } => self.phase = JobPhase::Failed { reason },
            JobPhase::Complete | JobPhase::Failed { .. } => {}
        }
    }

    /// Ends the job without waiting for the tasks that are still sent, which may have run.
    fn end_all(&mut self, reason: FailureReason) {
        for index in (0..self.tasks.len() as u32).map(TaskIndex::new) {
            let agent = match &self.tasks[index.get() as usize] {
                TaskState::Sent { to } => Some(to.clone()),
                _ => None,
            };
            self.end_task(index, TaskOutcome::MayHaveRun, agent.as_ref(), CompactString::default());
        }
        self.phase = JobPhase::Failed { reason };
    }
}
