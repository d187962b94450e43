//! The agent: runs beside an endpoint and makes the final decision on starting a task there.

mod announce;
mod runner;
mod service;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipwing_server::Share;
use cowslipwing_settings::{AgentConfig, Config};
use cowslipwing_types::Clock;
use futures::FutureExt;
use tokio::task::JoinHandle;

use crate::metrics::Metrics;
use crate::net::{self, Process, StartError};
use crate::signal::StopSignal;

use state::Shared;

/// Time that a stopping agent waits for running tasks to end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a stopping agent allows for the last reports to reach the entries.
const REPORT_FLUSH_TIME: Duration = Duration::from_millis(200);
/// Interval at which a stopping agent checks whether tasks are still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running agent.
pub struct Agent {
    shared: Arc<Shared>,
    stop: StopSignal,
    rpc: SocketAddr,
    background_tasks: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Binds the agent's listener and spawns its background tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if the RPC address cannot be bound.
    pub async fn start(
        config: &Config,
        agent: &AgentConfig,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        stop: StopSignal,
    ) -> Result<Self, StartError> {
        let process = Process { limits: &config.limits, clock: &clock, metrics: &metrics };
        let (listener, rpc) = net::listen("agent.rpc", agent.rpc, Share::Peers, &process)?;
        let shared = Arc::new(Shared::new(config, agent, rpc, clock, metrics));
        log::info!("agent: {} is listening on {rpc}.", shared.incarnation);
        let loops = [
            announce::run(shared.clone()).boxed(),
            runner::run(shared.clone()).boxed(),
            service::serve(shared.clone(), listener).boxed(),
        ];
        let background_tasks = loops.into_iter().map(tokio::spawn).collect();
        Ok(Self { shared, stop, rpc, background_tasks })
    }

    /// Returns the bound address of the gRPC interface for entries.
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// Runs until the stop signal is set, then shuts down gracefully.
    ///
    /// Queued tasks are returned to their entries. Running tasks have 20 s to end.
    pub async fn run(self) {
        self.stop.wait().await;
        log::info!("agent: {} is stopping.", self.shared.incarnation);
        self.shared.begin_leaving();
        announce::announce_once(&self.shared).await;
        let drained = async {
            while self.shared.running() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
            log::warn!(
                "agent: tasks were still running after the drain timeout of {DRAIN_TIMEOUT:?}."
            );
        }
        tokio::time::sleep(REPORT_FLUSH_TIME).await;
        for handle in self.background_tasks {
            handle.abort();
        }
    }
}
