//! Which endpoint a task goes to.

use std::time::Duration;

use crate::id::AgentId;
use crate::job::StepSpec;
use crate::place::{Candidate, Demand, Forecast};
use crate::predict::Work;

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
        let predicted = self.predictor.work(&spec.queue, step.declared);
        let work = match work_seen {
            Some(median) => Work { median, spread: SEEN_SPREAD },
            None => predicted,
        };
        let demand = Demand {
            need: step.need,
            work,
            others: spec.longest_chain().saturating_sub(step.declared),
            terms: spec.terms,
            elapsed: now.saturating_sub(job.sent_at),
            patience: job.deadline.saturating_sub(now),
        };
        let mut best: Option<(f64, &AgentId, Forecast)> = None;
        for (at, (agent, known)) in self.endpoints.iter().enumerate() {
            if at % stride != turn % stride || !known.is_usable(now, suspect_after) {
                continue;
            }
            if !known.suits(&spec.service, step) || is_full(step, agent, used) {
                continue;
            }
            let far = step.near.as_ref().is_some_and(|near| *near != known.status.rack);
            let candidate = Candidate { status: &known.status, free: known.free(), far };
            let forecast = candidate.forecast(&demand);
            let mut cost = candidate.cost(step.need, &forecast);
            if avoid == Some(agent) {
                cost += 2.0;
            }
            if known.status.failing > sick {
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
        let shares = usable.map(|known| known.status.failing).collect();
        crate::samples::median(shares).map_or(SICK_SHARE, |mid| SICK_SHARE.max(3.0 * mid))
    }
}

/// Tells whether an endpoint already has as many tasks of the step as it may.
fn is_full(step: &StepSpec, agent: &AgentId, used: &[(AgentId, u32)]) -> bool {
    let most = step.most_per_endpoint;
    most > 0 && used.iter().any(|(known, count)| known == agent && *count >= most)
}
