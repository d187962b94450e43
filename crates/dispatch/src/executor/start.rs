//! Starts queued tasks and follows up starts that are not answered.
//!
//! An endpoint may leave a share of all starts unanswered. Such starts are sent again, which is
//! safe because the endpoint accepts each run only once, and are cancelled if that does not help.

use std::time::Duration;

use crate::id::{TaskName, TaskRun};
use crate::resources::FreeResources;
use crate::scheduler::RunStatus;

use super::held_task::{HeldTask, IncarnationEnd, Phase};
use super::{Executor, ExecutorAction, StartOutcome, StartRefusal};

/// Time allowed for a start to be confirmed or listed. A healthy endpoint needs a small fraction of
/// it.
const START_CONFIRM_TIMEOUT: Duration = Duration::from_millis(30);
/// Time after which an unanswered start is sent again. A healthy endpoint answers within 1 ms.
const START_RESEND_INTERVAL: Duration = Duration::from_millis(10);
/// Age of the latest listing from which the endpoint counts as silent and starts are not sent
/// again. It is about three times the age that listings reach while a share of the answers is lost.
const RESEND_LISTING_AGE: Duration = Duration::from_millis(150);
/// Maximum number of times that a start is sent: as many as fit into [`START_CONFIRM_TIMEOUT`].
const MAX_START_SENDS: u32 = 3;
/// Age of the latest listing from which the endpoint gets no new tasks.
const MAX_LISTING_AGE: Duration = Duration::from_millis(900);

impl Executor {
    /// Starts the queued tasks that fit, most urgent first, and returns those that are overdue.
    pub(super) fn start_queued(&mut self, now: Duration) {
        for name in self.tasks_where(|held| held.phase == Phase::Queued && held.is_overdue(now)) {
            self.remove_and_report(&name, RunStatus::NotStarted);
        }
        if !self.can_start(now) {
            return;
        }
        let queued = self.queue_order(now);
        if queued.is_empty() {
            return;
        }
        let mut free = self.offered(now);
        for name in queued {
            self.try_start(now, &name, &mut free);
        }
    }

    /// Returns whether the endpoint may be sent new tasks.
    pub(super) fn can_start(&self, now: Duration) -> bool {
        let is_listing_recent = self.last_listing_at.is_some_and(|at| now < at + MAX_LISTING_AGE);
        // A new incarnation may have another capacity, which its report states.
        let accepts_tasks = self.endpoint.as_ref().is_some_and(|endpoint| {
            !endpoint.draining && self.listed_incarnation == Some(endpoint.incarnation)
        });
        is_listing_recent
            && self.is_listening
            && accepts_tasks
            && !self.has_left
            && self.claims.is_empty()
            && self.unknown_runs.is_empty()
            && !self.is_draining
            && !self.is_evacuated
    }

