//! Applies events. This file has the events of agents, the log and messages.

use cowslipwing_claims::{AgentRegistry, LeaseVoter, StartResponse};
use cowslipwing_types::Epoch;

use super::{
    Agent, Entry, Event, Fixture, Model, Rule, StartMessage, UNLIMITED, member_version, new_ledger,
};

impl Model {
    /// Returns the state after an event, or `None` if the event is impossible or changes nothing.
    pub fn next_state(&self, fixture: &Fixture, event: Event) -> Option<Self> {
        let mut next = self.clone();
        let is_possible = match event {
            Event::Tick => next.tick(),
            Event::CreateKey => next.create_key(),
            Event::Announce { agent, entry } => next.announce(fixture, agent, entry),
            Event::RestartAgent { agent } => next.restart_agent(fixture, agent),
            Event::RestartEntry { entry } => next.restart_entry(fixture, entry),
            Event::ReadLog { entry } => next.read_log(fixture, entry),
            Event::RequestLease { owner, entry } => next.request_lease(owner, entry),
            Event::RenewFromLog { owner } => next.renew_from_log(fixture, owner),
            Event::AnswerLease { owner } => next.answer_lease(fixture, owner),
            Event::CountAnswers { owner } => next.count_answers(fixture, owner),
            Event::Submit { owner } => next.submit(fixture, owner),
            Event::Send { owner, agent } => next.send(fixture, owner, agent),
            Event::Deliver { message } => next.deliver(fixture, message),
            Event::TakeBack { owner } => next.take_back(fixture, owner),
            Event::TakeOver => next.take_over(fixture),
            Event::Promise { entry } => next.promise(fixture, entry),
            Event::Advance => next.advance(fixture),
            Event::Survey { agent } => next.survey(fixture, agent),
            Event::FinishTakeover => next.finish_takeover(),
        };
        (is_possible && next != *self).then_some(next)
    }

    fn tick(&mut self) -> bool {
        self.second += 1;
        true
    }

    fn create_key(&mut self) -> bool {
        self.key_created_at = Some(self.second);
        true
    }

    fn announce(&mut self, fixture: &Fixture, agent: usize, entry: usize) -> bool {
        let incarnation = self.incarnation(agent);
        self.entries[entry].registry.record(fixture.at(0), incarnation, agent)
    }

    fn restart_agent(&mut self, fixture: &Fixture, agent: usize) -> bool {
        let count = self.agents[agent].restarts + 1;
        self.agents[agent] = Agent { ledger: new_ledger(fixture, agent, count), restarts: count };
        true
    }

    /// Restarts an entry that does not own the range; it loses its promises and the agents that it
    /// knew.
    fn restart_entry(&mut self, fixture: &Fixture, entry: usize) -> bool {
        self.entry_restarts += 1;
        let mut voter = LeaseVoter::new(UNLIMITED);
        if fixture.disables(Rule::AbstainAfterRestart) {
            voter.on_log_read(fixture.at(0), member_version());
        }
        self.entries[entry] = Entry { voter, registry: AgentRegistry::new(UNLIMITED) };
        true
    }

    fn read_log(&mut self, fixture: &Fixture, entry: usize) -> bool {
        let newest = self.newest_epoch();
        let voter = &mut self.entries[entry].voter;
        voter.promise(fixture.range(), newest);
        voter.on_log_read(fixture.at(0), member_version());
        true
    }

    fn deliver(&mut self, fixture: &Fixture, message: usize) -> bool {
        let StartMessage { agent, mut request } = self.messages[message].clone();
        if fixture.disables(Rule::IncarnationCheck) {
            request.incarnation = self.incarnation(agent);
        }
        if fixture.disables(Rule::Fence) {
            request.epoch = Epoch::new(u64::MAX);
        }
        let ledger = &mut self.agents[agent].ledger;
        if ledger.start(fixture.at(0), &request) == StartResponse::Accepted {
            ledger.mark_started(&fixture.task);
            self.starts += 1;
        }
        true
    }
}
