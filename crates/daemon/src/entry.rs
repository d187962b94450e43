//! The entry: accepts submissions, owns ranges of job keys, sends tasks to agents and collects
//! their results.

mod admin;
mod append;
mod decision_log;
mod dispatch;
mod forward;
mod handover;
mod http;
mod job_memory;
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

use cowslipwing_server::{Share, Stage};
use cowslipwing_settings::{Config, EntryConfig};
use cowslipwing_types::Clock;
use futures::FutureExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::metrics::Metrics;
use crate::net::{self, Process, StartError};
use crate::signal::StopSignal;

use decision_log::DecisionLog;
use shared::{Addresses, Shared};

/// Time that a stopping entry has to hand over its ranges, finish requests in flight and leave the
/// member set.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A running entry.
pub struct Entry {
    shared: Arc<Shared>,
    stop: StopSignal,
    stage: watch::Sender<Stage>,
    http: SocketAddr,
    rpc: SocketAddr,
    background_tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Binds the entry's two listeners and spawns its background tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(
        config: &Config,
        entry: &EntryConfig,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        stop: StopSignal,
    ) -> Result<Self, StartError> {
        let process = Process { limits: &config.limits, clock: &clock, metrics: &metrics };
        let (http_listener, http) =
            net::listen("entry.http", entry.http, Share::Callers, &process)?;
        let (rpc_listener, rpc) = net::listen("entry.rpc", entry.rpc, Share::Peers, &process)?;
        let stage = watch::Sender::new(Stage::Serving);
        let source_ip = net::source_ip(rpc);
        let decision_log = DecisionLog::new(entry.log, source_ip);
        let addresses = Addresses { http, rpc: entry.advertise.unwrap_or(rpc), source_ip };
        let shared = Arc::new(Shared::new(config, entry, addresses, clock, metrics, decision_log));
        log::info!(
            "entry: {} is listening on {http} for callers and on {rpc} for peers and agents.",
            shared.id
        );
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
            http::serve(shared.clone(), http_listener, stage.subscribe()).boxed(),
        ];
        let background_tasks = loops.into_iter().map(tokio::spawn).collect();
        Ok(Self { shared, stop, stage, http, rpc, background_tasks })
    }

    /// Returns the bound address of the HTTP interface for callers and operators.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the bound address of the gRPC interface for peers and agents.
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// Returns whether the entry can serve requests: it is a member and not stopping, every range
    /// has an owner, and the entry serves all the ranges that it owns.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Runs until the stop signal is set, then shuts down gracefully.
    ///
    /// The entry hands over its ranges, waits for requests in flight and leaves the member set, for
    /// all of which it has 20 s.
    pub async fn run(self) {
        self.stop.wait().await;
        log::info!("entry: {} is stopping.", self.shared.id);
        self.shared.begin_stop();
        self.stage.send_replace(Stage::Draining);
        if tokio::time::timeout(STOP_TIMEOUT, handover::leave(&self.shared)).await.is_err() {
            log::warn!(
                "entry: handover and requests in flight did not finish within {STOP_TIMEOUT:?}."
            );
        }
        for handle in self.background_tasks {
            handle.abort();
        }
    }
}