    fn try_start(&mut self, now: Duration, name: &TaskName, free: &mut FreeResources) {
        let Some(held) = self.held.get(name) else {
            return;
        };
        let fits = free.fits(held.resources) || self.is_idle_cold_start(now);
        if !fits || self.is_step_limit_reached(name, held.max_per_endpoint) {
            return;
        }
        if !self.has_lease(now, &held.entry) {
            return;
        }
        let Some(deadline_ms) = self.extend_lease(now) else {
            return;
        };
        let Some(endpoint_id) = self.endpoint.as_ref().map(|endpoint| endpoint.id.clone()) else {
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
        free.reserve(held.resources);
        let run = held.run_of(name);
        let payload = held.payload.clone();
        let start = ExecutorAction::Start { endpoint_id, run, payload, deadline_ms, sends: 1 };
        self.actions.push(start);
    }

    /// Returns whether as many tasks of the step have started here as its limit allows.
    fn is_step_limit_reached(&self, name: &TaskName, limit: u32) -> bool {
        let is_same_step =
            |other: &TaskName| other.request == name.request && other.step == name.step;
        let is_started = |held: &HeldTask| held.phase != Phase::Queued;
        let started_here =
            self.held.iter().filter(|(other, held)| is_same_step(other) && is_started(held));
        limit > 0 && started_here.count() >= limit as usize
    }

    /// Returns the capacity that is not reserved for started tasks.
    pub(super) fn unreserved(&self) -> FreeResources {
        let capacity = self.endpoint.as_ref().map(|endpoint| endpoint.capacity).unwrap_or_default();
        let mut free = FreeResources::from_capacity(capacity);
        for held in self.held.values().filter(|held| held.phase != Phase::Queued) {
            free.reserve(held.resources);
        }
        free
    }

    /// Handles the outcome of a start or of one of its copies.
    pub fn on_start_reply(&mut self, now: Duration, run: &TaskRun, outcome: StartOutcome) {
        if outcome == StartOutcome::Refused(StartRefusal::NotListening) {
            self.is_listening = false;
        }
        let Some(held) = self.held.get_mut(&run.task).filter(|held| held.run_number == run.number)
        else {
            return;
        };
        if held.phase != Phase::Starting {
            // Another copy of the start was answered before, or the run was listed.
            return;
        }
        match outcome {
            StartOutcome::Started => {
                held.phase = Phase::Running;
                held.confirmed_at = Some(now);
            }
            StartOutcome::NoReply => self.resend_start(now, &run.task),
            // The addressed incarnation is gone, and may have carried out another copy.
            StartOutcome::Refused(StartRefusal::OtherIncarnation) if held.sends > 1 => {
                held.incarnation_end.get_or_insert(IncarnationEnd::Crashed { is_suspect: true });
                self.remove_lost(now, &run.task);
                self.last_listing_at = None;
            }
            // Another copy may still be carried out.
            StartOutcome::Refused(_) if held.sends > 1 => self.cancel_task(now, &run.task),
            StartOutcome::Refused(refusal) => self.on_start_refused(now, run, refusal),
        }
        self.start_queued(now);
    }

    /// Sends another copy of an unanswered start. The endpoint accepts each run only once.
    fn resend_start(&mut self, now: Duration, name: &TaskName) {
        let is_silent = !self.is_listening
            || self.is_evacuated
            || self.last_listing_at.is_none_or(|at| now >= at + RESEND_LISTING_AGE);
        let endpoint_id = self.endpoint.as_ref().map(|endpoint| endpoint.id.clone());
        let (Some(held), Some(endpoint_id)) = (self.held.get_mut(name), endpoint_id) else {
            return;
        };
        // The start must not be sent again to a later incarnation.
        let is_settled = held.stop_sent_at.is_some() || held.incarnation_end.is_some();
        if is_silent || is_settled || held.sends >= MAX_START_SENDS {
            return;
        }
        held.sends += 1;
        held.sent_at = now;
        let run = held.run_of(name);
        let (payload, deadline_ms, sends) = (held.payload.clone(), held.deadline_ms, held.sends);
        let start = ExecutorAction::Start { endpoint_id, run, payload, deadline_ms, sends };
        self.actions.push(start);
    }

    fn on_start_refused(&mut self, now: Duration, run: &TaskRun, refusal: StartRefusal) {
        match refusal {
            StartRefusal::OldRun => self.remove_and_report(&run.task, RunStatus::StaleRun),
            StartRefusal::Unhealthy | StartRefusal::NotSent => {
                self.failures.add(now, 1.0);
                self.remove_and_report(&run.task, RunStatus::NotStarted);
            }
            StartRefusal::OtherIncarnation => {
                self.remove_and_report(&run.task, RunStatus::NotStarted);
                self.last_listing_at = None;
            }
            StartRefusal::NotListening
            | StartRefusal::Fenced
            | StartRefusal::TooLate
            | StartRefusal::NoRoom
            | StartRefusal::Invalid => self.remove_and_report(&run.task, RunStatus::NotStarted),
        }
    }

    /// Sends unanswered starts again, and cancels them after [`START_CONFIRM_TIMEOUT`] so that the
    /// tasks can run elsewhere.
    pub(super) fn follow_up_unanswered(&mut self, now: Duration) {
        let is_starting = |held: &HeldTask| held.phase == Phase::Starting;
        for name in self
            .tasks_where(|held| is_starting(held) && now >= held.started_at + START_CONFIRM_TIMEOUT)
        {
            self.cancel_task(now, &name);
        }
        for name in self
            .tasks_where(|held| is_starting(held) && now >= held.sent_at + START_RESEND_INTERVAL)
        {
            self.resend_start(now, &name);
        }
    }
}
