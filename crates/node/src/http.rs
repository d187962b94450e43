//! The process's listeners and what they report.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cowslipwing_server::{Account, AccountCounts, Listener, Refusal, Report, Share, Stage};
use cowslipwing_settings::LimitConfig;
use cowslipwing_types::Clock;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::json;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

use crate::metrics::Metrics;

/// An error when binding a listener.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ListenError {
    /// The operating system refused to bind the address.
    #[snafu(display("{key}: cannot listen on {address}: {source}; choose a free address"))]
    CannotListen {
        /// Key of the setting that holds the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

pub(crate) type Body = Full<Bytes>;

/// Binds the listeners of a process.
pub(crate) struct Listeners {
    limits: LimitConfig,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
}

impl Listeners {
    pub(crate) fn new(limits: &LimitConfig, clock: Arc<dyn Clock>, metrics: Arc<Metrics>) -> Self {
        Self { limits: *limits, clock, metrics }
    }

    /// Returns an account for a listener with a share of the process.
    pub(crate) fn account(&self, share: Share) -> Arc<Account> {
        Account::new(share.connection_limits(&self.limits), self.clock.clone())
    }

    /// Binds a listener to an address, which the setting `key` holds. Reports name it `name`.
    pub(crate) fn bind(
        &self,
        key: &'static str,
        name: &'static str,
        address: SocketAddr,
        account: Arc<Account>,
    ) -> Result<Listener, ListenError> {
        let report = report(self.metrics.clone());
        let listener = Listener::bind(name, address, account, encode_refusal, report);
        listener.context(CannotListenSnafu { key, address })
    }
}

fn encode_refusal(refusal: Refusal) -> String {
    json!({"error": refusal.to_string()}).to_string()
}

/// Counts what happens at a listener, and logs a line for each interval in which clients were refused
/// or disconnected.
fn report(metrics: Arc<Metrics>) -> Report {
    Arc::new(move |name, account, counts| {
        let usage = account.usage();
        metrics.set_connections(name, usage.connections, usage.memory.bytes());
        for (event, count) in counts.events() {
            metrics.count_many(event, count);
        }
        if counts != AccountCounts::default() {
            let limits = account.limits();
            log::warn!(
                "http: event=clients-refused listener={name} connections={}/{} memory={}/{} \
                 refused={} no_room={} made_room={} timed_out={} accept_failed={}",
                usage.connections,
                limits.connections,
                usage.memory.bytes(),
                limits.memory.bytes(),
                counts.refused_connections,
                counts.refused_requests,
                counts.made_room,
                counts.timed_out,
                counts.accept_failures
            );
        }
    })
}

/// Serves metrics in the Prometheus text format until the stage is [`Stage::Closing`].
pub(crate) async fn serve_metrics(
    metrics: Arc<Metrics>,
    listener: Listener,
    stage: watch::Receiver<Stage>,
) {
    let handle = move |_req: Request<Incoming>| {
        let text = metrics.render();
        async move { Response::new(Full::new(Bytes::from(text))) }
    };
    listener.serve_http1(stage, handle).await;
}
