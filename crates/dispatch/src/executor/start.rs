//! Which tasks start and when.
//!
//! Answers a load in which a share of all starts gets no answer: these are sent again, since the endpoint
//! takes each run only once, and ruled out where that does not help.

use std::time::Duration;

use crate::id::{TaskName, TaskRun};
use crate::resources::FreeResources;
use crate::scheduler::Fate;

use super::held_task::{HeldTask, Phase};
use super::{Executor, ExecutorAction, StartOutcome, StartRefusal};

/// Time in which a sound endpoint confirms a start or lists it, many times over.
const START_ANSWER: Duration = Duration::from_millis(30);
/// Time after which a start without an answer is sent again; a sound endpoint answers within 1 ms.
const START_AGAIN: Duration = Duration::from_millis(10);
/// Age of the last listing from which the endpoint is silent, and copies of starts are of no use: some
/// three times as old as listings become while a share of the answers is lost.
const COPY_LISTING_AGE: Duration = Duration::from_millis(150);
/// Most times that a start is sent: as often as it fits into [`START_ANSWER`].
pub(super) const START_SENDS: u32 = 3;
/// Silence of the endpoint after which it takes no new tasks.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);

impl Executor {
    /// Starts what fits, the most urgent first, and gives back what cannot start in time.
    pub(super) fn start_due(&mut self, now: Duration) {
        for name in self.names(|held| held.phase == Phase::Queued && held.is_overdue(now)) {
            self.finish(&name, Fate::NotStarted);
        }
        if !self.may_start(now) {
            return;
        }
        let mut queued: Vec<(bool, Duration, TaskName)> = self
            .held
            .iter()
            .filter(|(_, held)| held.phase == Phase::Queued)
            .map(|(name, held)| (held.late, held.start_by, name.clone()))
            .collect();
        if queued.is_empty() {
            return;
        }
        queued.sort();
        let mut free = self.reserved_free();
        for (_, _, name) in queued {
            self.try_start(now, &name, &mut free);
        }
    }

    pub(super) fn may_start(&self, now: Duration) -> bool {
        let listed = self.listed_at.is_some_and(|at| now < at + SILENCE_LIMIT);
        // A new incarnation may have another size, which its announcement tells.
        let takes = self
            .endpoint
            .as_ref()
            .is_some_and(|known| !known.draining && self.listed_born == Some(known.incarnation));
        listed && takes && self.foreign.is_empty() && !self.leaving
    }

    fn try_start(&mut self, now: Duration, name: &TaskName, free: &mut FreeResources) {
        let Some(held) = self.held.get(name) else {
            return;
        };
        if !free.fits(held.need) || self.is_crowded(name, held.most_here) {
            return;
        }
        if !self.is_leased(now, &held.entry) {
            return;
        }
        let Some(deadline_ms) = self.extend_lease(now) else {
            return;
        };
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        held.phase = Phase::Starting;
        held.deadline_ms = deadline_ms;
        held.started_at = now;
        held.sent_at = now;
        held.sends = 1;
        free.reserve(held.need);
        let run = held.run_of(name);
        let payload = held.payload.clone();
        self.actions.push(ExecutorAction::Start { run, payload, deadline_ms, sends: 1 });
    }

    /// Tells whether as many tasks of the step run here as may.
    fn is_crowded(&self, name: &TaskName, most: u32) -> bool {
        let same_step = |other: &TaskName| other.request == name.request && other.step == name.step;
        let started = |held: &HeldTask| held.phase != Phase::Queued;
        let here = self.held.iter().filter(|(other, held)| same_step(other) && started(held));
        most > 0 && here.count() >= most as usize
    }

    /// Returns the room that no started task takes.
    pub(super) fn reserved_free(&self) -> FreeResources {
        let capacity = self.endpoint.as_ref().map(|known| known.capacity).unwrap_or_default();
        let mut free = FreeResources::from_capacity(capacity);
        for held in self.held.values().filter(|held| held.phase != Phase::Queued) {
            free.reserve(held.need);
        }
        free
    }

    /// Takes in what became of a start, or of one of its copies.
    pub fn on_start_reply(&mut self, now: Duration, run: &TaskRun, outcome: StartOutcome) {
        let Some(held) = self.held.get_mut(&run.task).filter(|held| held.run == run.run) else {
            return;
        };
        if held.phase != Phase::Starting {
            // Another copy was answered before, or the run is listed.
            return;
        }
        match outcome {
            StartOutcome::Started => {
                held.phase = Phase::Running;
                held.confirmed_at = Some(now);
            }
            StartOutcome::NoReply => self.start_again(now, &run.task),
            // Another copy may still be carried out, unless no incarnation is there to do so.
            StartOutcome::Refused(refusal)
                if held.sends > 1 && refusal != StartRefusal::OtherIncarnation =>
            {
                self.cancel_task(now, &run.task);
            }
            StartOutcome::Refused(refusal) => self.on_refused(now, run, refusal),
        }
        self.start_due(now);
    }

    /// Sends a copy of a start that was not answered. The endpoint takes each run only once.
    fn start_again(&mut self, now: Duration, name: &TaskName) {
        let is_silent = self.listed_at.is_none_or(|at| now >= at + COPY_LISTING_AGE);
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        if is_silent || held.stop_sent.is_some() || held.sends >= START_SENDS {
            return;
        }
        held.sends += 1;
        held.sent_at = now;
        let run = held.run_of(name);
        let (payload, deadline_ms, sends) = (held.payload.clone(), held.deadline_ms, held.sends);
        self.actions.push(ExecutorAction::Start { run, payload, deadline_ms, sends });
    }

    fn on_refused(&mut self, now: Duration, run: &TaskRun, refusal: StartRefusal) {
        match refusal {
            StartRefusal::OldRun => self.finish(&run.task, Fate::StaleRun),
            StartRefusal::Unhealthy => {
                self.failures.add(now, 1.0);
                self.finish(&run.task, Fate::NotStarted);
            }
            StartRefusal::OtherIncarnation => {
                self.finish(&run.task, Fate::NotStarted);
                self.listed_at = None;
            }
            StartRefusal::Fenced
            | StartRefusal::TooLate
            | StartRefusal::NoRoom
            | StartRefusal::Invalid => self.finish(&run.task, Fate::NotStarted),
        }
    }

    /// Sends starts again that were not answered and are not listed, and in the end rules them out, so
    /// that the tasks can go elsewhere.
    pub(super) fn follow_unanswered(&mut self, now: Duration) {
        let starting = |held: &HeldTask| held.phase == Phase::Starting;
        for name in self.names(|held| starting(held) && now >= held.started_at + START_ANSWER) {
            self.cancel_task(now, &name);
        }
        for name in self.names(|held| starting(held) && now >= held.sent_at + START_AGAIN) {
            self.start_again(now, &name);
        }
    }
}
