//! A proxy on the loopback network that delays, silences and resets connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16 << 10;

/// How a link misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkBehaviour {
    /// It does not.
    #[default]
    Normal,
    /// Bytes come late.
    Delayed(Duration),
    /// Nothing passes either way; connections stay open.
    Stalled,
    /// Nothing passes towards the target.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// A proxy before one address.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    behaviour: watch::Sender<LinkBehaviour>,
}

impl Proxy {
    /// Starts a proxy on a port of the system's choice.
    pub(crate) async fn start(ip: std::net::IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let behaviour = watch::Sender::new(LinkBehaviour::Normal);
        let seen = behaviour.subscribe();
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(pass(inbound, target, seen.clone()));
            }
        });
        Ok(Self { address, behaviour })
    }

    /// Makes the link behave in some way.
    pub(crate) fn set_behaviour(&self, behaviour: LinkBehaviour) {
        self.behaviour.send_replace(behaviour);
    }
}

async fn pass(
    inbound: TcpStream,
    target: SocketAddr,
    mut behaviour: watch::Receiver<LinkBehaviour>,
) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    // Without it, the link is only slower.
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let there = pump(inbound_read, outbound_write, behaviour.clone(), true);
    let back = pump(outbound_read, inbound_write, behaviour.clone(), false);
    tokio::select! {
        () = there => {}
        () = back => {}
        // Both sockets are closed at once.
        _ = behaviour.wait_for(|behaviour| *behaviour == LinkBehaviour::Reset) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut behaviour: watch::Receiver<LinkBehaviour>,
    towards_target: bool,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            return;
        }
        let passes = |behaviour: &LinkBehaviour| match behaviour {
            LinkBehaviour::Stalled => false,
            LinkBehaviour::OneWay => !towards_target,
            _ => true,
        };
        let Ok(now) = behaviour.wait_for(passes).await.map(|behaviour| *behaviour) else {
            return;
        };
        if let LinkBehaviour::Delayed(pause) = now {
            sleep(pause).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
