//! What the parts of an entry share; each piece stands under its own lock.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use cowslipwing_dispatch::{
    Action, AgentId, Answer, Decision, EntryName, RequestId, RouteTable, Scheduler,
    SchedulerSettings,
};
use cowslipwing_platform::{StoreClient, decode_config};
use cowslipwing_proto::EntryFrame;
use cowslipwing_settings::PlatformConfig;
use cowslipwing_types::{Clock, SortedMap, to_millis};
use tokio::sync::{mpsc, oneshot};

use crate::convert::order_to;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::wire_ids::run_to;
use crate::{BEAT_INTERVAL, BEAT_PER_STREAM, ENDPOINT_LEASE, ENTRY_LEASE};

/// Silence after which an agent gets no new tasks; two and a half beats of a small deployment.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);

/// The stream to an agent.
pub(super) struct Stream {
    pub(super) tx: mpsc::UnboundedSender<EntryFrame>,
    /// The agent's clock as last heard.
    pub(super) heard_ms: u64,
    /// Tells this stream from a later one of the same agent.
    pub(super) number: u64,
}

/// The configuration in force, as decoded and as the store holds it.
#[derive(Default)]
pub(super) struct InForce {
    pub(super) table: Arc<RouteTable>,
    pub(super) record: Bytes,
}

/// The state of an entry.
pub(super) struct Shared {
    pub(super) name: EntryName,
    pub(super) node: String,
    /// Address for agents and other entries.
    pub(super) address: SocketAddr,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) store: StoreClient,
    pub(super) members: Members,
    pub(super) requests: Arc<AtomicUsize>,
    pub(super) store_answered_at: Mutex<Option<Duration>>,
    scheduler: Mutex<Scheduler>,
    streams: Mutex<SortedMap<AgentId, Stream>>,
    waiters: Mutex<SortedMap<RequestId, Vec<oneshot::Sender<Answer>>>>,
    in_force: Mutex<InForce>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the entry's state panics")
}

