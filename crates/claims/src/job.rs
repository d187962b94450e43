//! The life of a job at its owner.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use cowslipwing_types::{Incarnation, JobId, TaskId, TaskIndex};

use crate::key::KeyVerdict;
use crate::ledger::{Report, Stage};
use crate::takeover::{Found, Recovery};

/// Time within which agents confirm that tasks were taken back, before the answer leaves.
const TAKE_BACK_GRACE: Duration = Duration::from_millis(250);

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Ran and succeeded.
    Done,
    /// Ran and failed.
    Error,
    /// Never started and never will.
    NotRun,
    /// Sent, and nothing is known of it.
    MayHaveRun,
}

/// Where a task stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum TaskState {
    /// Waits for an agent.
    Waiting,
    /// Was sent to an agent.
    Sent {
        /// The agent.
        to: Incarnation,
    },
    /// Ended.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// The agent that had it.
        agent: Option<Incarnation>,
        /// What the endpoint answered.
        output: CompactString,
    },
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailReason {
    /// A task ran and failed.
    TaskError,
    /// A task was sent, and nothing is known of it.
    TaskLost,
    /// The caller or an operator withdrew the job.
    Withdrawn,
    /// The deadline passed.
    DeadlinePassed,
}

impl FailReason {
    /// Returns the reason in words, with its remedy.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TaskError => "a task failed at its endpoint; correct it and use a new key",
            Self::TaskLost => "a task may have run; check its effect before using a new key",
            Self::Withdrawn => "the job was withdrawn",
            Self::DeadlinePassed => "the deadline passed; allow more time and use a new key",
        }
    }
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum JobPhase {
    /// Tasks wait or run.
    Running,
    /// The job fails; agents are confirming what they give back.
    Stopping {
        /// Why it fails.
        reason: FailReason,
        /// When the answer leaves at the latest.
        until: Instant,
    },
    /// Every task ran and succeeded.
    Complete,
    /// At least one task did not.
    Failed {
        /// Why it failed.
        reason: FailReason,
    },
}

impl JobPhase {
    /// Tells whether the answer is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed { .. })
    }
}

/// A job: its tasks and how far they have come.
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
    /// Waiting tasks, the next one last.
    waiting: Vec<u32>,
    open: usize,
    deadline: Instant,
    phase: JobPhase,
}

impl Job {
    /// Returns a job of which nothing has started.
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

    /// Adopts what the agents held when this owner took over.
    ///
    /// A task found nowhere waits where the key is fresh, and may have run otherwise.
    pub fn adopt(&mut self, now: Instant, verdict: KeyVerdict, recovery: &Recovery) {
        let indexes = || (0..self.tasks.len() as u32).map(TaskIndex::new);
        let lookup = |index| {
            let found = recovery.found(&TaskId { job: self.id.clone(), index });
            found.filter(|found| found.report.stage != Stage::NotStarted)
        };
        let held: Vec<(TaskIndex, &Found)> =
            indexes().filter_map(|index| Some((index, lookup(index)?))).collect();
        let lost: Vec<TaskIndex> = match verdict {
            KeyVerdict::Fresh => Vec::new(),
            _ => indexes().filter(|index| lookup(*index).is_none()).collect(),
        };
        for (index, found) in &held {
            self.set_sent(*index, &found.agent);
        }
        for index in &lost {
            self.waiting.retain(|waiting| *waiting != index.get());
            self.end(*index, Outcome::MayHaveRun, None, CompactString::default());
        }
        if !lost.is_empty() {
            self.fail(now, FailReason::TaskLost);
        }
        for (index, found) in &held {
            self.on_report(now, *index, &found.agent, &found.report);
        }
        self.settle();
    }

    /// Returns the job's id.
    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// Returns the fingerprint of the submission.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns where the job stands.
    pub fn phase(&self) -> JobPhase {
        self.phase
    }

    /// Returns when the job must have its answer.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the tasks in their own order.
    pub fn tasks(&self) -> &[TaskState] {
        &self.tasks
    }

    /// Returns the number of tasks that wait for an agent.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Marks the next waiting task as sent to an agent.
    pub fn send_next(&mut self, to: &Incarnation) -> Option<TaskIndex> {
        if self.phase != JobPhase::Running {
            return None;
        }
        let index = TaskIndex::new(self.waiting.pop()?);
        self.tasks[index.get() as usize] = TaskState::Sent { to: to.clone() };
        Some(index)
    }

    /// Walks the tasks sent to an agent that have not ended.
    pub fn sent_to(&self, agent: &Incarnation) -> impl Iterator<Item = TaskIndex> {
        let sent = move |state: &TaskState| matches!(state, TaskState::Sent { to } if to == agent);
        (0..).zip(&self.tasks).filter(move |(_, state)| sent(state)).map(|(i, _)| TaskIndex::new(i))
    }

