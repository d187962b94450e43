//! What entries are told of an endpoint.

use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::id::RequestId;
use crate::placement::{EndpointStatus, QueuedCpu};

use super::Executor;
use super::held_task::Phase;

impl Executor {
    /// Returns what entries are told of the endpoint.
    pub fn status(&self, now: Duration) -> EndpointStatus {
        let Some(known) = &self.endpoint else {
            return EndpointStatus::default();
        };
        let free = self.reserved_free();
        let slowness = self.slowness(now);
        let (failing, seen) = self.failures.mean(now);
        EndpointStatus {
            usable: self.may_start(now),
            service: known.service.clone(),
            kind: known.kind.clone(),
            rack: known.rack.clone(),
            capacity: known.capacity,
            free,
            mean_remaining: self.turnover(now, slowness),
            queued: self.queued(now),
            slowness,
            // One failure among few is no sign yet.
            failure_rate: if seen < 3 { failing / 3.0 } else { failing },
            orders_seen: 0,
        }
    }

    /// Returns run times here relative to the work, as tasks that have ended and those that run tell.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        // Tasks of one job are off by about the same factor, so that each job counts once.
        let mut paces: SortedMap<&RequestId, f64> = SortedMap::new();
        for (name, held) in self.held.iter() {
            if let Some(pace) = held.pace() {
                paces.insert(&name.request, pace);
            }
        }
        self.speed.current(now, paces.into_values())
    }

    /// Returns the processors that queued tasks ask for, by the latest useful start.
    fn queued(&self, now: Duration) -> QueuedCpu {
        let mut queued = QueuedCpu::default();
        for held in self.held.values().filter(|held| held.phase == Phase::Queued) {
            let slack = held.start_by.saturating_sub(now);
            queued.add((!held.late).then_some(slack), held.need.cpu_millis);
        }
        queued
    }

    fn turnover(&self, now: Duration, slowness: f64) -> Duration {
        let started = self.held.values().filter(|held| held.phase != Phase::Queued);
        let (sum, count) = started.fold((Duration::ZERO, 0u32), |(sum, count), held| {
            (sum + held.remaining(now, slowness), count + 1)
        });
        sum / count.max(1)
    }
}
