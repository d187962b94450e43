//! Which fault comes when, from a seed.

use std::time::Duration;

use cowslipwing_standin::platform::{EndpointBehaviour, StoreBehaviour};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::LinkBehaviour;

/// Time before the first fault, in which the processes find each other.
const LEAD: Duration = Duration::from_millis(2500);
/// Time between the starts of two faults is at most this, so that they overlap.
const MAX_GAP_MS: u64 = 900;

/// A fault; durations tell how long it lasts.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A process is killed and started again after a while.
    Kill(usize, Duration),
    /// A process is suspended.
    Freeze(usize, Duration),
    /// A process is asked to stop and started again after its end.
    Stop(usize),
    /// A process is told that its settings have changed.
    Hangup(usize),
    /// The way to an entry, or from an agent to its endpoint, misbehaves.
    Link(usize, LinkBehaviour, Duration),
    /// An endpoint misbehaves.
    Endpoint(usize, EndpointBehaviour, Duration),
    /// An endpoint crashes and comes back.
    Crash(usize),
    /// An endpoint says that it leaves, and stays after all.
    Drain(usize, Duration),
    /// The store misbehaves.
    Store(StoreBehaviour, Duration),
    /// The store drops its history.
    DropHistory,
    /// Operators publish a configuration.
    Publish,
}

/// A fault and when it comes.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start of the load.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

impl FaultPlan {
    /// Draws faults for so long.
    ///
    /// Processes are numbered, the entries first.
    pub fn generate(seed: u64, length: Duration, entries: usize, agents: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut at = LEAD;
        let mut faults = Vec::new();
        while at < length {
            faults.push(ScheduledFault { at, fault: draw_fault(&mut rng, entries, agents) });
            at += Duration::from_millis(rng.random_range(20..MAX_GAP_MS));
        }
        Self { faults }
    }
}

fn draw_fault(rng: &mut StdRng, entries: usize, agents: usize) -> Fault {
    let process = rng.random_range(0..entries + agents);
    let agent = rng.random_range(0..agents);
    let lasts = Duration::from_millis(rng.random_range(100..2500));
    match rng.random_range(0..16) {
        0 => Fault::Kill(process, lasts / 3),
        1 => Fault::Freeze(process, lasts),
        2 | 3 => Fault::Stop(process),
        4 => Fault::Hangup(process),
        5..=7 => Fault::Link(process, draw_link_behaviour(rng), lasts),
        8..=10 => Fault::Endpoint(agent, draw_endpoint_behaviour(rng), lasts),
        11 => Fault::Crash(agent),
        12 => Fault::Drain(agent, lasts),
        13 => Fault::Store(draw_store_behaviour(rng), lasts),
        14 => Fault::DropHistory,
        _ => Fault::Publish,
    }
}

fn draw_link_behaviour(rng: &mut StdRng) -> LinkBehaviour {
    match rng.random_range(0..4) {
        0 => LinkBehaviour::Delayed(Duration::from_millis(rng.random_range(5..200))),
        1 => LinkBehaviour::Stalled,
        2 => LinkBehaviour::OneWay,
        _ => LinkBehaviour::Reset,
    }
}

fn draw_endpoint_behaviour(rng: &mut StdRng) -> EndpointBehaviour {
    match rng.random_range(0..6) {
        0 => EndpointBehaviour::Slow(rng.random_range(3..9)),
        1 => EndpointBehaviour::Hanging,
        2 => EndpointBehaviour::Failing,
        3 => EndpointBehaviour::DroppingReplies(rng.random_range(3..12)),
        4 => EndpointBehaviour::DelayingExecution(rng.random_range(3..12)),
        _ => EndpointBehaviour::Unresponsive,
    }
}

fn draw_store_behaviour(rng: &mut StdRng) -> StoreBehaviour {
    match rng.random_range(0..4) {
        0 => StoreBehaviour::Unresponsive,
        1 => StoreBehaviour::Unavailable,
        2 => StoreBehaviour::Slow(Duration::from_millis(rng.random_range(50..400))),
        _ => StoreBehaviour::DroppingReplies,
    }
}
