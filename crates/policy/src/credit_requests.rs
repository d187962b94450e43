//! Which agents an owner requests for credits.

use std::time::{Duration, Instant};

use cowslipwing_types::{Incarnation, SortedMap};

/// Time after which an ask that was not met no longer counts, so that others are asked.
const PATIENCE: Duration = Duration::from_millis(20);
/// Time after which the same agent is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// An agent that may be asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CreditCandidate {
    /// The agent.
    pub id: Incarnation,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Agents of a lower rank are faster and are asked first.
    pub speed_rank: u32,
}

#[derive(Clone, Copy, Debug)]
struct Ask {
    credits: u32,
    at: Instant,
}

/// The requests that agents have not met yet.
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
    pending: SortedMap<Incarnation, Ask>,
}

impl CreditRequests {
    /// Returns whom to ask for how many credits, so that `want` tasks can be sent.
    ///
    /// Faster agents come first; among those of the same rank the walk begins at `start`, a random
    /// number.
    pub fn plan(
        &mut self,
        now: Instant,
        want: u32,
        agents: &[CreditCandidate],
        start: usize,
    ) -> Vec<(Incarnation, u32)> {
        self.pending.retain(|_, ask| ask.credits > 0 && now < ask.at + ASK_AGAIN);
        let counts = |ask: &&Ask| now < ask.at + PATIENCE;
        let asked: u32 = self.pending.values().filter(counts).map(|ask| ask.credits).sum();
        let mut missing = want.saturating_sub(asked);
        let mut plan = Vec::new();
        let walk =
            (0..agents.len()).map(|step| &agents[(start % agents.len() + step) % agents.len()]);
        let mut walk: Vec<&CreditCandidate> = walk.collect();
        walk.sort_by_key(|agent| agent.speed_rank);
        for agent in walk {
            if missing == 0 {
                break;
            }
            if self.pending.contains(&agent.id) {
                continue;
            }
            let credits = missing.min(agent.slots);
            missing -= credits;
            self.pending.insert(agent.id.clone(), Ask { credits, at: now });
            plan.push((agent.id.clone(), credits));
        }
        plan
    }

    /// Notes that an agent has granted credits.
    pub fn on_credits(&mut self, id: &Incarnation, credits: u32) {
        if let Some(ask) = self.pending.get_mut(id) {
            ask.credits = ask.credits.saturating_sub(credits);
        }
    }

    /// Forgets an agent.
    pub fn remove_agent(&mut self, id: &Incarnation) {
        self.pending.remove(id);
    }
}
