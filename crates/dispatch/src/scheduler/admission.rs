//! Which jobs are taken.
//!
//! Answers a load beyond what the endpoints can do: what would be late is refused while nothing of it has
//! been sent, so that the refusal is true and the others stay in time.

use std::time::Duration;

use crate::id::AgentId;
use crate::job::{JobSpec, RefusalReason, StepSpec};
use crate::resources::Resources;

use super::endpoint::Endpoint;
use super::selection::{Ask, Choice};
use super::task::Job;
use super::{HOPELESS_RISK, Scheduler};

/// Risk of missing the objective from which a job is refused while the endpoints are busy.
const LATE_RISK: f64 = 0.7;
/// Load of the endpoints from which late jobs are refused, so that others stay in time.
const BUSY_LOAD: f64 = 0.9;
/// Least time after which a refused caller may come back; load changes within it.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a job is not admitted.
pub(super) struct Refused {
    pub(super) reason: RefusalReason,
    /// When its last task would have ended.
    pub(super) response_time: Duration,
    pub(super) retry_after: Duration,
}

impl Scheduler {
    /// Judges a job before any task of it is sent.
    pub(super) fn admit(&mut self, now: Duration, job: &Job) -> Result<(), Refused> {
        let mut longest: Option<Choice> = None;
        let mut taken: Vec<(AgentId, Resources)> = Vec::new();
        let firsts = job.spec.steps.iter().filter(|step| step.depends_on.is_empty());
        for step in firsts {
            for turn in 0..step.count {
                let choice = self.choose(now, job, Ask::first(step, turn as usize));
                let Some(choice) = choice else {
                    self.unplan(&taken);
                    return Err(self.no_place(now, &job.spec, step));
                };
                if let Some(known) = self.endpoints.get_mut(&choice.agent) {
                    known.planned.reserve(step.resources);
                    taken.push((choice.agent.clone(), step.resources));
                }
                if longest.as_ref().is_none_or(|known| {
                    choice.forecast.response_time() > known.forecast.response_time()
                }) {
                    longest = Some(choice);
                }
            }
        }
        self.unplan(&taken);
        let Some(longest) = longest else {
            return Ok(());
        };
        let forecast = longest.forecast;
        let is_hopeless = forecast.timeout_probability > HOPELESS_RISK;
        let is_late =
            forecast.late_probability > LATE_RISK && self.load(&job.spec.service) > BUSY_LOAD;
        if is_hopeless || is_late {
            let retry_after = forecast.wait.max(LEAST_RETRY_AFTER);
            let response_time = forecast.response_time();
            return Err(Refused { reason: RefusalReason::Load, response_time, retry_after });
        }
        Ok(())
    }

    /// Gives back the room taken while a job was judged.
    fn unplan(&mut self, taken: &[(AgentId, Resources)]) {
        for (agent, need) in taken {
            if let Some(known) = self.endpoints.get_mut(agent) {
                known.planned.release(*need);
            }
        }
    }

    fn no_place(&self, now: Duration, spec: &JobSpec, step: &StepSpec) -> Refused {
        let of_service = |known: &&Endpoint| known.status.service == spec.service;
        let mut sized = self.endpoints.values().filter(of_service).peekable();
        let any_usable = self.usable_endpoints(now) > 0;
        let too_large = any_usable
            && sized.peek().is_some()
            && !sized.any(|known| known.status.capacity.can_fit(step.resources));
        let reason = if too_large { RefusalReason::TooLarge } else { RefusalReason::NoEndpoint };
        Refused { reason, response_time: Duration::ZERO, retry_after: self.settings.bound() }
    }
}
