//! A TCP proxy on the loopback network that can delay, stall and reset connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16 << 10;

/// Behaviour of a link, normal or with an injected fault.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkBehaviour {
    /// No fault.
    #[default]
    Normal,
    /// Data is delayed by this time.
    Delayed(Duration),
    /// No data is forwarded in either direction; connections stay open.
    Stalled,
    /// No data is forwarded to the target; data from the target is.
    OneWay,
    /// Connections are closed, and new ones as soon as they are accepted.
    Reset,
    /// Connections are closed and new ones are refused, as if the target's process had ended.
    Refused,
}

/// A proxy in front of one address.
pub(crate) struct Proxy {
    /// Address that the proxy listens on.
    pub(crate) address: SocketAddr,
    behaviour: watch::Sender<LinkBehaviour>,
    /// Number of times that the open connections were reset.
    resets: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy on a free port of `ip`.
    pub(crate) async fn start(ip: std::net::IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let behaviour = watch::Sender::new(LinkBehaviour::Normal);
        let resets = watch::Sender::new(0);
        let (behaviours, later_resets) = (behaviour.subscribe(), resets.subscribe());
        tokio::spawn(accept(listener, address, target, behaviours, later_resets));
        Ok(Self { address, behaviour, resets })
    }

    /// Resets the open connections. New ones are accepted at once.
    pub(crate) fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Sets the behaviour of current and new connections.
    pub(crate) fn set_behaviour(&self, behaviour: LinkBehaviour) {
        self.behaviour.send_replace(behaviour);
    }
}

/// Forwards connections until the proxy is dropped. While they are refused, nothing listens.
async fn accept(
    mut listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut behaviour: watch::Receiver<LinkBehaviour>,
    mut resets: watch::Receiver<u64>,
) -> std::io::Result<()> {
    loop {
        let connections = behaviour.clone();
        tokio::select! {
            accepted = listener.accept() => {
                resets.mark_unchanged();
                tokio::spawn(forward(accepted?.0, target, connections, resets.clone()));
                continue;
            }
            refused = behaviour.wait_for(|behaviour| *behaviour == LinkBehaviour::Refused) => {
                if refused.is_err() {
                    return Ok(());
                }
            }
        }
        drop(listener);
        if behaviour.wait_for(|behaviour| *behaviour != LinkBehaviour::Refused).await.is_err() {
            return Ok(());
        }
        listener = TcpListener::bind(address).await?;
    }
}

async fn forward(
    inbound: TcpStream,
    target: SocketAddr,
    mut behaviour: watch::Receiver<LinkBehaviour>,
    mut resets: watch::Receiver<u64>,
) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    // An error is harmless: the link is only slower without TCP_NODELAY.
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let to_target = copy(inbound_read, outbound_write, behaviour.clone(), true);
    let from_target = copy(outbound_read, inbound_write, behaviour.clone(), false);
    tokio::select! {
        () = to_target => {}
        () = from_target => {}
        // Returning closes both connections.
        _ = resets.changed() => {}
        _ = behaviour.wait_for(|behaviour| {
            matches!(behaviour, LinkBehaviour::Reset | LinkBehaviour::Refused)
        }) => {}
    }
}

async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut behaviour: watch::Receiver<LinkBehaviour>,
    towards_target: bool,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(count) = reader.read(&mut buf).await {
        if count == 0 {
            return;
        }
        let allows_data = |behaviour: &LinkBehaviour| match behaviour {
            LinkBehaviour::Stalled => false,
            LinkBehaviour::OneWay => !towards_target,
            _ => true,
        };
        let Ok(current) = behaviour.wait_for(allows_data).await.map(|behaviour| *behaviour) else {
            return;
        };
        if let LinkBehaviour::Delayed(delay) = current {
            sleep(delay).await;
        }
        if writer.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
