//! Sums up what the endpoints of a service are used for, and what jobs ask of them.

use std::time::Duration;

use compact_str::CompactString;

use crate::job::JobSpec;
use crate::priority::priority_class;

use super::Scheduler;
use super::overload::{JobDemand, ServiceUsage};

impl Scheduler {
    /// Returns the usage of the usable endpoints of a service.
    pub(super) fn service_usage(&self, now: Duration, service: &str) -> ServiceUsage {
        let suspect_after = self.settings.suspect_after;
        let mut usage = ServiceUsage::default();
        let mut remaining_secs = 0.0;
        for endpoint in self.endpoints.values().filter(|endpoint| {
            endpoint.status.service == service && endpoint.is_usable(now, suspect_after)
        }) {
            let capacity = f64::from(endpoint.status.capacity.cpu_millis);
            usage.capacity += capacity;
            remaining_secs += capacity * endpoint.status.mean_remaining.as_secs_f64();
            let status = &endpoint.status;
            let parts = [status.started_cpu, status.queued_cpu, endpoint.cpu_in_flight()];
            for part in parts {
                for (used, cpu_millis) in usage.used.iter_mut().zip(part.classes) {
                    *used += f64::from(cpu_millis);
                }
            }
        }
        usage.mean_remaining = Duration::from_secs_f64(remaining_secs / usage.capacity.max(1.0));
        usage
    }

    /// Records the present usage of all services.
    pub(super) fn sample_usage(&mut self, now: Duration) {
        let mut services: Vec<CompactString> = Vec::new();
        for endpoint in self.endpoints.values() {
            let service = &endpoint.status.service;
            if !service.is_empty() && !services.contains(service) {
                services.push(service.clone());
            }
        }
        for service in services {
            let usage = self.service_usage(now, &service);
            self.overload.sample(now, &service, &usage);
        }
    }

    /// Records whether a job was admitted or refused for load.
    pub(super) fn record_demand(&mut self, spec: &JobSpec, is_admitted: bool) {
        self.overload.record(&spec.service, JobDemand::of(spec), is_admitted);
    }
}

impl JobDemand {
    /// Returns the demand of a job.
    pub(super) fn of(spec: &JobSpec) -> Self {
        let cpu = |count: u32, cpu_millis: u32| f64::from(count) * f64::from(cpu_millis);
        let initial = spec.steps.iter().filter(|step| step.depends_on.is_empty());
        let work = spec.steps.iter().map(|step| {
            cpu(step.count, step.resources.cpu_millis) * step.declared_run_time.as_secs_f64()
        });
        Self {
            class: priority_class(spec.terms.priority),
            cpu_millis: initial.map(|step| cpu(step.count, step.resources.cpu_millis)).sum(),
            work: work.sum(),
        }
    }
}
