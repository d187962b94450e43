//! What owners do: they ask for leases, judge the key, and send the task.

use cowslipwing_claims::{
    Confirmation, KeyVerdict, LeaseRound, Leases, Stage, StartOrder, TakeBackVerdict, Usable,
};

use super::{
    Answer, Dropped, Frame, LEASE, Message, Phase, Question, Task, World, frame_version, wall,
};

impl World {
    pub(super) fn ask(&mut self, owner: usize, entry: usize) -> bool {
        self.asks += 1;
        let question = Question { second: self.second, entry, answer: None };
        self.owners[owner].asked = Some(question);
        true
    }

    /// Extends a lease by the log, whose tail names no newer epoch.
    pub(super) fn ask_log(&mut self, frame: &Frame, owner: usize) -> bool {
        let (second, newest) = (self.second, self.newest_epoch());
        let owner = &mut self.owners[owner];
        if owner.epoch != newest || !matches!(owner.phase, Phase::Serving(_)) {
            return false;
        }
        owner.leases.extend(frame.range(), owner.epoch, frame.at(second));
        self.asks += 1;
        true
    }

    pub(super) fn confirm(&mut self, frame: &Frame, owner: usize) -> bool {
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
    pub(super) fn count(&mut self, frame: &Frame, owner: usize) -> bool {
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
    pub(super) fn submit(&mut self, frame: &Frame, owner: usize) -> bool {
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

    pub(super) fn send(&mut self, frame: &Frame, owner: usize, agent: usize) -> bool {
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

    /// Takes the task back; once the agent confirms, the owner may send it elsewhere.
    pub(super) fn take_back(&mut self, frame: &Frame, owner: usize) -> bool {
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
}
