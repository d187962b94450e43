//! Which tasks are stopped, and which are taken to be gone without that.

use std::time::Duration;

use crate::id::{EntryName, TaskName, TaskRun};
use crate::scheduler::Fate;

use super::held_task::{HeldTask, Phase};
use super::{Executor, ExecutorAction};

/// Time after which a stop that was not confirmed is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(40);

impl Executor {
    /// Stops what an entry that is known to be gone has started.
    pub fn on_entry_lost(&mut self, now: Duration, entry: &EntryName) {
        self.entries.remove(entry);
        for name in self.names(|held| held.entry == *entry) {
            self.cancel_task(now, &name);
        }
    }

    /// Takes a run back, or stops it.
    pub fn on_cancel(&mut self, now: Duration, entry: &EntryName, run: &TaskRun) {
        let of_entry = |held: &HeldTask| held.entry == *entry && held.run == run.run;
        if self.held.get(&run.task).is_some_and(of_entry) {
            self.cancel_task(now, &run.task);
        }
    }

    pub(super) fn cancel_task(&mut self, now: Duration, name: &TaskName) {
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        if held.phase == Phase::Queued {
            self.finish(name, Fate::NotStarted);
            return;
        }
        if held.stop_sent.is_none() {
            held.stop_sent = Some(now);
            let run = held.run_of(name);
            self.actions.push(ExecutorAction::Stop(run));
        }
    }

    /// Takes in that a stop was carried out.
    pub fn on_stop_confirmed(&mut self, now: Duration, run: &TaskRun) {
        if let Some(held) = self.held.get_mut(&run.task).filter(|held| held.run == run.run) {
            held.stop_confirmed = Some(now);
        }
    }

    pub(super) fn stop_unleased(&mut self, now: Duration) {
        let lapsed: Vec<EntryName> = self
            .entries
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in lapsed {
            self.on_entry_lost(now, &entry);
        }
    }

    /// Gives up what the endpoint no longer runs, since its lease has lapsed.
    pub(super) fn lose_lapsed(&mut self, now: Duration) {
        if self.endpoint_clock_ms(now).is_some_and(|clock_ms| clock_ms > self.leased_until_ms) {
            self.lose_started();
        }
    }

    pub(super) fn send_stops_again(&mut self, now: Duration) {
        for (name, held) in self.held.iter_mut() {
            let unconfirmed = held.stop_confirmed.is_none();
            if unconfirmed && held.stop_sent.is_some_and(|at| now >= at + STOP_AGAIN) {
                held.stop_sent = Some(now);
                let run = held.run_of(name);
                self.actions.push(ExecutorAction::Stop(run));
            }
        }
        for (run, sent_at) in self.foreign.iter_mut() {
            if now >= *sent_at + STOP_AGAIN {
                *sent_at = now;
                self.actions.push(ExecutorAction::Stop(run.clone()));
            }
        }
    }
}
