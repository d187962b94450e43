//! The state that the background tasks of an entry share. Each part has a lock of its own.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, Instant};

use cowslipwing_claims::{AgentRegistry, LeaseVoter, Leases, ReceivedTransfers, UsableAgents};
use cowslipwing_fold::{ApplyOutcome, Fold, MemberSet};
use cowslipwing_policy::{Dispatcher, QueuedJob, Requirements};
use cowslipwing_proto::{self as proto, RangeTransfer, peer_client::PeerClient};
use cowslipwing_settings::{Config, EntryConfig, LeaseConfig, LimitConfig};
use cowslipwing_types::{
    AppendId, Clock, CustomerName, EntryId, Epoch, Incarnation, JobId, MemberVersion, RANGES,
    RangeId, Site, SortedMap, TaskId, stable_hash,
};
use tokio::sync::Notify;

use super::decision_log::DecisionLog;
use super::link::AgentLink;
use super::quotas::CustomerQuota;
use super::shard::Shard;
use crate::api_error::ApiError;
use crate::metrics::Metrics;
use crate::net::{self, PeerChannel, SetRecipient};

/// Number of appends whose outcome is kept; when it is exceeded, the oldest is removed.
const MAX_OUTCOMES: usize = 1024;

/// A job in the fair queue. The queue compares items to find a job again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct QueueItem {
    pub(crate) job: JobId,
    pub(crate) range: RangeId,
    /// Resources that each task of the job requires.
    pub(crate) requirements: Requirements,
}

impl QueuedJob for QueueItem {
    fn requirements(&self) -> Requirements {
        self.requirements
    }
}

/// The queued tasks, the agents to send them to, and the number of open jobs per customer.
#[derive(Default)]
pub(crate) struct DispatchState {
    pub(crate) dispatcher: Dispatcher<QueueItem, TaskId>,
    open_jobs: SortedMap<CustomerName, u32>,
}

impl DispatchState {
    /// Returns the number of a customer's jobs that are open at this entry.
    pub(crate) fn open_jobs_of(&self, customer: &CustomerName) -> u32 {
        self.open_jobs.get(customer).copied().unwrap_or(0)
    }

    /// Adds `change`, which may be negative, to the number of a customer's open jobs.
    pub(crate) fn adjust_open_jobs(&mut self, customer: &CustomerName, change: i32) {
        let count = self.open_jobs.get_or_insert_with(customer.clone(), || 0);
        *count = count.saturating_add_signed(change);
    }
}

/// The state of another entry, as most recently reported by it.
pub(crate) struct PeerState {
    pub(crate) client: PeerClient<PeerChannel>,
    /// When the peer last sent a lease check, a lease reply or a promise request.
    pub(crate) last_seen_at: Instant,
    /// Latest version of the member set that the peer follows.
    pub(crate) member_version: MemberVersion,
    /// The peer is stopping and hands over its ranges.
    pub(crate) stopping: bool,
    /// Latest version of the member set whose quotas the peer does not exceed.
    pub(crate) quota_version: MemberVersion,
    /// Time until which, according to the peer, tasks of removed entries may still run.
    pub(crate) hold_until: Option<Instant>,
}

/// The state built from the log, as far as it has been read.
#[derive(Default)]
pub(crate) struct LogState {
    pub(crate) fold: Fold,
    /// Outcomes of the latest appends, oldest first.
    pub(crate) outcomes: Vec<(AppendId, ApplyOutcome)>,
    /// When the latest complete read of the log was requested; `None` before the first one.
    pub(crate) tail_read_at: Option<Instant>,
}

impl LogState {
    /// Records the outcome of an append, unless one is already known.
    ///
    /// A record that was appended twice has its effect at the first occurrence, so only the first
    /// outcome counts.
    pub(crate) fn record_outcome(&mut self, id: &str, outcome: ApplyOutcome) {
        let Ok(id) = id.parse::<AppendId>() else {
            return;
        };
        if self.outcome(&id).is_some() {
            return;
        }
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.remove(0);
        }
        self.outcomes.push((id, outcome));
    }

    /// Returns the outcome of an append if its record has been applied.
    pub(crate) fn outcome(&self, id: &AppendId) -> Option<&ApplyOutcome> {
        self.outcomes.iter().find(|(append_id, _)| append_id == id).map(|(_, outcome)| outcome)
    }
}

