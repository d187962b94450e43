//! The agent: stands beside an endpoint and has the last word on starting a task.

mod announce;
mod runner;
mod service;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipwing_settings::{AgentConfig, Config};
use cowslipwing_types::Clock;
use futures::FutureExt;
use tokio::task::JoinHandle;

use crate::metrics::Metrics;
use crate::net::{self, StartError};
use crate::signal::StopSignal;

use state::Shared;

/// Time in which running tasks may end before a stopping agent exits.
const DRAIN_LIMIT: Duration = Duration::from_secs(20);
/// Time in which the last reports reach the entries.
const REPORT_GRACE: Duration = Duration::from_millis(200);
/// Time between two looks at the running tasks.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// A running agent.
pub struct Agent {
    shared: Arc<Shared>,
    stop: StopSignal,
    rpc: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be used.
    pub async fn start(
        config: &Config,
        agent: &AgentConfig,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        stop: StopSignal,
    ) -> Result<Self, StartError> {
        let (listener, rpc) = net::listen("agent.rpc", agent.rpc).await?;
        let shared = Arc::new(Shared::new(config, agent, rpc, clock, metrics));
        log::info!("agent: {} listens on {rpc}.", shared.incarnation);
        let loops = [
            announce::run(shared.clone()).boxed(),
            runner::run(shared.clone()).boxed(),
            service::serve(shared.clone(), listener).boxed(),
        ];
        let tasks = loops.into_iter().map(tokio::spawn).collect();
        Ok(Self { shared, stop, rpc, tasks })
    }

    /// Returns the address for entries.
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// Runs until told to stop, then gives back what is queued and lets what runs end.
    pub async fn run(self) {
        self.stop.wait().await;
        log::info!("agent: {} stops.", self.shared.incarnation);
        self.shared.begin_leaving();
        announce::announce_once(&self.shared).await;
        let drained = async {
            while self.shared.running() > 0 {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        };
        if tokio::time::timeout(DRAIN_LIMIT, drained).await.is_err() {
            log::warn!("agent: tasks were still running after {DRAIN_LIMIT:?}.");
        }
        tokio::time::sleep(REPORT_GRACE).await;
        for task in self.tasks {
            task.abort();
        }
    }
}
