//! Answers the callers of an entry that stops.
//!
//! A job may run for longer than the entry may take to stop. Its caller would then see a broken
//! connection, which does not tell whether the job has run. While many long jobs are open, they are
//! answered shortly before the entry stops, and jobs that would outlast it are refused at once, so
//! that their callers turn to another entry.

use std::time::Duration;

use crate::id::RequestId;
use crate::job::{GiveUpReason, RefusalReason};

use super::Scheduler;
use super::admission::AdmissionRefusal;
use super::deferral::DeferredJob;
use super::retry_after::MIN_RETRY_AFTER;

impl Scheduler {
    /// Sets the time at which all open jobs are answered, because the entry stops soon after. The
    /// answers follow within 50 ms.
    pub fn set_stop_at(&mut self, at: Duration) {
        self.stop_at = Some(at);
    }

    /// Returns whether a job would be answered after the entry has stopped.
    pub(super) fn outlasts_stop(&self, now: Duration, response_time: Duration) -> bool {
        self.stop_at.is_some_and(|stop_at| now + response_time > stop_at)
    }

    /// Returns whether the open jobs must be answered now.
    pub(super) fn is_stop_due(&self, now: Duration) -> bool {
        self.stop_at.is_some_and(|stop_at| now >= stop_at)
    }

    /// Returns why a job is given up that may have run.
    pub(super) fn give_up_reason(&self, now: Duration) -> GiveUpReason {
        if self.is_stop_due(now) { GiveUpReason::Stopping } else { GiveUpReason::Deadline }
    }

    /// Answers all open jobs if the entry is about to stop.
    pub(super) fn end_at_stop(&mut self, now: Duration) {
        if !self.is_stop_due(now) {
            return;
        }
        let ids: Vec<RequestId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.end_unserved(now, &id);
        }
        for DeferredJob { job, .. } in std::mem::take(&mut self.deferred) {
            let refusal = AdmissionRefusal {
                reason: RefusalReason::Stopping,
                response_time: Duration::ZERO,
                yields_to: None,
                retry_after: MIN_RETRY_AFTER,
            };
            self.refuse(now, &job, refusal);
        }
    }
}
