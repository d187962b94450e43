//! State that the parts of an entry share. Each piece has its own lock.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use cowslipwing_dispatch::{
    Action, AgentId, Answer, Decision, EndedJobs, EndpointReport, EntryId, EvacuationNotices,
    Evacuations, ReportMemory, RequestId, RequestLimits, RouteTable, Scheduler, SchedulerSettings,
};
use cowslipwing_platform::{StoreClient, TaskSizeLimits, decode_config};
use cowslipwing_proto::EntryFrame;
use cowslipwing_server::Account;
use cowslipwing_settings::{LimitConfig, PlatformConfig};
use cowslipwing_types::{ByteSize, Clock, SortedMap, to_millis};
use tokio::sync::{mpsc, oneshot, watch};

use super::peer_cancels::CancelNotices;
use crate::convert::{
    crash_to_proto, crashes_to_proto, order_to_proto, report_to_proto, share_payloads,
};
use crate::members::Members;
use crate::metrics::Metrics;
use crate::wire_ids::run_to_proto;
use crate::{ENDPOINT_LEASE, ENTRY_LEASE, HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL_PER_STREAM};

/// Time without contact after which an agent gets no new tasks; two and a half heartbeat intervals
/// in a small deployment.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);

/// Interval between heartbeats to an agent without tasks of this entry. Agents close a stream after
/// 700 ms of silence, and take an order only if the last heartbeat renewed the lease of 600 ms.
const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The open stream to an agent.
pub(super) struct AgentStream {
    pub(super) tx: mpsc::UnboundedSender<EntryFrame>,
    /// Clock of the agent in the most recent frame from it, in milliseconds.
    pub(super) heard_ms: u64,
    /// Whether the agent accepts orders that share their payload.
    pub(super) accepts_same_work: bool,
    /// Number of the stream, which distinguishes it from a later stream of the same agent.
    pub(super) stream_id: u64,
}

/// The configuration in force, decoded and as a record of the store.
#[derive(Default)]
pub(super) struct ActiveConfig {
    pub(super) table: Arc<RouteTable>,
    /// Empty until a configuration has been received.
    pub(super) record: Bytes,
}

/// Applies the limits of a configuration to the callers' connections.
pub(super) struct CallerLimits {
    account: Arc<Account>,
    /// Limits that a configuration does not state.
    settings: LimitConfig,
    task_size: TaskSizeLimits,
}

impl CallerLimits {
    pub(super) fn new(account: Arc<Account>, limits: &LimitConfig) -> Self {
        let bytes = |size: ByteSize| usize::try_from(size.bytes()).unwrap_or(usize::MAX);
        let task_size = TaskSizeLimits {
            max_payload_bytes: bytes(limits.payload),
            max_label_bytes: bytes(limits.label),
        };
        Self { account, settings: *limits, task_size }
    }

    pub(super) fn task_size(&self) -> TaskSizeLimits {
        self.task_size
    }

    fn apply(&self, limits: RequestLimits) {
        let head = limits.max_head_bytes.map(|bytes| ByteSize::new(bytes as u64));
        self.account.set_request_limits(
            head.unwrap_or(self.settings.head),
            limits.header_timeout.unwrap_or(self.settings.header_timeout),
            limits.idle_timeout.unwrap_or(self.settings.idle_timeout),
        );
    }
}

