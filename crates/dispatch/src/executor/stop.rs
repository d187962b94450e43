//! Stops tasks, and gives up those whose lease has expired.

use std::time::Duration;

use crate::id::{EntryId, TaskName, TaskRun};
use crate::scheduler::RunStatus;

use super::held_task::{HeldTask, Phase};
use super::{Executor, ExecutorAction};

/// Time after which an unconfirmed stop is sent again.
const STOP_RESEND_INTERVAL: Duration = Duration::from_millis(40);

impl Executor {
    /// Cancels all tasks of an entry that is gone or whose lease has expired.
    pub fn on_entry_lost(&mut self, now: Duration, entry: &EntryId) {
        self.entry_leases.remove(entry);
        for name in self.tasks_where(|held| held.entry == *entry) {
            self.cancel_task(now, &name);
        }
    }

    /// Cancels a run at the request of its entry.
    pub fn on_cancel(&mut self, now: Duration, entry: &EntryId, run: &TaskRun) {
        let is_from_entry = |held: &HeldTask| held.entry == *entry && held.run_number == run.number;
        if self.held.get(&run.task).is_some_and(is_from_entry) {
            self.cancel_task(now, &run.task);
        }
    }

    pub(super) fn cancel_task(&mut self, now: Duration, name: &TaskName) {
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        if held.phase == Phase::Queued {
            self.remove_and_report(name, RunStatus::NotStarted);
            return;
        }
        if held.stop_sent_at.is_none() {
            held.stop_sent_at = Some(now);
            let run = held.run_of(name);
            self.actions.push(ExecutorAction::Stop(run));
        }
    }

    /// Records that the endpoint confirmed a stop.
    pub fn on_stop_confirmed(&mut self, now: Duration, run: &TaskRun) {
        if let Some(held) =
            self.held.get_mut(&run.task).filter(|held| held.run_number == run.number)
        {
            held.stop_confirmed_at = Some(now);
        }
    }

    pub(super) fn expire_entry_leases(&mut self, now: Duration) {
        let expired: Vec<EntryId> = self
            .entry_leases
            .iter()
            .filter(|(_, expires_at)| now >= **expires_at)
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in expired {
            self.on_entry_lost(now, &entry);
        }
    }

    /// Gives up all started tasks once the endpoint's lease has expired, because the endpoint no
    /// longer runs them.
    pub(super) fn give_up_expired(&mut self, now: Duration) {
        if self.endpoint_clock_ms(now).is_some_and(|clock_ms| clock_ms > self.lease_deadline_ms) {
            self.give_up_started(now);
        }
    }

    pub(super) fn resend_stops(&mut self, now: Duration) {
        if !self.is_listening {
            return;
        }
        for (name, held) in self.held.iter_mut() {
            let is_unconfirmed = held.stop_confirmed_at.is_none();
            if is_unconfirmed
                && held.stop_sent_at.is_some_and(|at| now >= at + STOP_RESEND_INTERVAL)
            {
                held.stop_sent_at = Some(now);
                let run = held.run_of(name);
                self.actions.push(ExecutorAction::Stop(run));
            }
        }
        for (run, sent_at) in self.unknown_runs.iter_mut() {
            if now >= *sent_at + STOP_RESEND_INTERVAL {
                *sent_at = now;
                self.actions.push(ExecutorAction::Stop(run.clone()));
            }
        }
    }
}
