//! TCP listeners, gRPC channels to other processes, and the check that a call reaches the entry
//! incarnation it is addressed to.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cowslipwing_server::{Account, AccountCounts, Listener, Refusal, Report, Share};
use cowslipwing_settings::LimitConfig;
use cowslipwing_types::{Clock, EntryId};
use snafu::{ResultExt, Snafu};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use crate::api_error::ApiError;
use crate::metrics::Metrics;

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
/// `setting` names the setting that gives the address; it appears in the error message. `share` is the
/// part of the process that the listener's connections take.
pub(crate) fn listen(
    setting: &'static str,
    address: SocketAddr,
    share: Share,
    process: &Process<'_>,
) -> Result<(Listener, SocketAddr), StartError> {
    let context = CannotListenSnafu { setting, address };
    let limits = share.connection_limits(process.limits);
    let account = Account::new(limits, process.clock.clone());
    let report = report(process.metrics.clone());
    let listener = Listener::bind(setting, address, account, encode_refusal, report);
    let listener = listener.context(context)?;
    let local_addr = listener.local_addr().context(context)?;
    Ok((listener, local_addr))
}

/// What the listeners of a process share.
pub(crate) struct Process<'a> {
    pub(crate) limits: &'a LimitConfig,
    pub(crate) clock: &'a Arc<dyn Clock>,
    pub(crate) metrics: &'a Metrics,
}

fn encode_refusal(refusal: Refusal) -> String {
    let problem = ApiError::from(refusal).problem();
    serde_json::to_string(&problem).expect("a problem has no keys that JSON cannot represent")
}

/// Counts what happens at a listener, and logs a line for each interval in which clients were refused
/// or disconnected.
fn report(metrics: Metrics) -> Report {
    Arc::new(move |listener, account, counts| {
        let usage = account.usage();
        metrics.gauge(&format!("{listener}.connections"), usage.connections as u64);
        metrics.gauge(&format!("{listener}.held_bytes"), usage.memory.bytes());
        for (event, count) in counts.events() {
            metrics.count(&format!("{listener}.{event}"), count);
        }
        if counts != AccountCounts::default() {
            log::warn!(
                "{listener}: clients were refused or disconnected, with {} of {} connections and {} \
                 of {} held: {counts:?}.",
                usage.connections,
                account.limits().connections,
                usage.memory,
                account.limits().memory
            );
        }
    })
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
