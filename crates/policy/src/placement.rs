//! Which agent a task goes to.

use std::time::{Duration, Instant};

use crate::credit_requests::CreditCandidate;
use cowslipwing_types::{Incarnation, SortedMap};

/// Weight of a new observation of an endpoint's speed.
const LEARNING_RATE: f64 = 0.1;
/// Slowness of the fastest endpoints told apart.
const MIN_SLOWNESS: f64 = 1.0 / 64.0;
/// Ranks of speed between an endpoint and one that is twice as slow.
const RANKS_PER_DOUBLING: f64 = 2.0;
/// Failures in a row after which an endpoint is on probation.
const PROBATION_FAILURES: u32 = 5;
/// Time until an endpoint on probation gets its first trial task; it doubles with each failure.
const FIRST_TRIAL: Duration = Duration::from_millis(500);
/// Longest time between two trial tasks.
const MAX_TRIAL: Duration = Duration::from_secs(30);

/// What a task needs of its endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Requirements {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
}

/// What an endpoint has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Tasks it runs at once.
    pub slots: u32,
}

impl Capacity {
    /// Tells whether a task fits at all.
    pub fn fits(&self, need: Requirements) -> bool {
        need.cores <= self.cores && need.memory_mb <= self.memory_mb
    }
}

#[derive(Clone, Debug)]
struct Agent {
    capacity: Capacity,
    credits: u32,
    running: u32,
    /// Actual run time divided by the estimate.
    slowness: f64,
    failures: u32,
    /// When an endpoint on probation may have its next task.
    trial_at: Option<Instant>,
    leaving: bool,
    connected: bool,
}

impl Agent {
    fn may_take(&self, now: Instant, need: Requirements) -> bool {
        self.credits > 0 && !self.leaving && self.capacity.fits(need) && self.is_trusted(now)
    }

    /// Tells whether the agent may take a task which needs one of `needs`, apart from credits.
    fn is_open_to(&self, now: Instant, needs: &[Requirements]) -> bool {
        let fits = needs.iter().any(|need| self.capacity.fits(*need));
        fits && !self.leaving && self.is_trusted(now)
    }

    /// Tells whether the endpoint is not on probation, or due for a trial task.
    fn is_trusted(&self, now: Instant) -> bool {
        self.trial_at.is_none_or(|at| now >= at && self.running == 0)
    }

    /// Returns a number that is the same for agents of about the same speed, lower for faster ones.
    fn speed_rank(&self) -> u32 {
        (self.slowness.max(MIN_SLOWNESS) / MIN_SLOWNESS).log2().mul_add(RANKS_PER_DOUBLING, 0.5)
            as u32
    }

    fn on_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if let Some(past) = self.failures.checked_sub(PROBATION_FAILURES) {
            let pause = FIRST_TRIAL.saturating_mul(1 << past.min(16)).min(MAX_TRIAL);
            self.trial_at = Some(now + pause);
        }
    }
}

/// How a task has ended at an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// It succeeded.
    Succeeded {
        /// Time it was expected to take.
        expected: Duration,
        /// Time it took.
        run_time: Duration,
    },
    /// It failed, and tasks of its kind succeed elsewhere.
    EndpointFault,
    /// It failed, and tasks of its kind may fail anywhere.
    UnattributedFailure,
}

/// The agents that an owner can send to, with their credits.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cowslipwing_policy::{Capacity, Requirements, Placement};
///
/// let agent = "agent-1".parse().unwrap();
/// let mut placement = Placement::default();
/// placement.set_agent(&agent, Capacity { cores: 4, memory_mb: 1024, slots: 4 }, false);
/// placement.on_credits(&agent, 1);
/// let now = Instant::now();
/// assert_eq!(placement.choose(now, Requirements::default(), |_| true), Some(agent));
/// assert_eq!(placement.choose(now, Requirements::default(), |_| true), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Placement {
    agents: SortedMap<Incarnation, Agent>,
}

impl Placement {
    /// Adds an agent or changes what it has.
    pub fn set_agent(&mut self, id: &Incarnation, capacity: Capacity, leaving: bool) {
        let agent = self.agents.get_or_insert_with(id.clone(), || Agent {
            capacity,
            credits: 0,
            running: 0,
            slowness: 1.0,
            failures: 0,
            trial_at: None,
            leaving,
            connected: false,
        });
        agent.capacity = capacity;
        agent.leaving = leaving;
    }

    /// Forgets an agent.
    pub fn remove(&mut self, id: &Incarnation) {
        self.agents.remove(id);
    }

