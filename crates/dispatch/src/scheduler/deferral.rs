//! Jobs that wait for the first endpoints of an entry.
//!
//! The agents attach within some 100 ms after an entry has started. A job that arrives before
//! cannot be placed yet, although it could soon be, and other callers arrive in the meantime: after
//! the loss of all entries their clients reconnect at once. Such jobs are admitted as soon as an
//! endpoint can serve them.

use std::time::Duration;

use crate::id::RequestId;
use crate::job::RefusalReason;

use super::Scheduler;
use super::admission::AdmissionRefusal;
use super::task::Job;

/// Time after the first agent has attached in which the others attach as well.
const ATTACH_PERIOD: Duration = Duration::from_millis(300);
/// Time without any agent after which none is expected soon.
const MAX_WAIT_FOR_FIRST_AGENT: Duration = Duration::from_secs(1);
/// Share of the time until a job's objective for which the job may wait.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Maximum number of jobs that wait; the endpoints could not serve more at once.
const MAX_DEFERRED_JOBS: usize = 256;

/// The time in which an entry's endpoints become known.
#[derive(Debug, Default)]
pub(super) struct WarmUp {
    first_event_at: Option<Duration>,
    first_agent_at: Option<Duration>,
}

impl WarmUp {
    /// Records that the entry runs.
    pub(super) fn on_event(&mut self, now: Duration) {
        self.first_event_at.get_or_insert(now);
    }

    /// Records that an agent has attached.
    pub(super) fn on_attached(&mut self, now: Duration) {
        self.first_agent_at.get_or_insert(now);
    }

    /// Returns whether more endpoints are expected soon.
    fn is_active(&self, now: Duration) -> bool {
        match (self.first_agent_at, self.first_event_at) {
            (Some(at), _) => now < at + ATTACH_PERIOD,
            (None, Some(at)) => now < at + MAX_WAIT_FOR_FIRST_AGENT,
            (None, None) => true,
        }
    }
}

/// A job that waits for admission.
pub(super) struct DeferredJob {
    pub(super) job: Job,
    /// Time at which the job is refused unless it has been admitted.
    until: Duration,
}

impl Scheduler {
    /// Keeps a job that cannot be admitted yet, or returns it with its refusal.
    pub(super) fn defer(
        &mut self,
        now: Duration,
        job: Job,
        refusal: AdmissionRefusal,
    ) -> Result<(), Box<(Job, AdmissionRefusal)>> {
        let may_become_servable =
            !matches!(refusal.reason, RefusalReason::TooLarge | RefusalReason::Stopping);
        let is_full = self.deferred.len() >= MAX_DEFERRED_JOBS;
        if !may_become_servable || is_full || !self.warm_up.is_active(now) {
            return Err(Box::new((job, refusal)));
        }
        let time_left = job.objective.min(job.deadline).saturating_sub(now);
        let until = now + time_left.mul_f64(MAX_WAIT_SHARE);
        self.deferred.push(DeferredJob { job, until });
        Ok(())
    }

    /// Admits the deferred jobs that can be served now, and refuses those that have waited for as
    /// long as they may.
    pub(super) fn retry_deferred(&mut self, now: Duration) {
        if self.deferred.is_empty() {
            return;
        }
        let is_warming_up = self.warm_up.is_active(now);
        for DeferredJob { job, until } in std::mem::take(&mut self.deferred) {
            if self.answer_at_crash_limit(&job) {
                continue;
            }
            match self.admit(now, &job) {
                Ok(()) => self.start(now, job),
                Err(_) if is_warming_up && now < until => {
                    self.deferred.push(DeferredJob { job, until });
                }
                Err(refusal) => self.refuse(now, &job, refusal),
            }
        }
    }

    /// Removes a deferred job; returns whether it was there.
    pub(super) fn remove_deferred(&mut self, id: &RequestId) -> bool {
        let count = self.deferred.len();
        self.deferred.retain(|deferred| deferred.job.spec.id != *id);
        self.deferred.len() < count
    }

    /// Returns whether a job waits for admission.
    pub(super) fn is_deferred(&self, id: &RequestId) -> bool {
        self.deferred.iter().any(|deferred| deferred.job.spec.id == *id)
    }
}
