//! Selects the endpoint for a task.

use std::time::Duration;

use compact_str::CompactString;

use crate::id::AgentId;
use crate::job::StepSpec;
use crate::placement::{Candidate, Forecast, PlacementRequest};
use crate::predictor::WorkEstimate;

use super::task::Job;
use super::{RackChoice, Scheduler};

/// Maximum number of endpoints compared for a task.
const MAX_CANDIDATES: usize = 96;
/// Failure rate up to which an endpoint never counts as unreliable.
const MIN_FAILURE_RATE_LIMIT: f64 = 0.3;
/// Failure rate relative to the median of all endpoints above which an endpoint counts as
/// unreliable.
const MEDIAN_FAILURE_RATE_FACTOR: f64 = 3.0;
/// Extra cost of the agent that the task should avoid.
const AVOIDED_AGENT_COST: f64 = 2.0;
/// Extra cost of an unreliable endpoint.
const UNRELIABLE_ENDPOINT_COST: f64 = 4.0;
/// Extra cost of an endpoint that a contained queue uses, and which may crash at any time.
const CONTAINED_ENDPOINT_COST: f64 = 1.0;
/// Extra cost of an endpoint outside the area of a contained queue. A task leaves the area if it would
/// most likely be late there.
const OUTSIDE_AREA_COST: f64 = 0.7;
/// Extra cost of an endpoint in another data centre than the entry, so that equal endpoints are used
/// where the caller's request came in. It outweighs a difference in load of about a tenth.
const OTHER_SITE_COST: f64 = 0.03;
/// Standard deviation of the logarithm of work that was derived from progress.
const OBSERVED_WORK_LOG_STD_DEV: f64 = 0.05;

/// A query for the best endpoint for a task.
#[derive(Clone, Copy)]
pub(super) struct EndpointQuery<'a> {
    /// Step that the task belongs to.
    pub(super) step: &'a StepSpec,
    /// Number that selects the subset of endpoints to compare if there are more than
    /// [`MAX_CANDIDATES`].
    pub(super) rotation: usize,
    /// Work derived from the progress of a running task, if there is any.
    pub(super) observed_work: Option<Duration>,
    /// Agent to avoid if possible.
    pub(super) avoid: Option<&'a AgentId>,
    /// Names of the VMs that must not get the task.
    pub(super) excluded_vms: &'a [CompactString],
    /// Number of tasks of the step at each agent.
    pub(super) tasks_per_agent: &'a [(AgentId, u32)],
    /// Restriction to the rack of the data or to the others; it applies to steps that name a rack.
    pub(super) rack_choice: RackChoice,
}

impl<'a> EndpointQuery<'a> {
    /// Creates the query for a task that has not run yet.
    pub(super) fn initial(step: &'a StepSpec, rotation: usize) -> Self {
        Self {
            step,
            rotation,
            observed_work: None,
            avoid: None,
            excluded_vms: &[],
            tasks_per_agent: &[],
            rack_choice: RackChoice::Any,
        }
    }
}

/// The endpoint selected for a task.
pub(super) struct SelectedEndpoint {
    pub(super) agent: AgentId,
    pub(super) forecast: Forecast,
    pub(super) work: Duration,
}

