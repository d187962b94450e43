//! How the next owner takes over.

use cowslipwing_claims::{Found, Report, Takeover};
use cowslipwing_types::Incarnation;
use std::time::Duration;

use super::{ABSENCE, Dropped, Frame, LEASE, Owner, Phase, World, wall};

impl World {
    /// The next entry's record for the next epoch wins on the log.
    pub(super) fn take_over(&mut self, frame: &Frame) -> bool {
        let count = self.owners.len();
        let epoch = self.newest_epoch().next();
        let claimed = Takeover::new(frame.range(), epoch, frame.at(self.second), ABSENCE);
        self.owners.push(Owner::new(count, epoch, Phase::Claimed(claimed)));
        true
    }

    pub(super) fn promise(&mut self, frame: &Frame, entry: usize) -> bool {
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

    pub(super) fn advance(&mut self, frame: &Frame) -> bool {
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

    pub(super) fn survey(&mut self, frame: &Frame, agent: usize) -> bool {
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
    pub(super) fn finish(&mut self) -> bool {
        let owner = self.owners.last_mut().expect("there is always an owner");
        let Phase::Promised(takeover) = owner.phase.clone() else {
            return false;
        };
        owner.phase = Phase::Serving(takeover.finish());
        true
    }
}
