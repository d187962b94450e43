//! What an agent has started; it has the last word on each start.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use cowslipwing_types::{Epoch, Incarnation, RangeId, SortedMap, TaskId};

use crate::key::AgeRules;

/// How far a task has come at an agent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Waits for a slot.
    Queued,
    /// Was passed to the endpoint.
    Started,
    /// The endpoint answered with success.
    Succeeded,
    /// The endpoint answered with an error.
    Errored,
    /// Never started here and never will be.
    NotStarted,
    /// Was passed to the endpoint, which gave no answer.
    Unknown,
}

impl Stage {
    /// Tells whether the stage can change no more.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Started)
    }
}

/// What an agent tells of a task.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Report {
    /// How far the task has come.
    pub stage: Stage,
    /// What the endpoint answered.
    pub output: CompactString,
    /// Time spent at the endpoint.
    pub run_time: Duration,
}

impl Report {
    /// Returns a report without an output.
    pub fn new(stage: Stage) -> Self {
        Self { stage, output: CompactString::default(), run_time: Duration::ZERO }
    }
}

/// A task that an agent remembers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Held {
    /// Fingerprint of the submission that the task belongs to.
    pub fingerprint: u64,
    /// What is known of it.
    pub report: Report,
    ended_at: Option<Instant>,
}

/// An order to start a task.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The incarnation the order is meant for.
    pub incarnation: Incarnation,
    /// Fingerprint of the submission.
    pub fingerprint: u64,
}

/// The agent's answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartVerdict {
    /// The task is queued and will start.
    Accepted,
    /// The task was here before; nothing starts.
    Known(Report),
    /// A newer owner is known; nothing starts.
    Fenced {
        /// The newest epoch known.
        fence: Epoch,
    },
    /// The order is meant for another incarnation; nothing starts.
    OtherIncarnation,
    /// The agent takes no more work; nothing starts.
    Full,
}

/// The agent's answer to a task being taken back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeBackVerdict {
    /// The task has not started and never will.
    TakenBack,
    /// The task has gone too far.
    TooLate(Report),
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LedgerLimits {
    /// Tasks remembered at once.
    pub tasks: usize,
    /// How long tasks are remembered.
    pub ages: AgeRules,
}

/// The tasks that an agent has taken, and the newest owner it knows of each range.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ledger {
    incarnation: Incarnation,
    limits: LedgerLimits,
    fences: SortedMap<RangeId, Epoch>,
    held: SortedMap<RangeId, SortedMap<TaskId, Held>>,
    count: usize,
}

impl Ledger {
    /// Returns the empty ledger of a new incarnation.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cowslipwing_claims::{AgeRules, Ledger, LedgerLimits, StartOrder, StartVerdict};
    /// use cowslipwing_types::{Epoch, JobId, TaskId, TaskIndex};
    ///
    /// let ages = AgeRules {
    ///     skew: Duration::from_secs(1),
    ///     retention: Duration::from_secs(600),
    ///     ageless_retention: Duration::from_secs(3600),
    /// };
    /// let now = Instant::now();
    /// let limits = LedgerLimits { tasks: 100, ages };
    /// let mut ledger = Ledger::new("agent-1".parse().unwrap(), limits);
    /// let job = JobId { customer: "gym".parse().unwrap(), key: "hold-1".parse().unwrap() };
    /// let order = StartOrder {
    ///     task: TaskId { job, index: TaskIndex::new(0) },
    ///     epoch: Epoch::new(1),
    ///     incarnation: "agent-1".parse().unwrap(),
    ///     fingerprint: 0,
    /// };
    /// assert_eq!(ledger.start(now, &order), StartVerdict::Accepted);
    /// assert!(matches!(ledger.start(now, &order), StartVerdict::Known(_)));
    /// ```
    pub fn new(incarnation: Incarnation, limits: LedgerLimits) -> Self {
        Self { incarnation, limits, fences: SortedMap::new(), held: SortedMap::new(), count: 0 }
    }

