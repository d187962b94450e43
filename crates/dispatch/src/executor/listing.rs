//! What the listings of an endpoint tell of the tasks held.

use std::time::Duration;

use crate::id::TaskName;
use crate::scheduler::{Fate, TaskEvent};

use super::held_task::Phase;
use super::{Executor, ExecutorAction, Listing, RunOutcome, TaskEnd, TaskProgress, millis};

/// Least time between two messages on one slow task.
const TELL_AGAIN: Duration = Duration::from_millis(120);

impl Executor {
    /// Takes in what the endpoint lists.
    pub fn on_listing(&mut self, now: Duration, listing: &Listing) {
        // Only the latest request is answered, so that a listing asked for later is of the incarnation
        // that is there, even where its clock has gone back.
        if self.listed_at.is_some_and(|at| listing.requested_at < at) {
            return;
        }
        if self.listed_born.is_some_and(|born| born != listing.incarnation) {
            self.on_reborn();
        }
        if self.listed_born.is_none() && self.started_count() > 0 {
            // A start on its way from before, with a deadline on another clock, gets the longest lease.
            self.leased_until_ms = listing.clock_ms + millis(self.settings.longest_lease);
        }
        self.listed_born = Some(listing.incarnation);
        self.listed_at = Some(now);
        self.clock = Some((now, listing.clock_ms));
        self.leased_until_ms = self.leased_until_ms.max(listing.clock_ms);
        for end in &listing.ended {
            self.on_end(now, end);
        }
        self.foreign.retain(|run, _| listing.running.iter().any(|found| found.run == *run));
        let disturbed = self.slowness(now) > self.speed.baseline();
        for progress in &listing.running {
            self.on_progress(now, progress, disturbed);
        }
        for name in self.names(|held| held.phase != Phase::Queued) {
            self.settle(now, &name, listing);
        }
        self.start_due(now);
    }

    fn on_end(&mut self, now: Duration, end: &TaskEnd) {
        if end.sequence <= self.last_acked {
            return;
        }
        self.last_acked = end.sequence;
        self.foreign.remove(&end.run);
        let Some(held) = self.held.get(&end.run.task).filter(|held| held.run == end.run.run) else {
            return;
        };
        let took = now.saturating_sub(held.started_at);
        let work = held.work_time;
        let fate = match end.outcome {
            RunOutcome::Done => {
                self.speed.observe(now, work, took);
                self.failures.add(now, 0.0);
                Fate::Done(took)
            }
            RunOutcome::Failed => {
                self.failures.add(now, 1.0);
                Fate::Failed
            }
            RunOutcome::Aborted => Fate::Stopped,
        };
        self.finish(&end.run.task, fate);
    }

    fn on_progress(&mut self, now: Duration, progress: &TaskProgress, disturbed: bool) {
        let run = &progress.run;
        let Some(held) = self.held.get_mut(&run.task).filter(|held| held.run == run.run) else {
            if !self.foreign.contains(run) {
                self.foreign.insert(run.clone(), now);
                self.actions.push(ExecutorAction::Stop(run.clone()));
            }
            return;
        };
        if held.phase == Phase::Starting {
            held.phase = Phase::Running;
            held.confirmed_at = Some(now);
        }
        held.on_progress(now, progress.percent);
        let usual = self.speed.baseline();
        let slow = held.slow_left(usual, disturbed).map(Fate::Slow);
        let Some(fate) = slow.or_else(|| held.overrun(now).map(Fate::Overrun)) else {
            return;
        };
        if held.told_at.is_some_and(|at| now < at + TELL_AGAIN) {
            return;
        }
        held.told_at = Some(now);
        let event = TaskEvent { run: run.clone(), fate };
        self.actions.push(ExecutorAction::NotifyEntry(held.entry.clone(), event));
    }

    /// Settles a started task that is not listed, where it can no longer run.
    fn settle(&mut self, now: Duration, name: &TaskName, listing: &Listing) {
        let Some(held) = self.held.get(name) else {
            return;
        };
        let same = |found: &TaskProgress| found.run.task == *name && found.run.run == held.run;
        if listing.running.iter().any(same) {
            return;
        }
        let asked_after =
            |moment: Option<Duration>| moment.is_some_and(|at| at < listing.requested_at);
        let vanished = held.phase == Phase::Running && asked_after(held.confirmed_at);
        let stopped = asked_after(held.stop_confirmed);
        let expired = listing.clock_ms > held.deadline_ms
            && now > held.started_at
            && listing.requested_at > held.started_at
            && held.phase == Phase::Starting;
        if vanished {
            self.finish(name, Fate::Stopped);
        } else if held.phase == Phase::Starting && (stopped || expired) {
            self.finish(name, Fate::NotStarted);
        }
    }
}
