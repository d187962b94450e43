//! The choice of an agent for each task.
//!
//! An endpoint is put on probation after several consecutive failures that are attributed to it. It
//! then gets no task for a delay, and one probe task at a time after that. A success ends the
//! probation; a further attributed failure starts a longer delay.

use std::time::{Duration, Instant};

use crate::credit_requests::CreditCandidate;
use cowslipwing_types::{Incarnation, SortedMap};

/// Weight of a new sample in the moving average of an endpoint's slowness.
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.1;
/// Lower bound on the slowness used for speed ranks. Endpoints that are faster all have rank 0.
const MIN_SLOWNESS: f64 = 1.0 / 64.0;
/// Number of speed ranks between an endpoint and one that is twice as slow.
const RANKS_PER_DOUBLING: f64 = 2.0;
/// Offset that rounds a speed rank to the nearest integer when its fraction is cut off.
const ROUND_TO_NEAREST: f64 = 0.5;
/// Number of consecutive failures attributed to an endpoint after which it is on probation.
const PROBATION_FAILURES: u32 = 5;
/// Time until an endpoint on probation gets its first probe task. The delay doubles with each
/// further failure.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(500);
/// Upper bound on the time between two probe tasks.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);
/// Upper bound on the doublings of the probe delay, so that the shift does not overflow.
const MAX_PROBE_DOUBLINGS: u32 = 16;

/// Resources that a task requires of its endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Requirements {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
}

/// Resources of an endpoint, as its agent announced them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of tasks that the endpoint runs at the same time.
    pub slots: u32,
}

impl Capacity {
    /// Returns whether a task with these requirements fits an endpoint that runs nothing else.
    pub fn fits(&self, requirements: Requirements) -> bool {
        requirements.cores <= self.cores && requirements.memory_mb <= self.memory_mb
    }
}

#[derive(Clone, Debug)]
struct Agent {
    capacity: Capacity,
    /// Credits that this owner holds and has not used.
    credits: u32,
    /// Tasks that this owner sent, or adopted from a previous owner, and that have not ended.
    running: u32,
    /// Moving average of the actual run time divided by the expected run time.
    slowness: f64,
    /// Failures attributed to the endpoint since its last success.
    consecutive_failures: u32,
    /// When an endpoint on probation may get its next task; `None` if it is not on probation.
    probe_at: Option<Instant>,
    leaving: bool,
    connected: bool,
}

impl Agent {
    /// Returns whether a task can be sent to the agent now.
    fn can_accept(&self, now: Instant, requirements: Requirements) -> bool {
        self.credits > 0
            && !self.leaving
            && self.capacity.fits(requirements)
            && self.passes_probation(now)
    }

    /// Returns whether the agent could run a task with any of the requirements if it granted a
    /// credit.
    fn is_eligible(&self, now: Instant, requirements: &[Requirements]) -> bool {
        let fits = requirements.iter().any(|required| self.capacity.fits(*required));
        fits && !self.leaving && self.passes_probation(now)
    }

    /// Returns whether the endpoint is not on probation, or is due for a probe task.
    fn passes_probation(&self, now: Instant) -> bool {
        self.probe_at.is_none_or(|at| now >= at && self.running == 0)
    }

    /// Returns a number that is equal for agents of similar speed and lower for faster ones.
    fn speed_rank(&self) -> u32 {
        (self.slowness.max(MIN_SLOWNESS) / MIN_SLOWNESS)
            .log2()
            .mul_add(RANKS_PER_DOUBLING, ROUND_TO_NEAREST) as u32
    }

    fn on_failure(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let Some(doublings) = self.consecutive_failures.checked_sub(PROBATION_FAILURES) {
            let delay = INITIAL_PROBE_DELAY
                .saturating_mul(1 << doublings.min(MAX_PROBE_DOUBLINGS))
                .min(MAX_PROBE_DELAY);
            self.probe_at = Some(now + delay);
        }
    }
}

/// What the end of a task shows about its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The task succeeded.
    Succeeded {
        /// Run time that was estimated when the task was sent.
        expected: Duration,
        /// Actual run time.
        run_time: Duration,
    },
    /// The task failed, and tasks of its kind succeed at other endpoints.
    EndpointFault,
    /// The task failed, and the failure may be due to the task rather than the endpoint.
    UnattributedFailure,
}

