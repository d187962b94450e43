//! The plan of faults, generated from a seed.

use std::time::Duration;

use cowslipwing_standin::platform::{EndpointBehaviour, StoreBehaviour};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::LinkBehaviour;

/// Time before the first fault, in which the processes connect to each other.
const WARM_UP: Duration = Duration::from_millis(2500);
/// Upper bound on the time between the starts of two faults, in milliseconds. It is short enough
/// for faults to overlap.
const MAX_GAP_MS: u64 = 900;

/// A fault to inject.
///
/// Processes are numbered from 0, first the entries and then the agents. Agents and endpoints are
/// also numbered from 0 on their own. A duration is the time after which the fault ends.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills a process and starts it again after a pause.
    Kill(usize, Duration),
    /// Suspends a process.
    Freeze(usize, Duration),
    /// Stops a process with `SIGTERM` and starts it again after its exit.
    Stop(usize),
    /// Sends `SIGHUP` to a process, which makes it reload its settings.
    Hangup(usize),
    /// Sets the behaviour of the link from peers to an entry, or from an agent to its endpoint. The
    /// number is that of the process.
    Link(usize, LinkBehaviour, Duration),
    /// Sets the behaviour of an endpoint.
    Endpoint(usize, EndpointBehaviour, Duration),
    /// Crashes an endpoint and restarts it after a pause, in which its port is closed.
    Crash(usize, Duration),
    /// Makes an endpoint announce that it is draining, and then that it is ready again.
    Drain(usize, Duration),
    /// Sets the behaviour of the store.
    Store(StoreBehaviour, Duration),
    /// Makes the store drop its history.
    DropHistory,
    /// Publishes a configuration with one more route.
    Publish,
    /// Resets the connections of an entry: those of its callers, and those of agents and entries.
    CutOff(usize, CutConnections),
    /// Sends a message of another writer about the endpoint of an agent.
    OtherWriter(usize, OddMessage),
}

/// The connections of an entry that are reset at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutConnections {
    /// Those of callers.
    Callers,
    /// Those of callers, of agents and of other entries.
    All,
}

/// A message that does not come from the endpoint that it seems to be about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OddMessage {
    /// A report of another endpoint that has started later than the agent's.
    LaterEndpoint,
    /// A report of another endpoint that has started earlier and is about to leave.
    EarlierEndpoint,
    /// A report of a later incarnation with the same id.
    LaterIncarnation,
    /// The departure of the endpoint, as an earlier incarnation may have announced it.
    Departure,
    /// Bytes that cannot be read.
    Unreadable,
    /// A report of another endpoint, saved in the store for the agent's next start.
    SavedReport,
}

/// Value combined with the seed for the faults of connections and other writers, which are planned
/// apart from the others so that these do not depend on them.
const DISTURBANCE_SEED_SALT: u64 = 0xc07;

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start of the load to the injection.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// The faults of a run, in the order of their injection.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// Faults by ascending time.
    pub faults: Vec<ScheduledFault>,
}

impl FaultPlan {
    /// Generates the faults of a run in which the last fault is injected before `fault_period`. The
    /// same arguments give the same plan.
    pub fn generate(seed: u64, fault_period: Duration, entries: usize, agents: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut at = WARM_UP;
        let mut faults = Vec::new();
        while at < fault_period {
            faults.push(ScheduledFault { at, fault: random_fault(&mut rng, entries, agents) });
            at += Duration::from_millis(rng.random_range(20..MAX_GAP_MS));
        }
        let mut rng = StdRng::seed_from_u64(seed ^ DISTURBANCE_SEED_SALT);
        let mut at = WARM_UP;
        while at < fault_period {
            faults
                .push(ScheduledFault { at, fault: random_disturbance(&mut rng, entries, agents) });
            at += Duration::from_millis(rng.random_range(20..MAX_GAP_MS));
        }
        faults.sort_by_key(|scheduled| scheduled.at);
        Self { faults }
    }
}

fn random_fault(rng: &mut StdRng, entries: usize, agents: usize) -> Fault {
    let process = rng.random_range(0..entries + agents);
    let agent = rng.random_range(0..agents);
    let duration = Duration::from_millis(rng.random_range(100..2500));
    match rng.random_range(0..16) {
        0 => Fault::Kill(process, duration / 3),
        1 => Fault::Freeze(process, duration),
        2 | 3 => Fault::Stop(process),
        4 => Fault::Hangup(process),
        5..=7 => Fault::Link(process, random_link_behaviour(rng), duration),
        8..=10 => Fault::Endpoint(agent, random_endpoint_behaviour(rng), duration),
        11 => Fault::Crash(agent, duration),
        12 => Fault::Drain(agent, duration),
        13 => Fault::Store(random_store_behaviour(rng), duration),
        14 => Fault::DropHistory,
        _ => Fault::Publish,
    }
}

fn random_disturbance(rng: &mut StdRng, entries: usize, agents: usize) -> Fault {
    let (entry, agent) = (rng.random_range(0..entries), rng.random_range(0..agents));
    match rng.random_range(0..9) {
        0 => Fault::CutOff(entry, CutConnections::Callers),
        1 | 2 => Fault::CutOff(entry, CutConnections::All),
        3 => Fault::OtherWriter(agent, OddMessage::LaterEndpoint),
        4 => Fault::OtherWriter(agent, OddMessage::EarlierEndpoint),
        5 => Fault::OtherWriter(agent, OddMessage::LaterIncarnation),
        6 => Fault::OtherWriter(agent, OddMessage::Departure),
        7 => Fault::OtherWriter(agent, OddMessage::Unreadable),
        _ => Fault::OtherWriter(agent, OddMessage::SavedReport),
    }
}

fn random_link_behaviour(rng: &mut StdRng) -> LinkBehaviour {
    match rng.random_range(0..4) {
        0 => LinkBehaviour::Delayed(Duration::from_millis(rng.random_range(5..200))),
        1 => LinkBehaviour::Stalled,
        2 => LinkBehaviour::OneWay,
        _ => LinkBehaviour::Reset,
    }
}

fn random_endpoint_behaviour(rng: &mut StdRng) -> EndpointBehaviour {
    match rng.random_range(0..6) {
        0 => EndpointBehaviour::Slow(rng.random_range(3..9)),
        1 => EndpointBehaviour::Hanging,
        2 => EndpointBehaviour::Failing,
        3 => EndpointBehaviour::DroppingReplies(rng.random_range(3..12)),
        4 => EndpointBehaviour::DelayingExecution(rng.random_range(3..12)),
        _ => EndpointBehaviour::Unresponsive,
    }
}

fn random_store_behaviour(rng: &mut StdRng) -> StoreBehaviour {
    match rng.random_range(0..4) {
        0 => StoreBehaviour::Unresponsive,
        1 => StoreBehaviour::Unavailable,
        2 => StoreBehaviour::Slow(Duration::from_millis(rng.random_range(50..400))),
        _ => StoreBehaviour::DroppingReplies,
    }
}