/// The addresses of an entry.
pub(crate) struct Addresses {
    /// Address that callers connect to.
    pub(crate) http: SocketAddr,
    /// Address that peers and agents connect to.
    pub(crate) rpc: SocketAddr,
    /// Local address of outgoing connections; `None` lets the system choose.
    pub(crate) source_ip: Option<IpAddr>,
}

/// The state of an entry.
pub(crate) struct Shared {
    pub(crate) id: EntryId,
    pub(crate) site: Site,
    /// Configured address of another entry, which is asked for the state after the known peers.
    pub(crate) contact: Option<SocketAddr>,
    /// Local address of outgoing connections; `None` lets the system choose.
    pub(crate) source_ip: Option<IpAddr>,
    pub(crate) limits: LimitConfig,
    pub(crate) lease: LeaseConfig,
    /// This entry's record in the member set.
    pub(crate) member: proto::Member,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Metrics,
    pub(crate) decision_log: DecisionLog,
    pub(crate) started_at: Instant,
    pub(crate) log_state: RwLock<LogState>,
    pub(crate) lease_voter: Mutex<LeaseVoter>,
    pub(crate) leases: Mutex<Leases>,
    /// The agents that tasks may be sent to, by the members' lease replies.
    pub(crate) usable_agents: Mutex<UsableAgents>,
    /// The agents that have announced themselves to this entry.
    pub(crate) agent_registry: Mutex<AgentRegistry<proto::Announcement>>,
    pub(crate) dispatch: Mutex<DispatchState>,
    pub(crate) links: Mutex<SortedMap<Incarnation, AgentLink>>,
    pub(crate) peers: Mutex<SortedMap<EntryId, PeerState>>,
    /// Time until which tasks of removed entries may still run. Quotas are not raised before it.
    pub(crate) hold_until: Mutex<Option<Instant>>,
    /// This entry's parts of the customers' concurrency limits.
    pub(crate) quotas: Mutex<SortedMap<CustomerName, CustomerQuota>>,
    /// Transfers received from the owners of ranges that this entry is about to own.
    pub(crate) transfers: Mutex<ReceivedTransfers<RangeTransfer>>,
    /// Serial number of the latest transfer that this entry has sent.
    pub(crate) last_transfer_serial: AtomicU64,
    /// The jobs of each range, indexed by the range's number.
    shards: Vec<Mutex<Shard>>,
    /// Number of jobs that are open at this entry.
    pub(crate) open_jobs: AtomicU32,
    /// Memory of the submissions of these jobs, in bytes.
    pub(crate) open_job_bytes: Arc<AtomicU64>,
    /// Number of submissions and forwarded requests in flight.
    pub(crate) requests_in_flight: AtomicU32,
    stopping: AtomicBool,
    /// Wakes the dispatch loop.
    pub(crate) dispatch_wakeup: Notify,
    /// Wakes the log follower to read the log at once.
    pub(crate) follower_wakeup: Notify,
    /// Notifies waiters that the fold has changed or the end of the log has been reached.
    pub(crate) fold_changed: Notify,
}

