//! Decides what an agent starts at its endpoint and when, and tracks the state of each run.
//!
//! Resources are reserved before a start is sent. They are released when the endpoint lists the end
//! of the run, or when the start can no longer be carried out. During short bursts of load, tasks
//! that do not fit at once wait in the order of priority and latest useful start, and return to their
//! entry when that moment has passed.

mod claims;
mod evacuation;
mod held_task;
mod incarnation;
mod listing;
mod progress;
mod queue_order;
mod report;
mod start;
mod status;
mod stop;

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::SortedMap;

use crate::crash_log::{CrashLog, CrashRecord};
use crate::id::{EntryId, TaskName, TaskRun};
use crate::reply_tracker::EndpointActivity;
use crate::samples::{Samples, SlownessEstimator};
use crate::scheduler::{RunStatus, TaskEvent};

use claims::Claims;
use evacuation::ColdStart;
use held_task::{HeldTask, Phase};

pub use report::{
    EndpointReport, Listing, ReceivedOrder, RunOutcome, StartOutcome, StartRefusal, TaskEnd,
    TaskProgress,
};

/// Lowest rate at which the endpoint's clock may run, relative to the agent's clock.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Settings of an executor.
#[derive(Clone, Debug)]
pub struct ExecutorSettings {
    /// Time for which the tasks of an entry are kept after the last contact with it.
    pub entry_lease: Duration,
    /// Duration of the lease that the agent requests for everything that runs at the endpoint.
    pub endpoint_lease: Duration,
    /// Longest lease that the endpoint grants.
    pub longest_lease: Duration,
    /// Maximum number of tasks that are held, queued or started. Resources do not bound it: tasks may
    /// request none.
    pub max_tasks: usize,
    /// Name of the VM of the agent and its endpoint.
    pub vm: CompactString,
    /// Data centre of the agent and its endpoint.
    pub site: CompactString,
}

/// An action that the agent must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutorAction {
    /// Starts a task at the endpoint.
    Start {
        /// Id of the endpoint that the start is addressed to. Another one may be known when the
        /// start is sent.
        endpoint_id: CompactString,
        /// The run to start.
        run: TaskRun,
        /// Description of the work, passed to the endpoint as it is.
        payload: Arc<str>,
        /// Latest time to carry out the start, in milliseconds on the endpoint's clock.
        deadline_ms: u64,
        /// Number of times that this start has been sent, including this one.
        sends: u32,
    },
    /// Stops a run at the endpoint.
    Stop(TaskRun),
    /// Sends a task event to an entry.
    NotifyEntry(EntryId, TaskEvent),
    /// Sends a crash record and the time since the crash to all entries. It precedes the event of
    /// the lost run.
    ShareCrash(CrashRecord, Duration),
}

/// The state that an agent keeps of its endpoint and of the tasks that it holds.
pub struct Executor {
    settings: ExecutorSettings,
    /// The endpoint that calls are addressed to.
    endpoint: Option<EndpointReport>,
    /// Whether the departure of the endpoint has been announced since its most recent report.
    has_left: bool,
    /// Reports of other incarnations about which no answer of the endpoint has decided yet.
    claims: Claims,
    /// Incarnation that sent the most recent listing.
    listed_incarnation: Option<u64>,
    last_listing_at: Option<Duration>,
    /// Agent time and endpoint clock in milliseconds, as of the most recent listing.
    clock: Option<(Duration, u64)>,
    /// Latest lease deadline sent to the endpoint, in milliseconds on its clock.
    lease_deadline_ms: u64,
    /// Sequence number of the last end of a run that was processed.
    last_acked: u64,
    /// Tasks of entries, queued or started.
    held: SortedMap<TaskName, HeldTask>,
    /// Runs that the endpoint lists but that are not held here, each with the time at which its
    /// stop was last sent.
    unknown_runs: SortedMap<TaskRun, Duration>,
    /// Time at which the lease of each entry expires.
    entry_leases: SortedMap<EntryId, Duration>,
    slowness_estimator: SlownessEstimator,
    /// Outcomes of recent runs: 0 if the task completed, 1 if it failed or if its start was refused
    /// as [`StartRefusal::Unhealthy`] or [`StartRefusal::NotSent`].
    failures: Samples,
    /// Crashes of this endpoint and of others.
    crash_log: CrashLog,
    /// Whether a process listens at the endpoint's address, as far as is known.
    is_listening: bool,
    /// Whether the agent is stopping and accepts no tasks.
    is_draining: bool,
    /// Whether the data centre is evacuated, so that no task may start.
    is_evacuated: bool,
    /// Time until which the endpoint is slow after its start, by its most recent report.
    cold_until: Duration,
    /// Limit of the endpoint's use after an evacuation, if it was cold when the evacuation ended.
    cold_start: Option<ColdStart>,
    actions: Vec<ExecutorAction>,
}

