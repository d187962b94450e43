//! The events of owners: they request leases, check the key, and send the task or take it back.

use cowslipwing_claims::{
    KeyFreshness, LeaseRound, LeaseVote, Leases, Stage, StartRequest, TakeBackResponse,
    UsableAgents,
};

use super::{
    Fixture, LEASE_LENGTH, LeaseAnswer, LeaseRequest, Model, Phase, Rule, StartMessage, Task,
    member_version, wall_time,
};

impl Model {
    pub(super) fn request_lease(&mut self, owner: usize, entry: usize) -> bool {
        self.lease_requests += 1;
        let request = LeaseRequest { requested_at: self.second, entry, answer: None };
        self.owners[owner].lease_request = Some(request);
        true
    }

    /// Extends a lease without the peers, because the log holds no newer epoch.
    pub(super) fn renew_from_log(&mut self, fixture: &Fixture, owner: usize) -> bool {
        let (second, newest) = (self.second, self.newest_epoch());
        let owner = &mut self.owners[owner];
        if owner.epoch != newest || !matches!(owner.phase, Phase::Serving(_)) {
            return false;
        }
        owner.leases.extend(fixture.range(), owner.epoch, fixture.at(second));
        self.lease_requests += 1;
        true
    }

    pub(super) fn answer_lease(&mut self, fixture: &Fixture, owner: usize) -> bool {
        let Some(entry) = self.owners[owner].lease_request.as_ref().map(|request| request.entry)
        else {
            return false;
        };
        let answer = self.vote_of(fixture, owner, entry);
        let has_answer = answer.is_some();
        if let Some(request) = &mut self.owners[owner].lease_request {
            request.answer = answer;
        }
        has_answer
    }

    fn vote_of(&self, fixture: &Fixture, owner: usize, entry: usize) -> Option<LeaseAnswer> {
        let requested = (fixture.range(), self.owners[owner].epoch);
        let peer = &self.entries[entry];
        let vote = peer.voter.confirm(fixture.at(0), member_version(), &[requested]);
        let LeaseVote::Confirmed(confirmed) = vote else {
            return None;
        };
        let known_agents =
            peer.registry.after_position(0).map(|(id, known)| (known.position, id.clone()));
        Some(LeaseAnswer { confirmed: !confirmed.is_empty(), known_agents: known_agents.collect() })
    }

    /// Counts the requested entry's answer and the owner's own vote.
    pub(super) fn count_answers(&mut self, fixture: &Fixture, owner: usize) -> bool {
        let second = self.second;
        let own = self.vote_of(fixture, owner, self.owners[owner].entry);
        let owner = &mut self.owners[owner];
        let Some(LeaseRequest { requested_at: sent_at, entry, answer: Some(answer) }) =
            owner.lease_request.take()
        else {
            return false;
        };
        let valid_from = if fixture.disables(Rule::LeaseFromRequest) { second } else { sent_at };
        let range = fixture.range();
        let mut round = LeaseRound::new(fixture.at(valid_from), vec![(range, owner.epoch)]);
        for (from, answer) in own.map(|own| (owner.entry, own)).into_iter().chain([(entry, answer)])
        {
            let from = &fixture.ids[from];
            let confirmed = if answer.confirmed { vec![range] } else { Vec::new() };
            owner.usable.on_lease_reply(from, &[range], &confirmed, answer.known_agents);
            round.on_confirmed(from, &confirmed);
        }
        round.extend_leases(&fixture.members, &mut owner.leases);
        true
    }

    /// Delivers the submission to an owner, which checks the age of its key.
    pub(super) fn submit(&mut self, fixture: &Fixture, owner: usize) -> bool {
        let Some(created_at) = self.key_created_at else {
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
        let recovered = recovery.task(&fixture.task);
        let was_started =
            recovered.is_some_and(|recovered| recovered.report.stage != Stage::NotStarted);
        let freshness =
            fixture.key_ages().freshness(Some(wall_time(created_at)), wall_time(second), recovery);
        let is_fresh = freshness == KeyFreshness::Fresh || fixture.disables(Rule::KeyAge);
        owner.task = if is_fresh && !was_started { Task::Waiting } else { Task::Closed };
        true
    }

    pub(super) fn send(&mut self, fixture: &Fixture, owner: usize, agent: usize) -> bool {
        let (second, incarnation) = (self.second, self.incarnation(agent));
        let owner = &mut self.owners[owner];
        let range = fixture.range();
        let is_last_owner = owner.entry == fixture.bounds.takeovers;
        let has_lease = owner.leases.covers(range, owner.epoch, fixture.at(second));
        let is_usable = owner.usable.is_usable(&fixture.members, range, &incarnation);
        let may_send = is_last_owner
            || (has_lease || fixture.disables(Rule::Lease))
                && (is_usable || fixture.disables(Rule::KnownByMajority));
        if owner.task != Task::Waiting || !may_send {
            return false;
        }
        owner.task = Task::Sent { agent, incarnation: incarnation.clone() };
        if !fixture.bounds.take_backs {
            // Later answers cannot change what the owner does, so they need no states of their own.
            owner.leases = Leases::new(LEASE_LENGTH);
            owner.usable = UsableAgents::default();
            owner.lease_request = None;
        }
        let request = StartRequest {
            task: fixture.task.clone(),
            epoch: owner.epoch,
            incarnation,
            fingerprint: 0,
        };
        let message = StartMessage { agent, request };
        if !self.messages.contains(&message) {
            self.messages.push(message);
        }
        true
    }

    /// Takes the task back. Once the agent confirms, the owner may send it to another agent.
    pub(super) fn take_back(&mut self, fixture: &Fixture, owner: usize) -> bool {
        let Task::Sent { agent, incarnation } = self.owners[owner].task.clone() else {
            return false;
        };
        if self.incarnation(agent) != incarnation {
            return false;
        }
        let response = self.agents[agent].ledger.take_back(fixture.at(0), &fixture.task);
        if response == TakeBackResponse::TakenBack {
            self.owners[owner].task = Task::Waiting;
        }
        true
    }
}
