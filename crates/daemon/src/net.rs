//! Listeners and channels.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use cowslipwing_types::EntryId;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

/// Time a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a connection is probed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time a probe may take.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest message between the system's own processes, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 128 << 20;

/// A process that cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("{key}: cannot listen on {address}: {source}; choose a free address"))]
    CannotListen {
        /// The setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A server stopped by itself.
    #[snafu(display("the {part} server stopped: {detail}; restart the daemon"))]
    ServerStopped {
        /// The server.
        part: &'static str,
        /// What the transport reported.
        detail: String,
    },
}

/// Binds a listener and returns the address it got.
pub(crate) async fn listen(
    key: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let context = CannotListenSnafu { key, address };
    let listener = TcpListener::bind(address).await.context(context)?;
    let bound = listener.local_addr().context(context)?;
    Ok((listener, bound))
}

/// Returns the local address from which a process connects to others, so that they see who it is.
pub(crate) fn source_ip(listener: SocketAddr) -> Option<IpAddr> {
    let ip = listener.ip();
    (!ip.is_unspecified()).then_some(ip)
}

/// Returns a channel to one of the system's own processes; it connects when first needed.
pub(crate) fn channel(address: &str, from: Option<IpAddr>) -> Option<Channel> {
    let socket: SocketAddr = address.parse().ok()?;
    let endpoint = Endpoint::try_from(format!("http://{socket}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .local_address(from);
    Some(endpoint.connect_lazy())
}

/// Metadata that names the entry a call is meant for.
const ADDRESSEE: &str = "cowslipwing-to";

/// A channel to one incarnation of an entry.
pub(crate) type PeerChannel = InterceptedService<Channel, SetRecipient>;

/// Names the entry that calls are meant for, or none.
#[derive(Clone, Debug)]
pub(crate) struct SetRecipient {
    to: Option<MetadataValue<Ascii>>,
}

impl SetRecipient {
    /// Names one incarnation of an entry; another one at its address must not answer for it.
    pub(crate) fn entry(entry: &EntryId) -> Self {
        Self { to: entry.as_str().parse().ok() }
    }

    /// Lets any entry answer.
    pub(crate) fn any_entry() -> Self {
        Self { to: None }
    }
}

impl Interceptor for SetRecipient {
    fn call(&mut self, mut req: Request<()>) -> Result<Request<()>, Status> {
        if let Some(to) = &self.to {
            req.metadata_mut().insert(ADDRESSEE, to.clone());
        }
        Ok(req)
    }
}

/// Refuses calls that are meant for another incarnation.
#[derive(Clone, Debug)]
pub(crate) struct CheckRecipient {
    pub(crate) id: EntryId,
}

impl Interceptor for CheckRecipient {
    fn call(&mut self, req: Request<()>) -> Result<Request<()>, Status> {
        match req.metadata().get(ADDRESSEE) {
            Some(to) if to.as_bytes() != self.id.as_str().as_bytes() => {
                Err(Status::failed_precondition("meant for another incarnation"))
            }
            _ => Ok(req),
        }
    }
}
