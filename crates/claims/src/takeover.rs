//! How a new owner takes over a range.
//!
//! An entry that wants to own a range appends a takeover record to the log. The first record there
//! that claims the next epoch of the range wins it. The winner's takeover then waits for the
//! promises of a majority ([`AwaitingPromises`]) and for the agents' surveys ([`AwaitingSurveys`]).
//! It ends in a [`Recovery`].

use std::time::{Duration, Instant, SystemTime};

use cowslipwing_fold::MemberSet;
use cowslipwing_types::{EntryId, Epoch, Incarnation, RangeId, SortedMap, TaskId, insert_sorted};

use crate::ledger::{Report, Stage};

/// A task that an agent already holds when a new owner takes over.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RecoveredTask {
    /// The agent that holds the task.
    pub agent: Incarnation,
    /// Fingerprint of the submission that the task belongs to.
    pub fingerprint: u64,
    /// The agent's report on the task.
    pub report: Report,
}

/// A takeover of one range, whose record has won on the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Takeover<S> {
    range: RangeId,
    epoch: Epoch,
    stage: S,
}

/// The stage of a takeover in which members promise to confirm no older epoch.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AwaitingPromises {
    promised_by: Vec<EntryId>,
    agents: Vec<Incarnation>,
    /// From this time on, the takeover advances without a majority.
    majority_waived_at: Instant,
}

/// The stage of a takeover in which agents report the tasks that they hold.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AwaitingSurveys {
    barrier: SystemTime,
    has_majority: bool,
    awaited: Vec<Incarnation>,
    failed: Vec<Incarnation>,
    recovered: SortedMap<TaskId, RecoveredTask>,
}

impl<S> Takeover<S> {
    /// Returns the range that is taken over.
    pub fn range(&self) -> RangeId {
        self.range
    }

    /// Returns the epoch of the new owner.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

impl Takeover<AwaitingPromises> {
    /// Creates a takeover whose record was read back as the winner at `now`.
    ///
    /// It can advance without a majority once `log_absence` has passed. By then, every entry that
    /// still reads the log refuses the old epoch, and every other entry abstains.
    pub fn new(range: RangeId, epoch: Epoch, now: Instant, log_absence: Duration) -> Self {
        let stage = AwaitingPromises {
            promised_by: Vec::new(),
            agents: Vec::new(),
            majority_waived_at: now + log_absence,
        };
        Self { range, epoch, stage }
    }

    /// Handles a member's promise, which lists the agents that the member knows.
    pub fn on_promise<I>(&mut self, from: &EntryId, known_agents: I)
    where
        I: IntoIterator<Item = Incarnation>,
    {
        insert_sorted(&mut self.stage.promised_by, from.clone());
        for incarnation in known_agents {
            insert_sorted(&mut self.stage.agents, incarnation);
        }
    }

    /// Advances to the surveys once the old owner's lease can no longer be extended.
    ///
    /// The barrier of the recovery is `lease_length` after `wall`. By then, the old owner's last
    /// lease has expired.
    ///
    /// # Errors
    ///
    /// Returns the takeover unchanged if it still has to wait.
    pub fn advance(
        self,
        members: &MemberSet,
        now: Instant,
        wall: SystemTime,
        lease_length: Duration,
    ) -> Result<Takeover<AwaitingSurveys>, Self> {
        let has_majority =
            members.has_majority(|id| self.stage.promised_by.binary_search(id).is_ok());
        if !has_majority && now < self.stage.majority_waived_at {
            return Err(self);
        }
        let stage = AwaitingSurveys {
            barrier: wall + lease_length,
            has_majority,
            awaited: self.stage.agents,
            failed: Vec::new(),
            recovered: SortedMap::new(),
        };
        Ok(Takeover { range: self.range, epoch: self.epoch, stage })
    }
}

impl Takeover<AwaitingSurveys> {
    /// Returns the incarnations whose survey is still outstanding.
    pub fn awaited_agents(&self) -> &[Incarnation] {
        &self.stage.awaited
    }

    /// Handles an agent's survey of the tasks that it holds in the range.
    pub fn on_survey<I>(&mut self, from: &Incarnation, tasks: I)
    where
        I: IntoIterator<Item = (TaskId, RecoveredTask)>,
    {
        self.stage.awaited.retain(|awaited| awaited != from);
        for (task, recovered) in tasks {
            merge_task(&mut self.stage.recovered, task, recovered);
        }
    }

    /// Records that an agent cannot be surveyed: it does not answer or has restarted.
    pub fn on_survey_failed(&mut self, from: &Incarnation) {
        self.stage.awaited.retain(|awaited| awaited != from);
        insert_sorted(&mut self.stage.failed, from.clone());
    }

    /// Ends the takeover; the history of agents that have not answered counts as missing.
    pub fn finish(self) -> Recovery {
        let stage = self.stage;
        let is_complete = stage.has_majority && stage.awaited.is_empty() && stage.failed.is_empty();
        Recovery { barrier: stage.barrier, is_complete, tasks: stage.recovered }
    }
}

/// What a new owner knows about the tasks that earlier owners have started.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Recovery {
    barrier: SystemTime,
    is_complete: bool,
    tasks: SortedMap<TaskId, RecoveredTask>,
}

impl Recovery {
    /// Returns the recovery of a range that has never had an owner.
    pub fn first_owner() -> Self {
        Self { barrier: SystemTime::UNIX_EPOCH, is_complete: true, tasks: SortedMap::new() }
    }

    /// Returns a recovery without tasks, in which the history of an agent is missing.
    pub fn with_missing_history(barrier: SystemTime) -> Self {
        Self { barrier, is_complete: false, tasks: SortedMap::new() }
    }

    /// Returns the recovery of a range whose former owner has handed over the tasks that it knows and
    /// accepts no more jobs.
    pub fn from_handover<I>(barrier: SystemTime, is_complete: bool, tasks: I) -> Self
    where
        I: IntoIterator<Item = (TaskId, RecoveredTask)>,
    {
        Self { barrier, is_complete, tasks: tasks.into_iter().collect() }
    }

    /// Iterates over the tasks that agents held.
    pub fn tasks(&self) -> impl Iterator<Item = (&TaskId, &RecoveredTask)> {
        self.tasks.iter()
    }

    /// Returns the time until which a former owner may have started tasks.
    pub fn barrier(&self) -> SystemTime {
        self.barrier
    }

    /// Returns whether the history of every agent is known: the tasks that its ledger remembers.
    ///
    /// The history is incomplete if an agent could not be surveyed, or if the takeover advanced
    /// without a majority of promises, so that the list of agents may be incomplete.
    pub fn is_history_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns a task if an agent held it.
    pub fn task(&self, task: &TaskId) -> Option<&RecoveredTask> {
        self.tasks.get(task)
    }
}

/// Adds a task; one that an agent has accepted takes precedence over one that never started.
fn merge_task(tasks: &mut SortedMap<TaskId, RecoveredTask>, task: TaskId, new: RecoveredTask) {
    let known = tasks.get(&task).map(|known| known.report.stage);
    if known.is_none_or(|stage| stage == Stage::NotStarted) {
        tasks.insert(task, new);
    }
}
