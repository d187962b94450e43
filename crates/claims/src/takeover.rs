//! How a new owner takes over a range.
//!
//! A takeover is first [`Claimed`] on the log, then [`Promised`] by a majority, and ends in a
//! [`Recovery`] once the agents have told what they hold.

use std::time::{Duration, Instant, SystemTime};

use cowslipwing_fold::MemberSet;
use cowslipwing_types::{EntryId, Epoch, Incarnation, RangeId, SortedMap, TaskId, insert_sorted};

use crate::ledger::{Report, Stage};

/// A task that an agent holds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Found {
    /// The agent.
    pub agent: Incarnation,
    /// Fingerprint of the submission that the task belongs to.
    pub fingerprint: u64,
    /// What the agent tells of it.
    pub report: Report,
}

/// A takeover of one range, whose record won on the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Takeover<S> {
    range: RangeId,
    epoch: Epoch,
    stage: S,
}

/// Waits for the promises of a majority.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claimed {
    promised_by: Vec<EntryId>,
    agents: Vec<Incarnation>,
    unanimous_at: Instant,
}

/// Waits for the agents' histories.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Promised {
    barrier: SystemTime,
    majority: bool,
    waiting: Vec<Incarnation>,
    missing: Vec<Incarnation>,
    found: SortedMap<TaskId, Found>,
}

impl<S> Takeover<S> {
    /// Returns the range.
    pub fn range(&self) -> RangeId {
        self.range
    }

    /// Returns the epoch of the new owner.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

impl Takeover<Claimed> {
    /// Begins a takeover whose record was read back as the winner at `now`.
    ///
    /// Without a majority it goes on once `log_absence` has passed: by then no entry that follows
    /// the log confirms the old epoch, and none that does not may vote.
    pub fn new(range: RangeId, epoch: Epoch, now: Instant, log_absence: Duration) -> Self {
        let stage = Claimed {
            promised_by: Vec::new(),
            agents: Vec::new(),
            unanimous_at: now + log_absence,
        };
        Self { range, epoch, stage }
    }

    /// Takes in a member's promise and the incarnations it has heard of.
    pub fn on_promise<I>(&mut self, from: &EntryId, heard: I)
    where
        I: IntoIterator<Item = Incarnation>,
    {
        insert_sorted(&mut self.stage.promised_by, from.clone());
        for incarnation in heard {
            insert_sorted(&mut self.stage.agents, incarnation);
        }
    }

    /// Goes on once the old owner's lease cannot be confirmed again.
    ///
    /// # Errors
    ///
    /// Returns the takeover unchanged while it has to wait.
    pub fn advance(
        self,
        members: &MemberSet,
        now: Instant,
        wall: SystemTime,
        lease: Duration,
    ) -> Result<Takeover<Promised>, Self> {
        let majority = members.has_majority(|id| self.stage.promised_by.binary_search(id).is_ok());
        if !majority && now < self.stage.unanimous_at {
            return Err(self);
        }
        let stage = Promised {
            barrier: wall + lease,
            majority,
            waiting: self.stage.agents,
            missing: Vec::new(),
            found: SortedMap::new(),
        };
        Ok(Takeover { range: self.range, epoch: self.epoch, stage })
    }
}

impl Takeover<Promised> {
    /// Returns the incarnations that have not been heard from yet.
    pub fn waiting(&self) -> &[Incarnation] {
        &self.stage.waiting
    }

    /// Takes in what an agent holds of the range.
    pub fn on_survey<I>(&mut self, from: &Incarnation, holdings: I)
    where
        I: IntoIterator<Item = (TaskId, Found)>,
    {
        self.stage.waiting.retain(|waiting| waiting != from);
        for (task, found) in holdings {
            keep_furthest(&mut self.stage.found, task, found);
        }
    }

    /// Notes that an agent does not answer or is another incarnation by now.
    pub fn on_missing(&mut self, from: &Incarnation) {
        self.stage.waiting.retain(|waiting| waiting != from);
        insert_sorted(&mut self.stage.missing, from.clone());
    }

    /// Ends the takeover; agents that have not answered count as missing.
    pub fn finish(self) -> Recovery {
        let stage = self.stage;
        let whole = stage.majority && stage.waiting.is_empty() && stage.missing.is_empty();
        Recovery { barrier: stage.barrier, whole, found: stage.found }
    }
}

/// What a new owner knows of the time before it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Recovery {
    barrier: SystemTime,
    whole: bool,
    found: SortedMap<TaskId, Found>,
}

impl Recovery {
    /// Returns the recovery of a range that never had an owner.
    pub fn first_owner() -> Self {
        Self { barrier: SystemTime::UNIX_EPOCH, whole: true, found: SortedMap::new() }
    }

    /// Returns a recovery in which the history of an agent is missing.
    pub fn with_missing_history(barrier: SystemTime) -> Self {
        Self { barrier, whole: false, found: SortedMap::new() }
    }

    /// Returns the recovery of a range whose former owner has told all it knew and takes no more
    /// jobs.
    pub fn handed_over<I>(barrier: SystemTime, whole: bool, found: I) -> Self
    where
        I: IntoIterator<Item = (TaskId, Found)>,
    {
        Self { barrier, whole, found: found.into_iter().collect() }
    }

    /// Walks what agents held.
    pub fn all_found(&self) -> impl Iterator<Item = (&TaskId, &Found)> {
        self.found.iter()
    }

    /// Returns the time until which the former owner may have started tasks.
    pub fn barrier(&self) -> SystemTime {
        self.barrier
    }

    /// Tells whether every agent told its whole history.
    pub fn history_is_whole(&self) -> bool {
        self.whole
    }

    /// Returns what an agent holds of a task.
    pub fn found(&self, task: &TaskId) -> Option<&Found> {
        self.found.get(task)
    }
}

/// Keeps a task's report that tells of a start before one that tells of none.
fn keep_furthest(found: &mut SortedMap<TaskId, Found>, task: TaskId, new: Found) {
    let known = found.get(&task).map(|known| known.report.stage);
    if known.is_none_or(|stage| stage == Stage::NotStarted) {
        found.insert(task, new);
    }
}
