//! Decides which connections a listener keeps, and how much memory their requests may hold.
//!
//! Load: clients that the operators do not control connect, send a part of a request and stay. Each of
//! them is within the limits of a request, and all of them together exceed the memory of the VM: 600
//! bodies of 256 KB that stopped a byte short ended an entry with 260 MB.
//!
//! A [`ConnectionTable`] bounds the sums. Memory is counted for what a connection holds, not for what
//! it has received. When a sum is reached, the connection that is furthest from an answer makes room:
//! first one whose request makes no progress, then one without a request, then the one that holds the
//! most. A connection whose request is being served is never closed, so that each request that has
//! arrived completely is answered.

mod victim;

use std::fmt;
use std::time::Duration;

use cowslipwing_types::{ByteSize, SortedMap};

/// Number of connections for which there is room whatever size of a head a configuration allows.
const MIN_CONNECTIONS: u64 = 64;

/// Identifies a connection of a listener. Later connections have higher ids.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum memory that all connections hold.
    pub memory: ByteSize,
    /// Memory that each open connection counts for beside a head: its buffers in the process and in the
    /// kernel.
    pub connection_memory: ByteSize,
    /// Maximum size of a request's head.
    pub head: ByteSize,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Time without progress after which a connection is closed.
    pub idle_timeout: Duration,
    /// Rate in bytes per second below which a request counts as stalled.
    pub min_rate: ByteSize,
}

impl ConnectionLimits {
    /// Returns the bytes that an open connection counts for.
    fn open_memory(&self) -> u64 {
        self.connection_memory.bytes() + self.head.bytes()
    }
}

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// For the first byte of a request.
    Idle,
    /// For the rest of a request's head.
    Head,
    /// For the rest of a request's body.
    Body,
    /// For the answer to a complete request.
    Serving,
    /// For the client to read an answer.
    Answer,
    /// For the client to notice that the connection is being closed.
    Closing,
    /// For the next message of a peer that keeps a connection for many calls.
    Stream,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// Its room is needed for another connection or request.
    MakesRoom,
    /// It has made no progress, or the head of its request has taken too long.
    TimedOut,
}

/// A connection that is to be closed, and what it was waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClosedConnection {
    /// Id of the connection.
    pub id: ConnectionId,
    /// What it was waiting for.
    pub phase: ConnectionPhase,
}

/// The outcome of a request for room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Room<T> {
    /// There is room once these connections are closed, which count no longer.
    Granted(T, Vec<ClosedConnection>),
    /// There is none: the others are being served, or hold less.
    Refused,
}

/// The number of connections and the memory that they hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionUsage {
    /// Number of open connections, without those that are told to close.
    pub connections: usize,
    /// Memory that they hold.
    pub memory: ByteSize,
}

#[derive(Clone, Debug)]
struct Connection {
    phase: ConnectionPhase,
    phase_since: Duration,
    last_progress: Duration,
    /// Bytes sent or received in this phase.
    transferred: u64,
    /// Bytes held.
    memory: u64,
    /// Those of them that the connection and its open calls hold without any message.
    base: u64,
}

