//! The events that are possible in a state.

use super::{AGENTS, ENTRIES, Event, Fixture, LeaseRequest, Model, Phase, Task};

impl Model {
    /// Returns the events that are possible in this state.
    ///
    /// An owner requests leases from itself and one other entry, which together are a majority. The
    /// last owner that the bounds allow needs no lease, because no entry takes over from it.
    pub fn possible_events(&self, fixture: &Fixture) -> Vec<Event> {
        let mut events = Vec::new();
        if self.second < fixture.bounds.last_second {
            events.push(Event::Tick);
        }
        if self.key_created_at.is_none() {
            events.push(Event::CreateKey);
        }
        self.push_agent_events(fixture, &mut events);
        self.push_entry_events(fixture, &mut events);
        for owner in 0..self.owners.len() {
            self.push_owner_events(fixture, owner, &mut events);
        }
        self.push_takeover_events(fixture, &mut events);
        events.extend((0..self.messages.len()).map(|message| Event::Deliver { message }));
        events
    }

    fn push_agent_events(&self, fixture: &Fixture, events: &mut Vec<Event>) {
        let restarts: u8 = self.agents.iter().map(|agent| agent.restarts).sum();
        for agent in 0..AGENTS {
            if restarts < fixture.bounds.agent_restarts {
                events.push(Event::RestartAgent { agent });
            }
            let incarnation = self.incarnation(agent);
            for entry in 0..ENTRIES {
                if self.entries[entry].registry.get(&incarnation).is_none() {
                    events.push(Event::Announce { agent, entry });
                }
            }
        }
    }

    fn push_entry_events(&self, fixture: &Fixture, events: &mut Vec<Event>) {
        for entry in 1..ENTRIES {
            let is_owner = self.owners.iter().any(|owner| owner.entry == entry);
            if !is_owner && self.entry_restarts < fixture.bounds.entry_restarts {
                events.push(Event::RestartEntry { entry });
            }
            if !self.entries[entry].voter.may_vote(fixture.at(0)) {
                events.push(Event::ReadLog { entry });
            }
        }
    }

    fn push_owner_events(&self, fixture: &Fixture, index: usize, events: &mut Vec<Event>) {
        let owner = &self.owners[index];
        let Phase::Serving(_) = owner.phase else {
            return;
        };
        let has_no_events = match &owner.task {
            Task::Closed => true,
            Task::Sent { .. } => !fixture.bounds.take_backs,
            Task::Absent | Task::Waiting => false,
        };
        if has_no_events {
            return;
        }
        if !self.is_last_owner(fixture, index) {
            if self.lease_requests < fixture.bounds.lease_requests {
                let others = (0..ENTRIES).filter(|entry| *entry != owner.entry);
                events.extend(others.map(|entry| Event::RequestLease { owner: index, entry }));
                events.push(Event::RenewFromLog { owner: index });
            }
            match &owner.lease_request {
                Some(LeaseRequest { answer: None, .. }) => {
                    events.push(Event::AnswerLease { owner: index })
                }
                Some(_) => events.push(Event::CountAnswers { owner: index }),
                None => {}
            }
        }
        match owner.task {
            Task::Absent if self.key_created_at.is_some() => {
                events.push(Event::Submit { owner: index })
            }
            Task::Waiting => {
                events.extend((0..AGENTS).map(|agent| Event::Send { owner: index, agent }));
            }
            Task::Sent { .. } => events.push(Event::TakeBack { owner: index }),
            Task::Absent | Task::Closed => {}
        }
    }

    fn push_takeover_events(&self, fixture: &Fixture, events: &mut Vec<Event>) {
        if self.owners.len() <= fixture.bounds.takeovers {
            events.push(Event::TakeOver);
        }
        match &self.owners.last().expect("there is always an owner").phase {
            Phase::AwaitingPromises(_) => {
                events.extend((1..ENTRIES).map(|entry| Event::Promise { entry }));
                events.push(Event::Advance);
            }
            Phase::AwaitingSurveys(_) => {
                events.extend((0..AGENTS).map(|agent| Event::Survey { agent }));
                events.push(Event::FinishTakeover);
            }
            Phase::Serving(_) => {}
        }
    }
}
