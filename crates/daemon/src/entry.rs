//! The entry: takes submissions, owns ranges of job keys, and gathers answers.

mod admin;
mod append;
mod decision_log;
mod dispatch;
mod forward;
mod handover;
mod http;
mod jobs;
mod lease;
mod link;
mod log_follower;
mod membership;
mod quotas;
mod reports;
mod rpc;
mod shard;
mod shared;
mod submission;
mod takeover;
mod transfer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipwing_settings::{Config, EntryConfig};
use cowslipwing_types::Clock;
use futures::FutureExt;
use tokio::task::JoinHandle;

use crate::metrics::Metrics;
use crate::net::{self, StartError};
use crate::signal::Stop;

use decision_log::DecisionLog;
use shared::{Addresses, Shared};

/// Time in which jobs in flight may end before a stopping entry gives its ranges away.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A running entry.
pub struct Entry {
    shared: Arc<Shared>,
    stop: Stop,
    http: SocketAddr,
    rpc: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be used.
    pub async fn start(
        config: &Config,
        entry: &EntryConfig,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        stop: Stop,
    ) -> Result<Self, StartError> {
        let (http_listener, http) = net::listen("entry.http", entry.http).await?;
        let (rpc_listener, rpc) = net::listen("entry.rpc", entry.rpc).await?;
        let source = net::source_of(rpc);
        let decision_log = DecisionLog::new(entry.log, source);
        let addresses = Addresses { http, rpc: entry.advertise.unwrap_or(rpc), source };
        let shared = Arc::new(Shared::new(config, entry, addresses, clock, metrics, decision_log));
        log::info!("entry: {} listens on {http} and {rpc}.", shared.id);
        let loops = [
            log_follower::run(shared.clone()).boxed(),
            membership::run(shared.clone()).boxed(),
            lease::run(shared.clone()).boxed(),
            takeover::run(shared.clone()).boxed(),
            handover::run(shared.clone()).boxed(),
            quotas::run(shared.clone()).boxed(),
            dispatch::run(shared.clone()).boxed(),
            jobs::run_ticks(shared.clone()).boxed(),
            rpc::serve(shared.clone(), rpc_listener).boxed(),
            http::serve(shared.clone(), http_listener).boxed(),
        ];
        let tasks = loops.into_iter().map(tokio::spawn).collect();
        Ok(Self { shared, stop, http, rpc, tasks })
    }

    /// Returns the address for callers.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address for peers and agents.
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// Tells whether the entry serves ranges or knows who does.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Runs until told to stop, then gives its ranges away and lets requests in flight end.
    pub async fn run(self) {
        self.stop.wait().await;
        log::info!("entry: {} stops.", self.shared.id);
        self.shared.begin_stop();
        if tokio::time::timeout(STOP_TIMEOUT, handover::leave(&self.shared)).await.is_err() {
            log::warn!("entry: requests were still in flight after {STOP_TIMEOUT:?}.");
        }
        for task in self.tasks {
            task.abort();
        }
    }
}
