//! A small world: three entries, two agents, one task; the real decisions, and every order of events.

use std::time::{Duration, Instant, SystemTime};

use cowslipwing_claims::{
    AgeRules, Announcements, Claimed, Confirmation, Found, KeyVerdict, LeaseRound, Leases, Ledger,
    LedgerLimits, Promised, Recovery, Report, Stage, StartOrder, StartVerdict, TakeBackVerdict,
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

    /// Returns the events that may come next.
    ///
    /// An owner asks itself and one other entry, which is a majority. The last owner that the bounds
    /// allow needs no lease, since nobody takes over from it.
    pub fn events(&self, frame: &Frame) -> Vec<Event> {
        let mut events = Vec::new();
        if self.second < frame.bounds.last_second {
            events.push(Event::Tick);
        }
        if self.key_made.is_none() {
            events.push(Event::MakeKey);
        }
        self.events_of_agents(frame, &mut events);
        self.events_of_entries(frame, &mut events);
        for owner in 0..self.owners.len() {
            self.events_of_owner(frame, owner, &mut events);
        }
        self.events_of_takeover(frame, &mut events);
        events.extend((0..self.messages.len()).map(|message| Event::Deliver { message }));
        events
    }

    fn events_of_agents(&self, frame: &Frame, events: &mut Vec<Event>) {
        let restarts: u8 = self.agents.iter().map(|agent| agent.restarts).sum();
        for agent in 0..AGENTS {
            if restarts < frame.bounds.agent_restarts {
                events.push(Event::RestartAgent { agent });
            }
            let incarnation = self.incarnation(agent);
            for entry in 0..ENTRIES {
                if self.entries[entry].announcements.get(&incarnation).is_none() {
                    events.push(Event::Announce { agent, entry });
                }
            }
        }
    }

    fn events_of_entries(&self, frame: &Frame, events: &mut Vec<Event>) {
        for entry in 1..ENTRIES {
            let owns = self.owners.iter().any(|owner| owner.entry == entry);
            if !owns && self.entry_restarts < frame.bounds.entry_restarts {
                events.push(Event::RestartEntry { entry });
            }
            if !self.entries[entry].votes.may_vote(frame.at(0)) {
                events.push(Event::ReadLog { entry });
            }
        }
    }

    fn events_of_owner(&self, frame: &Frame, number: usize, events: &mut Vec<Event>) {
        let owner = &self.owners[number];
        let Phase::Serving(_) = owner.phase else {
            return;
        };
        let is_done = match &owner.task {
            Task::Settled => true,
            Task::Sent { .. } => !frame.bounds.take_backs,
            Task::Absent | Task::Waiting => false,
        };
        if is_done {
            return;
        }
        if !self.is_last(frame, number) {
            if self.asks < frame.bounds.asks {
                let others = (0..ENTRIES).filter(|entry| *entry != owner.entry);
                events.extend(others.map(|entry| Event::Ask { owner: number, entry }));
                events.push(Event::AskLog { owner: number });
            }
            match &owner.asked {
                Some(Question { answer: None, .. }) => {
                    events.push(Event::Confirm { owner: number })
                }
                Some(_) => events.push(Event::Count { owner: number }),
                None => {}
            }
        }
        match owner.task {
            Task::Absent if self.key_made.is_some() => events.push(Event::Submit { owner: number }),
            Task::Waiting => {
                events.extend((0..AGENTS).map(|agent| Event::Send { owner: number, agent }));
            }
            Task::Sent { .. } => events.push(Event::TakeBack { owner: number }),
            Task::Absent | Task::Settled => {}
        }
    }

    fn events_of_takeover(&self, frame: &Frame, events: &mut Vec<Event>) {
        if self.owners.len() <= frame.bounds.takeovers {
            events.push(Event::TakeOver);
        }
        match &self.owners.last().expect("there is always an owner").phase {
            Phase::Claimed(_) => {
                events.extend((1..ENTRIES).map(|entry| Event::Promise { entry }));
                events.push(Event::Advance);
            }
            Phase::Promised(_) => {
                events.extend((0..AGENTS).map(|agent| Event::Survey { agent }));
                events.push(Event::Finish);
            }
            Phase::Serving(_) => {}
        }
    }

    /// Returns the world after an event, where the event can happen.
    pub fn after(&self, frame: &Frame, event: Event) -> Option<Self> {
        let mut next = self.clone();
        let happens = match event {
            Event::Tick => next.tick(),
            Event::MakeKey => next.make_key(),
            Event::Announce { agent, entry } => next.announce(frame, agent, entry),
            Event::RestartAgent { agent } => next.restart_agent(frame, agent),
            Event::RestartEntry { entry } => next.restart_entry(frame, entry),
            Event::ReadLog { entry } => next.read_log(frame, entry),
            Event::Ask { owner, entry } => next.ask(owner, entry),
            Event::AskLog { owner } => next.ask_log(frame, owner),
            Event::Confirm { owner } => next.confirm(frame, owner),
            Event::Count { owner } => next.count(frame, owner),
            Event::Submit { owner } => next.submit(frame, owner),
            Event::Send { owner, agent } => next.send(frame, owner, agent),
            Event::Deliver { message } => next.deliver(frame, message),
            Event::TakeBack { owner } => next.take_back(frame, owner),
            Event::TakeOver => next.take_over(frame),
            Event::Promise { entry } => next.promise(frame, entry),
            Event::Advance => next.advance(frame),
            Event::Survey { agent } => next.survey(frame, agent),
            Event::Finish => next.finish(),
        };
        (happens && next != *self).then_some(next)
    }

    fn tick(&mut self) -> bool {
        self.second += 1;
        true
    }

    fn make_key(&mut self) -> bool {
        self.key_made = Some(self.second);
        true
    }

    fn announce(&mut self, frame: &Frame, agent: usize, entry: usize) -> bool {
        let incarnation = self.incarnation(agent);
        self.entries[entry].announcements.hear(frame.at(0), incarnation, agent)
    }

    fn restart_agent(&mut self, frame: &Frame, agent: usize) -> bool {
        let count = self.agents[agent].restarts + 1;
        self.agents[agent] = Agent { ledger: new_ledger(frame, agent, count), restarts: count };
        true
    }

    /// Restarts an entry that owns nothing; it has forgotten what it promised and heard.
    fn restart_entry(&mut self, frame: &Frame, entry: usize) -> bool {
        self.entry_restarts += 1;
        let mut votes = Votes::new(ABSENCE);
        if frame.drops(Dropped::PeerSilence) {
            votes.read_tail(frame.at(0), frame_version());
        }
        self.entries[entry] = Entry { votes, announcements: Announcements::new(ABSENCE) };
        true
    }

    fn read_log(&mut self, frame: &Frame, entry: usize) -> bool {
        let newest = self.newest_epoch();
        let votes = &mut self.entries[entry].votes;
        votes.promise(frame.range(), newest);
        votes.read_tail(frame.at(0), frame_version());
        true
    }

    fn ask(&mut self, owner: usize, entry: usize) -> bool {
        self.asks += 1;
        let question = Question { second: self.second, entry, answer: None };
        self.owners[owner].asked = Some(question);
        true
    }

    /// Extends a lease by the log, whose tail names no newer epoch.
    fn ask_log(&mut self, frame: &Frame, owner: usize) -> bool {
        let (second, newest) = (self.second, self.newest_epoch());
        let owner = &mut self.owners[owner];
        if owner.epoch != newest || !matches!(owner.phase, Phase::Serving(_)) {
            return false;
        }
        owner.leases.extend(frame.range(), owner.epoch, frame.at(second));
        self.asks += 1;
        true
    }

    fn confirm(&mut self, frame: &Frame, owner: usize) -> bool {
        let Some(entry) = self.owners[owner].asked.as_ref().map(|asked| asked.entry) else {
            return false;
        };
        let answer = self.answer_of(frame, owner, entry);
        let answers = answer.is_some();
        if let Some(asked) = &mut self.owners[owner].asked {
            asked.answer = answer;
        }
        answers
    }

    fn answer_of(&self, frame: &Frame, owner: usize, entry: usize) -> Option<Answer> {
        let claim = (frame.range(), self.owners[owner].epoch);
        let peer = &self.entries[entry];
        let answer = peer.votes.confirm(frame.at(0), frame_version(), &[claim]);
        let Confirmation::Confirmed(confirmed) = answer else {
            return None;
        };
        let heard = peer.announcements.after(0).map(|(id, heard)| (heard.position, id.clone()));
        Some(Answer { confirmed: !confirmed.is_empty(), heard: heard.collect() })
    }

    /// Counts the answer of the entry asked and the owner's own.
    fn count(&mut self, frame: &Frame, owner: usize) -> bool {
        let second = self.second;
        let own = self.answer_of(frame, owner, self.owners[owner].entry);
        let owner = &mut self.owners[owner];
        let Some(Question { second: asked_at, entry, answer: Some(answer) }) = owner.asked.take()
        else {
            return false;
        };
        let counted_from = if frame.drops(Dropped::CountFromAsking) { second } else { asked_at };
        let range = frame.range();
        let mut round = LeaseRound::new(frame.at(counted_from), vec![(range, owner.epoch)]);
        for (from, answer) in own.map(|own| (owner.entry, own)).into_iter().chain([(entry, answer)])
        {
            let from = &frame.ids[from];
            let confirmed = if answer.confirmed { vec![range] } else { Vec::new() };
            owner.usable.on_reply(from, &[range], &confirmed, answer.heard);
            round.on_confirmed(from, &confirmed);
        }
        round.settle(&frame.members, &mut owner.leases);
        true
    }

    /// Brings the submission to an owner, who judges its key.
    fn submit(&mut self, frame: &Frame, owner: usize) -> bool {
        let Some(made) = self.key_made else {
            return false;
        };
        let second = self.second;
        let owner = &mut self.owners[owner];
        let Phase::Serving(recovery) = &owner.phase else {
            return false;
        };
        if owner.task != Task::Absent {
            return false;
        }
        let found = recovery.found(&frame.task);
        let was_started = found.is_some_and(|found| found.report.stage != Stage::NotStarted);
        let verdict = frame.ages().judge(Some(wall(made)), wall(second), recovery);
        let is_fresh = verdict == KeyVerdict::Fresh || frame.drops(Dropped::AgeBound);
        owner.task = if is_fresh && !was_started { Task::Waiting } else { Task::Settled };
        true
    }

    fn send(&mut self, frame: &Frame, owner: usize, agent: usize) -> bool {
        let (second, incarnation) = (self.second, self.incarnation(agent));
        let owner = &mut self.owners[owner];
        let range = frame.range();
        let is_last = owner.entry == frame.bounds.takeovers;
        let has_lease = owner.leases.covers(range, owner.epoch, frame.at(second));
        let may_use = owner.usable.may_use(&frame.members, range, &incarnation);
        let allowed = is_last
            || (has_lease || frame.drops(Dropped::Lease))
                && (may_use || frame.drops(Dropped::IncarnationUse));
        if owner.task != Task::Waiting || !allowed {
            return false;
        }
        owner.task = Task::Sent { agent, incarnation: incarnation.clone() };
        if !frame.bounds.take_backs {
            // What the owner would still learn changes nothing.
            owner.leases = Leases::new(LEASE);
            owner.usable = Usable::default();
            owner.asked = None;
        }
        let order = StartOrder {
            task: frame.task.clone(),
            epoch: owner.epoch,
            incarnation,
            fingerprint: 0,
        };
        let message = Message { agent, order };
        if !self.messages.contains(&message) {
            self.messages.push(message);
        }
        true
    }

    fn deliver(&mut self, frame: &Frame, message: usize) -> bool {
        let Message { agent, mut order } = self.messages[message].clone();
        if frame.drops(Dropped::IncarnationCheck) {
            order.incarnation = self.incarnation(agent);
        }
        if frame.drops(Dropped::Fence) {
            order.epoch = Epoch::new(u64::MAX);
        }
        let ledger = &mut self.agents[agent].ledger;
        if ledger.start(frame.at(0), &order) == StartVerdict::Accepted {
            ledger.begin(&frame.task);
            self.starts += 1;
        }
        true
    }

    /// Takes the task back; once the agent confirms, the owner may send it elsewhere.
    fn take_back(&mut self, frame: &Frame, owner: usize) -> bool {
        let Task::Sent { agent, incarnation } = self.owners[owner].task.clone() else {
            return false;
        };
        if self.incarnation(agent) != incarnation {
            return false;
        }
        let verdict = self.agents[agent].ledger.take_back(frame.at(0), &frame.task);
        if verdict == TakeBackVerdict::TakenBack {
            self.owners[owner].task = Task::Waiting;
        }
        true
    }

    /// The next entry's record for the next epoch wins on the log.
    fn take_over(&mut self, frame: &Frame) -> bool {
        let count = self.owners.len();
        let epoch = self.newest_epoch().next();
        let claimed = Takeover::new(frame.range(), epoch, frame.at(self.second), ABSENCE);
        self.owners.push(Owner::new(count, epoch, Phase::Claimed(claimed)));
        true
    }

    fn promise(&mut self, frame: &Frame, entry: usize) -> bool {
        let peer = &mut self.entries[entry];
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::Claimed(takeover) = &mut owner.phase else {
            return false;
        };
        if !peer.votes.may_vote(frame.at(0)) || !peer.votes.promise(frame.range(), owner.epoch) {
            return false;
        }
        let heard: Vec<Incarnation> = peer.announcements.all().map(|(id, _)| id.clone()).collect();
        takeover.on_promise(&frame.ids[entry], heard);
        true
    }

    fn advance(&mut self, frame: &Frame) -> bool {
        let (now, second) = (frame.at(self.second), self.second);
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::Claimed(takeover) = owner.phase.clone() else {
            return false;
        };
        let lease = if frame.drops(Dropped::LeaseInBarrier) { Duration::ZERO } else { LEASE };
        match takeover.advance(&frame.members, now, wall(second), lease) {
            Ok(promised) => owner.phase = Phase::Promised(promised),
            Err(_) => return false,
        }
        true
    }

    fn survey(&mut self, frame: &Frame, agent: usize) -> bool {
        let incarnation = self.incarnation(agent);
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::Promised(takeover) = &mut owner.phase else {
            return false;
        };
        let asked = |id: &&Incarnation| id.as_str().starts_with(&format!("g{agent}@"));
        let Some(asked) = takeover.waiting().iter().find(asked).cloned() else {
            return false;
        };
        if asked != incarnation && !frame.drops(Dropped::AgentRestart) {
            takeover.on_missing(&asked);
            return true;
        }
        let held = self.agents[agent].ledger.survey(frame.range(), owner.epoch);
        let Ok(held) = held else {
            takeover.on_missing(&asked);
            return true;
        };
        let found = |report: &Report| Found {
            agent: asked.clone(),
            fingerprint: 0,
            report: report.clone(),
        };
        let held: Vec<_> = held.map(|(task, held)| (task.clone(), found(&held.report))).collect();
        takeover.on_survey(&asked, held);
        true
    }

    /// Ends the takeover; agents that were not asked count as cut off.
    fn finish(&mut self) -> bool {
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::Promised(takeover) = owner.phase.clone() else {
            return false;
        };
        owner.phase = Phase::Serving(takeover.finish());
        true
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