impl Executor {
    /// Creates an executor without an endpoint.
    pub fn new(settings: ExecutorSettings) -> Self {
        Self {
            settings,
            endpoint: None,
            has_left: false,
            claims: Claims::default(),
            listed_incarnation: None,
            last_listing_at: None,
            clock: None,
            lease_deadline_ms: 0,
            last_acked: 0,
            held: SortedMap::new(),
            unknown_runs: SortedMap::new(),
            entry_leases: SortedMap::new(),
            slowness_estimator: SlownessEstimator::default(),
            failures: Samples::default(),
            crash_log: CrashLog::default(),
            is_listening: true,
            is_draining: false,
            is_evacuated: false,
            cold_until: Duration::ZERO,
            cold_start: None,
            actions: Vec::new(),
        }
    }

    /// Returns the actions to carry out since the last call.
    pub fn take_actions(&mut self) -> Vec<ExecutorAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the most recent report of the endpoint, if there is one.
    pub fn endpoint(&self) -> Option<&EndpointReport> {
        self.endpoint.as_ref()
    }

    /// Returns the sequence number of the last end of a run that was processed.
    pub fn last_acked(&self) -> u64 {
        self.last_acked
    }

    /// Returns what is known of the runs at the endpoint.
    pub fn activity(&self) -> EndpointActivity {
        if self.last_listing_at.is_none() || !self.is_listening || !self.claims.is_empty() {
            EndpointActivity::Unknown
        } else if self.held.is_empty() && self.unknown_runs.is_empty() {
            EndpointActivity::Idle
        } else {
            EndpointActivity::Busy
        }
    }

