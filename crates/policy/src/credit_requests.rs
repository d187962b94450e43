//! The choice of agents that an owner asks for credits.

use std::time::{Duration, Instant};

use cowslipwing_types::{Incarnation, SortedMap};

/// Time after which the missing credits of an unmet request are requested from other agents as
/// well.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(20);
/// Time after which an agent that has not met a request may be asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// An agent that may be asked for credits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CreditCandidate {
    /// Incarnation of the agent.
    pub id: Incarnation,
    /// Number of tasks that the endpoint runs at the same time.
    pub slots: u32,
    /// Speed class of the endpoint. Agents with a lower rank are faster and are asked first.
    pub speed_rank: u32,
}

/// A request for credits that the agent has not met in full.
#[derive(Clone, Copy, Debug)]
struct Request {
    /// Credits that are still missing.
    credits: u32,
    sent_at: Instant,
}

/// Tracks an owner's requests for credits that agents have not met.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cowslipwing_policy::{CreditCandidate, CreditRequests};
///
/// let now = Instant::now();
/// let agents = [CreditCandidate { id: "agent-1".parse().unwrap(), slots: 4, speed_rank: 0 }];
/// let mut requests = CreditRequests::default();
/// assert_eq!(requests.plan(now, 3, &agents, 0), vec![(agents[0].id.clone(), 3)]);
/// assert!(requests.plan(now, 3, &agents, 0).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CreditRequests {
    pending: SortedMap<Incarnation, Request>,
}

impl CreditRequests {
    /// Returns the agents to ask, each with a number of credits, so that `wanted` tasks can be sent
    /// once all requests are met.
    ///
    /// Skips agents that have a pending request.
    ///
    /// Asks faster agents first. Among agents of the same speed rank, starts at the position that
    /// the random number `start` selects, so that entries do not all ask the same agent.
    pub fn plan(
        &mut self,
        now: Instant,
        wanted: u32,
        agents: &[CreditCandidate],
        start: usize,
    ) -> Vec<(Incarnation, u32)> {
        self.pending
            .retain(|_, request| request.credits > 0 && now < request.sent_at + RETRY_INTERVAL);
        let is_in_time = |request: &&Request| now < request.sent_at + REQUEST_TIMEOUT;
        let requested: u32 =
            self.pending.values().filter(is_in_time).map(|request| request.credits).sum();
        let mut missing = wanted.saturating_sub(requested);
        let mut plan = Vec::new();
        let rotated =
            (0..agents.len()).map(|step| &agents[(start % agents.len() + step) % agents.len()]);
        let mut rotated: Vec<&CreditCandidate> = rotated.collect();
        rotated.sort_by_key(|agent| agent.speed_rank);
        for agent in rotated {
            if missing == 0 {
                break;
            }
            if self.pending.contains(&agent.id) {
                continue;
            }
            let credits = missing.min(agent.slots);
            missing -= credits;
            self.pending.insert(agent.id.clone(), Request { credits, sent_at: now });
            plan.push((agent.id.clone(), credits));
        }
        plan
    }

    /// Records that an agent has granted credits.
    pub fn on_credits(&mut self, id: &Incarnation, credits: u32) {
        if let Some(request) = self.pending.get_mut(id) {
            request.credits = request.credits.saturating_sub(credits);
        }
    }

    /// Removes the pending request to an agent.
    pub fn remove_agent(&mut self, id: &Incarnation) {
        self.pending.remove(id);
    }
}
