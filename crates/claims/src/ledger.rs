//! The record of the tasks that an agent has accepted, which makes the final decision on each start.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use cowslipwing_types::{Epoch, Incarnation, RangeId, SortedMap, TaskId};

use crate::key::KeyAgeLimits;

/// How far a task has progressed at an agent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Waits for a free slot.
    Queued,
    /// Was passed to the endpoint.
    Started,
    /// The endpoint answered with success.
    Succeeded,
    /// The endpoint answered with an error.
    Errored,
    /// Never started at this incarnation and never will.
    NotStarted,
    /// Was passed to the endpoint, which did not answer.
    Unknown,
}

impl Stage {
    /// Returns whether the task has ended, so that its stage no longer changes.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Started)
    }
}

/// An agent's report on a task.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Report {
    /// How far the task has progressed.
    pub stage: Stage,
    /// The endpoint's answer; empty until there is one.
    pub output: CompactString,
    /// Time spent at the endpoint; zero until the task has ended.
    pub run_time: Duration,
}

impl Report {
    /// Creates a report without an output.
    pub fn new(stage: Stage) -> Self {
        Self { stage, output: CompactString::default(), run_time: Duration::ZERO }
    }
}

/// A task that an agent remembers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct HeldTask {
    /// Fingerprint of the submission that the task belongs to; 0 if the task was taken back before
    /// its start request arrived.
    pub fingerprint: u64,
    /// The current report on the task.
    pub report: Report,
    ended_at: Option<Instant>,
}

/// An owner's request to start a task.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StartRequest {
    /// The task to start.
    pub task: TaskId,
    /// Epoch of the owner that sends the request.
    pub epoch: Epoch,
    /// The agent incarnation that the request is addressed to.
    pub incarnation: Incarnation,
    /// Fingerprint of the submission that the task belongs to.
    pub fingerprint: u64,
}

/// The agent's response to a start request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartResponse {
    /// The task is queued.
    Accepted,
    /// The agent already knows the task; nothing is started.
    AlreadyKnown(Report),
    /// The range has a newer owner; nothing is started.
    Fenced {
        /// The newest epoch that the agent knows.
        fence: Epoch,
    },
    /// The request is addressed to another incarnation; nothing is started.
    OtherIncarnation,
    /// The ledger holds its maximum number of tasks; nothing is started.
    Full,
}

/// The agent's response to a request to take a task back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeBackResponse {
    /// The task has not started and never will.
    TakenBack,
    /// The task has already started.
    TooLate(Report),
}

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LedgerLimits {
    /// Number of remembered tasks, ended ones included, from which on no new task is accepted.
    pub max_tasks: usize,
    /// Determines how long ended tasks are remembered.
    pub key_ages: KeyAgeLimits,
}

/// The tasks that an agent remembers, and the newest owner epoch that it knows for each range.
///
/// This epoch is the range's fence: owners with an older epoch can neither start tasks nor survey
/// the range.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ledger {
    incarnation: Incarnation,
    limits: LedgerLimits,
    fences: SortedMap<RangeId, Epoch>,
    held: SortedMap<RangeId, SortedMap<TaskId, HeldTask>>,
    /// Number of tasks in `held`, over all ranges.
    count: usize,
}

impl Ledger {
    /// Creates the empty ledger of a new incarnation.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cowslipwing_claims::{KeyAgeLimits, Ledger, LedgerLimits, StartRequest, StartResponse};
    /// use cowslipwing_types::{Epoch, JobId, TaskId, TaskIndex};
    ///
    /// let key_ages = KeyAgeLimits {
    ///     skew: Duration::from_secs(1),
    ///     retention: Duration::from_secs(600),
    ///     ageless_retention: Duration::from_secs(3600),
    /// };
    /// let now = Instant::now();
    /// let limits = LedgerLimits { max_tasks: 100, key_ages };
    /// let mut ledger = Ledger::new("agent-1".parse().unwrap(), limits);
    /// let job = JobId { customer: "gym".parse().unwrap(), key: "hold-1".parse().unwrap() };
    /// let request = StartRequest {
    ///     task: TaskId { job, index: TaskIndex::new(0) },
    ///     epoch: Epoch::new(1),
    ///     incarnation: "agent-1".parse().unwrap(),
    ///     fingerprint: 0,
    /// };
    /// assert_eq!(ledger.start(now, &request), StartResponse::Accepted);
    /// assert!(matches!(ledger.start(now, &request), StartResponse::AlreadyKnown(_)));
    /// ```
    pub fn new(incarnation: Incarnation, limits: LedgerLimits) -> Self {
        Self { incarnation, limits, fences: SortedMap::new(), held: SortedMap::new(), count: 0 }
    }

