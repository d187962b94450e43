//! The account of a listener: what its connections hold, and who is told to close.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use cowslipwing_dispatch::{
    CloseReason, ClosedConnection, ConnectionId, ConnectionLimits, ConnectionPhase,
    ConnectionTable, ConnectionUsage, Room,
};
use cowslipwing_types::{ByteSize, Clock, SortedMap};
use tokio::sync::{Notify, watch};

use crate::connection::ClientConnection;

/// Why a connection is told to close, and what it was waiting for.
pub(crate) type CloseOrder = (CloseReason, ConnectionPhase);

/// Counts what the connections of a listener hold, and tells them to close.
pub struct Account {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Notified when a connection has closed.
    pub(crate) closed: Notify,
    counts: Counts,
}

struct State {
    table: ConnectionTable,
    closers: SortedMap<ConnectionId, watch::Sender<Option<CloseOrder>>>,
}

/// What has happened since the counts were taken last.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AccountCounts {
    /// Connections that were refused because no other one could be closed.
    pub refused_connections: u64,
    /// Requests that were refused because they would have held too much.
    pub refused_requests: u64,
    /// Connections that were closed to make room.
    pub made_room: u64,
    /// Connections that were closed because their request, or the answer to it, made no progress.
    pub timed_out: u64,
    /// Attempts to accept a connection that failed for lack of a descriptor or of memory.
    pub accept_failures: u64,
}

impl AccountCounts {
    /// Returns the events that have happened, by the names that metrics give them.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_server::AccountCounts;
    ///
    /// let counts = AccountCounts { timed_out: 2, ..AccountCounts::default() };
    /// assert_eq!(counts.events().collect::<Vec<_>>(), [("connection_timed_out", 2)]);
    /// ```
    pub fn events(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let events = [
            ("connection_refused", self.refused_connections),
            ("request_no_room", self.refused_requests),
            ("connection_made_room", self.made_room),
            ("connection_timed_out", self.timed_out),
            ("accept_failed", self.accept_failures),
        ];
        events.into_iter().filter(|(_, count)| *count > 0)
    }
}

#[derive(Default)]
struct Counts {
    refused_connections: AtomicU64,
    refused_requests: AtomicU64,
    made_room: AtomicU64,
    timed_out: AtomicU64,
    accept_failures: AtomicU64,
}

impl Account {
    /// Creates an account without connections.
    pub fn new(limits: ConnectionLimits, clock: Arc<dyn Clock>) -> Arc<Self> {
        let state = State { table: ConnectionTable::new(limits), closers: SortedMap::new() };
        Arc::new(Self {
            clock,
            state: Mutex::new(state),
            closed: Notify::new(),
            counts: Counts::default(),
        })
    }

    /// Returns the number of open connections and the memory that they hold.
    pub fn usage(&self) -> ConnectionUsage {
        self.state().table.usage()
    }

    /// Returns the limits.
    pub fn limits(&self) -> ConnectionLimits {
        self.state().table.limits()
    }

    /// Replaces the limits of a request, which an operator's configuration may change.
    pub fn set_request_limits(
        &self,
        head: ByteSize,
        header_timeout: Duration,
        idle_timeout: Duration,
    ) {
        self.state().table.set_request_limits(head, header_timeout, idle_timeout);
    }

    /// Returns what has happened since the last call.
    pub fn take_counts(&self) -> AccountCounts {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        AccountCounts {
            refused_connections: take(&self.counts.refused_connections),
            refused_requests: take(&self.counts.refused_requests),
            made_room: take(&self.counts.made_room),
            timed_out: take(&self.counts.timed_out),
            accept_failures: take(&self.counts.accept_failures),
        }
    }

    /// Adds a connection; returns `None` if it is to be refused.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Arc<ClientConnection>> {
        let now = self.now();
        let mut state = self.state();
        let Room::Granted(id, closed) = state.table.open(now) else {
            self.counts.refused_connections.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        let (tx, rx) = watch::channel(None);
        state.closers.insert(id, tx);
        self.close_all(&mut state, closed, CloseReason::MakesRoom);
        drop(state);
        Some(Arc::new(ClientConnection::new(self.clone(), id, rx)))
    }

