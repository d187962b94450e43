//! The events of a takeover.

use cowslipwing_claims::{RecoveredTask, Report, Takeover};
use cowslipwing_types::Incarnation;
use std::time::Duration;

use super::{Fixture, LEASE_LENGTH, Model, Owner, Phase, Rule, UNLIMITED, wall_time};

impl Model {
    /// The next entry writes a takeover record, which wins the next epoch on the log.
    pub(super) fn take_over(&mut self, fixture: &Fixture) -> bool {
        let count = self.owners.len();
        let epoch = self.newest_epoch().next();
        let takeover = Takeover::new(fixture.range(), epoch, fixture.at(self.second), UNLIMITED);
        self.owners.push(Owner::new(count, epoch, Phase::AwaitingPromises(takeover)));
        true
    }

    pub(super) fn promise(&mut self, fixture: &Fixture, entry: usize) -> bool {
        let peer = &mut self.entries[entry];
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::AwaitingPromises(takeover) = &mut owner.phase else {
            return false;
        };
        if !peer.voter.may_vote(fixture.at(0)) || !peer.voter.promise(fixture.range(), owner.epoch)
        {
            return false;
        }
        let known_agents: Vec<Incarnation> =
            peer.registry.iter().map(|(id, _)| id.clone()).collect();
        takeover.on_promise(&fixture.ids[entry], known_agents);
        true
    }

    pub(super) fn advance(&mut self, fixture: &Fixture) -> bool {
        let (now, second) = (fixture.at(self.second), self.second);
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::AwaitingPromises(takeover) = owner.phase.clone() else {
            return false;
        };
        let barrier_delay =
            if fixture.disables(Rule::LeaseInBarrier) { Duration::ZERO } else { LEASE_LENGTH };
        match takeover.advance(&fixture.members, now, wall_time(second), barrier_delay) {
            Ok(advanced) => owner.phase = Phase::AwaitingSurveys(advanced),
            Err(_) => return false,
        }
        true
    }

    pub(super) fn survey(&mut self, fixture: &Fixture, agent: usize) -> bool {
        let incarnation = self.incarnation(agent);
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::AwaitingSurveys(takeover) = &mut owner.phase else {
            return false;
        };
        let is_same_agent = |id: &&Incarnation| id.as_str().starts_with(&format!("g{agent}@"));
        let Some(awaited) = takeover.awaited_agents().iter().find(is_same_agent).cloned() else {
            return false;
        };
        if awaited != incarnation && !fixture.disables(Rule::AgentHistory) {
            takeover.on_survey_failed(&awaited);
            return true;
        }
        let held = self.agents[agent].ledger.survey(fixture.range(), owner.epoch);
        let Ok(held) = held else {
            takeover.on_survey_failed(&awaited);
            return true;
        };
        let recovered = |report: &Report| RecoveredTask {
            agent: awaited.clone(),
            fingerprint: 0,
            report: report.clone(),
        };
        let held: Vec<_> =
            held.map(|(task, held)| (task.clone(), recovered(&held.report))).collect();
        takeover.on_survey(&awaited, held);
        true
    }

    /// Ends the takeover; the history of agents that were not surveyed counts as missing.
    pub(super) fn finish_takeover(&mut self) -> bool {
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::AwaitingSurveys(takeover) = owner.phase.clone() else {
            return false;
        };
        owner.phase = Phase::Serving(takeover.finish());
        true
    }
}