/// The shared state of an entry.
pub(super) struct Shared {
    /// Identifies this incarnation of the entry, in the form `VM@START`.
    pub(super) id: EntryId,
    /// Name of the VM.
    pub(super) node: String,
    /// Address that agents and other entries connect to.
    pub(super) address: SocketAddr,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) store: StoreClient,
    pub(super) members: Members,
    /// Number of callers' requests that are being served.
    pub(super) requests_in_flight: Arc<AtomicUsize>,
    /// Time of the store's most recent answer; `None` after a failed call.
    pub(super) store_answered_at: Mutex<Option<Duration>>,
    /// Known evacuations of data centres. The streams to agents are notified of changes.
    pub(super) evacuations: watch::Sender<Evacuations>,
    pub(super) evacuation_notices: Mutex<EvacuationNotices>,
    scheduler: Mutex<Scheduler>,
    streams: Mutex<SortedMap<AgentId, AgentStream>>,
    /// Channels to the callers that wait for each open job; several if a caller repeated its
    /// request.
    waiters: Mutex<SortedMap<RequestId, Vec<oneshot::Sender<Answer>>>>,
    active_config: Mutex<ActiveConfig>,
    pub(super) caller_limits: CallerLimits,
    /// Cancelled jobs of which the other entries have not been told.
    pub(super) cancel_notices: CancelNotices,
    /// Answers of ended jobs, for copies of their requests.
    ended_jobs: Mutex<EndedJobs>,
    /// Endpoint reports to return to agents that restart.
    endpoint_reports: Mutex<ReportMemory>,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("the locks on the entry's state are never poisoned")
}

impl Shared {
    pub(super) fn new(
        config: &PlatformConfig,
        address: SocketAddr,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        caller_limits: CallerLimits,
    ) -> Self {
        let started_ms = to_millis(clock.wall());
        let id = format!("{}@{started_ms}", config.node);
        let settings = SchedulerSettings {
            entry_lease: ENTRY_LEASE,
            endpoint_lease: ENDPOINT_LEASE.min(config.longest_lease),
            suspect_after: SUSPECT_AFTER,
            remote_run_time_ratio: config.remote_run_time_ratio,
        };
        let mut scheduler = Scheduler::new(settings);
        scheduler.set_site(config.site.as_str());
        let members = Members::new(&config.seeds);
        members.add([address]);
        Self {
            id: id.parse().expect("a valid node name and digits form an entry id"),
            node: config.node.to_string(),
            address,
            clock,
            metrics,
            store: StoreClient::new(config.store),
            members,
            requests_in_flight: Arc::new(AtomicUsize::new(0)),
            store_answered_at: Mutex::default(),
            evacuations: watch::Sender::default(),
            evacuation_notices: Mutex::default(),
            scheduler: Mutex::new(scheduler),
            streams: Mutex::default(),
            waiters: Mutex::default(),
            active_config: Mutex::default(),
            caller_limits,
            cancel_notices: CancelNotices::default(),
            ended_jobs: Mutex::default(),
            endpoint_reports: Mutex::default(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    pub(super) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        lock(&self.scheduler)
    }

    pub(super) fn streams(&self) -> MutexGuard<'_, SortedMap<AgentId, AgentStream>> {
        lock(&self.streams)
    }

    /// Returns the number of callers' requests in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Relaxed)
    }

    /// Returns the time until the next heartbeat to an agent. It renews the lease of the tasks
    /// there, so agents without tasks of this entry get fewer heartbeats.
    pub(super) fn heartbeat_interval(&self, agent: &AgentId) -> Duration {
        if !self.scheduler().has_runs_at(agent) {
            return IDLE_HEARTBEAT_INTERVAL;
        }
        let stream_count = u32::try_from(self.streams().len()).unwrap_or(u32::MAX);
        (HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL_PER_STREAM * stream_count).min(ENTRY_LEASE / 2)
    }