    /// Adds credits from an agent.
    pub fn on_credits(&mut self, id: &Incarnation, credits: u32) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.credits += credits;
        }
    }

    /// Notes whether an agent can be reached; its credits are void while it cannot.
    pub fn set_connected(&mut self, id: &Incarnation, connected: bool) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.connected = connected;
            agent.credits = 0;
        }
    }

    /// Gives up all credits and returns how many each agent gets back.
    pub fn take_all_credits(&mut self) -> Vec<(Incarnation, u32)> {
        let held = self.agents.iter_mut().filter(|(_, agent)| agent.credits > 0);
        held.map(|(id, agent)| (id.clone(), std::mem::take(&mut agent.credits))).collect()
    }

    /// Returns the credits held and tasks running at an agent.
    pub fn credits_and_running(&self, id: &Incarnation) -> (u32, u32) {
        self.agents.get(id).map_or((0, 0), |agent| (agent.credits, agent.running))
    }

    /// Tells whether a task fits an agent that is not leaving.
    pub fn fits_any(&self, need: Requirements) -> bool {
        self.agents.values().any(|agent| !agent.leaving && agent.capacity.fits(need))
    }

    /// Returns the agents worth asking for credits, for tasks of which each needs one of `needs`.
    pub fn credit_candidates(&self, now: Instant, needs: &[Requirements]) -> Vec<CreditCandidate> {
        let askable = |agent: &Agent| agent.connected && agent.is_open_to(now, needs);
        let present = self.agents.iter().filter(|(_, agent)| askable(agent));
        let ask = |(id, agent): (&Incarnation, &Agent)| CreditCandidate {
            id: id.clone(),
            slots: agent.capacity.slots,
            speed_rank: agent.speed_rank(),
        };
        present.map(ask).collect()
    }

    /// Returns the credits held from all agents.
    pub fn credits(&self) -> u32 {
        self.agents.values().map(|agent| agent.credits).sum()
    }

    /// Returns the credits held from agents that may take a task which needs one of `needs`.
    pub fn usable_credits(&self, now: Instant, needs: &[Requirements]) -> u32 {
        let usable = self.agents.values().filter(|agent| agent.is_open_to(now, needs));
        usable.map(|agent| agent.credits).sum()
    }

    /// Returns the slots of all agents that are not leaving.
    pub fn slots(&self) -> u32 {
        let present = self.agents.values().filter(|agent| agent.connected && !agent.leaving);
        present.map(|agent| agent.capacity.slots).sum()
    }

    /// Tells whether an agent can take some task now.
    pub fn can_place<F>(&self, now: Instant, need: Requirements, usable: F) -> bool
    where
        F: Fn(&Incarnation) -> bool,
    {
        self.agents.iter().any(|(id, agent)| agent.may_take(now, need) && usable(id))
    }

    /// Chooses the agent that is expected to answer first, and uses one of its credits.
    pub fn choose<F>(&mut self, now: Instant, need: Requirements, usable: F) -> Option<Incarnation>
    where
        F: Fn(&Incarnation) -> bool,
    {
        let wait = |agent: &Agent| {
            let slots = agent.capacity.slots.max(1);
            let turns = 1 + agent.running / slots;
            (agent.slowness * f64::from(turns), f64::from(agent.running) / f64::from(slots))
        };
        let (id, agent) = self
            .agents
            .iter_mut()
            .filter(|(id, agent)| agent.may_take(now, need) && usable(id))
            .min_by(|a, b| wait(a.1).partial_cmp(&wait(b.1)).expect("waits are finite"))?;
        agent.credits -= 1;
        agent.running += 1;
        Some(id.clone())
    }

    /// Gives back a credit that was chosen and not used.
    pub fn cancel_choice(&mut self, id: &Incarnation) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.credits += 1;
            agent.running = agent.running.saturating_sub(1);
        }
    }

    /// Counts a task as running that an earlier owner has sent.
    pub fn on_adopted(&mut self, id: &Incarnation) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.running += 1;
        }
    }

    /// Notes that a task has left an agent without having run.
    pub fn on_not_started(&mut self, id: &Incarnation) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.running = agent.running.saturating_sub(1);
        }
    }

    /// Learns from a task that ended at an agent.
    pub fn on_end(&mut self, now: Instant, id: &Incarnation, observation: Observation) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.running = agent.running.saturating_sub(1);
        match observation {
            Observation::UnattributedFailure => {}
            Observation::EndpointFault => agent.on_failure(now),
            Observation::Succeeded { expected, run_time } => {
                agent.failures = 0;
                agent.trial_at = None;
                if !expected.is_zero() {
                    let slowness = run_time.as_secs_f64() / expected.as_secs_f64();
                    agent.slowness += LEARNING_RATE * (slowness - agent.slowness);
                }
            }
        }
    }
}
