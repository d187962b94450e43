//! The endpoint status that an agent sends to entries.

use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::id::RequestId;
use crate::placement::{EndpointStatus, QueuedCpu};
use crate::priority::CpuByPriority;
use crate::samples::EndpointCondition;

use super::Executor;
use super::held_task::Phase;

/// Number of samples from which the failure rate is reported undiscounted.
const MIN_FAILURE_SAMPLES: usize = 3;
/// Divisor that discounts a failure rate from fewer samples.
const FEW_SAMPLES_DIVISOR: f64 = 3.0;

impl Executor {
    /// Returns the status of the endpoint to send to entries.
    pub fn status(&self, now: Duration) -> EndpointStatus {
        let Some(endpoint) = &self.endpoint else {
            return EndpointStatus::default();
        };
        let free = self.offered(now);
        let slowness = self.slowness(now);
        let (failure_rate, sample_count) = self.failures.mean(now);
        EndpointStatus {
            usable: self.can_start(now) && !self.is_full(),
            service: endpoint.service.clone(),
            kind: endpoint.kind.clone(),
            rack: endpoint.rack.clone(),
            site: self.settings.site.clone(),
            capacity: endpoint.capacity,
            free,
            mean_remaining: self.mean_remaining(now, slowness),
            queued: self.queued(now),
            slowness,
            // A failure among few samples is weak evidence, so it is discounted.
            failure_rate: if sample_count < MIN_FAILURE_SAMPLES {
                failure_rate / FEW_SAMPLES_DIVISOR
            } else {
                failure_rate
            },
            orders_seen: 0,
            started_cpu: self.cpu_by_priority(|phase| phase != Phase::Queued),
            queued_cpu: self.cpu_by_priority(|phase| phase == Phase::Queued),
        }
    }

    /// Returns the current slowness of the endpoint, estimated from ended and running tasks.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        self.slowness_estimator.current(now, self.projected_slowness_by_job())
    }

    /// Returns whether the recent tasks run as is usual at the endpoint.
    pub(super) fn condition(&self, now: Duration) -> EndpointCondition {
        self.slowness_estimator.condition(now, self.projected_slowness_by_job())
    }

    fn projected_slowness_by_job(&self) -> Vec<f64> {
        // Run times of the tasks of a job are off by a similar factor, so each job counts once.
        let mut slowness_by_job: SortedMap<&RequestId, f64> = SortedMap::new();
        for (name, held) in self.held.iter() {
            if let Some(projected_slowness) = held.projected_slowness() {
                slowness_by_job.insert(&name.request, projected_slowness);
            }
        }
        slowness_by_job.into_values()
    }

    /// Returns the processor time that queued tasks require, by the time until their latest useful
    /// start.
    fn queued(&self, now: Duration) -> QueuedCpu {
        let mut queued = QueuedCpu::default();
        for held in self.held.values().filter(|held| held.phase == Phase::Queued) {
            let slack = held.latest_start.saturating_sub(now);
            queued.add((!held.objective_missed).then_some(slack), held.resources.cpu_millis);
        }
        queued
    }

    /// Returns the processor time of the tasks in the phases for which `predicate` holds.
    fn cpu_by_priority<F>(&self, predicate: F) -> CpuByPriority
    where
        F: Fn(Phase) -> bool,
    {
        let mut cpu = CpuByPriority::default();
        for held in self.held.values().filter(|held| predicate(held.phase)) {
            cpu.add(held.priority, held.resources.cpu_millis);
        }
        cpu
    }

    fn mean_remaining(&self, now: Duration, slowness: f64) -> Duration {
        let started = self.held.values().filter(|held| held.phase != Phase::Queued);
        let (sum, count) = started.fold((Duration::ZERO, 0u32), |(sum, count), held| {
            (sum + held.expected_remaining(now, slowness), count + 1)
        });
        sum / count.max(1)
    }
}
