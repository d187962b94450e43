//! TCP listeners, gRPC channels to other processes, and the check that a call reaches the entry
//! incarnation it is addressed to.

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

/// Time after which a connection attempt fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a connection whose keep-alive ping is unanswered is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest gRPC message that may be sent or received, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 128 << 20;

/// An error that prevents a process from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener cannot be bound.
    #[snafu(display("{setting}: cannot listen on {address}: {source}; choose a free address"))]
    CannotListen {
        /// Name of the setting that gives the address, for example `agent.rpc`.
        setting: &'static str,
        /// The address from the setting.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A server stopped unexpectedly.
    #[snafu(display("the {server} server stopped: {detail}; restart the daemon"))]
    ServerStopped {
        /// Name of the server.
        server: &'static str,
        /// The transport's error message.
        detail: String,
    },
}

/// Binds a listener and returns it with its local address.
///
/// `setting` names the setting that gives the address; it appears in the error message.
pub(crate) async fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let context = CannotListenSnafu { setting, address };
    let listener = TcpListener::bind(address).await.context(context)?;
    let local_addr = listener.local_addr().context(context)?;
    Ok((listener, local_addr))
}

/// Returns the source address for outgoing connections of the process that listens on `listener`.
///
/// Connecting from the listening address identifies the process to others. Returns `None` if the
/// listener is bound to the unspecified address.
pub(crate) fn source_ip(listener: SocketAddr) -> Option<IpAddr> {
    let ip = listener.ip();
    (!ip.is_unspecified()).then_some(ip)
}

/// Creates a channel to an entry or agent, which connects on its first call.
///
/// Returns `None` if `address` is not a socket address.
pub(crate) fn channel(address: &str, source_ip: Option<IpAddr>) -> Option<Channel> {
    let socket: SocketAddr = address.parse().ok()?;
    let endpoint = Endpoint::try_from(format!("http://{socket}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .local_address(source_ip);
    Some(endpoint.connect_lazy())
}

/// Metadata key of the entry incarnation that a call is addressed to.
const RECIPIENT: &str = "cowslipwing-to";

/// A channel to one incarnation of an entry.
pub(crate) type PeerChannel = InterceptedService<Channel, SetRecipient>;

/// Adds the recipient of each call to its metadata.
#[derive(Clone, Debug)]
pub(crate) struct SetRecipient {
    /// The recipient, or `None` if any entry may answer.
    recipient: Option<MetadataValue<Ascii>>,
}

impl SetRecipient {
    /// Addresses calls to one incarnation of an entry. Another incarnation that listens on the same
    /// address refuses them.
    pub(crate) fn entry(entry: &EntryId) -> Self {
        Self { recipient: entry.as_str().parse().ok() }
    }

    /// Addresses calls to whichever entry listens on the address.
    pub(crate) fn any_entry() -> Self {
        Self { recipient: None }
    }
}

impl Interceptor for SetRecipient {
    fn call(&mut self, mut req: Request<()>) -> Result<Request<()>, Status> {
        if let Some(recipient) = &self.recipient {
            req.metadata_mut().insert(RECIPIENT, recipient.clone());
        }
        Ok(req)
    }
}

/// Refuses calls that are addressed to another entry incarnation. Calls without a recipient pass.
#[derive(Clone, Debug)]
pub(crate) struct CheckRecipient {
    /// Id of the entry incarnation that receives the calls.
    pub(crate) id: EntryId,
}

impl Interceptor for CheckRecipient {
    fn call(&mut self, req: Request<()>) -> Result<Request<()>, Status> {
        match req.metadata().get(RECIPIENT) {
            Some(recipient) if recipient.as_bytes() != self.id.as_str().as_bytes() => Err(
                Status::failed_precondition("the call is addressed to another entry incarnation"),
            ),
            _ => Ok(req),
        }
    }
}
