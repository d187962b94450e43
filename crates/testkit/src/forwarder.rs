//! Stands before a listener and cuts links by who connects.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::error::{IoSnafu, TestkitError};

/// Time between two looks at whether a link was healed.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 << 10;

#[derive(Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    cut: Vec<IpAddr>,
}

/// Passes connections on; what comes over a cut link is held back, as a lossy network does.
#[derive(Clone, Debug)]
pub struct Forwarder {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Forwarder {
    /// Begins to listen at an address of the loopback network.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn start(ip: IpAddr) -> Result<Self, TestkitError> {
        let listener = TcpListener::bind((ip, 0)).await;
        let listener = listener.context(IoSnafu { what: "bind a forwarder" })?;
        let address = listener.local_addr().context(IoSnafu { what: "bind a forwarder" })?;
        let forwarder = Self { address, state: Arc::default() };
        tokio::spawn(forwarder.clone().accept(listener));
        Ok(forwarder)
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the listener that connections are passed on to.
    pub fn set_target(&self, target: SocketAddr) {
        self.with(|state| state.target = Some(target));
    }

    /// Cuts the link from an address.
    pub fn cut(&self, from: IpAddr) {
        self.with(|state| state.cut.push(from));
    }

    /// Heals the link from an address.
    pub fn heal(&self, from: IpAddr) {
        self.with(|state| state.cut.retain(|ip| *ip != from));
    }

    fn is_cut(&self, from: IpAddr) -> bool {
        self.with(|state| state.cut.contains(&from))
    }

    fn with<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        work(&mut self.state.lock().expect("no holder of the forwarder panics"))
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((inbound, peer)) = listener.accept().await {
            tokio::spawn(self.clone().serve(inbound, peer.ip()));
        }
    }

    async fn serve(self, inbound: TcpStream, from: IpAddr) {
        self.wait_healed(from).await;
        let Some(target) = self.with(|state| state.target) else {
            return;
        };
        let Ok(outbound) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
        let (mut inbound_read, mut inbound_write) = inbound.into_split();
        let (mut outbound_read, mut outbound_write) = outbound.into_split();
        tokio::select! {
            () = self.pump(from, &mut inbound_read, &mut outbound_write) => {}
            () = self.pump(from, &mut outbound_read, &mut inbound_write) => {}
        }
    }

    async fn pump<R, W>(&self, from: IpAddr, reader: &mut R, writer: &mut W)
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
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}
