//! Which endpoint a task goes to.

use std::time::Duration;

use crate::id::AgentId;
use crate::job::StepSpec;
use crate::placement::{Candidate, Forecast, PlacementRequest};
use crate::predictor::WorkEstimate;

use super::Scheduler;
use super::task::Job;

/// Endpoints considered for a task, where there are more.
const MAX_CANDIDATES: usize = 96;
/// Share of failed tasks from which an endpoint is avoided.
const SICK_SHARE: f64 = 0.3;
/// Standard deviation of the logarithm of work that its progress has shown.
const SEEN_SPREAD: f64 = 0.05;

/// A task that asks for an endpoint.
#[derive(Clone, Copy)]
pub(super) struct Ask<'a> {
    /// Its step.
    pub(super) step: &'a StepSpec,
    /// Where there are many endpoints, a part of them is considered that changes with this.
    pub(super) turn: usize,
    /// How much work it is, where its progress has told.
    pub(super) work_seen: Option<Duration>,
    /// Agent that it should not go to.
    pub(super) avoid: Option<&'a AgentId>,
    /// Tasks of its step that agents have.
    pub(super) used: &'a [(AgentId, u32)],
}

impl<'a> Ask<'a> {
    /// Returns what a task asks for of which nothing is known yet.
    pub(super) fn first(step: &'a StepSpec, turn: usize) -> Self {
        Self { step, turn, work_seen: None, avoid: None, used: &[] }
    }
}

/// An endpoint chosen for a task.
pub(super) struct Choice {
    pub(super) agent: AgentId,
    pub(super) forecast: Forecast,
    pub(super) work: Duration,
}

impl Scheduler {
    /// Chooses the endpoint for a task.
    pub(super) fn choose(&self, now: Duration, job: &Job, ask: Ask<'_>) -> Option<Choice> {
        let Ask { step, turn, work_seen, avoid, used } = ask;
        let suspect_after = self.settings.suspect_after;
        let count = self.endpoints.len();
        let stride = count.div_ceil(MAX_CANDIDATES).max(1);
        let sick = self.sick_limit(now);
        let spec = &job.spec;
        let predicted = self.predictor.predict_work(&spec.queue, step.declared_run_time);
        let work = match work_seen {
            Some(median) => WorkEstimate { median, log_std_dev: SEEN_SPREAD },
            None => predicted,
        };
        let demand = PlacementRequest {
            resources: step.resources,
            work,
            other_steps: spec.longest_chain().saturating_sub(step.declared_run_time),
            terms: spec.terms,
            elapsed: now.saturating_sub(job.sent_at),
            caller_time_left: job.deadline.saturating_sub(now),
        };
        let mut best: Option<(f64, &AgentId, Forecast)> = None;
        for (at, (agent, known)) in self.endpoints.iter().enumerate() {
            if at % stride != turn % stride || !known.is_usable(now, suspect_after) {
                continue;
            }
            if !known.suits(&spec.service, step) || is_full(step, agent, used) {
                continue;
            }
            let data_is_remote =
                step.data_rack.as_ref().is_some_and(|near| *near != known.status.rack);
            let candidate = Candidate { status: &known.status, free: known.free(), data_is_remote };
            let forecast = candidate.forecast(&demand);
            let mut cost = candidate.cost(step.resources, &forecast);
            if avoid == Some(agent) {
                cost += 2.0;
            }
            if known.status.failure_rate > sick {
                cost += 4.0;
            }
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, agent, forecast));
            }
        }
        best.map(|(_, agent, forecast)| Choice {
            agent: agent.clone(),
            forecast,
            work: work.median,
        })
    }

    /// Returns the share of failures from which an endpoint counts as sick: where tasks fail
    /// everywhere, the tasks are to blame.
    fn sick_limit(&self, now: Duration) -> f64 {
        let suspect_after = self.settings.suspect_after;
        let usable = self.endpoints.values().filter(|known| known.is_usable(now, suspect_after));
        let shares = usable.map(|known| known.status.failure_rate).collect();
        crate::samples::median(shares).map_or(SICK_SHARE, |mid| SICK_SHARE.max(3.0 * mid))
    }
}

/// Tells whether an endpoint already has as many tasks of the step as it may.
fn is_full(step: &StepSpec, agent: &AgentId, used: &[(AgentId, u32)]) -> bool {
    let most = step.max_per_endpoint;
    most > 0 && used.iter().any(|(known, count)| known == agent && *count >= most)
}