    /// Adds memory to what a connection holds; returns whether there is room.
    pub(crate) fn reserve(&self, id: ConnectionId, memory: ByteSize) -> bool {
        let now = self.now();
        let mut state = self.state();
        let room = state.table.reserve(now, id, memory);
        self.on_reserved(state, room)
    }

    /// Adds what an open call holds; returns whether there is room.
    pub(crate) fn reserve_call(&self, id: ConnectionId, memory: ByteSize) -> bool {
        let now = self.now();
        let mut state = self.state();
        let room = state.table.reserve_call(now, id, memory);
        self.on_reserved(state, room)
    }

    pub(crate) fn release_call(&self, id: ConnectionId, memory: ByteSize) {
        self.state().table.release_call(id, memory);
    }

    fn on_reserved(&self, mut state: MutexGuard<'_, State>, room: Room<()>) -> bool {
        match room {
            Room::Granted((), closed) => {
                self.close_all(&mut state, closed, CloseReason::MakesRoom);
                true
            }
            Room::Refused => {
                self.counts.refused_requests.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }

    pub(crate) fn release(&self, id: ConnectionId, memory: ByteSize) {
        self.state().table.release(id, memory);
    }

    pub(crate) fn set_phase(&self, id: ConnectionId, phase: ConnectionPhase) {
        let now = self.now();
        self.state().table.set_phase(now, id, phase);
    }

    /// Records that all of an answer was handed to the kernel.
    pub(crate) fn on_flushed(&self, id: ConnectionId) {
        let now = self.now();
        let mut state = self.state();
        if state.table.phase(id) == Some(ConnectionPhase::Answer) {
            state.table.set_phase(now, id, ConnectionPhase::Idle);
        }
    }

    pub(crate) fn on_progress(&self, id: ConnectionId, bytes: usize) {
        let now = self.now();
        self.state().table.on_progress(now, id, bytes);
    }

    pub(crate) fn on_closed(&self, id: ConnectionId) {
        let mut state = self.state();
        state.table.on_closed(id);
        state.closers.remove(&id);
        drop(state);
        self.closed.notify_waiters();
    }

    /// Closes the connections whose time is over.
    pub(crate) fn close_expired(&self) {
        let now = self.now();
        let mut state = self.state();
        let expired = state.table.take_expired(now);
        self.close_all(&mut state, expired, CloseReason::TimedOut);
    }

    /// Closes a connection after the process has run out of descriptors.
    pub(crate) fn on_accept_failure(&self) {
        self.counts.accept_failures.fetch_add(1, Ordering::Relaxed);
        let now = self.now();
        let mut state = self.state();
        let closed = state.table.shed(now);
        self.close_all(&mut state, closed.into_iter().collect(), CloseReason::MakesRoom);
    }

    /// Returns the number of connections that were told to close and have not done so yet.
    pub(crate) fn closing(&self) -> usize {
        let state = self.state();
        state.closers.len().saturating_sub(state.table.usage().connections)
    }

    fn close_all(&self, state: &mut State, closed: Vec<ClosedConnection>, reason: CloseReason) {
        for ClosedConnection { id, phase } in closed {
            let count = match (reason, phase) {
                // The end of an idle connection is nothing unusual.
                (_, ConnectionPhase::Closing) | (CloseReason::TimedOut, ConnectionPhase::Idle) => {
                    None
                }
                (CloseReason::MakesRoom, _) => Some(&self.counts.made_room),
                (CloseReason::TimedOut, _) => Some(&self.counts.timed_out),
            };
            if let Some(count) = count {
                count.fetch_add(1, Ordering::Relaxed);
            }
            if let Some(closer) = state.closers.get(&id) {
                closer.send_replace(Some((reason, phase)));
            }
        }
    }

    fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock on the account")
    }
}
