//! Decides whether a task may start again after an endpoint crashed under it.
//!
//! A task may crash every endpoint that starts it. Each start then takes an endpoint away from all
//! callers for seconds, so the job ends once two endpoints have crashed soon after they had started
//! the task. A task that had run for longer more likely ran beside the one that caused the crash, and
//! may survive one crash more. A start that was not confirmed is no proof that the task was there, so
//! after too many of these the job is given up but not called failed.
//!
//! A caller may hand the job in again at another entry, which knows nothing of these crashes. The
//! agents remember the suspects of crashes of their endpoints and do not start them again, so that a
//! task crashes each endpoint once.

use std::time::Duration;

use crate::id::{AgentId, RequestId};
use crate::job::{Answer, GiveUpReason};

use super::{Action, CrashRole, Decision, Scheduler, TaskEvent};

/// Number of crashes soon after the start of a task from which its job is failed.
const MAX_SUSPECTED: u32 = 2;
/// Number of crashes at any time of a task's runs from which its job is failed.
const MAX_CONFIRMED: u32 = 3;
/// Number of crashes, with or without a confirmed start, from which a job is given up.
const MAX_POSSIBLE: u32 = 3;

/// Number of endpoints that crashed under a task, by the part that the task had.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CrashCount {
    suspect: u32,
    bystander: u32,
    unconfirmed: u32,
}

impl CrashCount {
    pub(super) fn add(&mut self, role: CrashRole) {
        match role {
            CrashRole::Suspect => self.suspect += 1,
            CrashRole::Bystander => self.bystander += 1,
            CrashRole::Unconfirmed => self.unconfirmed += 1,
        }
    }

    fn confirmed(self) -> u32 {
        self.suspect + self.bystander
    }

    fn possible(self) -> u32 {
        self.confirmed() + self.unconfirmed
    }

    /// Returns whether the task has crashed as many endpoints as it may.
    fn is_failed(self) -> bool {
        self.suspect >= MAX_SUSPECTED || self.confirmed() >= MAX_CONFIRMED
    }
}

impl Scheduler {
    /// Returns whether a task may go to any known endpoint of its service, usable or not, or has
    /// crashed none.
    pub(super) fn has_endpoint_for(&self, id: &RequestId, index: usize) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let excluded_vms = &job.tasks[index].excluded_vms;
        let is_allowed = |agent: &AgentId| !excluded_vms.iter().any(|vm| vm == agent.vm_name());
        let in_service = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.status.service == job.spec.service);
        if self.fits_only_evacuated(job, index) {
            return false;
        }
        excluded_vms.is_empty() || in_service.map(|(agent, _)| agent).any(is_allowed)
    }

    /// Handles a run that was lost because its endpoint crashed.
    pub(super) fn on_crashed(
        &mut self,
        now: Duration,
        index: usize,
        agent: &AgentId,
        event: &TaskEvent,
        role: CrashRole,
    ) {
        let name = &event.run.task;
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.on_crashed(agent, role);
        let crashes = task.crashes;
        if role == CrashRole::Suspect {
            let (queue, service) = (job.spec.queue.clone(), job.spec.service.clone());
            self.contain_queue(now, &queue, &service, crashes.is_failed());
        }
        let answer = if crashes.is_failed() {
            Answer::Failed
        } else if crashes.possible() >= MAX_POSSIBLE {
            let retry_after = self.settings.lease_bound();
            Answer::GaveUp { reason: GiveUpReason::Crashes, retry_after }
        } else {
            self.place_task(now, &name.request, index);
            return;
        };
        let decision = Decision::CrashLimitReached {
            run: event.run.clone(),
            agent: agent.clone(),
            confirmed: crashes.confirmed(),
            possible: crashes.possible(),
        };
        self.actions.push(Action::Record(decision));
        self.end_job(&name.request, Some(answer));
    }
}
