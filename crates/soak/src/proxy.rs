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
pub enum LinkMood {
    /// It does not.
    #[default]
    Sound,
    /// Bytes come late.
    Delayed(Duration),
    /// Nothing passes either way; connections stay open.
    Silent,
    /// Nothing passes towards the target.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// A proxy before one address.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mood: watch::Sender<LinkMood>,
}

impl Proxy {
    /// Starts a proxy on a port of the system's choice.
    pub(crate) async fn start(ip: std::net::IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let mood = watch::Sender::new(LinkMood::Sound);
        let seen = mood.subscribe();
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(pass(inbound, target, seen.clone()));
            }
        });
        Ok(Self { address, mood })
    }

    /// Makes the link behave in some way.
    pub(crate) fn set_mood(&self, mood: LinkMood) {
        self.mood.send_replace(mood);
    }
}

async fn pass(inbound: TcpStream, target: SocketAddr, mut mood: watch::Receiver<LinkMood>) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    // Without it, the link is only slower.
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let there = pump(inbound_read, outbound_write, mood.clone(), true);
    let back = pump(outbound_read, inbound_write, mood.clone(), false);
    tokio::select! {
        () = there => {}
        () = back => {}
        // Both sockets are closed at once.
        _ = mood.wait_for(|mood| *mood == LinkMood::Reset) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mood: watch::Receiver<LinkMood>,
    towards_target: bool,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            return;
        }
        let passes = |mood: &LinkMood| match mood {
            LinkMood::Silent => false,
            LinkMood::OneWay => !towards_target,
            _ => true,
        };
        let Ok(now) = mood.wait_for(passes).await.map(|mood| *mood) else {
            return;
        };
        if let LinkMood::Delayed(pause) = now {
            sleep(pause).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
