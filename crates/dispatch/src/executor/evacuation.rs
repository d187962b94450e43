//! What an agent does while its data centre is evacuated, and when it is used again.
//!
//! An evacuation ends while callers compete for the remaining endpoints, which would at once fill an
//! endpoint that is cold and therefore slow. Such an endpoint offers a part of its processors at
//! first.

use std::time::Duration;

use crate::resources::FreeResources;

use super::Executor;

/// Share of its processors that a cold endpoint offers when an evacuation ends. The share grows
/// evenly to 1 by the time the endpoint is warm.
const INITIAL_COLD_SHARE: f64 = 0.25;

/// The time in which a cold endpoint is used in part.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    from: Duration,
    until: Duration,
}

impl ColdStart {
    /// Returns the share of the processors to use, or `None` once the endpoint is warm.
    fn share(self, now: Duration) -> Option<f64> {
        let left = self.until.checked_sub(now).filter(|left| !left.is_zero())?;
        let total = self.until.saturating_sub(self.from);
        let cold = (left.as_secs_f64() / total.as_secs_f64()).min(1.0);
        Some(1.0 - (1.0 - INITIAL_COLD_SHARE) * cold)
    }
}

impl Executor {
    /// Sets whether the data centre is evacuated. While it is, no task starts and queued tasks
    /// return to their entries; running ones go on. Returns whether this is a change.
    pub fn set_evacuated(&mut self, now: Duration, evacuated: bool) -> bool {
        if std::mem::replace(&mut self.is_evacuated, evacuated) == evacuated {
            return false;
        }
        if evacuated {
            self.cold_start = None;
            self.return_queued();
        } else if self.cold_until > now {
            self.cold_start = Some(ColdStart { from: now, until: self.cold_until });
        }
        true
    }

    /// Returns whether the data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Returns the resources that new tasks may use.
    pub(super) fn offered(&self, now: Duration) -> FreeResources {
        let mut free = self.unreserved();
        let capacity = self.endpoint.as_ref().map(|endpoint| endpoint.capacity).unwrap_or_default();
        if let Some(share) = self.cold_start.and_then(|cold_start| cold_start.share(now)) {
            let withheld = f64::from(capacity.cpu_millis) * (1.0 - share);
            free.cpu_millis = free.cpu_millis.saturating_sub(withheld as i32);
        }
        free
    }

    /// Returns whether the endpoint is used in part and runs nothing. A task that needs more than
    /// this part may start, since it would otherwise wait until the endpoint is warm.
    pub(super) fn is_idle_cold_start(&self, now: Duration) -> bool {
        self.cold_start.is_some_and(|cold_start| cold_start.share(now).is_some())
            && self.started_count() == 0
    }
}
