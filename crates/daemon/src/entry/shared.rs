//! What the parts of an entry share; each piece stands under its own lock.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, Instant};

use cowslipwing_claims::{AgentRegistry, LeaseVoter, Leases, UsableAgents};
use cowslipwing_fold::{ApplyOutcome, Fold, MemberSet};
use cowslipwing_policy::{Dispatcher, QueuedJob, Requirements};
use cowslipwing_proto::{self as proto, RangeTransfer, peer_client::PeerClient};
use cowslipwing_settings::{Config, EntryConfig, LeaseConfig, LimitConfig};
use cowslipwing_types::{
    AppendId, Clock, CustomerName, EntryId, Epoch, Incarnation, JobId, MemberVersion, RANGES,
    RangeId, Site, SortedMap, TaskId, stable_hash,
};
use tokio::sync::Notify;

use super::decisions::Decisions;
use super::link::Link;
use super::loans::Allotted;
use super::shard::Shard;
use crate::api_error::ApiError;
use crate::metrics::Metrics;
use crate::net::{self, PeerChannel, SetRecipient};

/// Append ids whose outcome is remembered.
const MAX_OUTCOMES: usize = 1024;

/// A job in the fair queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Queued {
    pub(crate) job: JobId,
    pub(crate) range: RangeId,
    pub(crate) need: Requirements,
}

impl QueuedJob for Queued {
    fn requirements(&self) -> Requirements {
        self.need
    }
}

/// Tasks that wait, the agents they may go to, and the customers' open jobs.
#[derive(Default)]
pub(crate) struct Dispatch {
    pub(crate) dispatcher: Dispatcher<Queued, TaskId>,
    open: SortedMap<CustomerName, u32>,
}

impl Dispatch {
    /// Returns the number of a customer's open jobs.
    pub(crate) fn open_of(&self, customer: &CustomerName) -> u32 {
        self.open.get(customer).copied().unwrap_or(0)
    }

    /// Counts a customer's jobs.
    pub(crate) fn count_open(&mut self, customer: &CustomerName, change: i32) {
        let open = self.open.get_or_insert_with(customer.clone(), || 0);
        *open = open.saturating_add_signed(change);
    }
}

/// What is known of another entry.
pub(crate) struct PeerState {
    pub(crate) client: PeerClient<PeerChannel>,
    pub(crate) last_heard: Instant,
    pub(crate) member_version: MemberVersion,
    /// It is giving its ranges away.
    pub(crate) stopping: bool,
    /// Member set within whose allotments it stays.
    pub(crate) within: MemberVersion,
    /// Until when tasks of entries that are gone may run, as far as it knows.
    pub(crate) hold_until: Option<Instant>,
}

/// What the log has told so far.
#[derive(Default)]
pub(crate) struct Followed {
    pub(crate) fold: Fold,
    pub(crate) outcomes: Vec<(AppendId, ApplyOutcome)>,
    /// When the log was last read to its tail.
    pub(crate) tail_read_at: Option<Instant>,
}

