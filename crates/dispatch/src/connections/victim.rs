//! Selects the connections that make room for others.

use std::cmp::Reverse;
use std::time::Duration;

use cowslipwing_types::SortedMap;

use super::{Connection, ConnectionId, ConnectionLimits, ConnectionPhase};

/// Lag from which on a request counts as stalled, and a connection as idle. Losses on a client's link delay it by less.
const STALL_LAG: Duration = Duration::from_secs(1);

/// The room that is needed.
pub(super) struct Need {
    /// Bytes to be freed.
    pub(super) excess: u64,
    /// Number of connections to be closed.
    pub(super) surplus: usize,
    /// Bytes that the connection holds that needs the room, once it has it.
    pub(super) held_then: u64,
}

/// The order in which connections make room, the lowest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rank {
    /// It is being closed.
    Closing(Reverse<Duration>),
    /// Its request makes no progress.
    Stalled(Reverse<Duration>),
    /// It has had no request for a while.
    Idle(Reverse<Duration>),
    /// It has just been opened, or its request makes progress, and it holds this many bytes.
    Active(Reverse<u64>, Reverse<Duration>),
}

/// Returns connections whose end gives the room that is needed, or `None` if there are not enough.
pub(super) fn choose(
    now: Duration,
    requester: Option<ConnectionId>,
    need: Need,
    connections: &SortedMap<ConnectionId, Connection>,
    limits: &ConnectionLimits,
) -> Option<Vec<ConnectionId>> {
    let mut candidates: Vec<(Rank, ConnectionId, u64)> = connections
        .iter()
        .filter(|(other, _)| Some(**other) != requester)
        .filter_map(|(other, connection)| {
            let rank = rank(now, connection, need.held_then, limits)?;
            Some((rank, *other, connection.memory))
        })
        .collect();
    // One victim is enough in most cases, and cheaper to find than an order of all.
    if let Some(first) = candidates.iter().min()
        && need.surplus <= 1
        && first.2 >= need.excess
    {
        return Some(vec![first.1]);
    }
    candidates.sort_unstable();
    let (mut freed, mut victims) = (0, Vec::new());
    for (_, other, memory) in candidates {
        if freed >= need.excess && victims.len() >= need.surplus {
            break;
        }
        freed += memory;
        victims.push(other);
    }
    (freed >= need.excess && victims.len() >= need.surplus).then_some(victims)
}

/// Returns the rank of a connection, or `None` if it keeps its place.
fn rank(
    now: Duration,
    connection: &Connection,
    held_then: u64,
    limits: &ConnectionLimits,
) -> Option<Rank> {
    let lag = Reverse(connection.lag(now, limits.min_rate));
    let idle = Reverse(now.saturating_sub(connection.last_progress));
    let messages = connection.memory.saturating_sub(connection.base);
    let is_small = messages <= limits.open_memory();
    match connection.phase {
        ConnectionPhase::Serving => None,
        ConnectionPhase::Closing => Some(Rank::Closing(idle)),
        // A connection that has just been opened is about to send a request.
        ConnectionPhase::Idle if idle.0 >= STALL_LAG => Some(Rank::Idle(idle)),
        ConnectionPhase::Stream if idle.0 >= STALL_LAG => {
            Some(if is_small { Rank::Idle(idle) } else { Rank::Stalled(idle) })
        }
        // Peers in touch keep their streams, however many others connect.
        ConnectionPhase::Stream if is_small => None,
        ConnectionPhase::Head | ConnectionPhase::Body | ConnectionPhase::Answer
            if lag.0 >= STALL_LAG =>
        {
            Some(Rank::Stalled(lag))
        }
        // Small requests go before large ones.
        _ if connection.memory >= held_then => Some(Rank::Active(Reverse(connection.memory), idle)),
        _ => None,
    }
}