/// The open connections of a listener. Times count from any fixed point.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::{ConnectionLimits, ConnectionPhase, ConnectionTable, Room};
/// use cowslipwing_types::ByteSize;
///
/// let mut table = ConnectionTable::new(ConnectionLimits {
///     connections: 2,
///     memory: ByteSize::new(100_000),
///     connection_memory: ByteSize::new(10_000),
///     head: ByteSize::new(4096),
///     header_timeout: Duration::from_secs(3),
///     idle_timeout: Duration::from_secs(15),
///     min_rate: ByteSize::new(1000),
/// });
/// let Room::Granted(stalled, _) = table.open(Duration::ZERO) else { panic!() };
/// table.set_phase(Duration::ZERO, stalled, ConnectionPhase::Body);
/// let Room::Granted(served, _) = table.open(Duration::ZERO) else { panic!() };
/// table.set_phase(Duration::ZERO, served, ConnectionPhase::Serving);
/// // The next connection takes the place of the one that makes no progress.
/// let now = Duration::from_secs(5);
/// assert!(matches!(table.open(now), Room::Granted(_, closed) if closed[0].id == stalled));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    connections: SortedMap<ConnectionId, Connection>,
    next_id: u64,
    /// Sum of the memory of all connections, in bytes.
    memory: u64,
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { limits, connections: SortedMap::new(), next_id: 0, memory: 0 }
    }

    /// Returns the limits.
    pub fn limits(&self) -> ConnectionLimits {
        self.limits
    }

    /// Replaces the limits of a request, which an operator's configuration may change. The head is
    /// limited to what leaves room for 64 connections.
    pub fn set_request_limits(
        &mut self,
        head: ByteSize,
        header_timeout: Duration,
        idle_timeout: Duration,
    ) {
        let each = self.limits.memory.bytes() / MIN_CONNECTIONS;
        let max_head = each.saturating_sub(self.limits.connection_memory.bytes());
        self.limits.head = head.min(ByteSize::new(max_head));
        self.limits.header_timeout = header_timeout;
        self.limits.idle_timeout = idle_timeout;
    }

    /// Returns the number of open connections and the memory that they hold.
    pub fn usage(&self) -> ConnectionUsage {
        let connections = self.connections.len();
        ConnectionUsage { connections, memory: ByteSize::new(self.memory) }
    }

    /// Adds a connection, for which others may have to be closed.
    pub fn open(&mut self, now: Duration) -> Room<ConnectionId> {
        let id = ConnectionId(self.next_id);
        let memory = self.limits.open_memory();
        let Some(closed) = self.make_room(now, id, 1, memory, memory) else {
            return Room::Refused;
        };
        self.next_id += 1;
        self.memory += memory;
        let connection = Connection {
            phase: ConnectionPhase::Idle,
            phase_since: now,
            last_progress: now,
            transferred: 0,
            memory,
            base: memory,
        };
        self.connections.insert(id, connection);
        Room::Granted(id, closed)
    }

    /// Adds memory to what a connection holds, for which others may have to be closed. A connection
    /// that is told to close is refused.
    pub fn reserve(&mut self, now: Duration, id: ConnectionId, memory: ByteSize) -> Room<()> {
        let Some(held) = self.connections.get(&id).map(|connection| connection.memory) else {
            return Room::Refused;
        };
        let memory = memory.bytes();
        let Some(closed) = self.make_room(now, id, 0, memory, held.saturating_add(memory)) else {
            return Room::Refused;
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.memory += memory;
            self.memory += memory;
        }
        Room::Granted((), closed)
    }

    /// Counts what a connection holds for an open call, which does not make it a large one.
    pub fn reserve_call(&mut self, now: Duration, id: ConnectionId, memory: ByteSize) -> Room<()> {
        let room = self.reserve(now, id, memory);
        if let (Room::Granted(..), Some(connection)) = (&room, self.connections.get_mut(&id)) {
            connection.base += memory.bytes();
        }
        room
    }

    /// Ends an open call and takes its memory off.
    pub fn release_call(&mut self, id: ConnectionId, memory: ByteSize) {
        self.release(id, memory);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.base = connection.base.saturating_sub(memory.bytes());
        }
    }

    /// Takes memory off what a connection holds.
    pub fn release(&mut self, id: ConnectionId, memory: ByteSize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let released = memory.bytes().min(connection.memory);
            connection.memory -= released;
            self.memory -= released;
        }
    }

    /// Records that a connection waits for something else from now on.
    pub fn set_phase(&mut self, now: Duration, id: ConnectionId, phase: ConnectionPhase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.phase_since = now;
            connection.last_progress = now;
            connection.transferred = 0;
        }
    }

    /// Returns what a connection waits for; `None` if it is closed or told to close.
    pub fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Records that a connection has sent or received bytes. The first ones of a request begin its
    /// head.
    pub fn on_progress(&mut self, now: Duration, id: ConnectionId, bytes: usize) {
        if self.phase(id) == Some(ConnectionPhase::Idle) {
            self.set_phase(now, id, ConnectionPhase::Head);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_progress = now;
            connection.transferred += bytes as u64;
        }
    }

    /// Removes a connection, which is closed.
    pub fn on_closed(&mut self, id: ConnectionId) {
        self.remove(id);
    }

    /// Removes the connections whose time is over, and returns them, to be closed.
    pub fn take_expired(&mut self, now: Duration) -> Vec<ClosedConnection> {
        let expired: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_expired(now, &self.limits))
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Removes the connection that would make room first, and returns it, to be closed. Called when
    /// the process has run out of something that the limits do not count.
    pub fn shed(&mut self, now: Duration) -> Option<ClosedConnection> {
        let need = victim::Need { excess: 0, surplus: 1, held_then: 0 };
        let victims = victim::choose(now, None, need, &self.connections, &self.limits)?;
        self.remove(*victims.first()?)
    }

    fn remove(&mut self, id: ConnectionId) -> Option<ClosedConnection> {
        let connection = self.connections.remove(&id)?;
        self.memory -= connection.memory;
        Some(ClosedConnection { id, phase: connection.phase })
    }

    /// Removes connections until there is room for `count` more with `memory` more bytes, and returns
    /// them. Removes none and returns `None` if there is not enough.
    fn make_room(
        &mut self,
        now: Duration,
        id: ConnectionId,
        count: usize,
        memory: u64,
        held_then: u64,
    ) -> Option<Vec<ClosedConnection>> {
        let limit = self.limits.memory.bytes();
        let excess = self.memory.saturating_add(memory).saturating_sub(limit);
        let surplus = (self.connections.len() + count).saturating_sub(self.limits.connections);
        if excess == 0 && surplus == 0 {
            return Some(Vec::new());
        }
        let need = victim::Need { excess, surplus, held_then };
        let victims = victim::choose(now, Some(id), need, &self.connections, &self.limits)?;
        Some(victims.into_iter().filter_map(|victim| self.remove(victim)).collect())
    }
}

impl Connection {
    fn is_expired(&self, now: Duration, limits: &ConnectionLimits) -> bool {
        /// Time for which a client can read a refusal before its connection is reset.
        const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
        let since_progress = now.saturating_sub(self.last_progress);
        let in_phase = now.saturating_sub(self.phase_since);
        match self.phase {
            ConnectionPhase::Head => in_phase >= limits.header_timeout,
            ConnectionPhase::Idle | ConnectionPhase::Body | ConnectionPhase::Answer => {
                since_progress >= limits.idle_timeout
            }
            ConnectionPhase::Closing => in_phase >= CLOSE_TIMEOUT,
            ConnectionPhase::Serving | ConnectionPhase::Stream => false,
        }
    }

    /// Returns for how long the request is behind a client that sends or reads at the minimum rate
    /// without a pause.
    fn lag(&self, now: Duration, min_rate: ByteSize) -> Duration {
        let paid = Duration::from_secs(self.transferred / min_rate.bytes().max(1));
        let paid_until = self.last_progress.min(self.phase_since.saturating_add(paid));
        now.saturating_sub(paid_until)
    }
}