    /// Returns the agent incarnation that the ledger belongs to.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Returns the number of tasks remembered.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no task is remembered.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Handles a request to start a task.
    ///
    /// An accepted task is remembered as queued. If the ledger is full, the task is remembered as
    /// never started, so that a repeated request cannot start it either.
    pub fn start(&mut self, now: Instant, request: &StartRequest) -> StartResponse {
        if request.incarnation != self.incarnation {
            return StartResponse::OtherIncarnation;
        }
        let range = request.task.job.range();
        let fence = self.fence(range);
        if request.epoch < fence {
            return StartResponse::Fenced { fence };
        }
        self.fences.insert(range, request.epoch);
        if let Some(held) = self.get(&request.task) {
            return StartResponse::AlreadyKnown(held.report.clone());
        }
        if self.count >= self.limits.max_tasks {
            self.remember(request, Stage::NotStarted, Some(now));
            return StartResponse::Full;
        }
        self.remember(request, Stage::Queued, None);
        StartResponse::Accepted
    }

    /// Marks a queued task as started.
    ///
    /// Returns `false` if the task is no longer queued, for example because it was taken back.
    pub fn mark_started(&mut self, task: &TaskId) -> bool {
        match self.get_mut(task) {
            Some(held) if held.report.stage == Stage::Queued => {
                held.report.stage = Stage::Started;
                true
            }
            _ => false,
        }
    }

    /// Records the final report on a started task.
    pub fn mark_finished(&mut self, now: Instant, task: &TaskId, report: Report) {
        if let Some(held) = self.get_mut(task) {
            held.report = report;
            held.ended_at = Some(now);
        }
    }

    /// Takes back a task that has not started, so that it never starts at this incarnation.
    ///
    /// This also holds for a task whose start request has not arrived yet.
    pub fn take_back(&mut self, now: Instant, task: &TaskId) -> TakeBackResponse {
        match self.get_mut(task) {
            Some(held) if held.report.stage == Stage::Queued => {
                held.report.stage = Stage::NotStarted;
                held.ended_at = Some(now);
                TakeBackResponse::TakenBack
            }
            Some(held) if held.report.stage == Stage::NotStarted => TakeBackResponse::TakenBack,
            Some(held) => TakeBackResponse::TooLate(held.report.clone()),
            None => {
                let report = Report::new(Stage::NotStarted);
                self.insert(task, HeldTask { fingerprint: 0, report, ended_at: Some(now) });
                TakeBackResponse::TakenBack
            }
        }
    }

    /// Refuses older owners of the range from now on and returns the tasks held in it.
    ///
    /// # Errors
    ///
    /// Returns the newest epoch known if a newer owner has already been seen.
    pub fn survey(
        &mut self,
        range: RangeId,
        epoch: Epoch,
    ) -> Result<impl Iterator<Item = (&TaskId, &HeldTask)>, Epoch> {
        let fence = self.fence(range);
        if epoch < fence {
            return Err(fence);
        }
        self.fences.insert(range, epoch);
        Ok(self.held.get(&range).into_iter().flat_map(SortedMap::iter))
    }

    /// Returns a task if it is remembered.
    pub fn get(&self, task: &TaskId) -> Option<&HeldTask> {
        self.held.get(&task.job.range())?.get(task)
    }

    /// Removes the tasks that ended longer ago than their retention.
    pub fn expire(&mut self, now: Instant) {
        let key_ages = self.limits.key_ages;
        let is_kept = |task: &TaskId, held: &HeldTask| {
            let retention = key_ages.retention_for(task.job.key.made_at());
            held.ended_at.is_none_or(|ended_at| now < ended_at + retention)
        };
        for (_, tasks) in self.held.iter_mut() {
            tasks.retain(|task, held| is_kept(task, held));
        }
        self.count = self.held.values().map(SortedMap::len).sum();
    }

    fn fence(&self, range: RangeId) -> Epoch {
        self.fences.get(&range).copied().unwrap_or_default()
    }

    fn get_mut(&mut self, task: &TaskId) -> Option<&mut HeldTask> {
        self.held.get_mut(&task.job.range())?.get_mut(task)
    }

    fn remember(&mut self, request: &StartRequest, stage: Stage, ended_at: Option<Instant>) {
        let report = Report::new(stage);
        self.insert(&request.task, HeldTask { fingerprint: request.fingerprint, report, ended_at });
    }

    fn insert(&mut self, task: &TaskId, held: HeldTask) {
        let tasks = self.held.get_or_insert_with(task.job.range(), SortedMap::new);
        if tasks.insert(task.clone(), held).is_none() {
            self.count += 1;
        }
    }
}
