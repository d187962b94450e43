//! Handles incarnations of the endpoint and what a restart means for the tasks held.

use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::id::TaskName;
use crate::samples::{Samples, SlownessEstimator};
use crate::scheduler::{CrashRole, RunStatus};

use super::held_task::{HeldTask, IncarnationEnd, Phase};
use super::{EndpointReport, Executor};

/// Time before the last start at a crashed endpoint within which other starts are suspected as well.
/// A crash is noticed some milliseconds late, and other tasks may have started in between.
const SUSPECT_PERIOD: Duration = Duration::from_millis(10);

/// Maximum number of suspects of crashes that an agent remembers. Callers hand a job in again within
/// seconds, in which an endpoint crashes a few times.
const MAX_CRASH_SUSPECTS: usize = 256;

impl Executor {
    /// Records a report of the endpoint; returns whether the incarnation, its draining state or its
    /// capacity changed.
    pub fn on_report(&mut self, now: Duration, report: EndpointReport) -> bool {
        if let Some(endpoint) = &self.endpoint {
            let is_older = report.incarnation < endpoint.incarnation
                || (report.incarnation == endpoint.incarnation
                    && report.sequence < endpoint.sequence);
            if is_older {
                return false;
            }
        }
        if self.listed_incarnation.is_some_and(|incarnation| report.incarnation < incarnation) {
            return false;
        }
        // A listing may have shown the new incarnation before its report arrived.
        let is_restarted = self
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| endpoint.incarnation != report.incarnation)
            && self.listed_incarnation != Some(report.incarnation);
        let is_changed = self.endpoint.as_ref().is_none_or(|endpoint| {
            endpoint.incarnation != report.incarnation
                || endpoint.draining != report.draining
                || endpoint.capacity != report.capacity
        });
        if is_restarted {
            self.on_new_incarnation();
        }
        let draining = report.draining;
        self.cold_until = now + report.cold_remaining;
        self.endpoint = Some(report);
        if draining {
            self.return_queued();
        }
        self.start_queued(now);
        is_changed
    }

    /// Handles the departure of the endpoint with this id.
    pub fn on_endpoint_left(&mut self, id: &str) {
        if self.endpoint.as_ref().is_some_and(|endpoint| endpoint.id == id) {
            self.endpoint = None;
            self.return_queued();
        }
    }

    /// Resets the state of the endpoint after it has restarted, which ended everything it ran.
    ///
    /// The next listing shows which runs are gone. A start in flight may still reach the new
    /// incarnation, so it is cancelled like any other unanswered start.
    pub(super) fn on_new_incarnation(&mut self) {
        self.record_incarnation_end();
        self.listed_incarnation = None;
        self.last_listing_at = None;
        self.clock = None;
        self.lease_deadline_ms = 0;
        self.last_acked = 0;
        self.unknown_runs = SortedMap::new();
        self.slowness_estimator = SlownessEstimator::default();
        self.failures = Samples::default();
        for (_, held) in self.held.iter_mut().filter(|(_, held)| held.phase != Phase::Queued) {
            // The deadline refers to the clock of the previous incarnation.
            held.deadline_ms = u64::MAX;
            held.stop_confirmed_at = None;
        }
    }

    /// Records for each started task that the incarnation has ended which it was sent to.
    fn record_incarnation_end(&mut self) {
        let has_crashed = self.endpoint.as_ref().is_some_and(|endpoint| !endpoint.draining);
        let is_affected =
            |held: &HeldTask| held.phase != Phase::Queued && held.incarnation_end.is_none();
        let is_confirmed = |held: &&HeldTask| is_affected(held) && held.confirmed_at.is_some();
        let confirmed = self.held.values().filter(is_confirmed);
        let last_start = confirmed.map(|held| held.started_at).max().unwrap_or_default();
        for (_, held) in self.held.iter_mut().filter(|(_, held)| is_affected(held)) {
            let is_suspect = held.started_at + SUSPECT_PERIOD >= last_start;
            held.incarnation_end = Some(if has_crashed {
                IncarnationEnd::Crashed { is_suspect }
            } else {
                IncarnationEnd::Left
            });
        }
    }

    /// Handles a call that was addressed to the incarnation `expected_id` and answered by another.
    ///
    /// The addressed incarnation is gone, so its runs are lost. They are given up, the queued tasks
    /// are returned to their entries, and the result is `true`. If the known endpoint already has
    /// another id, nothing changes and the result is `false`.
    pub fn on_incarnation_mismatch(&mut self, expected_id: &str) -> bool {
        if self.endpoint.as_ref().is_some_and(|endpoint| endpoint.id != expected_id) {
            return false;
        }
        self.on_new_incarnation();
        self.endpoint = None;
        self.give_up_started();
        self.return_queued();
        true
    }

    /// Handles a call that met no listener at the endpoint's address, which means that the process
    /// has ended and with it all that it ran.
    ///
    /// Confirmed runs are reported as lost and queued tasks are returned, so that they run elsewhere
    /// in time. A start without an answer may still reach the next incarnation, so it is cancelled
    /// there first. No task starts until the endpoint answers a listing again.
    pub fn on_not_listening(&mut self) {
        self.is_listening = false;
        self.record_incarnation_end();
        for name in self.tasks_where(|held| held.phase == Phase::Running) {
            self.remove_lost(&name);
        }
        self.return_queued();
    }

    /// Removes all started tasks and reports them to their entries as lost.
    pub(super) fn give_up_started(&mut self) {
        let is_started = |held: &HeldTask| held.phase != Phase::Queued;
        for name in self.tasks_where(is_started) {
            self.remove_lost(&name);
        }
    }

    /// Removes a task whose run was lost with the endpoint or its lease, and reports it.
    pub(super) fn remove_lost(&mut self, name: &TaskName) {
        let Some(status) = self.held.get(name).map(HeldTask::lost_status) else {
            return;
        };
        if status == RunStatus::Crashed(CrashRole::Suspect) {
            self.crash_suspects.push_back(name.clone());
            if self.crash_suspects.len() > MAX_CRASH_SUSPECTS {
                self.crash_suspects.pop_front();
            }
        }
        self.remove_and_report(name, status);
    }
}
