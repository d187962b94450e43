//! What each event does; those of agents and of the store.

use cowslipwing_claims::{Announcements, StartVerdict, Votes};
use cowslipwing_types::Epoch;

use super::{
    ABSENCE, Agent, Dropped, Entry, Event, Frame, Message, World, frame_version, new_ledger,
};

impl World {
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
}