    /// Returns this agent's incarnation.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Returns the number of tasks remembered.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Tells whether no task is remembered.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Judges an order to start a task, and remembers the task where it is accepted.
    pub fn start(&mut self, now: Instant, order: &StartOrder) -> StartVerdict {
        if order.incarnation != self.incarnation {
            return StartVerdict::OtherIncarnation;
        }
        let range = order.task.job.range();
        let fence = self.fence(range);
        if order.epoch < fence {
            return StartVerdict::Fenced { fence };
        }
        self.fences.insert(range, order.epoch);
        if let Some(held) = self.get(&order.task) {
            return StartVerdict::Known(held.report.clone());
        }
        if self.count >= self.limits.tasks {
            self.remember(order, Stage::NotStarted, Some(now));
            return StartVerdict::Full;
        }
        self.remember(order, Stage::Queued, None);
        StartVerdict::Accepted
    }

    /// Marks a queued task as started; false where it was taken back meanwhile.
    pub fn begin(&mut self, task: &TaskId) -> bool {
        match self.get_mut(task) {
            Some(held) if held.report.stage == Stage::Queued => {
                held.report.stage = Stage::Started;
                true
            }
            _ => false,
        }
    }

    /// Records how a started task ended.
    pub fn finish(&mut self, now: Instant, task: &TaskId, report: Report) {
        if let Some(held) = self.get_mut(task) {
            held.report = report;
            held.ended_at = Some(now);
        }
    }

    /// Takes back a task that has not started; it will never start at this incarnation.
    pub fn take_back(&mut self, now: Instant, task: &TaskId) -> TakeBackVerdict {
        match self.get_mut(task) {
            Some(held) if held.report.stage == Stage::Queued => {
                held.report.stage = Stage::NotStarted;
                held.ended_at = Some(now);
                TakeBackVerdict::TakenBack
            }
            Some(held) if held.report.stage == Stage::NotStarted => TakeBackVerdict::TakenBack,
            Some(held) => TakeBackVerdict::TooLate(held.report.clone()),
            None => {
                let report = Report::new(Stage::NotStarted);
                self.insert(task, Held { fingerprint: 0, report, ended_at: Some(now) });
                TakeBackVerdict::TakenBack
            }
        }
    }

    /// Raises the fence of a range and returns what is held of it.
    ///
    /// # Errors
    ///
    /// Returns the fence where a newer owner has asked before.
    pub fn survey(
        &mut self,
        range: RangeId,
        epoch: Epoch,
    ) -> Result<impl Iterator<Item = (&TaskId, &Held)>, Epoch> {
        let fence = self.fence(range);
        if epoch < fence {
            return Err(fence);
        }
        self.fences.insert(range, epoch);
        Ok(self.held.get(&range).into_iter().flat_map(SortedMap::iter))
    }

    /// Returns what is known of a task.
    pub fn get(&self, task: &TaskId) -> Option<&Held> {
        self.held.get(&task.job.range())?.get(task)
    }

    /// Forgets tasks that ended longer ago than they must be remembered.
    pub fn expire(&mut self, now: Instant) {
        let ages = self.limits.ages;
        let keeps = |task: &TaskId, held: &Held| {
            let keep_for = ages.remembers_for(task.job.key.made_at());
            held.ended_at.is_none_or(|ended_at| now < ended_at + keep_for)
        };
        for (_, tasks) in self.held.iter_mut() {
            tasks.retain(|task, held| keeps(task, held));
        }
        self.count = self.held.values().map(SortedMap::len).sum();
    }

    fn fence(&self, range: RangeId) -> Epoch {
        self.fences.get(&range).copied().unwrap_or_default()
    }

    fn get_mut(&mut self, task: &TaskId) -> Option<&mut Held> {
        self.held.get_mut(&task.job.range())?.get_mut(task)
    }

    fn remember(&mut self, order: &StartOrder, stage: Stage, ended_at: Option<Instant>) {
        let report = Report::new(stage);
        self.insert(&order.task, Held { fingerprint: order.fingerprint, report, ended_at });
    }

    fn insert(&mut self, task: &TaskId, held: Held) {
        let tasks = self.held.get_or_insert_with(task.job.range(), SortedMap::new);
        if tasks.insert(task.clone(), held).is_none() {
            self.count += 1;
        }
    }
}