impl Shared {
    /// Creates the state of an entry, which gets a new incarnation id.
    pub(crate) fn new(
        config: &Config,
        entry: &EntryConfig,
        addresses: Addresses,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        decision_log: DecisionLog,
    ) -> Self {
        let suffix = uuid::Uuid::new_v4().simple().to_string();
        let id: EntryId = format!("{}@{}", entry.name, &suffix[..8])
            .parse()
            .expect("a valid name followed by hex digits is a valid entry id");
        let member = proto::Member {
            entry: id.to_string(),
            site: config.site.to_string(),
            http: addresses.http.to_string(),
            rpc: addresses.rpc.to_string(),
        };
        let ages = config.lease.ages;
        let agent_retention = ages.ageless_retention.max(ages.retention) + ages.skew * 2;
        Self {
            id,
            site: config.site.clone(),
            contact: entry.contact,
            source_ip: addresses.source_ip,
            limits: config.limits,
            lease: config.lease,
            member,
            started_at: clock.now(),
            clock,
            metrics,
            decision_log,
            log_state: RwLock::default(),
            lease_voter: Mutex::new(LeaseVoter::new(config.lease.log_absence)),
            leases: Mutex::new(Leases::new(config.lease.length)),
            usable_agents: Mutex::default(),
            agent_registry: Mutex::new(AgentRegistry::new(agent_retention)),
            dispatch: Mutex::default(),
            links: Mutex::default(),
            peers: Mutex::default(),
            hold_until: Mutex::default(),
            quotas: Mutex::default(),
            transfers: Mutex::default(),
            last_transfer_serial: AtomicU64::new(0),
            shards: (0..RANGES).map(|_| Mutex::new(Shard::new())).collect(),
            open_jobs: AtomicU32::new(0),
            open_job_bytes: Arc::default(),
            requests_in_flight: AtomicU32::new(0),
            stopping: AtomicBool::new(false),
            dispatch_wakeup: Notify::new(),
            follower_wakeup: Notify::new(),
            fold_changed: Notify::new(),
        }
    }