    /// Returns a lower bound of the endpoint's clock, in milliseconds, or `None` if the clock is
    /// not known.
    fn endpoint_clock_ms(&self, now: Duration) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        Some(clock_ms + millis(now.saturating_sub(at).mul_f64(MIN_CLOCK_RATE)))
    }

    /// Extends the lease of the endpoint. Returns the lease deadline to send to it, in milliseconds
    /// on its clock, or `None` if the clock is not known.
    pub fn extend_lease(&mut self, now: Duration) -> Option<u64> {
        let deadline_ms = self.endpoint_clock_ms(now)? + millis(self.settings.endpoint_lease);
        self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms);
        Some(deadline_ms)
    }

    /// Stops accepting tasks and returns those that have not started to their entries.
    pub fn drain(&mut self) {
        self.is_draining = true;
        self.return_queued();
    }

    fn return_queued(&mut self) {
        for name in self.tasks_where(|held| held.phase == Phase::Queued) {
            self.remove_and_report(&name, RunStatus::NotStarted);
        }
    }

    fn tasks_where<F>(&self, predicate: F) -> Vec<TaskName>
    where
        F: Fn(&HeldTask) -> bool,
    {
        let matching = self.held.iter().filter(|(_, held)| predicate(held));
        matching.map(|(name, _)| name.clone()).collect()
    }

    /// Removes a task and reports its status to its entry.
    fn remove_and_report(&mut self, name: &TaskName, status: RunStatus) {
        let Some(held) = self.held.remove(name) else {
            return;
        };
        let run = held.run_of(name);
        self.actions.push(ExecutorAction::NotifyEntry(held.entry, TaskEvent { run, status }));
    }

    /// Extends the lease of an entry, which last received a message of this agent at `heard_at`. A
    /// time in the future is taken as `now`.
    pub fn on_entry_heartbeat(&mut self, now: Duration, entry: &EntryId, heard_at: Duration) {
        let expires_at = heard_at.min(now) + self.settings.entry_lease;
        let lease = self.entry_leases.get_or_insert_with(entry.clone(), || expires_at);
        *lease = expires_at.max(*lease);
    }

    /// Returns the crash records that the agent remembers.
    pub fn crash_log(&self) -> &CrashLog {
        &self.crash_log
    }

    /// Adds crash records that an entry has sent, each with the time since the crash. New ones are
    /// shared with all entries.
    pub fn on_crash_records<I>(&mut self, now: Duration, records: I)
    where
        I: IntoIterator<Item = (CrashRecord, Duration)>,
    {
        for (record, age) in records {
            if self.crash_log.insert(now, record.clone(), age) {
                self.actions.push(ExecutorAction::ShareCrash(record, age));
            }
        }
    }

    /// Returns the status with which an order is returned because of earlier crashes, if any.
    fn crash_refusal(&self, now: Duration, task: &TaskName) -> Option<RunStatus> {
        if self.crash_log.is_suspect_at(now, task, &self.settings.vm) {
            return Some(RunStatus::KnownSuspect);
        }
        // The entry has not learned of the limit yet; it receives the records before this status.
        self.crash_log.count(now, task).is_at_limit().then_some(RunStatus::NotStarted)
    }

    /// Accepts an order, or returns it at once as not started. A task that is suspected of a crash of
    /// this endpoint is returned as such, also to an entry that did not order it before.
    pub fn on_order(&mut self, now: Duration, received: ReceivedOrder) {
        let ReceivedOrder { entry, order } = received;
        let name = order.run.task.clone();
        if let Some(status) = self.crash_refusal(now, &name) {
            let event = TaskEvent { run: order.run, status };
            self.actions.push(ExecutorAction::NotifyEntry(entry, event));
            return;
        }
        let is_refused = self.is_draining
            || self.is_evacuated
            || self.has_left
            || self.held.contains(&name)
            || self.is_full()
            || self.endpoint.as_ref().is_none_or(|endpoint| {
                endpoint.draining
                    || !endpoint.capacity.can_fit(order.resources)
                    || !endpoint.has_label(order.required_label.as_deref())
            })
            || !self.has_lease(now, &entry);
        if is_refused {
            let event = TaskEvent { run: order.run, status: RunStatus::NotStarted };
            self.actions.push(ExecutorAction::NotifyEntry(entry, event));
            return;
        }
        self.held.insert(name, HeldTask::new(now, entry, order));
        self.start_queued(now);
    }

    fn is_full(&self) -> bool {
        self.held.len() >= self.settings.max_tasks
    }

    fn has_lease(&self, now: Duration, entry: &EntryId) -> bool {
        self.entry_leases.get(entry).is_some_and(|expires_at| now < *expires_at)
    }

    /// Handles the passage of time: expires leases, resends calls and starts queued tasks.
    pub fn on_tick(&mut self, now: Duration) {
        self.follow_up_unanswered(now);
        self.expire_entry_leases(now);
        self.give_up_expired(now);
        self.forget_departed(now);
        self.resend_stops(now);
        self.start_queued(now);
    }

    /// Returns the runs that are held for an entry.
    pub fn held_for(&self, entry: &EntryId) -> Vec<TaskRun> {
        let matching = self.held.iter().filter(|(_, held)| held.entry == *entry);
        matching.map(|(name, held)| held.run_of(name)).collect()
    }

    /// Returns whether any task is held for an entry.
    pub fn holds_tasks_of(&self, entry: &EntryId) -> bool {
        self.held.values().any(|held| held.entry == *entry)
    }

    /// Returns the number of tasks that were sent to the endpoint and may run there.
    pub fn started_count(&self) -> usize {
        self.held.values().filter(|held| held.phase != Phase::Queued).count()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
