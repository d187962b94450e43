//! A TCP forwarder in front of a listener that can cut links by the address of the client.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::error::{IoSnafu, TestkitError};

/// Interval at which a connection over a cut link checks whether the link was restored.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 << 10;

#[derive(Debug, Default)]
struct ForwarderState {
    /// Listener to connect to; connections are closed while there is none.
    target: Option<SocketAddr>,
    /// Clients whose links are cut.
    cut: Vec<IpAddr>,
}

/// A forwarder of TCP connections. Data on a cut link is delayed until the link is restored, and
/// connections stay open, as on a network that drops packets.
#[derive(Clone, Debug)]
pub struct Forwarder {
    address: SocketAddr,
    state: Arc<Mutex<ForwarderState>>,
}

impl Forwarder {
    /// Starts a forwarder on a free port of `ip`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(ip: IpAddr) -> Result<Self, TestkitError> {
        let listener = TcpListener::bind((ip, 0)).await;
        let listener = listener.context(IoSnafu { what: "bind the listener of a forwarder" })?;
        let address =
            listener.local_addr().context(IoSnafu { what: "bind the listener of a forwarder" })?;
        let forwarder = Self { address, state: Arc::default() };
        tokio::spawn(forwarder.clone().accept_connections(listener));
        Ok(forwarder)
    }

    /// Returns the address that the forwarder listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the listener to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.with_state(|state| state.target = Some(target));
    }

    /// Cuts the link to the clients with the address `from`.
    pub fn cut(&self, from: IpAddr) {
        self.with_state(|state| state.cut.push(from));
    }

    /// Restores the link to the clients with the address `from`.
    pub fn heal(&self, from: IpAddr) {
        self.with_state(|state| state.cut.retain(|ip| *ip != from));
    }

    fn is_cut(&self, from: IpAddr) -> bool {
        self.with_state(|state| state.cut.contains(&from))
    }

    fn with_state<T, F>(&self, action: F) -> T
    where
        F: FnOnce(&mut ForwarderState) -> T,
    {
        action(&mut self.state.lock().expect("the mutex of the forwarder is never poisoned"))
    }

    async fn accept_connections(self, listener: TcpListener) {
        while let Ok((inbound, client)) = listener.accept().await {
            tokio::spawn(self.clone().forward(inbound, client.ip()));
        }
    }

    async fn forward(self, inbound: TcpStream, from: IpAddr) {
        self.wait_healed(from).await;
        let Some(target) = self.with_state(|state| state.target) else {
            return;
        };
        let Ok(outbound) = TcpStream::connect(target).await else {
            return;
        };
        // An error is harmless: the link is only slower without TCP_NODELAY.
        let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
        let (mut inbound_read, mut inbound_write) = inbound.into_split();
        let (mut outbound_read, mut outbound_write) = outbound.into_split();
        tokio::select! {
            () = self.copy(from, &mut inbound_read, &mut outbound_write) => {}
            () = self.copy(from, &mut outbound_read, &mut inbound_write) => {}
        }
    }

    async fn copy<R, W>(&self, from: IpAddr, reader: &mut R, writer: &mut W)
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut buf = vec![0; BUFFER_BYTES];
        while let Ok(count) = reader.read(&mut buf).await {
            self.wait_healed(from).await;
            if count == 0 || writer.write_all(&buf[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_healed(&self, from: IpAddr) {
        while self.is_cut(from) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