    /// Returns the current monotonic time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Locks the shard of a range.
    pub(crate) fn shard(&self, range: RangeId) -> MutexGuard<'_, Shard> {
        lock(&self.shards[range.get() as usize])
    }

    /// Iterates over all ranges, whoever owns them.
    pub(crate) fn ranges(&self) -> impl Iterator<Item = RangeId> {
        (0..RANGES).map(RangeId::new)
    }

    /// Calls `f` with the state built from the log, under a read lock.
    pub(crate) fn with_fold<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&Fold) -> T,
    {
        f(&self.log_state.read().expect("the log state lock is not poisoned").fold)
    }

    /// Returns the time since the log was last read to its end; `None` if it never was.
    pub(crate) fn log_age(&self) -> Option<Duration> {
        let log_state = self.log_state.read().expect("the log state lock is not poisoned");
        log_state.tail_read_at.map(|at| self.now().duration_since(at))
    }

    /// Returns the current member set.
    pub(crate) fn members(&self) -> MemberSet {
        self.with_fold(|fold| fold.membership().current().clone())
    }

    /// Returns the ranges that this entry owns, with their epochs.
    pub(crate) fn owned_ranges(&self) -> Vec<(RangeId, Epoch)> {
        self.with_fold(|fold| {
            let own =
                fold.range_owners().iter().filter(|(_, ownership)| ownership.owner == self.id);
            own.map(|(range, ownership)| (range, ownership.epoch)).collect()
        })
    }

    /// Returns a client for another entry, or `None` if it is not a member or its address is
    /// invalid.
    pub(crate) fn peer(&self, id: &EntryId) -> Option<PeerClient<PeerChannel>> {
        let address =
            self.with_fold(|fold| Some(fold.membership().current().get(id)?.rpc.clone()))?;
        let mut peers = lock(&self.peers);
        if let Some(peer) = peers.get(id) {
            return Some(peer.client.clone());
        }
        let channel = net::channel(&address, self.source_ip)?;
        let client = PeerClient::with_interceptor(channel, SetRecipient::entry(id))
            .max_decoding_message_size(net::MAX_MESSAGE_BYTES);
        let state = PeerState {
            client: client.clone(),
            last_seen_at: self.now(),
            member_version: MemberVersion::default(),
            stopping: false,
            quota_version: MemberVersion::default(),
            hold_until: None,
        };
        peers.insert(id.clone(), state);
        Some(client)
    }

    /// Returns the other members, each with a client for it.
    pub(crate) fn other_members(&self) -> Vec<(EntryId, PeerClient<PeerChannel>)> {
        let members = self.members();
        let others = members.iter().map(|(id, _)| id).filter(|id| **id != self.id);
        others.filter_map(|id| Some((id.clone(), self.peer(id)?))).collect()
    }

    /// Records that a peer is alive, and the version of the member set that it follows.
    pub(crate) fn record_peer_activity(&self, id: &EntryId, version: MemberVersion) {
        let now = self.now();
        if let Some(peer) = lock(&self.peers).get_mut(id) {
            peer.last_seen_at = now;
            peer.member_version = peer.member_version.max(version);
        }
    }

    /// Records the state that a peer reports in its reply to a lease check.
    pub(crate) fn record_lease_reply(&self, id: &EntryId, reply: &proto::LeaseReply) {
        self.record_peer_activity(id, MemberVersion::new(reply.member_version));
        let hold = Duration::from_millis(reply.hold_ms);
        let hold_until = (!hold.is_zero()).then(|| self.now() + hold);
        if let Some(peer) = lock(&self.peers).get_mut(id) {
            peer.stopping = reply.stopping;
            peer.quota_version = peer.quota_version.max(MemberVersion::new(reply.within_version));
            peer.hold_until = hold_until;
        }
    }

    /// Returns whether an entry may become the owner of ranges.
    fn can_own_ranges(&self, id: &EntryId) -> bool {
        let stopping = lock(&self.peers).get(id).is_some_and(|peer| peer.stopping);
        self.is_live(id) && !stopping
    }

    /// Returns whether an entry is this one or was last seen less than `suspect_after` ago.
    pub(crate) fn is_live(&self, id: &EntryId) -> bool {
        let now = self.now();
        let is_recent = |peer: &PeerState| now < peer.last_seen_at + self.lease.suspect_after;
        *id == self.id || lock(&self.peers).get(id).is_some_and(is_recent)
    }

    /// Returns the member that should own a range, by rendezvous hashing over the members that are
    /// live and not stopping.
    pub(crate) fn preferred_owner(&self, members: &MemberSet, range: RangeId) -> Option<EntryId> {
        let live = members.iter().map(|(id, _)| id).filter(|id| self.can_own_ranges(id));
        live.max_by_key(|id| rendezvous_weight(id, range)).cloned()
    }

    /// Returns whether this entry is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Marks the entry as stopping: it reports that it is not ready and tells its peers that it can
    /// own no more ranges.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether this entry can serve requests: it is a member and not stopping, every range
    /// has an owner, and the entry serves all the ranges that it owns.
    pub(crate) fn is_ready(&self) -> bool {
        let all_owned =
            self.with_fold(|fold| fold.range_owners().iter().count() == RANGES as usize);
        let own = self.owned_ranges();
        let serving = |claim: &(RangeId, Epoch)| self.shard(claim.0).is_serving();
        let is_member = self.members().contains(&self.id);
        is_member && all_owned && own.iter().all(serving) && !self.is_stopping()
    }

    /// Counts a request as in flight until the returned value is dropped.
    pub(crate) fn begin_request(&self) -> InFlightGuard<'_> {
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { in_flight: &self.requests_in_flight }
    }

    /// Counts a submission as in flight until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if more requests are in flight than `limits.connections` allows.
    pub(crate) fn begin_limited_request(&self) -> Result<InFlightGuard<'_>, ApiError> {
        let limit = self.limits.connections;
        let in_flight = self.begin_request();
        if self.requests_in_flight.load(Ordering::Relaxed) > limit {
            return Err(ApiError::TooManyConnections { limit });
        }
        Ok(in_flight)
    }
}

/// Counts a request as in flight for as long as the guard exists.
pub(crate) struct InFlightGuard<'a> {
    in_flight: &'a AtomicU32,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Locks a mutex, which is never poisoned because no thread panics while it holds the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("the mutex is not poisoned")
}

/// Returns the name of the endpoint or entry that an incarnation belongs to: the part before `@`.
pub(crate) fn name_of(incarnation: &str) -> &str {
    incarnation.split_once('@').map_or(incarnation, |(name, _)| name)
}

/// Returns the weight of an entry for a range in rendezvous hashing; the highest weight wins.
fn rendezvous_weight(id: &EntryId, range: RangeId) -> u64 {
    stable_hash(id.as_str().bytes().chain(range.get().to_le_bytes()))
}