impl Shared {
    pub(super) fn new(
        config: &PlatformConfig,
        address: SocketAddr,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let started_ms = to_millis(clock.wall());
        let name = format!("{}@{started_ms}", config.node);
        let settings = SchedulerSettings {
            entry_lease: ENTRY_LEASE,
            endpoint_lease: ENDPOINT_LEASE.min(config.longest_lease),
            suspect_after: SUSPECT_AFTER,
        };
        let members = Members::new(&config.seeds);
        members.add([address]);
        Self {
            name: name.parse().expect("a checked name and digits"),
            node: config.node.to_string(),
            address,
            clock,
            metrics,
            store: StoreClient::new(config.store),
            members,
            requests: Arc::new(AtomicUsize::new(0)),
            store_answered_at: Mutex::default(),
            scheduler: Mutex::new(Scheduler::new(settings)),
            streams: Mutex::default(),
            waiters: Mutex::default(),
            in_force: Mutex::default(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    pub(super) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        lock(&self.scheduler)
    }

    pub(super) fn streams(&self) -> MutexGuard<'_, SortedMap<AgentId, Stream>> {
        lock(&self.streams)
    }

    /// Returns the number of requests in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the time between two signs of life on each stream.
    pub(super) fn beat_interval(&self) -> Duration {
        let streams = u32::try_from(self.streams().len()).unwrap_or(u32::MAX);
        (BEAT_INTERVAL + BEAT_PER_STREAM * streams).min(ENTRY_LEASE / 2)
    }

    /// Lets the scheduler decide, and carries its actions out.
    pub(super) fn decide<T, F>(&self, step: F) -> T
    where
        F: FnOnce(&mut Scheduler, Duration) -> T,
    {
        let now = self.now();
        let mut scheduler = self.scheduler();
        let result = step(&mut scheduler, now);
        let actions = scheduler.take_actions();
        // Frames leave in the order of the decisions.
        self.carry_out(actions);
        drop(scheduler);
        result
    }

    fn carry_out(&self, actions: Vec<Action>) {
        let mut frames: SortedMap<AgentId, EntryFrame> = SortedMap::new();
        for action in actions {
            match action {
                Action::Order(agent, order) => {
                    let frame = frames.get_or_insert_with(agent, EntryFrame::default);
                    frame.orders.push(order_to(&order));
                }
                Action::Cancel(agent, run) => {
                    let frame = frames.get_or_insert_with(agent, EntryFrame::default);
                    frame.cancels.push(run_to(&run));
                }
                Action::Answer(id, answer) => self.answer(&id, answer),
                Action::Record(decision) => self.record(&decision),
            }
        }
        if frames.is_empty() {
            return;
        }
        let streams = self.streams();
        for (agent, frame) in frames.iter() {
            if let Some(stream) = streams.get(agent) {
                let frame = EntryFrame { heard_ms: stream.heard_ms, ..frame.clone() };
                // A stream that has ended is settled when the agent comes back or is given up.
                let _ = stream.tx.send(frame);
            }
        }
    }

    fn record(&self, decision: &Decision) {
        self.metrics.count(match decision {
            Decision::Admitted { .. } => "job_admitted",
            Decision::Refused { .. } => "job_refused",
            Decision::Sent { .. } => "task_sent",
            Decision::Returned { .. } => "task_back",
            Decision::Moved { .. } => "task_moved",
            Decision::AgentLost { .. } => "agent_lost",
        });
        log::info!("entry: {decision}");
    }

    fn answer(&self, id: &RequestId, answer: Answer) {
        for waiter in lock(&self.waiters).remove(id).into_iter().flatten() {
            // A caller that has left needs no answer.
            let _ = waiter.send(answer);
        }
    }

    /// Waits for the answer to a job; returns whether the job is new here.
    pub(super) fn wait_for(&self, id: &RequestId) -> (oneshot::Receiver<Answer>, bool) {
        let (tx, rx) = oneshot::channel();
        let mut waiters = lock(&self.waiters);
        let is_new = !waiters.contains(id);
        waiters.get_or_insert_with(id.clone(), Vec::new).push(tx);
        (rx, is_new)
    }

    /// Takes in that some caller has left; its job ends where no other caller waits for it.
    pub(super) fn on_left(&self, id: &RequestId) {
        let mut waiters = lock(&self.waiters);
        let Some(waiting) = waiters.get_mut(id) else {
            return;
        };
        waiting.retain(|waiter| !waiter.is_closed());
        if !waiting.is_empty() {
            return;
        }
        waiters.remove(id);
        drop(waiters);
        self.metrics.count("caller_left");
        log::info!("entry: event=caller-left job={id}");
        self.decide(|scheduler, _| scheduler.cancel(id));
    }

    /// Returns the configuration in force.
    pub(super) fn table(&self) -> Arc<RouteTable> {
        lock(&self.in_force).table.clone()
    }

    /// Returns the configuration in force as the store holds it, where it is newer than `version`.
    pub(super) fn record_after(&self, version: u64) -> Option<Bytes> {
        let in_force = lock(&self.in_force);
        (in_force.table.version() > version).then(|| in_force.record.clone())
    }

    /// Takes in a configuration; an older one changes nothing.
    pub(super) fn on_configuration(&self, record: Bytes, source: &str) {
        let table = match decode_config(&record) {
            Ok(table) => table,
            Err(error) => {
                log::warn!("entry: event=bad-configuration source={source} error=\"{error}\"");
                return;
            }
        };
        let mut in_force = lock(&self.in_force);
        let former = in_force.table.version();
        if table.version() <= former {
            return;
        }
        log::info!(
            "entry: event=configuration version={} former={former} routes={} source={source}",
            table.version(),
            table.len()
        );
        *in_force = InForce { table: Arc::new(table), record };
    }

    /// Notes whether the store answers.
    pub(super) fn on_store<E>(&self, what: &str, error: Option<E>)
    where
        E: std::fmt::Display,
    {
        let mut answered_at = lock(&self.store_answered_at);
        match error {
            None => {
                if answered_at.replace(self.now()).is_none() {
                    log::info!("entry: event=store-reached what={what}");
                }
            }
            Some(error) => {
                self.metrics.count("store_error");
                if answered_at.take().is_some() {
                    log::warn!("entry: event=store-lost what={what} error=\"{error}\"");
                }
            }
        }
    }

    /// Tells whether the store's last answer was usable.
    pub(super) fn has_store(&self) -> bool {
        lock(&self.store_answered_at).is_some()
    }

    /// Returns the first frame of a stream.
    pub(super) fn hello(&self) -> EntryFrame {
        EntryFrame {
            entry: self.name.to_string(),
            entries: self.members.list().iter().map(ToString::to_string).collect(),
            ..EntryFrame::default()
        }
    }
}
