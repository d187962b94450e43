//! Processes the listings of an endpoint.

use std::time::Duration;

use crate::id::{TaskName, TaskRun};
use crate::samples::EndpointCondition;
use crate::scheduler::{RunStatus, TaskEvent};

use super::held_task::Phase;
use super::{Executor, ExecutorAction, Listing, RunOutcome, TaskEnd, TaskProgress, millis};

/// Minimum time between two reports that the same task is slow.
const SLOW_REPORT_INTERVAL: Duration = Duration::from_millis(120);

impl Executor {
    /// Processes a listing of the endpoint.
    pub fn on_listing(&mut self, now: Duration, listing: &Listing) {
        // The endpoint answers only the latest request. A listing that was requested later is
        // therefore from the current incarnation, even if the endpoint's clock went back.
        if self.last_listing_at.is_some_and(|at| listing.requested_at < at) {
            return;
        }
        if self.listed_incarnation.is_some_and(|incarnation| incarnation != listing.incarnation) {
            self.on_new_incarnation();
        }
        if self.listed_incarnation.is_none() && self.started_count() > 0 {
            // A start in flight may carry a deadline on the previous incarnation's clock, so the
            // longest lease is assumed for it.
            self.lease_deadline_ms = listing.clock_ms + millis(self.settings.longest_lease);
        }
        self.listed_incarnation = Some(listing.incarnation);
        self.is_listening = true;
        self.last_listing_at = Some(now);
        self.clock = Some((now, listing.clock_ms));
        self.lease_deadline_ms = self.lease_deadline_ms.max(listing.clock_ms);
        self.decide_claims(now, listing);
        self.judge_by_listing(listing);
        for end in &listing.ended {
            self.on_end(now, end);
        }
        self.unknown_runs.retain(|run, _| listing.running.iter().any(|found| found.run == *run));
        for progress in &listing.running {
            self.record_progress(now, progress);
        }
        let condition = self.condition(now);
        for progress in &listing.running {
            self.report_slow_run(now, &progress.run, condition);
        }
        for name in self.tasks_where(|held| held.phase != Phase::Queued) {
            self.resolve_unlisted(now, &name, listing);
        }
        self.forget_departed(now);
        self.start_queued(now);
    }

    fn on_end(&mut self, now: Duration, end: &TaskEnd) {
        if end.sequence <= self.last_acked {
            return;
        }
        self.last_acked = end.sequence;
        self.unknown_runs.remove(&end.run);
        let Some(held) =
            self.held.get(&end.run.task).filter(|held| held.run_number == end.run.number)
        else {
            return;
        };
        let run_time = now.saturating_sub(held.started_at);
        let work = held.expected_work;
        let status = match end.outcome {
            RunOutcome::Done => {
                self.slowness_estimator.observe(now, work, run_time);
                self.failures.add(now, 0.0);
                RunStatus::Done(run_time)
            }
            RunOutcome::Failed => {
                self.failures.add(now, 1.0);
                RunStatus::Failed
            }
            RunOutcome::Aborted => RunStatus::Stopped,
        };
        self.remove_and_report(&end.run.task, status);
    }

    /// Records the progress of a run, or stops the run if it is not known.
    fn record_progress(&mut self, now: Duration, progress: &TaskProgress) {
        let run = &progress.run;
        let Some(held) = self.held.get_mut(&run.task).filter(|held| held.run_number == run.number)
        else {
            if !self.unknown_runs.contains(run) {
                self.unknown_runs.insert(run.clone(), now);
                self.actions.push(ExecutorAction::Stop(run.clone()));
            }
            return;
        };
        if held.phase == Phase::Starting {
            held.phase = Phase::Running;
            held.confirmed_at = Some(now);
        }
        held.on_progress(now, progress.percent);
    }

    /// Reports a run to its entry if it is slow or cannot end in time.
    fn report_slow_run(&mut self, now: Duration, run: &TaskRun, condition: EndpointCondition) {
        let baseline = self.slowness_estimator.baseline();
        let Some(held) = self.held.get_mut(&run.task).filter(|held| held.run_number == run.number)
        else {
            return;
        };
        let slow = held.remaining_if_slow(now, baseline, condition).map(RunStatus::Slow);
        let Some(status) = slow.or_else(|| held.remaining_if_overrun(now).map(RunStatus::Overrun))
        else {
            return;
        };
        if held.reported_at.is_some_and(|at| now < at + SLOW_REPORT_INTERVAL) {
            return;
        }
        held.reported_at = Some(now);
        let event = TaskEvent { run: run.clone(), status };
        self.actions.push(ExecutorAction::NotifyEntry(held.entry.clone(), event));
    }

    /// Resolves a started task that is not listed, if it can no longer run.
    fn resolve_unlisted(&mut self, now: Duration, name: &TaskName, listing: &Listing) {
        let Some(held) = self.held.get(name) else {
            return;
        };
        let is_same_run =
            |found: &TaskProgress| found.run.task == *name && found.run.number == held.run_number;
        if listing.running.iter().any(is_same_run) {
            return;
        }
        let is_before_request =
            |time: Option<Duration>| time.is_some_and(|at| at < listing.requested_at);
        let is_missing = held.phase == Phase::Running && is_before_request(held.confirmed_at);
        let is_stopped = is_before_request(held.stop_confirmed_at);
        let is_expired = listing.clock_ms > held.deadline_ms
            && now > held.started_at
            && listing.requested_at > held.started_at
            && held.phase == Phase::Starting;
        let is_settled = held.phase == Phase::Starting && (is_stopped || is_expired);
        // An incarnation that has ended may have carried out the start, whatever the present one
        // lists.
        if is_missing || (is_settled && held.incarnation_end.is_some()) {
            self.remove_lost(now, name);
        } else if is_settled {
            self.remove_and_report(name, RunStatus::NotStarted);
        }
    }
}