impl Followed {
    /// Remembers the first outcome of an append.
    pub(crate) fn note_outcome(&mut self, id: &str, outcome: ApplyOutcome) {
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

    /// Returns the outcome of an append, once it was folded.
    pub(crate) fn outcome(&self, id: &AppendId) -> Option<&ApplyOutcome> {
        self.outcomes.iter().find(|(known, _)| known == id).map(|(_, outcome)| outcome)
    }
}

/// The addresses of an entry.
pub(crate) struct Addresses {
    pub(crate) http: SocketAddr,
    /// Address under which others reach it.
    pub(crate) rpc: SocketAddr,
    pub(crate) source: Option<IpAddr>,
}

/// The state of an entry.
pub(crate) struct Shared {
    pub(crate) id: EntryId,
    pub(crate) site: Site,
    pub(crate) contact: Option<SocketAddr>,
    /// Local address from which this entry connects to others.
    pub(crate) source: Option<IpAddr>,
    pub(crate) limits: LimitConfig,
    pub(crate) lease: LeaseConfig,
    pub(crate) member: proto::Member,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Metrics,
    pub(crate) decisions: Decisions,
    pub(crate) started_at: Instant,
    pub(crate) followed: RwLock<Followed>,
    pub(crate) votes: Mutex<LeaseVoter>,
    pub(crate) leases: Mutex<Leases>,
    pub(crate) usable: Mutex<UsableAgents>,
    pub(crate) announcements: Mutex<AgentRegistry<proto::Announcement>>,
    pub(crate) dispatch: Mutex<Dispatch>,
    pub(crate) links: Mutex<SortedMap<Incarnation, Link>>,
    pub(crate) peers: Mutex<SortedMap<EntryId, PeerState>>,
    /// Until when tasks of entries that are gone may run.
    pub(crate) hold_until: Mutex<Option<Instant>>,
    pub(crate) allotments: Mutex<SortedMap<CustomerName, Allotted>>,
    /// What former owners have told of ranges that this entry is to have.
    pub(crate) transfers: Mutex<SortedMap<RangeId, RangeTransfer>>,
    /// Last transfer that each sender has taken back.
    pub(crate) transfers_taken_back: Mutex<SortedMap<String, u64>>,
    pub(crate) transfers_given: AtomicU64,
    shards: Vec<Mutex<Shard>>,
    pub(crate) open_jobs: AtomicU32,
    pub(crate) requests: AtomicU32,
    stopping: AtomicBool,
    /// Wakes the dispatcher.
    pub(crate) work: Notify,
    /// Wakes the follower of the log.
    pub(crate) read_log: Notify,
    /// Wakes those that wait for the fold to go on.
    pub(crate) folded: Notify,
}

impl Shared {
    pub(crate) fn new(
        config: &Config,
        entry: &EntryConfig,
        addresses: Addresses,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        decisions: Decisions,
    ) -> Self {
        let tag = uuid::Uuid::new_v4().simple().to_string();
        let id: EntryId =
            format!("{}@{}", entry.name, &tag[..8]).parse().expect("a checked name and hex digits");
        let member = proto::Member {
            entry: id.to_string(),
            site: config.site.to_string(),
            http: addresses.http.to_string(),
            rpc: addresses.rpc.to_string(),
        };
        let ages = config.lease.ages;
        let remembered = ages.ageless_retention.max(ages.retention) + ages.skew * 2;
        Self {
            id,
            site: config.site.clone(),
            contact: entry.contact,
            source: addresses.source,
            limits: config.limits,
            lease: config.lease,
            member,
            started_at: clock.now(),
            clock,
            metrics,
            decisions,
            followed: RwLock::default(),
            votes: Mutex::new(LeaseVoter::new(config.lease.log_absence)),
            leases: Mutex::new(Leases::new(config.lease.length)),
            usable: Mutex::default(),
            announcements: Mutex::new(AgentRegistry::new(remembered)),
            dispatch: Mutex::default(),
            links: Mutex::default(),
            peers: Mutex::default(),
            hold_until: Mutex::default(),
            allotments: Mutex::default(),
            transfers: Mutex::default(),
            transfers_taken_back: Mutex::default(),
            transfers_given: AtomicU64::new(0),
            shards: (0..RANGES).map(|_| Mutex::new(Shard::new())).collect(),
            open_jobs: AtomicU32::new(0),
            requests: AtomicU32::new(0),
            stopping: AtomicBool::new(false),
            work: Notify::new(),
            read_log: Notify::new(),
            folded: Notify::new(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Locks the shard of a range.
    pub(crate) fn shard(&self, range: RangeId) -> MutexGuard<'_, Shard> {
        lock(&self.shards[range.get() as usize])
    }

    /// Walks all ranges.
    pub(crate) fn ranges(&self) -> impl Iterator<Item = RangeId> {
        (0..RANGES).map(RangeId::new)
    }

    /// Reads from what the log has told.
    pub(crate) fn read<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&Fold) -> T,
    {
        look(&self.followed.read().expect("no holder of the fold panics").fold)
    }

    /// Returns the time since the log was last read to its tail.
    pub(crate) fn log_age(&self) -> Option<Duration> {
        let followed = self.followed.read().expect("no holder of the fold panics");
        followed.tail_read_at.map(|at| self.now().duration_since(at))
    }

    /// Returns the entries of the member set in force.
    pub(crate) fn members(&self) -> MemberSet {
        self.read(|fold| fold.membership().current().clone())
    }

    /// Returns the ranges that this entry owns, with their epochs.
    pub(crate) fn owned(&self) -> Vec<(RangeId, Epoch)> {
        self.read(|fold| {
            let mine = fold.range_owners().iter().filter(|(_, found)| found.owner == self.id);
            mine.map(|(range, found)| (range, found.epoch)).collect()
        })
    }

    /// Returns the client of another entry.
    pub(crate) fn peer(&self, id: &EntryId) -> Option<PeerClient<PeerChannel>> {
        let address = self.read(|fold| Some(fold.membership().current().get(id)?.rpc.clone()))?;
        let mut peers = lock(&self.peers);
        if let Some(known) = peers.get(id) {
            return Some(known.client.clone());
        }
        let channel = net::channel(&address, self.source)?;
        let client = PeerClient::with_interceptor(channel, SetRecipient::entry(id))
            .max_decoding_message_size(net::MAX_MESSAGE_BYTES);
        let state = PeerState {
            client: client.clone(),
            last_heard: self.now(),
            member_version: MemberVersion::default(),
            stopping: false,
            within: MemberVersion::default(),
            hold_until: None,
        };
        peers.insert(id.clone(), state);
        Some(client)
    }

    /// Returns the members other than this entry, with their clients.
    pub(crate) fn other_members(&self) -> Vec<(EntryId, PeerClient<PeerChannel>)> {
        let members = self.members();
        let others = members.iter().map(|(id, _)| id).filter(|id| **id != self.id);
        others.filter_map(|id| Some((id.clone(), self.peer(id)?))).collect()
    }

    /// Notes a sign of life of another entry.
    pub(crate) fn heard_from(&self, id: &EntryId, version: MemberVersion) {
        let now = self.now();
        if let Some(peer) = lock(&self.peers).get_mut(id) {
            peer.last_heard = now;
            peer.member_version = peer.member_version.max(version);
        }
    }

    /// Notes what another entry has told of itself.
    pub(crate) fn note_reply(&self, id: &EntryId, reply: &proto::LeaseReply) {
        self.heard_from(id, MemberVersion::new(reply.member_version));
        let hold = Duration::from_millis(reply.hold_ms);
        let hold_until = (!hold.is_zero()).then(|| self.now() + hold);
        if let Some(peer) = lock(&self.peers).get_mut(id) {
            peer.stopping = reply.stopping;
            peer.within = peer.within.max(MemberVersion::new(reply.within_version));
            peer.hold_until = hold_until;
        }
    }

    /// Tells whether an entry may be given ranges.
    fn takes_ranges(&self, id: &EntryId) -> bool {
        let stopping = lock(&self.peers).get(id).is_some_and(|peer| peer.stopping);
        self.is_live(id) && !stopping
    }

    /// Tells whether an entry was heard from lately.
    pub(crate) fn is_live(&self, id: &EntryId) -> bool {
        let now = self.now();
        let lately = |peer: &PeerState| now < peer.last_heard + self.lease.suspect_after;
        *id == self.id || lock(&self.peers).get(id).is_some_and(lately)
    }

    /// Returns the member that should own a range: the live one that ranks first for it.
    pub(crate) fn best_owner(&self, members: &MemberSet, range: RangeId) -> Option<EntryId> {
        let live = members.iter().map(|(id, _)| id).filter(|id| self.takes_ranges(id));
        live.max_by_key(|id| rank(id, range)).cloned()
    }

    /// Tells whether this entry is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Makes the entry refuse health checks and give its ranges away.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Tells whether this entry can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        let all_owned = self.read(|fold| fold.range_owners().iter().count() == RANGES as usize);
        let mine = self.owned();
        let serving = |claim: &(RangeId, Epoch)| self.shard(claim.0).is_serving();
        let is_member = self.members().contains(&self.id);
        is_member && all_owned && mine.iter().all(serving) && !self.is_stopping()
    }

    /// Counts a request as in flight until the returned value is dropped.
    pub(crate) fn begin_request(&self) -> InFlight<'_> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        InFlight { requests: &self.requests }
    }

    /// Counts a caller's request as in flight, unless too many are.
    pub(crate) fn begin_limited_request(&self) -> Result<InFlight<'_>, ApiError> {
        let limit = self.limits.connections;
        let in_flight = self.begin_request();
        if self.requests.load(Ordering::Relaxed) > limit {
            return Err(ApiError::TooManyConnections { limit });
        }
        Ok(in_flight)
    }
}

/// A request in flight.
pub(crate) struct InFlight<'a> {
    requests: &'a AtomicU32,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Locks a piece of the state.
pub(crate) fn lock<T>(piece: &Mutex<T>) -> MutexGuard<'_, T> {
    piece.lock().expect("no holder of the lock panics")
}

/// Returns the endpoint or entry that an incarnation belongs to.
pub(crate) fn name_of(incarnation: &str) -> &str {
    incarnation.split_once('@').map_or(incarnation, |(name, _)| name)
}

fn rank(id: &EntryId, range: RangeId) -> u64 {
    stable_hash(id.as_str().bytes().chain(range.get().to_le_bytes()))
}
