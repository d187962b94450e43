//! One connection of a listener, as its tasks see it.

use std::sync::Arc;

use cowslipwing_dispatch::{CloseReason, ConnectionId, ConnectionPhase};
use cowslipwing_types::ByteSize;
use tokio::sync::watch;

use crate::account::{Account, CloseOrder};

/// A connection that its listener counts until this is dropped. Handlers find it among the extensions
/// of a request.
pub struct ClientConnection {
    account: Arc<Account>,
    id: ConnectionId,
    close: watch::Receiver<Option<CloseOrder>>,
}

impl ClientConnection {
    pub(crate) fn new(
        account: Arc<Account>,
        id: ConnectionId,
        close: watch::Receiver<Option<CloseOrder>>,
    ) -> Self {
        Self { account, id, close }
    }

    /// Reserves memory for the connection's request; returns `None` if there is no room.
    pub fn reserve(self: &Arc<Self>, memory: ByteSize) -> Option<Held> {
        let mut held = Held { connection: self.clone(), memory: ByteSize::new(0) };
        held.resize(memory).then_some(held)
    }

    /// Counts an open call; returns `None` if there is no room.
    pub(crate) fn open_call(self: &Arc<Self>, memory: ByteSize) -> Option<OpenCall> {
        let connection = self.clone();
        self.account.reserve_call(self.id, memory).then_some(OpenCall { connection, memory })
    }

    /// Records that the request has arrived completely.
    pub fn begin_serving(&self) {
        self.set_phase(ConnectionPhase::Serving);
    }

    pub(crate) fn max_head_bytes(&self) -> usize {
        usize::try_from(self.account.limits().head.bytes()).unwrap_or(usize::MAX)
    }

    /// Waits until the connection is told to close.
    pub(crate) async fn closing(&self) -> CloseOrder {
        let mut close = self.close.clone();
        match close.wait_for(Option::is_some).await.map(|order| *order) {
            Ok(Some(order)) => order,
            // The account drops the sender only after this connection.
            _ => (CloseReason::MakesRoom, ConnectionPhase::Closing),
        }
    }

    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        self.account.set_phase(self.id, phase);
    }

    pub(crate) fn on_progress(&self, bytes: usize) {
        self.account.on_progress(self.id, bytes);
    }

    pub(crate) fn on_flushed(&self) {
        self.account.on_flushed(self.id);
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.account.on_closed(self.id);
    }
}

/// Memory that a request holds, given back when this is dropped.
pub struct Held {
    connection: Arc<ClientConnection>,
    memory: ByteSize,
}

impl Held {
    /// Changes the amount; returns `false`, with the amount unchanged, if there is no room for more.
    pub fn resize(&mut self, memory: ByteSize) -> bool {
        let (account, id) = (&self.connection.account, self.connection.id);
        let (old, new) = (self.memory.bytes(), memory.bytes());
        if new > old && !account.reserve(id, ByteSize::new(new - old)) {
            return false;
        }
        if new < old {
            account.release(id, ByteSize::new(old - new));
        }
        self.memory = memory;
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.connection.account.release(self.connection.id, self.memory);
    }
}

/// Memory that an open call holds beside its messages, given back when this is dropped.
pub(crate) struct OpenCall {
    connection: Arc<ClientConnection>,
    memory: ByteSize,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.connection.account.release_call(self.connection.id, self.memory);
    }
}
