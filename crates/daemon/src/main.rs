//! The daemon: runs one entry or one agent, depending on the role in its settings.

use std::path::PathBuf;
use std::sync::Arc;

use bpaf::Bpaf;
use cowslipwing_daemon::{Agent, Entry, StopSignal, TelemetryGuard, wait_for_signal};
use cowslipwing_node::{Metrics as NodeMetrics, StdoutLog};
use cowslipwing_settings::{Config, PlatformAgentConfig, PlatformEntryConfig, Role};
use cowslipwing_types::{Clock, SystemClock};
use snafu::{ResultExt, Whatever};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Runs an entry or an agent, depending on the role in the settings.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings in YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let options = options().run();
    let config = Config::load(&options.settings).whatever_context("the daemon cannot start")?;
    let runtime = match config.role {
        // The platform's VMs give a process one core, so a second thread would only add context
        // switches.
        Role::PlatformEntry(_) | Role::PlatformAgent(_) => Builder::new_current_thread(),
        Role::Entry(_) | Role::Agent(_) => Builder::new_multi_thread(),
    }
    .enable_all()
    .build();
    let runtime = runtime.whatever_context("the daemon cannot start")?;
    runtime.block_on(run(&options, &config))
}

async fn run(options: &Options, config: &Config) -> Result<(), Whatever> {
    match &config.role {
        Role::PlatformEntry(platform) => run_platform_entry(options, config, platform).await,
        Role::PlatformAgent(platform) => run_platform_agent(options, config, platform).await,
        Role::Entry(_) | Role::Agent(_) => run_with_own_servers(config).await,
    }
}

/// Runs an entry that uses the platform's interfaces.
async fn run_platform_entry(
    options: &Options,
    config: &Config,
    platform: &PlatformEntryConfig,
) -> Result<(), Whatever> {
    let _log =
        StdoutLog::start(&config.telemetry.log).whatever_context("the entry cannot start")?;
    let metrics = Arc::new(NodeMetrics::new());
    let entry = cowslipwing_node::Entry::start(platform, Arc::new(SystemClock), metrics)
        .await
        .whatever_context("the entry cannot start")?;
    entry.run(stop_or_reload(options.settings.clone())).await;
    Ok(())
}

/// Runs an agent that uses the platform's interfaces.
async fn run_platform_agent(
    options: &Options,
    config: &Config,
    platform: &PlatformAgentConfig,
) -> Result<(), Whatever> {
    let _log =
        StdoutLog::start(&config.telemetry.log).whatever_context("the agent cannot start")?;
    let metrics = Arc::new(NodeMetrics::new());
    let agent = cowslipwing_node::Agent::start(platform, Arc::new(SystemClock), metrics)
        .await
        .whatever_context("the agent cannot start")?;
    agent.run(stop_or_reload(options.settings.clone())).await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT. On each SIGHUP, validates the settings file and logs the result.
///
/// Changed settings apply only after a restart, since a running process cannot change its
/// addresses. Returns early if a signal handler cannot be installed.
async fn stop_or_reload(settings: PathBuf) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        log::error!("daemon: event=no-hangup-signal");
        return;
    };
    let mut stop = std::pin::pin!(wait_for_signal());
    loop {
        tokio::select! {
            result = stop.as_mut() => {
                if let Err(error) = result {
                    log::error!("daemon: event=no-stop-signal error=\"{error}\"");
                }
                return;
            }
            _ = hangups.recv() => match Config::load(&settings) {
                Ok(_) => log::info!("daemon: event=reload settings=valid"),
                Err(error) => log::warn!("daemon: event=reload error=\"{error}\""),
            },
        }
    }
}

/// Runs an entry or an agent with its own HTTP and gRPC servers.
async fn run_with_own_servers(config: &Config) -> Result<(), Whatever> {
    let telemetry =
        TelemetryGuard::start(&config.telemetry).whatever_context("the daemon cannot start")?;
    let stop = StopSignal::new();
    tokio::spawn(stop_on_signal(stop.clone()));
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let metrics = telemetry.metrics.clone();
    match &config.role {
        Role::Entry(entry) => {
            let entry = Entry::start(config, entry, clock, metrics, stop)
                .await
                .whatever_context("the entry cannot start")?;
            println!("entry http={} rpc={}", entry.http(), entry.rpc());
            entry.run().await;
        }
        Role::Agent(agent) => {
            let agent = Agent::start(config, agent, clock, metrics, stop)
                .await
                .whatever_context("the agent cannot start")?;
            println!("agent rpc={}", agent.rpc());
            agent.run().await;
        }
        Role::PlatformEntry(_) | Role::PlatformAgent(_) => {
            unreachable!("platform roles are run by run_platform_entry and run_platform_agent")
        }
    }
    Ok(())
}

/// Sets `stop` on SIGTERM or SIGINT, or at once if the signal handlers cannot be installed.
async fn stop_on_signal(stop: StopSignal) {
    if let Err(error) = wait_for_signal().await {
        log::error!("daemon: cannot install the signal handlers: {error}.");
    }
    stop.set();
}
