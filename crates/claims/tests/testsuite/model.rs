//! A model of three entries, two agents and one task, which runs the real decision code.
//!
//! The search in [`crate::search`] applies its events in every order.

mod events;
mod owners;
mod steps;
mod takeover;

use std::time::{Duration, Instant, SystemTime};

use cowslipwing_claims::{
    AgentRegistry, AwaitingPromises, AwaitingSurveys, KeyAgeLimits, LeaseVoter, Leases, Ledger,
    LedgerLimits, Recovery, StartRequest, Takeover, UsableAgents,
};
use cowslipwing_fold::{Fold, MemberSet};
use cowslipwing_proto::{Member, MemberJoin, MemberSettled, Record, record::Body};
use cowslipwing_types::{
    EntryId, Epoch, Incarnation, JobId, MemberVersion, Offset, RangeId, TaskId, TaskIndex,
};

pub const ENTRIES: usize = 3;
pub const AGENTS: usize = 2;
const LEASE_LENGTH: Duration = Duration::from_secs(2);
/// Longer than the model's clock runs. Used for the log absence and the retentions, so that they
/// never elapse and takeovers always need a majority.
const UNLIMITED: Duration = Duration::from_secs(1000);

/// A rule that a search can disable, to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// No rule is disabled.
    Nothing,
    /// Owners need a lease to start tasks.
    Lease,
    /// Leases last from the time of the request, not from that of the answer.
    LeaseFromRequest,
    /// Agents refuse requests of an older epoch.
    Fence,
    /// The barrier is the length of a lease later than the promises.
    LeaseInBarrier,
    /// Keys older than the barrier are not started if a history is missing.
    KeyAge,
    /// The history of a restarted agent counts as missing.
    AgentHistory,
    /// Owners use only incarnations that a majority knows.
    KnownByMajority,
    /// Agents refuse requests addressed to another incarnation.
    IncarnationCheck,
    /// A restarted entry does not vote before it has read the log.
    AbstainAfterRestart,
}

/// The events that a search allows, and the rule that it disables.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time in seconds after which the clock no longer advances.
    pub last_second: u64,
    /// Number of takeovers of the range. Entry `n` runs the `n`th takeover.
    pub takeovers: usize,
    /// Number of restarts over all agents.
    pub agent_restarts: u8,
    /// Number of restarts over all entries.
    pub entry_restarts: u8,
    /// Number of lease requests and renewals from the log, over all owners.
    pub lease_requests: u8,
    /// Whether owners take back tasks that they have sent.
    pub take_backs: bool,
    pub disabled: Rule,
}

/// An event. Agents, entries and owners are given by their index in the model.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// One second passes.
    Tick,
    /// The caller creates the key of the job.
    CreateKey,
    /// An agent announces its current incarnation to an entry.
    Announce {
        agent: usize,
        entry: usize,
    },
    RestartAgent {
        agent: usize,
    },
    RestartEntry {
        entry: usize,
    },
    /// A restarted entry reads the log to its end.
    ReadLog {
        entry: usize,
    },
    RequestLease {
        owner: usize,
        entry: usize,
    },
    /// An owner extends its lease because the log holds no newer epoch.
    RenewFromLog {
        owner: usize,
    },
    /// The requested entry answers the owner's lease request.
    AnswerLease {
        owner: usize,
    },
    /// An owner counts the entry's answer and its own vote.
    CountAnswers {
        owner: usize,
    },
    /// The caller submits the job to an owner.
    Submit {
        owner: usize,
    },
    Send {
        owner: usize,
        agent: usize,
    },
    Deliver {
        message: usize,
    },
    TakeBack {
        owner: usize,
    },
    /// The next entry takes the range over. The events below are steps of the last takeover.
    TakeOver,
    Promise {
        entry: usize,
    },
    /// The takeover advances from promises to surveys.
    Advance,
    Survey {
        agent: usize,
    },
    FinishTakeover,
}

/// A start request in flight. It may be delivered at any later time, and more than once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct StartMessage {
    agent: usize,
    request: StartRequest,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    AwaitingPromises(Takeover<AwaitingPromises>),
    AwaitingSurveys(Takeover<AwaitingSurveys>),
    Serving(Recovery),
}

