//! A small world: three entries, two agents, one task; the real decisions, and every order of events.

mod events;
mod owners;
mod steps;
mod takeover;

use std::time::{Duration, Instant, SystemTime};

use cowslipwing_claims::{
    AgeRules, Announcements, Claimed, Leases, Ledger, LedgerLimits, Promised, Recovery, StartOrder,
    Takeover, Usable, Votes,
};
use cowslipwing_fold::{Fold, MemberSet};
use cowslipwing_proto::{Member, MemberJoin, MemberSettled, Record, record::Body};
use cowslipwing_types::{
    EntryId, Epoch, Incarnation, JobId, MemberVersion, Offset, RangeId, TaskId, TaskIndex,
};

pub const ENTRIES: usize = 3;
pub const AGENTS: usize = 2;
/// Length of a lease.
const LEASE: Duration = Duration::from_secs(2);
/// Longer than any run, so that only the majority and the log count.
const ABSENCE: Duration = Duration::from_secs(1000);

/// A rule that is left out, to see whether the search finds what it is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dropped {
    /// Nothing is left out.
    Nothing,
    /// Owners start tasks without a lease.
    Lease,
    /// Leases count from when the answer came.
    CountFromAsking,
    /// Agents refuse no older epoch.
    Fence,
    /// The barrier is the time of the promises, without the length of a lease.
    LeaseInBarrier,
    /// Keys older than the barrier are started although a history is missing.
    AgeBound,
    /// The history of a restarted agent counts as whole.
    AgentRestart,
    /// Owners use incarnations that no majority has heard of.
    IncarnationUse,
    /// Agents take orders meant for another incarnation.
    IncarnationCheck,
    /// A restarted entry votes before it has read the log.
    PeerSilence,
}

/// What may go wrong in a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub last_second: u64,
    pub takeovers: usize,
    pub agent_restarts: u8,
    pub entry_restarts: u8,
    /// Questions that the owners may ask for their leases.
    pub asks: u8,
    pub take_backs: bool,
    pub dropped: Dropped,
}

/// One event.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    Tick,
    MakeKey,
    Announce { agent: usize, entry: usize },
    RestartAgent { agent: usize },
    RestartEntry { entry: usize },
    ReadLog { entry: usize },
    Ask { owner: usize, entry: usize },
    AskLog { owner: usize },
    Confirm { owner: usize },
    Count { owner: usize },
    Submit { owner: usize },
    Send { owner: usize, agent: usize },
    Deliver { message: usize },
    TakeBack { owner: usize },
    TakeOver,
    Promise { entry: usize },
    Advance,
    Survey { agent: usize },
    Finish,
}

/// An order in flight; it may be delivered at any later time, and more than once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Message {
    agent: usize,
    order: StartOrder,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Claimed(Takeover<Claimed>),
    Promised(Takeover<Promised>),
    Serving(Recovery),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Task {
    Absent,
    Waiting,
    Sent { agent: usize, incarnation: Incarnation },
    Settled,
}

/// A lease check on its way to an entry, or back.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Question {
    second: u64,
    entry: usize,
    answer: Option<Answer>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Answer {
    confirmed: bool,
    heard: Vec<(u64, Incarnation)>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Owner {
    entry: usize,
    epoch: Epoch,
    leases: Leases,
    usable: Usable,
    asked: Option<Question>,
    phase: Phase,
    task: Task,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Entry {
    votes: Votes,
    announcements: Announcements<usize>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Agent {
    ledger: Ledger,
    restarts: u8,
}

/// The state of the world.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    second: u64,
    key_made: Option<u64>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    owners: Vec<Owner>,
    messages: Vec<Message>,
    entry_restarts: u8,
    asks: u8,
    starts: u8,
}

/// What does not change.
pub struct Frame {
    pub bounds: Bounds,
    members: MemberSet,
    ids: Vec<EntryId>,
    base: Instant,
    task: TaskId,
}

impl Frame {
    pub fn new(bounds: Bounds) -> Self {
        let names = ["a", "b", "c"];
        let mut fold = Fold::default();
        for (number, name) in (0..).zip(names) {
            let member = Member { entry: name.to_owned(), ..Member::default() };
            let join = MemberJoin { base_version: number, member: Some(member) };
            apply(&mut fold, Body::Join(join));
            apply(&mut fold, Body::Settled(MemberSettled { version: number + 1 }));
        }
        let job = JobId { customer: "gym".parse().unwrap(), key: "hold".parse().unwrap() };
        Self {
            bounds,
            members: fold.members().current().clone(),
            ids: names.map(|name| name.parse().unwrap()).to_vec(),
            base: Instant::now(),
            task: TaskId { job, index: TaskIndex::new(0) },
        }
    }

    fn range(&self) -> RangeId {
        self.task.job.range()
    }

    fn at(&self, second: u64) -> Instant {
        self.base + Duration::from_secs(second)
    }

    fn ages(&self) -> AgeRules {
        AgeRules { skew: Duration::ZERO, retention: ABSENCE, ageless_retention: ABSENCE }
    }

    fn drops(&self, rule: Dropped) -> bool {
        self.bounds.dropped == rule
    }
}

fn apply(fold: &mut Fold, body: Body) {
    let offset: Offset = fold.next_offset();
    fold.apply(offset, &Record { append_id: format!("r{offset}"), body: Some(body) });
}

fn wall(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(second)
}

fn incarnation_of(agent: usize, restarts: u8) -> Incarnation {
    format!("g{agent}@{restarts}").parse().unwrap()
}

impl World {
    /// Returns the world in which the first entry owns the range and every entry has heard of the
    /// agents.
    pub fn new(frame: &Frame) -> Self {
        let version = frame_version();
        let mut votes = Votes::new(ABSENCE);
        votes.read_tail(frame.at(0), version);
        let mut announcements = Announcements::new(ABSENCE);
        for agent in 0..AGENTS {
            announcements.hear(frame.at(0), incarnation_of(agent, 0), agent);
        }
        let entry = Entry { votes, announcements };
        let agent = |number| Agent { ledger: new_ledger(frame, number, 0), restarts: 0 };
        let first = Owner::new(0, Epoch::new(1), Phase::Serving(Recovery::first_owner()));
        Self {
            second: 0,
            key_made: None,
            entries: vec![entry; ENTRIES],
            agents: (0..AGENTS).map(agent).collect(),
            owners: vec![first],
            messages: Vec::new(),
            entry_restarts: 0,
            asks: 0,
            starts: 0,
        }
    }

    /// Tells whether the task started more than once.
    pub fn has_double_start(&self) -> bool {
        self.starts > 1
    }

    fn is_last(&self, frame: &Frame, owner: usize) -> bool {
        self.owners[owner].entry == frame.bounds.takeovers
    }

    fn incarnation(&self, agent: usize) -> Incarnation {
        incarnation_of(agent, self.agents[agent].restarts)
    }

    fn newest_epoch(&self) -> Epoch {
        self.owners.last().expect("there is always an owner").epoch
    }
}

impl Owner {
    fn new(entry: usize, epoch: Epoch, phase: Phase) -> Self {
        Self {
            entry,
            epoch,
            leases: Leases::new(LEASE),
            usable: Usable::default(),
            asked: None,
            phase,
            task: Task::Absent,
        }
    }
}

fn new_ledger(frame: &Frame, agent: usize, restarts: u8) -> Ledger {
    const TASKS: usize = 8;
    let limits = LedgerLimits { tasks: TASKS, ages: frame.ages() };
    Ledger::new(incarnation_of(agent, restarts), limits)
}

fn frame_version() -> MemberVersion {
    MemberVersion::new(ENTRIES as u64)
}
