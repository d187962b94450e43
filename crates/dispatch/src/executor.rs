//! An agent's decisions: what starts at its endpoint and when, and what has become of it.
//!
//! Room is reserved before a start is sent and given back when its end is listed, or when the start
//! can no longer be carried out. Answers a load of short bursts: what does not fit at once waits in
//! the order of the latest useful start, and goes back to its entry when that moment has passed.

mod held;
mod listing;
mod report;
mod status;

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::id::{EntryName, TaskName, TaskRun};
use crate::room::FreeRoom;
use crate::samples::{Samples, Speed};
use crate::scheduler::{Fate, TaskEvent};

use held::{Held, Phase};

pub use report::{
    EndpointReport, HowEnded, Listing, Order, StartOutcome, StartRefusal, TaskEnd, TaskProgress,
};

/// Time after which a stop that was not confirmed is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(40);
/// Time in which a sound endpoint confirms a start or lists it, many times over.
const START_ANSWER: Duration = Duration::from_millis(30);
/// Time after which a start without an answer is sent again; a sound endpoint answers within 1 ms.
const START_AGAIN: Duration = Duration::from_millis(10);
/// Age of the last listing from which the endpoint is silent, and copies of starts are of no use: some
/// three times as old as listings become while a share of the answers is lost.
const COPY_LISTING_AGE: Duration = Duration::from_millis(150);
/// Most times that a start is sent: as often as it fits into [`START_ANSWER`].
const START_SENDS: u32 = 3;
/// Silence of the endpoint after which it takes no new tasks.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
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
        work: Arc<str>,
        /// Until when the start may be carried out, on the endpoint's clock in milliseconds.
        until_ms: u64,
        /// How often it was sent, this time included.
        sends: u32,
    },
    /// Stop a run at the endpoint.
    Stop(TaskRun),
    /// Tell an entry of a task.
    Tell(EntryName, TaskEvent),
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
    held: SortedMap<TaskName, Held>,
    /// Runs at the endpoint that nobody here has asked for, and when their stop was last sent.
    foreign: SortedMap<TaskRun, Duration>,
    entries: SortedMap<EntryName, Duration>,
    speed: Speed,
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
            speed: Speed::default(),
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

    /// Returns a deadline for what runs, on the endpoint's clock in milliseconds.
    pub fn lease(&mut self, now: Duration) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        let elapsed = millis(now.saturating_sub(at).mul_f64(CLOCK_RATE));
        let until_ms = clock_ms + elapsed + millis(self.settings.endpoint_lease);
        self.leased_until_ms = self.leased_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Takes in what the endpoint says of itself; returns whether it is news.
    pub fn on_report(&mut self, now: Duration, report: EndpointReport) -> bool {
        if let Some(known) = &self.endpoint {
            let is_older = report.born < known.born
                || (report.born == known.born && report.sequence < known.sequence);
            if is_older {
                return false;
            }
        }
        if self.listed_born.is_some_and(|born| report.born < born) {
            return false;
        }
        // A listing may have told first.
        let reborn = self.endpoint.as_ref().is_some_and(|known| known.born != report.born)
            && self.listed_born != Some(report.born);
        let is_new = self
            .endpoint
            .as_ref()
            .is_none_or(|known| known.born != report.born || known.draining != report.draining);
        if reborn {
            self.on_reborn();
        }
        let draining = report.draining;
        self.endpoint = Some(report);
        if draining {
            self.bounce_queued();
        }
        self.start_due(now);
        is_new
    }

    /// Takes in that the endpoint has left.
    pub fn on_left(&mut self, id: &str) {
        if self.endpoint.as_ref().is_some_and(|known| known.id == id) {
            self.endpoint = None;
            self.bounce_queued();
        }
    }

    /// Takes no new tasks any more, and gives back what has not started.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.bounce_queued();
    }

    /// Takes in that the endpoint has started anew, which ends what it ran.
    ///
    /// The next listing tells what is gone. A start on its way may reach the new incarnation, so that it
    /// is ruled out like any other.
    fn on_reborn(&mut self) {
        self.listed_born = None;
        self.listed_at = None;
        self.clock = None;
        self.leased_until_ms = 0;
        self.last_acked = 0;
        self.foreign = SortedMap::new();
        self.speed = Speed::default();
        self.failures = Samples::default();
        for (_, held) in self.held.iter_mut().filter(|(_, held)| held.phase != Phase::Queued) {
            // Deadlines were on the former incarnation's clock.
            held.until_ms = u64::MAX;
            held.sends = START_SENDS;
            held.stop_confirmed = None;
        }
    }

    /// Takes in that an incarnation with another id than the one `asked` for answers at the endpoint's
    /// address: what was sent to that one is refused there and gone. Tells whether it was the known one;
    /// otherwise its successor is known already.
    pub fn on_other_incarnation(&mut self, asked: &str) -> bool {
        if self.endpoint.as_ref().is_some_and(|known| known.id != asked) {
            return false;
        }
        self.on_reborn();
        self.endpoint = None;
        self.lose_started();
        self.bounce_queued();
        true
    }

    fn lose_started(&mut self) {
        let started = |held: &Held| held.phase != Phase::Queued;
        for name in self.names(started) {
            self.finish(&name, Fate::Stopped);
        }
    }

    fn bounce_queued(&mut self) {
        for name in self.names(|held| held.phase == Phase::Queued) {
            self.finish(&name, Fate::NotStarted);
        }
    }

    fn names<F>(&self, pass: F) -> Vec<TaskName>
    where
        F: Fn(&Held) -> bool,
    {
        let found = self.held.iter().filter(|(_, held)| pass(held));
        found.map(|(name, _)| name.clone()).collect()
    }

    /// Forgets a task and tells its entry.
    fn finish(&mut self, name: &TaskName, fate: Fate) {
        let Some(held) = self.held.remove(name) else {
            return;
        };
        let run = TaskRun { task: name.clone(), run: held.run };
        self.actions.push(ExecutorAction::Tell(held.entry, TaskEvent { run, fate }));
    }

    /// Takes in a sign of life of an entry, which had heard this agent at `heard`.
    pub fn on_entry_heard(&mut self, entry: &EntryName, heard: Duration) {
        let until = heard + self.settings.entry_lease;
        let known = self.entries.get_or_insert_with(entry.clone(), || until);
        *known = until.max(*known);
    }

    /// Stops what an entry that is known to be gone has started.
    pub fn on_entry_gone(&mut self, now: Duration, entry: &EntryName) {
        self.entries.remove(entry);
        for name in self.names(|held| held.entry == *entry) {
            self.recall_task(now, &name);
        }
    }

    /// Takes in an order.
    pub fn on_order(&mut self, now: Duration, received: Order) {
        let Order { entry, order } = received;
        let name = order.run.task.clone();
        let refuses = self.leaving
            || self.held.contains(&name)
            || self
                .endpoint
                .as_ref()
                .is_none_or(|known| known.draining || !known.capacity.holds(order.need))
            || !self.is_leased(now, &entry);
        if refuses {
            let event = TaskEvent { run: order.run, fate: Fate::NotStarted };
            self.actions.push(ExecutorAction::Tell(entry, event));
            return;
        }
        self.held.insert(name, Held::new(now, entry, order));
        self.start_due(now);
    }

    fn is_leased(&self, now: Duration, entry: &EntryName) -> bool {
        self.entries.get(entry).is_some_and(|until| now < *until)
    }

    /// Takes a run back, or stops it.
    pub fn on_recall(&mut self, now: Duration, entry: &EntryName, run: &TaskRun) {
        let of_entry = |held: &Held| held.entry == *entry && held.run == run.run;
        if self.held.get(&run.task).is_some_and(of_entry) {
            self.recall_task(now, &run.task);
        }
    }

    fn recall_task(&mut self, now: Duration, name: &TaskName) {
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        if held.phase == Phase::Queued {
            self.finish(name, Fate::NotStarted);
            return;
        }
        if held.stop_sent.is_none() {
            held.stop_sent = Some(now);
            let run = TaskRun { task: name.clone(), run: held.run };
            self.actions.push(ExecutorAction::Stop(run));
        }
    }

    /// Starts what fits, the most urgent first, and gives back what cannot start in time.
    fn start_due(&mut self, now: Duration) {
        for name in self.names(|held| held.phase == Phase::Queued && held.is_overdue(now)) {
            self.finish(&name, Fate::NotStarted);
        }
        if !self.may_start(now) {
            return;
        }
        let mut queued: Vec<(bool, Duration, TaskName)> = self
            .held
            .iter()
            .filter(|(_, held)| held.phase == Phase::Queued)
            .map(|(name, held)| (held.late, held.start_by, name.clone()))
            .collect();
        if queued.is_empty() {
            return;
        }
        queued.sort();
        let mut free = self.reserved_free();
        for (_, _, name) in queued {
            self.try_start(now, &name, &mut free);
        }
    }

    fn may_start(&self, now: Duration) -> bool {
        let listed = self.listed_at.is_some_and(|at| now < at + SILENCE_LIMIT);
        // A new incarnation may have another size, which its announcement tells.
        let takes = self
            .endpoint
            .as_ref()
            .is_some_and(|known| !known.draining && self.listed_born == Some(known.born));
        listed && takes && self.foreign.is_empty() && !self.leaving
    }

    fn try_start(&mut self, now: Duration, name: &TaskName, free: &mut FreeRoom) {
        let Some(held) = self.held.get(name) else {
            return;
        };
        if !free.fits(held.need) || self.is_crowded(name, held.most_here) {
            return;
        }
        if !self.is_leased(now, &held.entry) {
            return;
        }
        let Some(until_ms) = self.lease(now) else {
            return;
        };
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        held.phase = Phase::Starting;
        held.until_ms = until_ms;
        held.started_at = now;
        held.sent_at = now;
        held.sends = 1;
        free.take(held.need);
        let run = TaskRun { task: name.clone(), run: held.run };
        let work = held.work.clone();
        self.actions.push(ExecutorAction::Start { run, work, until_ms, sends: 1 });
    }

    /// Tells whether as many tasks of the step run here as may.
    fn is_crowded(&self, name: &TaskName, most: u32) -> bool {
        let same_step = |other: &TaskName| other.request == name.request && other.step == name.step;
        let started = |held: &Held| held.phase != Phase::Queued;
        let here = self.held.iter().filter(|(other, held)| same_step(other) && started(held));
        most > 0 && here.count() >= most as usize
    }

    /// Returns the room that no started task takes.
    fn reserved_free(&self) -> FreeRoom {
        let capacity = self.endpoint.as_ref().map(|known| known.capacity).unwrap_or_default();
        let mut free = FreeRoom::of(capacity);
        for held in self.held.values().filter(|held| held.phase != Phase::Queued) {
            free.take(held.need);
        }
        free
    }

    /// Takes in what became of a start, or of one of its copies.
    pub fn on_start_reply(&mut self, now: Duration, run: &TaskRun, outcome: StartOutcome) {
        let Some(held) = self.held.get_mut(&run.task).filter(|held| held.run == run.run) else {
            return;
        };
        if held.phase != Phase::Starting {
            // Another copy was answered before, or the run is listed.
            return;
        }
        match outcome {
            StartOutcome::Started => {
                held.phase = Phase::Running;
                held.confirmed_at = Some(now);
            }
            StartOutcome::NoReply => self.start_again(now, &run.task),
            // Another copy may still be carried out, unless no incarnation is there to do so.
            StartOutcome::Refused(refusal)
                if held.sends > 1 && refusal != StartRefusal::OtherIncarnation =>
            {
                self.recall_task(now, &run.task);
            }
            StartOutcome::Refused(refusal) => self.on_refused(now, run, refusal),
        }
        self.start_due(now);
    }

    /// Sends a copy of a start that was not answered. The endpoint takes each run only once.
    fn start_again(&mut self, now: Duration, name: &TaskName) {
        let is_silent = self.listed_at.is_none_or(|at| now >= at + COPY_LISTING_AGE);
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        if is_silent || held.stop_sent.is_some() || held.sends >= START_SENDS {
            return;
        }
        held.sends += 1;
        held.sent_at = now;
        let run = TaskRun { task: name.clone(), run: held.run };
        let (work, until_ms, sends) = (held.work.clone(), held.until_ms, held.sends);
        self.actions.push(ExecutorAction::Start { run, work, until_ms, sends });
    }

    fn on_refused(&mut self, now: Duration, run: &TaskRun, refusal: StartRefusal) {
        match refusal {
            StartRefusal::OldRun => self.finish(&run.task, Fate::StaleRun),
            StartRefusal::Unhealthy => {
                self.failures.add(now, 1.0);
                self.finish(&run.task, Fate::NotStarted);
            }
            StartRefusal::OtherIncarnation => {
                self.finish(&run.task, Fate::NotStarted);
                self.listed_at = None;
            }
            StartRefusal::Fenced
            | StartRefusal::TooLate
            | StartRefusal::NoRoom
            | StartRefusal::Invalid => self.finish(&run.task, Fate::NotStarted),
        }
    }

    /// Takes in that a stop was carried out.
    pub fn on_stopped(&mut self, now: Duration, run: &TaskRun) {
        if let Some(held) = self.held.get_mut(&run.task).filter(|held| held.run == run.run) {
            held.stop_confirmed = Some(now);
        }
    }

    /// Takes in that time has passed.
    pub fn on_tick(&mut self, now: Duration) {
        self.follow_unanswered(now);
        self.stop_unleased(now);
        self.lose_lapsed(now);
        self.send_stops_again(now);
        self.start_due(now);
    }

    /// Sends starts again that were not answered and are not listed, and in the end rules them out, so
    /// that the tasks can go elsewhere.
    fn follow_unanswered(&mut self, now: Duration) {
        let starting = |held: &Held| held.phase == Phase::Starting;
        for name in self.names(|held| starting(held) && now >= held.started_at + START_ANSWER) {
            self.recall_task(now, &name);
        }
        for name in self.names(|held| starting(held) && now >= held.sent_at + START_AGAIN) {
            self.start_again(now, &name);
        }
    }

    fn stop_unleased(&mut self, now: Duration) {
        let lapsed: Vec<EntryName> = self
            .entries
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in lapsed {
            self.on_entry_gone(now, &entry);
        }
    }

    /// Gives up what the endpoint no longer runs, since its lease has lapsed.
    fn lose_lapsed(&mut self, now: Duration) {
        let Some((at, clock_ms)) = self.clock else {
            return;
        };
        let elapsed = millis(now.saturating_sub(at).mul_f64(CLOCK_RATE));
        if clock_ms + elapsed > self.leased_until_ms {
            self.lose_started();
        }
    }

    fn send_stops_again(&mut self, now: Duration) {
        for (name, held) in self.held.iter_mut() {
            let unconfirmed = held.stop_confirmed.is_none();
            if unconfirmed && held.stop_sent.is_some_and(|at| now >= at + STOP_AGAIN) {
                held.stop_sent = Some(now);
                let run = TaskRun { task: name.clone(), run: held.run };
                self.actions.push(ExecutorAction::Stop(run));
            }
        }
        for (run, sent_at) in self.foreign.iter_mut() {
            if now >= *sent_at + STOP_AGAIN {
                *sent_at = now;
                self.actions.push(ExecutorAction::Stop(run.clone()));
            }
        }
    }

    /// Returns the runs that are held for an entry.
    pub fn held_for(&self, entry: &EntryName) -> Vec<TaskRun> {
        let found = self.held.iter().filter(|(_, held)| held.entry == *entry);
        found.map(|(name, held)| TaskRun { task: name.clone(), run: held.run }).collect()
    }

    /// Returns the number of tasks that may run.
    pub fn started(&self) -> usize {
        self.held.values().filter(|held| held.phase != Phase::Queued).count()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
