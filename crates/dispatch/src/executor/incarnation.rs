//! Handles incarnations of the endpoint and what a restart means for the tasks held.

use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::crash_log::CrashRecord;
use crate::id::TaskName;
use crate::samples::{Samples, SlownessEstimator};
use crate::scheduler::{CrashRole, RunStatus};

use super::held_task::{HeldTask, IncarnationEnd, Phase};
use super::{EndpointReport, Executor, Listing};

/// Time before the last start at a crashed endpoint within which other starts are suspected as well.
/// A crash is noticed some milliseconds late, and other tasks may have started in between.
const SUSPECT_PERIOD: Duration = Duration::from_millis(10);

impl Executor {
    /// Records a report of the endpoint; returns whether the incarnation, its draining state or its
    /// capacity changed.
    ///
    /// A report of another incarnation than the known one changes nothing until an answer of the
    /// endpoint decides about it.
    pub fn on_report(&mut self, now: Duration, report: EndpointReport) -> bool {
        let Some(known) = &self.endpoint else {
            self.adopt(now, report);
            self.start_queued(now);
            return true;
        };
        if !known.is_same_incarnation(&report) {
            // A listing may have shown the new incarnation before its report arrived.
            let is_listed =
                known.id == report.id && self.listed_incarnation == Some(report.incarnation);
            if is_listed {
                self.adopt(now, report);
                self.start_queued(now);
            } else {
                self.claims.add(now, report);
            }
            return is_listed;
        }
        if report.sequence < known.sequence {
            return false;
        }
        let is_changed = report.differs_from(known);
        // A report that an entry or the store remembers has no cold time, and must not end the one
        // that the same report had when it was announced.
        let cold_until = now + report.cold_remaining;
        self.cold_until = if report.sequence == known.sequence {
            cold_until.max(self.cold_until)
        } else {
            self.has_left = false;
            cold_until
        };
        self.use_report(report);
        self.start_queued(now);
        is_changed
    }

    /// Takes a report for that of the endpoint, which a listing must confirm before tasks start.
    fn adopt(&mut self, now: Duration, report: EndpointReport) {
        self.cold_until = now + report.cold_remaining;
        self.has_left = false;
        self.use_report(report);
    }

    fn use_report(&mut self, report: EndpointReport) {
        let draining = report.draining;
        let is_unsuited = |held: &HeldTask| {
            held.phase == Phase::Queued && !report.has_label(held.required_label.as_deref())
        };
        for name in self.tasks_where(is_unsuited) {
            self.remove_and_report(&name, RunStatus::NotStarted);
        }
        self.endpoint = Some(report);
        if draining {
            self.return_queued();
        }
    }

    /// Returns the report of the endpoint if the endpoint has confirmed its incarnation.
    pub fn confirmed_report(&self) -> Option<&EndpointReport> {
        let is_confirmed =
            |report: &&EndpointReport| self.listed_incarnation == Some(report.incarnation);
        self.endpoint.as_ref().filter(is_confirmed)
    }

    /// Decides about the claims to be another incarnation by a listing that the known endpoint has
    /// answered.
    pub(super) fn decide_claims(&mut self, now: Duration, listing: &Listing) {
        if let Some(known) = &self.endpoint
            && known.incarnation != listing.incarnation
            && let Some(report) = self.claims.take(&known.id, listing.incarnation)
        {
            self.adopt(now, report);
        }
        self.claims.drop_disproved(listing.requested_at);
    }

    /// Handles the announced departure of the endpoint with this id.
    ///
    /// The announcement may be late or from another writer, so runs at the endpoint are followed
    /// until their ends are known.
    pub fn on_endpoint_left(&mut self, now: Duration, id: &str) {
        self.claims.drop_id(id);
        if self.endpoint.as_ref().is_some_and(|endpoint| endpoint.id == id) {
            self.has_left = true;
            self.return_queued();
            self.forget_departed(now);
        }
    }

    /// Forgets an endpoint that has left once no run can be there.
    pub(super) fn forget_departed(&mut self, now: Duration) {
        if self.has_left && (self.started_count() == 0 || !self.is_listening) {
            self.forget_endpoint(now);
        }
    }

