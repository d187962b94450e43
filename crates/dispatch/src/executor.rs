//! An agent's decisions: what starts at its endpoint and when, and what has become of it.
//!
//! Resources is reserved before a start is sent and given back when its end is listed, or when the start
//! can no longer be carried out. ReplyTracker a load of short bursts: what does not fit at once waits in
//! the order of the latest useful start, and goes back to its entry when that moment has passed.

mod held_task;
mod incarnation;
mod listing;
mod report;
mod start;
mod status;
mod stop;

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::id::{EntryName, TaskName, TaskRun};
use crate::samples::{Samples, SlownessEstimator};
use crate::scheduler::{Fate, TaskEvent};

use held_task::{HeldTask, Phase};

pub use report::{
    EndpointReport, Listing, ReceivedOrder, RunOutcome, StartOutcome, StartRefusal, TaskEnd,
    TaskProgress,
};

/// Rate at which the endpoint's clock runs at least, relative to this one.
const CLOCK_RATE: f64 = 0.98;

/// Settings of an executor.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorSettings {
    /// Time for which tasks of an entry are kept that is not heard from.
    pub entry_lease: Duration,
    /// Lease of whatever runs at the endpoint.
    pub endpoint_lease: Duration,
    /// Longest lease that the endpoint grants.
    pub longest_lease: Duration,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutorAction {
    /// Start a task at the endpoint.
    Start {
        /// The run.
        run: TaskRun,
        /// What the endpoint is handed.
        payload: Arc<str>,
        /// Until when the start may be carried out, on the endpoint's clock in milliseconds.
        deadline_ms: u64,
        /// How often it was sent, this time included.
        sends: u32,
    },
    /// Stop a run at the endpoint.
    Stop(TaskRun),
    /// Tell an entry of a task.
    NotifyEntry(EntryName, TaskEvent),
}

/// The account that an agent keeps of its endpoint.
pub struct Executor {
    settings: ExecutorSettings,
    endpoint: Option<EndpointReport>,
    /// Incarnation that was listed last.
    listed_born: Option<u64>,
    listed_at: Option<Duration>,
    /// A reading of the endpoint's clock, and when it was taken.
    clock: Option<(Duration, u64)>,
    /// Latest deadline handed to the endpoint.
    leased_until_ms: u64,
    last_acked: u64,
    held: SortedMap<TaskName, HeldTask>,
    /// Runs at the endpoint that nobody here has asked for, and when their stop was last sent.
    foreign: SortedMap<TaskRun, Duration>,
    entries: SortedMap<EntryName, Duration>,
    speed: SlownessEstimator,
    failures: Samples,
    leaving: bool,
    actions: Vec<ExecutorAction>,
}

impl Executor {
    /// Returns an executor that knows of no endpoint.
    pub fn new(settings: ExecutorSettings) -> Self {
        Self {
            settings,
            endpoint: None,
            listed_born: None,
            listed_at: None,
            clock: None,
            leased_until_ms: 0,
            last_acked: 0,
            held: SortedMap::new(),
            foreign: SortedMap::new(),
            entries: SortedMap::new(),
            speed: SlownessEstimator::default(),
            failures: Samples::default(),
            leaving: false,
            actions: Vec::new(),
        }
    }

    /// Returns what is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<ExecutorAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns what the endpoint has told of itself.
    pub fn endpoint(&self) -> Option<&EndpointReport> {
        self.endpoint.as_ref()
    }

    /// Returns the number of the last end taken note of.
    pub fn last_acked(&self) -> u64 {
        self.last_acked
    }

    /// Tells whether anything is held here or may run at the endpoint.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.foreign.is_empty()
    }

    /// Returns the least that the endpoint's clock shows now.
    fn endpoint_clock_ms(&self, now: Duration) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        Some(clock_ms + millis(now.saturating_sub(at).mul_f64(CLOCK_RATE)))
    }

    /// Returns a deadline for what runs, on the endpoint's clock in milliseconds.
    pub fn extend_lease(&mut self, now: Duration) -> Option<u64> {
        let until_ms = self.endpoint_clock_ms(now)? + millis(self.settings.endpoint_lease);
        self.leased_until_ms = self.leased_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Takes no new tasks any more, and gives back what has not started.
    pub fn drain(&mut self) {
        self.leaving = true;
        self.bounce_queued();
    }

    fn bounce_queued(&mut self) {
        for name in self.names(|held| held.phase == Phase::Queued) {
            self.finish(&name, Fate::NotStarted);
        }
    }

    fn names<F>(&self, pass: F) -> Vec<TaskName>
    where
        F: Fn(&HeldTask) -> bool,
    {
        let found = self.held.iter().filter(|(_, held)| pass(held));
        found.map(|(name, _)| name.clone()).collect()
    }

    /// Forgets a task and tells its entry.
    fn finish(&mut self, name: &TaskName, fate: Fate) {
        let Some(held) = self.held.remove(name) else {
            return;
        };
        let run = held.run_of(name);
        self.actions.push(ExecutorAction::NotifyEntry(held.entry, TaskEvent { run, fate }));
    }

    /// Takes in a sign of life of an entry, which had heard this agent at `heard`.
    pub fn on_entry_heartbeat(&mut self, entry: &EntryName, heard: Duration) {
        let until = heard + self.settings.entry_lease;
        let known = self.entries.get_or_insert_with(entry.clone(), || until);
        *known = until.max(*known);
    }

    /// Takes in an order.
    pub fn on_order(&mut self, now: Duration, received: ReceivedOrder) {
        let ReceivedOrder { entry, order } = received;
        let name = order.run.task.clone();
        let refuses = self.leaving
            || self.held.contains(&name)
            || self
                .endpoint
                .as_ref()
                .is_none_or(|known| known.draining || !known.capacity.can_fit(order.resources))
            || !self.is_leased(now, &entry);
        if refuses {
            let event = TaskEvent { run: order.run, fate: Fate::NotStarted };
            self.actions.push(ExecutorAction::NotifyEntry(entry, event));
            return;
        }
        self.held.insert(name, HeldTask::new(now, entry, order));
        self.start_due(now);
    }

    fn is_leased(&self, now: Duration, entry: &EntryName) -> bool {
        self.entries.get(entry).is_some_and(|until| now < *until)
    }

    /// Takes in that time has passed.
    pub fn on_tick(&mut self, now: Duration) {
        self.follow_unanswered(now);
        self.stop_unleased(now);
        self.lose_lapsed(now);
        self.send_stops_again(now);
        self.start_due(now);
    }

    /// Returns the runs that are held for an entry.
    pub fn held_for(&self, entry: &EntryName) -> Vec<TaskRun> {
        let found = self.held.iter().filter(|(_, held)| held.entry == *entry);
        found.map(|(name, held)| held.run_of(name)).collect()
    }

    /// Returns the number of tasks that may run.
    pub fn started_count(&self) -> usize {
        self.held.values().filter(|held| held.phase != Phase::Queued).count()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