    /// Walks the tasks that are with an agent.
    pub fn sent(&self) -> impl Iterator<Item = (TaskIndex, &Incarnation)> {
        (0..).zip(&self.tasks).filter_map(|(index, state)| match state {
            TaskState::Sent { to } => Some((TaskIndex::new(index), to)),
            _ => None,
        })
    }

    /// Takes in an agent's report; true where it changed the task.
    ///
    /// Reports from an agent that does not have the task, and those that come twice or late, change
    /// nothing.
    pub fn on_report(
        &mut self,
        now: Instant,
        index: TaskIndex,
        from: &Incarnation,
        report: &Report,
    ) -> bool {
        let has_it = matches!(self.tasks.get(index.get() as usize), Some(TaskState::Sent { to }) if to == from);
        if !has_it || self.phase.is_final() {
            return false;
        }
        match report.stage {
            Stage::Queued => return false,
            Stage::Started => return self.on_started(index, from),
            Stage::Succeeded => self.end(index, Outcome::Done, Some(from), report.output.clone()),
            Stage::Errored => {
                self.end(index, Outcome::Error, Some(from), report.output.clone());
                self.fail(now, FailReason::TaskError);
            }
            Stage::Unknown => {
                self.end(index, Outcome::MayHaveRun, Some(from), report.output.clone());
                self.fail(now, FailReason::TaskLost);
            }
            Stage::NotStarted => self.on_not_started(index),
        }
        self.settle();
        true
    }

    /// Notes that an agent is gone with all it knew.
    pub fn on_agent_lost(&mut self, now: Instant, agent: &Incarnation) {
        if self.phase.is_final() {
            return;
        }
        let lost: Vec<TaskIndex> = self.sent_to(agent).collect();
        for index in &lost {
            self.end(*index, Outcome::MayHaveRun, Some(agent), CompactString::default());
        }
        if !lost.is_empty() {
            self.fail(now, FailReason::TaskLost);
            self.settle();
        }
    }

    /// Stops the job; nothing more is sent, and agents are to give back what they have queued.
    pub fn withdraw(&mut self, now: Instant) {
        if !self.phase.is_final() {
            self.fail(now, FailReason::Withdrawn);
            self.settle();
        }
    }

    /// Tells whether a deadline or the time to stop has passed.
    pub fn is_due(&self, now: Instant) -> bool {
        match self.phase {
            JobPhase::Running => now >= self.deadline,
            JobPhase::Stopping { until, .. } => now >= until,
            JobPhase::Complete | JobPhase::Failed { .. } => false,
        }
    }

    /// Ends the job where its deadline or the time to stop has passed.
    pub fn on_tick(&mut self, now: Instant) {
        match self.phase {
            JobPhase::Running if now >= self.deadline => {
                self.fail(now, FailReason::DeadlinePassed);
                self.conclude(FailReason::DeadlinePassed);
            }
            JobPhase::Stopping { reason, until } if now >= until => self.conclude(reason),
            _ => {}
        }
    }

    fn on_started(&mut self, index: TaskIndex, from: &Incarnation) -> bool {
        let stopping = matches!(self.phase, JobPhase::Stopping { .. });
        if stopping {
            self.end(index, Outcome::MayHaveRun, Some(from), CompactString::default());
            self.settle();
        }
        stopping
    }

    fn on_not_started(&mut self, index: TaskIndex) {
        if self.phase == JobPhase::Running {
            self.tasks[index.get() as usize] = TaskState::Waiting;
            self.waiting.push(index.get());
        } else {
            self.end(index, Outcome::NotRun, None, CompactString::default());
        }
    }

    fn set_sent(&mut self, index: TaskIndex, to: &Incarnation) {
        self.waiting.retain(|waiting| *waiting != index.get());
        self.tasks[index.get() as usize] = TaskState::Sent { to: to.clone() };
    }

    fn end(
        &mut self,
        index: TaskIndex,
        outcome: Outcome,
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

    fn fail(&mut self, now: Instant, reason: FailReason) {
        if self.phase != JobPhase::Running {
            return;
        }
        for index in std::mem::take(&mut self.waiting) {
            self.end(TaskIndex::new(index), Outcome::NotRun, None, CompactString::default());
        }
        self.phase = JobPhase::Stopping { reason, until: now + TAKE_BACK_GRACE };
    }

    fn settle(&mut self) {
        if self.open > 0 {
            return;
        }
        match self.phase {
            JobPhase::Running => self.phase = JobPhase::Complete,
            JobPhase::Stopping { reason, .. } => self.phase = JobPhase::Failed { reason },
            JobPhase::Complete | JobPhase::Failed { .. } => {}
        }
    }

    fn conclude(&mut self, reason: FailReason) {
        for index in (0..self.tasks.len() as u32).map(TaskIndex::new) {
            let agent = match &self.tasks[index.get() as usize] {
                TaskState::Sent { to } => Some(to.clone()),
                _ => None,
            };
            self.end(index, Outcome::MayHaveRun, agent.as_ref(), CompactString::default());
        }
        self.phase = JobPhase::Failed { reason };
    }
}
