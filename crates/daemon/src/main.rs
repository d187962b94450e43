//! Runs one process of cowslipwing, an entry or an agent, as its settings say.

use std::path::PathBuf;
use std::sync::Arc;

use bpaf::Bpaf;
use cowslipwing_daemon::{Agent, Entry, Stop, TelemetryGuard, wait_for_signal};
use cowslipwing_settings::{Config, Role};
use cowslipwing_types::{Clock, SystemClock};
use snafu::{ResultExt, Whatever};

/// Runs an entry or an agent, as its settings say.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings in YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

#[snafu::report]
#[tokio::main]
async fn main() -> Result<(), Whatever> {
    let options = options().run();
    let config = Config::load(&options.settings).whatever_context("the daemon cannot start")?;
    let telemetry =
        TelemetryGuard::start(&config.telemetry).whatever_context("the daemon cannot start")?;
    let stop = Stop::new();
    tokio::spawn(stop_on_signal(stop.clone()));
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let metrics = telemetry.metrics.clone();
    match &config.role {
        Role::Entry(entry) => {
            let entry = Entry::start(&config, entry, clock, metrics, stop)
                .await
                .whatever_context("the entry cannot start")?;
            println!("entry http={} rpc={}", entry.http(), entry.rpc());
            entry.run().await;
        }
        Role::Agent(agent) => {
            let agent = Agent::start(&config, agent, clock, metrics, stop)
                .await
                .whatever_context("the agent cannot start")?;
            println!("agent rpc={}", agent.rpc());
            agent.run().await;
        }
    }
    Ok(())
}

async fn stop_on_signal(stop: Stop) {
    if let Err(error) = wait_for_signal().await {
        log::error!("daemon: signals cannot be watched: {error}.");
    }
    stop.set();
}