    /// Forgets the endpoint and turns to the latest incarnation that claims to be there.
    fn forget_endpoint(&mut self, now: Duration) {
        self.endpoint = None;
        self.has_left = false;
        if let Some(report) = self.claims.take_latest() {
            self.adopt(now, report);
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
        let has_crashed =
            !self.has_left && self.endpoint.as_ref().is_some_and(|endpoint| !endpoint.draining);
        let is_affected =
            |held: &HeldTask| held.phase != Phase::Queued && held.incarnation_end.is_none();
        for (_, held) in self.held.iter_mut().filter(|(_, held)| is_affected(held)) {
            held.incarnation_end = Some(if has_crashed {
                IncarnationEnd::Crashed { is_suspect: true }
            } else {
                IncarnationEnd::Left
            });
        }
        self.judge_suspects(|held| held.confirmed_at.is_some());
    }

    /// Finds the suspects of a crash among the tasks for which `is_lost` holds: those that were
    /// started last.
    fn judge_suspects<F>(&mut self, is_lost: F)
    where
        F: Fn(&HeldTask) -> bool,
    {
        let has_crashed =
            |held: &HeldTask| matches!(held.incarnation_end, Some(IncarnationEnd::Crashed { .. }));
        let is_affected = |held: &HeldTask| has_crashed(held) && is_lost(held);
        let affected = self.held.values().filter(|held| is_affected(held));
        let last_start = affected.map(|held| held.started_at).max().unwrap_or_default();
        for (_, held) in self.held.iter_mut().filter(|(_, held)| is_affected(held)) {
            let is_suspect = held.started_at + SUSPECT_PERIOD >= last_start;
            held.incarnation_end = Some(IncarnationEnd::Crashed { is_suspect });
        }
    }

    /// Judges a crash again with the first listings of the new incarnation.
    ///
    /// An endpoint that restarts without downtime may start runs before its agent notices. Those that
    /// it lists were started after the crash, so that they are neither lost with it nor later starts
    /// that clear an earlier one. Runs that were confirmed since the listing was requested are
    /// judged with the next one.
    pub(super) fn judge_by_listing(&mut self, listing: &Listing) {
        let progress = listing.running.iter().map(|progress| &progress.run);
        for run in progress.chain(listing.ended.iter().map(|end| &end.run)) {
            let held = self.held.get_mut(&run.task).filter(|held| held.run_number == run.number);
            if let Some(held) = held {
                held.incarnation_end = None;
            }
        }
        self.judge_suspects(|held| {
            held.confirmed_at.is_some_and(|confirmed_at| confirmed_at < listing.requested_at)
        });
    }

    /// Handles a call that was addressed to the incarnation `expected_id` and answered by another.
    ///
    /// If the known endpoint has that id, it is not at the address. If it has been there, its runs
    /// are lost and are given up. The queued tasks are returned to their entries, and the result is
    /// `true`. If the known endpoint already has another id, nothing changes and the result is
    /// `false`.
    pub fn on_incarnation_mismatch(&mut self, now: Duration, expected_id: &str) -> bool {
        if self.endpoint.as_ref().is_some_and(|endpoint| endpoint.id != expected_id) {
            return false;
        }
        // Tasks start only at an endpoint that has answered a listing.
        if self.listed_incarnation.is_some() {
            self.on_new_incarnation();
            self.give_up_started(now);
        }
        self.return_queued();
        self.forget_endpoint(now);
        true
    }

    /// Handles a call that met no listener at the endpoint's address, which means that the process
    /// has ended and with it all that it ran.
    ///
    /// Confirmed runs are reported as lost and queued tasks are returned, so that they run elsewhere
    /// in time. A start without an answer may still reach the next incarnation, so it is cancelled
    /// there first. No task starts until the endpoint answers a listing again.
    pub fn on_not_listening(&mut self, now: Duration) {
        self.is_listening = false;
        self.record_incarnation_end();
        for name in self.tasks_where(|held| held.phase == Phase::Running) {
            self.remove_lost(now, &name);
        }
        self.return_queued();
        self.forget_departed(now);
    }

    /// Removes all started tasks and reports them to their entries as lost.
    pub(super) fn give_up_started(&mut self, now: Duration) {
        let is_started = |held: &HeldTask| held.phase != Phase::Queued;
        for name in self.tasks_where(is_started) {
            self.remove_lost(now, &name);
        }
    }

    /// Removes a task whose run was lost with the endpoint or its lease, and reports it.
    pub(super) fn remove_lost(&mut self, now: Duration, name: &TaskName) {
        let Some(status) = self.held.get(name).map(HeldTask::lost_status) else {
            return;
        };
        if let RunStatus::Crashed(role) = status {
            self.record_crash(now, name, role);
        }
        self.remove_and_report(name, status);
    }

    fn record_crash(&mut self, now: Duration, name: &TaskName, role: CrashRole) {
        let Some(held) = self.held.get(name) else {
            return;
        };
        let record = CrashRecord { run: held.run_of(name), vm: self.settings.vm.clone(), role };
        self.on_crash_records(now, [(record, Duration::ZERO)]);
    }
}
