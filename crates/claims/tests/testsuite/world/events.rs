//! Which events may come next.

use super::{AGENTS, ENTRIES, Event, Frame, Phase, Question, Task, World};

impl World {
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
}
