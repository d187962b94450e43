//! Decides which jobs are admitted.
//!
//! When the load exceeds the capacity of the endpoints, a job that would be late is refused before
//! any of its tasks is sent. The refusal then guarantees that no task has run, and other jobs stay
//! in time. [`overload`](super::overload) decides which queues are refused first.

use std::time::Duration;

use crate::id::AgentId;
use crate::job::{JobSpec, RefusalReason, StepSpec};
use crate::resources::Resources;

use super::endpoint::Endpoint;
use super::overload::JobDemand;
use super::retry_after::MIN_RETRY_AFTER;
use super::selection::{EndpointQuery, SelectedEndpoint};
use super::task::Job;
use super::{MAX_TIMEOUT_PROBABILITY, Scheduler};

/// Probability of missing the objective above which a job is refused while the endpoints are busy.
const MAX_LATE_PROBABILITY: f64 = 0.7;
/// Load of the endpoints above which jobs that would be late are refused, so that others stay in
/// time.
const MAX_LOAD_FOR_LATE_JOBS: f64 = 0.9;

/// The refusal of a job.
pub(super) struct AdmissionRefusal {
    pub(super) reason: RefusalReason,
    /// Predicted time until the answer would reach the caller.
    pub(super) response_time: Duration,
    /// Priority class that the capacity is left to, if the job is refused for its sake.
    pub(super) yields_to: Option<usize>,
    pub(super) retry_after: Duration,
}

impl Scheduler {
    /// Checks whether a job can be served, before any of its tasks is sent.
    ///
    /// Selects an endpoint for each task of the steps without dependencies. The resources of these
    /// tasks are reserved during the check, so that each task takes the others into account. The
    /// job is refused if a task has no endpoint, or because of the forecast for the task with the
    /// longest response time.
    pub(super) fn admit(&mut self, now: Duration, job: &Job) -> Result<(), AdmissionRefusal> {
        let mut longest: Option<SelectedEndpoint> = None;
        let mut reserved: Vec<(AgentId, Resources)> = Vec::new();
        let initial_steps = job.spec.steps.iter().filter(|step| step.depends_on.is_empty());
        for step in initial_steps {
            for rotation in 0..step.count {
                let selected =
                    self.select_endpoint(now, job, EndpointQuery::initial(step, rotation as usize));
                let Some(selected) = selected else {
                    self.release_reserved(&reserved);
                    return Err(self.no_endpoint_refusal(now, &job.spec, step));
                };
                if let Some(endpoint) = self.endpoints.get_mut(&selected.agent) {
                    endpoint.admission_reserved.reserve(step.resources);
                    reserved.push((selected.agent.clone(), step.resources));
                }
                if longest.as_ref().is_none_or(|other| {
                    selected.forecast.response_time() > other.forecast.response_time()
                }) {
                    longest = Some(selected);
                }
            }
        }
        self.release_reserved(&reserved);
        let Some(longest) = longest else {
            return Ok(());
        };
        let forecast = longest.forecast;
        if self.outlasts_stop(now, forecast.response_time()) {
            return Err(AdmissionRefusal {
                reason: RefusalReason::Stopping,
                response_time: forecast.response_time(),
                yields_to: None,
                retry_after: MIN_RETRY_AFTER,
            });
        }
        let times_out = forecast.timeout_probability > MAX_TIMEOUT_PROBABILITY;
        let is_late = forecast.late_probability > MAX_LATE_PROBABILITY
            && self.load(&job.spec.service) > MAX_LOAD_FOR_LATE_JOBS;
        let yields_to = if times_out || is_late { None } else { self.yields_to(now, &job.spec) };
        if times_out || is_late || yields_to.is_some() {
            let default = forecast.wait.max(MIN_RETRY_AFTER);
            let is_too_long = times_out && forecast.wait.is_zero();
            return Err(AdmissionRefusal {
                reason: if is_too_long { RefusalReason::Deadline } else { RefusalReason::Load },
                response_time: forecast.response_time(),
                yields_to,
                retry_after: self.retry_after(now, &job.spec, default),
            });
        }
        Ok(())
    }

    /// Returns the priority class for whose sake a job must be refused, if there is one.
    fn yields_to(&self, now: Duration, spec: &JobSpec) -> Option<usize> {
        let usage = self.service_usage(now, &spec.service);
        self.overload.yields_to(&spec.service, &usage, JobDemand::of(spec))
    }

    /// Releases the resources that were reserved during an admission check.
    fn release_reserved(&mut self, reserved: &[(AgentId, Resources)]) {
        for (agent, resources) in reserved {
            if let Some(endpoint) = self.endpoints.get_mut(agent) {
                endpoint.admission_reserved.release(*resources);
            }
        }
    }

    fn no_endpoint_refusal(
        &self,
        now: Duration,
        spec: &JobSpec,
        step: &StepSpec,
    ) -> AdmissionRefusal {
        let in_service = |endpoint: &&Endpoint| endpoint.status.service == spec.service;
        let mut endpoints = self.endpoints.values().filter(in_service).peekable();
        let any_usable = self.usable_endpoints(now) > 0;
        let is_too_large = any_usable
            && endpoints.peek().is_some()
            && !endpoints.any(|endpoint| endpoint.status.capacity.can_fit(step.resources));
        let reason = if is_too_large { RefusalReason::TooLarge } else { RefusalReason::NoEndpoint };
        AdmissionRefusal {
            reason,
            response_time: Duration::ZERO,
            yields_to: None,
            retry_after: self.settings.lease_bound(),
        }
    }
}