/// The state of the task at an owner.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Task {
    /// The owner has not received the submission.
    Absent,
    /// Waits to be sent to an agent.
    Waiting,
    Sent {
        agent: usize,
        incarnation: Incarnation,
    },
    /// Will not be sent by this owner.
    Closed,
}

/// A lease request to an entry, and its answer once there is one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct LeaseRequest {
    requested_at: u64,
    entry: usize,
    answer: Option<LeaseAnswer>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct LeaseAnswer {
    confirmed: bool,
    /// Position and incarnation of the agents that the entry knows.
    known_agents: Vec<(u64, Incarnation)>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Owner {
    entry: usize,
    epoch: Epoch,
    leases: Leases,
    usable: UsableAgents,
    lease_request: Option<LeaseRequest>,
    phase: Phase,
    task: Task,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Entry {
    voter: LeaseVoter,
    registry: AgentRegistry<usize>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Agent {
    ledger: Ledger,
    restarts: u8,
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Model {
    /// Time since the start, in seconds.
    second: u64,
    key_created_at: Option<u64>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    owners: Vec<Owner>,
    messages: Vec<StartMessage>,
    entry_restarts: u8,
    lease_requests: u8,
    /// Number of times that an agent has started the task.
    starts: u8,
}

/// The constant data of a search.
pub struct Fixture {
    pub bounds: Bounds,
    members: MemberSet,
    ids: Vec<EntryId>,
    base: Instant,
    task: TaskId,
}

impl Fixture {
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
            members: fold.membership().current().clone(),
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

    fn key_ages(&self) -> KeyAgeLimits {
        KeyAgeLimits { skew: Duration::ZERO, retention: UNLIMITED, ageless_retention: UNLIMITED }
    }

    fn disables(&self, rule: Rule) -> bool {
        self.bounds.disabled == rule
    }
}

fn apply(fold: &mut Fold, body: Body) {
    let offset: Offset = fold.next_offset();
    fold.apply(offset, &Record { append_id: format!("r{offset}"), body: Some(body) });
}

fn wall_time(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(second)
}

fn incarnation_of(agent: usize, restarts: u8) -> Incarnation {
    format!("g{agent}@{restarts}").parse().unwrap()
}

impl Model {
    /// Returns the initial state, in which the first entry owns the range and every entry knows the
    /// agents.
    pub fn new(fixture: &Fixture) -> Self {
        let version = member_version();
        let mut voter = LeaseVoter::new(UNLIMITED);
        voter.on_log_read(fixture.at(0), version);
        let mut registry = AgentRegistry::new(UNLIMITED);
        for agent in 0..AGENTS {
            registry.record(fixture.at(0), incarnation_of(agent, 0), agent);
        }
        let entry = Entry { voter, registry };
        let agent = |number| Agent { ledger: new_ledger(fixture, number, 0), restarts: 0 };
        let first = Owner::new(0, Epoch::new(1), Phase::Serving(Recovery::first_owner()));
        Self {
            second: 0,
            key_created_at: None,
            entries: vec![entry; ENTRIES],
            agents: (0..AGENTS).map(agent).collect(),
            owners: vec![first],
            messages: Vec::new(),
            entry_restarts: 0,
            lease_requests: 0,
            starts: 0,
        }
    }

    /// Returns whether the task has started more than once.
    pub fn started_twice(&self) -> bool {
        self.starts > 1
    }

    fn is_last_owner(&self, fixture: &Fixture, owner: usize) -> bool {
        self.owners[owner].entry == fixture.bounds.takeovers
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
            leases: Leases::new(LEASE_LENGTH),
            usable: UsableAgents::default(),
            lease_request: None,
            phase,
            task: Task::Absent,
        }
    }
}

fn new_ledger(fixture: &Fixture, agent: usize, restarts: u8) -> Ledger {
    const MAX_TASKS: usize = 8;
    let limits = LedgerLimits { max_tasks: MAX_TASKS, key_ages: fixture.key_ages() };
    Ledger::new(incarnation_of(agent, restarts), limits)
}

fn member_version() -> MemberVersion {
    MemberVersion::new(ENTRIES as u64)
}
