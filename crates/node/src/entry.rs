//! The entry, which accepts callers' requests, places their tasks and returns the answers.

mod callers;
mod evacuation;
mod follow;
mod peer_cancels;
mod shared;
mod streams;

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_settings::PlatformEntryConfig;
use cowslipwing_types::Clock;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use cowslipwing_server::{Share, Stage};

use crate::http::{self, ListenError, Listeners};
use crate::metrics::Metrics;

use shared::{CallerLimits, Shared};

/// Time for which the load balancer may still send connections after the entry has stopped being
/// ready: two failed probes at one probe per second, and the delay of the last connection.
const BALANCER_LAG: Duration = Duration::from_millis(2500);
/// Time before the end of the stop grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before the exit at which the open jobs are answered. The answers take up to 50 ms and the way
/// to the callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Interval at which the number of requests in flight is checked while the entry closes.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which deadlines are checked while jobs are open.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of the same checks while no job is open.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry, with its listeners, streams and background tasks.
pub struct Entry {
    shared: Arc<Shared>,
    stage: watch::Sender<Stage>,
    stop_grace: Duration,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Binds the entry's listeners and starts its background tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if a configured address cannot be listened on.
    pub async fn start(
        config: &PlatformEntryConfig,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, ListenError> {
        let common = &config.common;
        let listeners = Listeners::new(&common.limits, clock.clone(), metrics.clone());
        let bind = |key, name, address, share| {
            listeners.bind(key, name, address, listeners.account(share))
        };
        let callers = bind("platform.callers", "callers", config.callers, Share::Callers)?;
        let ready = bind("platform.ready", "ready", config.ready, Share::Probes)?;
        let peers = (common.ip, common.peer_port).into();
        let peers = bind("platform.peer_port", "peers", peers, Share::Peers)?;
        let stage = watch::Sender::new(Stage::Serving);
        let request_limits = CallerLimits::new(callers.account().clone(), &common.limits);
        let shared = Shared::new(common, config.advertise, clock, metrics.clone(), request_limits);
        let shared = Arc::new(shared);
        log::info!(
            "entry: event=start entry={} callers={} peers={} seeds={:?}",
            shared.id,
            config.callers,
            shared.address,
            common.seeds
        );
        let mut services: Vec<BoxFuture<'static, ()>> = vec![
            callers::serve(shared.clone(), callers, stage.subscribe()).boxed(),
            callers::serve_ready(shared.clone(), ready, stage.subscribe()).boxed(),
            streams::serve(shared.clone(), peers).boxed(),
            follow::follow_configuration(shared.clone()).boxed(),
            follow::announce_and_follow_entries(shared.clone()).boxed(),
            follow::poll_peers(shared.clone()).boxed(),
            peer_cancels::send_notices(shared.clone()).boxed(),
            evacuation::check_sites(shared.clone()).boxed(),
            tick(shared.clone()).boxed(),
        ];
        if let Some(port) = common.metrics_port {
            let address = (common.ip, port).into();
            let listener = bind("platform.metrics_port", "metrics", address, Share::Probes)?;
            services.push(http::serve_metrics(metrics, listener, stage.subscribe()).boxed());
        }
        let tasks = services.into_iter().map(tokio::spawn).collect();
        Ok(Self { shared, stage, stop_grace: common.stop_grace, tasks })
    }

    /// Serves until `stop` completes, then until requests in flight have ended or the stop grace
    /// period is nearly over.
    ///
    /// The entry first reports that it is not ready. It still serves the requests that the load
    /// balancer sends in the meantime, and asks their callers to use another connection.
    pub async fn run<F>(self, stop: F)
    where
        F: Future<Output = ()>,
    {
        stop.await;
        let in_flight = self.shared.in_flight();
        log::info!("entry: event=stop entry={} in_flight={in_flight}", self.shared.id);
        let serves_for = self.stop_grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN);
        self.shared.with_scheduler(|scheduler, now| scheduler.set_stop_at(now + serves_for));
        self.stage.send_replace(Stage::Draining);
        tokio::time::sleep(BALANCER_LAG).await;
        self.stage.send_replace(Stage::Closing);
        let remaining = self.stop_grace.saturating_sub(BALANCER_LAG + EXIT_MARGIN);
        let ended = async {
            while self.shared.in_flight() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(remaining, ended).await.is_err() {
            let in_flight = self.shared.in_flight();
            log::warn!("entry: event=cut-off entry={} in_flight={in_flight}", self.shared.id);
        }
        for task in self.tasks {
            task.abort();
        }
        log::info!("entry: event=stopped entry={}", self.shared.id);
    }
}

async fn tick(shared: Arc<Shared>) {
    loop {
        let idle = shared.scheduler().open_jobs() == 0;
        tokio::time::sleep(if idle { IDLE_TICK_INTERVAL } else { TICK_INTERVAL }).await;
        shared.with_scheduler(|scheduler, now| scheduler.on_tick(now));
    }
}