    /// Calls `f` with the scheduler and the current time, then executes the resulting actions.
    pub(super) fn with_scheduler<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut Scheduler, Duration) -> T,
    {
        let now = self.now();
        let mut scheduler = self.scheduler();
        let result = f(&mut scheduler, now);
        let actions = scheduler.take_actions();
        // The scheduler stays locked, so that frames are sent in the order of the decisions.
        self.execute_actions(actions);
        drop(scheduler);
        result
    }

    fn execute_actions(&self, actions: Vec<Action>) {
        let mut frames: SortedMap<AgentId, EntryFrame> = SortedMap::new();
        for action in actions {
            match action {
                Action::Order(agent, order) => {
                    let frame = frames.get_or_insert_with(agent, EntryFrame::default);
                    frame.orders.push(order_to_proto(&order));
                }
                Action::Cancel(agent, run) => {
                    let frame = frames.get_or_insert_with(agent, EntryFrame::default);
                    frame.cancels.push(run_to_proto(&run));
                }
                Action::ShareCrash(agent, record, age) => {
                    self.metrics.count("crash_record_forwarded");
                    let frame = frames.get_or_insert_with(agent, EntryFrame::default);
                    frame.crashes.push(crash_to_proto(&record, age));
                }
                Action::Answer(id, answer) => self.send_answer(&id, answer),
                Action::Record(decision) => self.log_decision(&decision),
            }
        }
        if frames.is_empty() {
            return;
        }
        let streams = self.streams();
        for (agent, frame) in frames.iter() {
            let is_sent = streams.get(agent).is_some_and(|stream| {
                let mut frame = EntryFrame { heard_ms: stream.heard_ms, ..frame.clone() };
                if stream.accepts_same_work {
                    share_payloads(&mut frame.orders);
                }
                stream.tx.send(frame).is_ok()
            });
            if !is_sent {
                // The scheduler handles the lost frame when the agent attaches again or is
                // considered lost.
                self.metrics.count("frame_not_sent");
                log::info!(
                    "entry: event=frame-not-sent agent={agent} orders={} cancels={}",
                    frame.orders.len(),
                    frame.cancels.len()
                );
            }
        }
    }

    fn log_decision(&self, decision: &Decision) {
        self.metrics.count(match decision {
            Decision::Admitted { .. } => "job_admitted",
            Decision::Refused { .. } => "job_refused",
            Decision::Withdrawn { not_started: true, .. } => "withdrawal_refused",
            Decision::Withdrawn { not_started: false, .. } => "withdrawal_given_up",
            Decision::Sent { .. } => "task_sent",
            Decision::Returned { .. } => "task_back",
            Decision::HeldRunCancelled { .. } => "held_run_cancelled",
            Decision::Moved { .. } => "task_moved",
            Decision::Overrun { .. } => "task_overrun",
            Decision::CrashLimitReached { .. } => "crash_limit_reached",
            Decision::CrashLimitKnown { .. } => "crash_limit_known",
            Decision::CrashLearned { .. } => "crash_record_learned",
            Decision::QueueContained { .. } => "queue_contained",
            Decision::SuspectGivenUp { .. } => "suspect_given_up",
            Decision::NearWaitBegun { .. } => "near_wait_begun",
            Decision::NearWaitPaidOff { .. } => "near_wait_paid_off",
            Decision::NearWaitLost { .. } => "near_wait_lost",
            Decision::FarFromData { .. } => "task_far_from_data",
            Decision::AgentLost { .. } => "agent_lost",
        });
        if let Decision::Refused { priority, yields_to: Some(class), .. } = decision {
            self.metrics.count(&format!("job_refused_p{priority}_for_p{class}"));
        }
        log::info!("entry: {decision}");
    }

    /// Cancels a job if it is open, and remembers that it was cancelled unless it has ended otherwise.
    /// Returns whether it was open.
    pub(super) fn cancel(&self, id: &RequestId) -> bool {
        let was_open = self.with_scheduler(|scheduler, _| scheduler.cancel(id));
        let mut ended_jobs = lock(&self.ended_jobs);
        if ended_jobs.get(id).is_none() {
            ended_jobs.insert(self.now(), id, Answer::Cancelled);
        }
        was_open
    }

    /// Returns the answer to a job that has ended recently.
    pub(super) fn answer_of_ended(&self, id: &RequestId) -> Option<Answer> {
        lock(&self.ended_jobs).get(id)
    }

    fn send_answer(&self, id: &RequestId, answer: Answer) {
        lock(&self.ended_jobs).insert(self.now(), id, answer);
        for waiter in lock(&self.waiters).remove(id).into_iter().flatten() {
            // The receiver is gone if the caller has disconnected.
            let _ = waiter.send(answer);
        }
    }

    /// Registers a caller that waits for the answer to a job. Returns the receiver of the answer
    /// and whether this is the first caller that waits for the job.
    pub(super) fn register_waiter(&self, id: &RequestId) -> (oneshot::Receiver<Answer>, bool) {
        let (tx, rx) = oneshot::channel();
        let mut waiters = lock(&self.waiters);
        let is_new = !waiters.contains(id);
        waiters.get_or_insert_with(id.clone(), Vec::new).push(tx);
        (rx, is_new)
    }

    /// Handles a caller that has disconnected; cancels its job if no other caller waits for it.
    pub(super) fn on_caller_left(&self, id: &RequestId) {
        let mut waiters = lock(&self.waiters);
        let Some(job_waiters) = waiters.get_mut(id) else {
            return;
        };
        job_waiters.retain(|waiter| !waiter.is_closed());
        if !job_waiters.is_empty() {
            return;
        }
        waiters.remove(id);
        drop(waiters);
        self.metrics.count("caller_left");
        log::info!("entry: event=caller-left job={id}");
        self.with_scheduler(|scheduler, _| scheduler.abandon(id));
    }

    /// Returns the routes of the configuration in force.
    pub(super) fn route_table(&self) -> Arc<RouteTable> {
        lock(&self.active_config).table.clone()
    }

    /// Returns the record of the configuration in force if it is newer than `version`.
    pub(super) fn config_newer_than(&self, version: u64) -> Option<Bytes> {
        let active_config = lock(&self.active_config);
        (active_config.table.version() > version).then(|| active_config.record.clone())
    }

    /// Applies a configuration unless it is invalid or not newer than the one in force.
    pub(super) fn apply_config(&self, record: Bytes, source: &str) {
        let table = match decode_config(&record) {
            Ok(table) => table,
            Err(error) => {
                log::warn!("entry: event=bad-configuration source={source} error=\"{error}\"");
                return;
            }
        };
        let mut active_config = lock(&self.active_config);
        let previous_version = active_config.table.version();
        if table.version() <= previous_version {
            return;
        }
        log::info!(
            "entry: event=configuration version={} former={previous_version} routes={} source={source}",
            table.version(),
            table.len()
        );
        self.caller_limits.apply(table.limits());
        *active_config = ActiveConfig { table: Arc::new(table), record };
    }

    /// Records the result of a call to the store; `None` means that it succeeded.
    pub(super) fn record_store_result<E>(&self, operation: &str, error: Option<E>)
    where
        E: std::fmt::Display,
    {
        let mut answered_at = lock(&self.store_answered_at);
        match error {
            None => {
                if answered_at.replace(self.now()).is_none() {
                    log::info!("entry: event=store-reached what={operation}");
                }
            }
            Some(error) => {
                self.metrics.count("store_error");
                if answered_at.take().is_some() {
                    log::warn!("entry: event=store-lost what={operation} error=\"{error}\"");
                }
            }
        }
    }

    /// Returns whether the most recent call to the store succeeded.
    pub(super) fn is_store_reachable(&self) -> bool {
        lock(&self.store_answered_at).is_some()
    }

    /// Returns the first frame of a stream, which names this entry and the known entries, and tells
    /// the crashes that this entry remembers and the known evacuations.
    pub(super) fn hello_frame(&self) -> EntryFrame {
        EntryFrame {
            entry: self.id.to_string(),
            entries: self.known_entries(),
            crashes: crashes_to_proto(self.now(), self.scheduler().crash_log()),
            evacuations: self.evacuation_states(),
            ..EntryFrame::default()
        }
    }

    /// Returns the addresses of the known entries.
    pub(super) fn known_entries(&self) -> Vec<String> {
        self.members.list().iter().map(ToString::to_string).collect()
    }

    /// Remembers the latest report of an agent's endpoint.
    pub(super) fn remember_report(&self, agent: &AgentId, report: EndpointReport) {
        lock(&self.endpoint_reports).insert(agent.vm_name(), report);
    }

    /// Returns the frame that tells an agent the latest known report of its endpoint, if there is
    /// one.
    pub(super) fn report_frame(&self, agent: &AgentId) -> Option<EntryFrame> {
        let reports = lock(&self.endpoint_reports);
        let report = reports.get(agent.vm_name()).map(report_to_proto)?;
        Some(EntryFrame { report: Some(report), ..EntryFrame::default() })
    }
}