/// The agents that an owner can send tasks to, with the credits it holds from each.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cowslipwing_policy::{Capacity, Placement, Requirements};
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
    /// Adds an agent, or updates the capacity and the leaving state of a known one.
    ///
    /// An agent that is leaving gets no new tasks.
    pub fn set_agent(&mut self, id: &Incarnation, capacity: Capacity, leaving: bool) {
        let agent = self.agents.get_or_insert_with(id.clone(), || Agent {
            capacity,
            credits: 0,
            running: 0,
            slowness: 1.0,
            consecutive_failures: 0,
            probe_at: None,
            leaving,
            connected: false,
        });
        agent.capacity = capacity;
        agent.leaving = leaving;
    }

    /// Removes an agent and drops its credits.
    pub fn remove(&mut self, id: &Incarnation) {
        self.agents.remove(id);
    }

    /// Adds credits that an agent has granted.
    pub fn on_credits(&mut self, id: &Incarnation, credits: u32) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.credits += credits;
        }
    }

    /// Sets whether an agent is connected, and drops its credits, which are valid only for the
    /// connection that granted them.
    pub fn set_connected(&mut self, id: &Incarnation, connected: bool) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.connected = connected;
            agent.credits = 0;
        }
    }

    /// Takes all credits and returns the number taken per agent.
    pub fn take_all_credits(&mut self) -> Vec<(Incarnation, u32)> {
        let holding = self.agents.iter_mut().filter(|(_, agent)| agent.credits > 0);
        holding.map(|(id, agent)| (id.clone(), std::mem::take(&mut agent.credits))).collect()
    }

    /// Returns the number of credits held from an agent and the number of tasks running there, both
    /// zero if the agent is unknown.
    pub fn credits_and_running(&self, id: &Incarnation) -> (u32, u32) {
        self.agents.get(id).map_or((0, 0), |agent| (agent.credits, agent.running))
    }

    /// Returns whether a task fits at least one agent that is not leaving.
    pub fn fits_any(&self, requirements: Requirements) -> bool {
        self.agents.values().any(|agent| !agent.leaving && agent.capacity.fits(requirements))
    }

    /// Returns the connected agents that could run a task with any of the requirements.
    pub fn credit_candidates(
        &self,
        now: Instant,
        requirements: &[Requirements],
    ) -> Vec<CreditCandidate> {
        let is_candidate = |agent: &Agent| agent.connected && agent.is_eligible(now, requirements);
        let eligible = self.agents.iter().filter(|(_, agent)| is_candidate(agent));
        let candidate = |(id, agent): (&Incarnation, &Agent)| CreditCandidate {
            id: id.clone(),
            slots: agent.capacity.slots,
            speed_rank: agent.speed_rank(),
        };
        eligible.map(candidate).collect()
    }

    /// Returns the number of credits held from all agents.
    pub fn credits(&self) -> u32 {
        self.agents.values().map(|agent| agent.credits).sum()
    }

    /// Returns the number of credits held from agents that could run a task with any of the
    /// requirements.
    pub fn usable_credits(&self, now: Instant, requirements: &[Requirements]) -> u32 {
        let eligible = self.agents.values().filter(|agent| agent.is_eligible(now, requirements));
        eligible.map(|agent| agent.credits).sum()
    }

    /// Returns the number of slots, busy or free, of all agents that are connected and not leaving.
    pub fn slots(&self) -> u32 {
        let available = self.agents.values().filter(|agent| agent.connected && !agent.leaving);
        available.map(|agent| agent.capacity.slots).sum()
    }

    /// Returns whether a task can be sent now to any agent that `may_use` allows.
    pub fn can_place<F>(&self, now: Instant, requirements: Requirements, may_use: F) -> bool
    where
        F: Fn(&Incarnation) -> bool,
    {
        self.agents.iter().any(|(id, agent)| agent.can_accept(now, requirements) && may_use(id))
    }

    /// Chooses the agent that is expected to finish the task first, and uses one of its credits.
    ///
    /// Considers only agents that `may_use` allows.
    pub fn choose<F>(
        &mut self,
        now: Instant,
        requirements: Requirements,
        may_use: F,
    ) -> Option<Incarnation>
    where
        F: Fn(&Incarnation) -> bool,
    {
        // The expected completion time as a multiple of the task's estimated run time, and, to
        // order agents with equal times, the utilisation of their slots.
        let cost = |agent: &Agent| {
            let slots = agent.capacity.slots.max(1);
            let rounds = 1 + agent.running / slots;
            (agent.slowness * f64::from(rounds), f64::from(agent.running) / f64::from(slots))
        };
        let (id, agent) = self
            .agents
            .iter_mut()
            .filter(|(id, agent)| agent.can_accept(now, requirements) && may_use(id))
            .min_by(|a, b| cost(a.1).partial_cmp(&cost(b.1)).expect("costs are finite"))?;
        agent.credits -= 1;
        agent.running += 1;
        Some(id.clone())
    }

    /// Returns the credit used by [`Placement::choose`] when the task was not sent.
    pub fn cancel_choice(&mut self, id: &Incarnation) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.credits += 1;
            agent.running = agent.running.saturating_sub(1);
        }
    }

    /// Counts an adopted task, which a previous owner sent to the agent, as running.
    pub fn on_adopted(&mut self, id: &Incarnation) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.running += 1;
        }
    }

    /// Handles the end of a task that the agent did not start.
    pub fn on_not_started(&mut self, id: &Incarnation) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.running = agent.running.saturating_sub(1);
        }
    }

    /// Handles the end of a task, and updates the endpoint's slowness and probation.
    pub fn on_end(&mut self, now: Instant, id: &Incarnation, observation: Observation) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.running = agent.running.saturating_sub(1);
        match observation {
            Observation::UnattributedFailure => {}
            Observation::EndpointFault => agent.on_failure(now),
            Observation::Succeeded { expected, run_time } => {
                agent.consecutive_failures = 0;
                agent.probe_at = None;
                if !expected.is_zero() {
                    let sample = run_time.as_secs_f64() / expected.as_secs_f64();
                    agent.slowness += SLOWNESS_SAMPLE_WEIGHT * (sample - agent.slowness);
                }
            }
        }
    }
}