impl Scheduler {
    /// Selects the endpoint of least cost, or `None` if no endpoint can run the task.
    pub(super) fn select_endpoint(
        &self,
        now: Duration,
        job: &Job,
        query: EndpointQuery<'_>,
    ) -> Option<SelectedEndpoint> {
        let EndpointQuery { step, rotation, observed_work, avoid, excluded_vms, .. } = query;
        let suspect_after = self.settings.suspect_after;
        let count = self.endpoints.values().filter(|endpoint| !endpoint.evacuated).count();
        // A rack has few endpoints, and a subset of all endpoints may contain none of them.
        let is_near_only = query.rack_choice == RackChoice::Near;
        let stride = if is_near_only { 1 } else { count.div_ceil(MAX_CANDIDATES).max(1) };
        let max_failure_rate = self.max_failure_rate(now);
        let spec = &job.spec;
        let predicted = self.predictor.predict_work(&spec.queue, step.declared_run_time);
        let work = match observed_work {
            Some(median) => WorkEstimate::of_one_size(median, OBSERVED_WORK_LOG_STD_DEV),
            None => predicted,
        };
        let request = PlacementRequest {
            resources: step.resources,
            work,
            other_steps: spec.longest_chain().saturating_sub(step.declared_run_time),
            terms: spec.terms,
            elapsed: now.saturating_sub(job.sent_at),
            caller_time_left: job.deadline.saturating_sub(now),
        };
        let area = self.containment.area(&spec.queue, step.required_label.as_deref(), |vm| {
            self.has_usable_endpoint(now, vm)
        });
        let is_outside = |agent: &AgentId| area.as_ref().is_some_and(|area| !area.contains(agent));
        let may_leave_area = area.is_none() || self.may_leave_area(now, &spec.service);
        let areas_of_others = self.containment.areas_of_others(&spec.queue);
        let mut best: Option<(f64, &AgentId, Forecast)> = None;
        let candidates = self.endpoints.iter().filter(|(_, endpoint)| !endpoint.evacuated);
        for (position, (agent, endpoint)) in candidates.enumerate() {
            if position % stride != rotation % stride || !endpoint.is_usable(now, suspect_after) {
                continue;
            }
            if !endpoint.can_run(&spec.service, step)
                || (!may_leave_area && is_outside(agent))
                || excluded_vms.iter().any(|vm| vm == agent.vm_name())
                || is_step_limit_reached(step, agent, query.tasks_per_agent)
            {
                continue;
            }
            let distance_ratio = match &step.data_rack {
                None => 1.0,
                Some(rack) => {
                    let is_near = *rack == endpoint.status.rack;
                    if query.rack_choice.excludes(is_near) {
                        continue;
                    }
                    if is_near { 1.0 } else { self.settings.remote_run_time_ratio }
                }
            };
            let candidate =
                Candidate { status: &endpoint.status, free: endpoint.free(), distance_ratio };
            let forecast = candidate.forecast(&request);
            let mut cost = candidate.cost(step.resources, &forecast);
            if self.is_other_site(&endpoint.status.site) {
                cost += OTHER_SITE_COST;
            }
            if avoid == Some(agent) {
                cost += AVOIDED_AGENT_COST;
            }
            if areas_of_others.iter().any(|area| area.contains(agent)) {
                cost += CONTAINED_ENDPOINT_COST;
            }
            // Tasks of a job leave the area together, so that they crash one endpoint at most where
            // it has room for all.
            if is_outside(agent) && !job.tasks.iter().any(|task| task.is_sent_to(agent)) {
                cost += OUTSIDE_AREA_COST;
            }
            if endpoint.status.failure_rate > max_failure_rate {
                cost += UNRELIABLE_ENDPOINT_COST;
            }
            if best.as_ref().is_none_or(|(least_cost, ..)| cost < *least_cost) {
                best = Some((cost, agent, forecast));
            }
        }
        best.map(|(_, agent, forecast)| SelectedEndpoint {
            agent: agent.clone(),
            forecast,
            work: work.median,
        })
    }

    /// Returns whether an endpoint's data centre is known and is not that of the entry.
    fn is_other_site(&self, site: &str) -> bool {
        !site.is_empty() && !self.site.is_empty() && self.site != site
    }

    /// Returns the failure rate above which an endpoint counts as unreliable. If tasks fail at most
    /// endpoints, the tasks are the likely cause, so the limit rises with the median.
    fn max_failure_rate(&self, now: Duration) -> f64 {
        let suspect_after = self.settings.suspect_after;
        let usable =
            self.endpoints.values().filter(|endpoint| endpoint.is_usable(now, suspect_after));
        let failure_rates = usable.map(|endpoint| endpoint.status.failure_rate).collect();
        crate::samples::median(failure_rates).map_or(MIN_FAILURE_RATE_LIMIT, |median| {
            MIN_FAILURE_RATE_LIMIT.max(MEDIAN_FAILURE_RATE_FACTOR * median)
        })
    }
}

/// Returns whether an agent already has as many tasks of the step as the limit allows.
pub(super) fn is_step_limit_reached(
    step: &StepSpec,
    agent: &AgentId,
    tasks_per_agent: &[(AgentId, u32)],
) -> bool {
    let limit = step.max_per_endpoint;
    limit > 0 && tasks_per_agent.iter().any(|(other, count)| other == agent && *count >= limit)
}
