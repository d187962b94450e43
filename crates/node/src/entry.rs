//! The entry: takes callers' requests, places their tasks and gathers the answers.

mod callers;
mod follow;
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

use crate::http::{self, ListenError, Stage, listen};
use crate::metrics::Metrics;

use shared::Shared;

/// Time for which the balancer may still send connections after the entry stopped being ready: two
/// misses of one question a second, and the way of the last connection.
const BALANCER_LAG: Duration = Duration::from_millis(2500);
/// Time before the end of the grace at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time between two looks at the requests in flight.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two looks at deadlines while jobs are open.
const TICK: Duration = Duration::from_millis(10);
/// Time between two looks while none is.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// A running entry.
pub struct Entry {
    shared: Arc<Shared>,
    stage: watch::Sender<Stage>,
    grace: Duration,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be used.
    pub async fn start(
        config: &PlatformEntryConfig,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, ListenError> {
        let common = &config.common;
        let callers = listen("platform.callers", config.callers).await?;
        let ready = listen("platform.ready", config.ready).await?;
        let peers = listen("platform.peer_port", (common.ip, common.peer_port).into()).await?;
        let stage = watch::Sender::new(Stage::Serving);
        let shared = Arc::new(Shared::new(common, config.advertise, clock, metrics.clone()));
        log::info!(
            "entry: event=start entry={} callers={} peers={} seeds={:?}",
            shared.name,
            config.callers,
            shared.address,
            common.seeds
        );
        let mut loops: Vec<BoxFuture<'static, ()>> = vec![
            callers::serve(shared.clone(), callers, stage.subscribe()).boxed(),
            callers::serve_ready(shared.clone(), ready, stage.subscribe()).boxed(),
            streams::serve(shared.clone(), peers).boxed(),
            follow::configuration(shared.clone()).boxed(),
            follow::entries(shared.clone()).boxed(),
            follow::peers(shared.clone()).boxed(),
            tick(shared.clone()).boxed(),
        ];
        if let Some(port) = common.metrics_port {
            let listener = listen("platform.metrics_port", (common.ip, port).into()).await?;
            loops.push(http::serve_metrics(metrics, listener, stage.subscribe()).boxed());
        }
        let tasks = loops.into_iter().map(tokio::spawn).collect();
        Ok(Self { shared, stage, grace: common.stop_grace, tasks })
    }

    /// Serves until told to stop, then until requests in flight have ended.
    ///
    /// The balancer learns first that the entry is not ready; callers are asked to use another
    /// connection from then on, and what comes in meanwhile is served.
    pub async fn run<F>(self, stop: F)
    where
        F: Future<Output = ()>,
    {
        stop.await;
        let in_flight = self.shared.in_flight();
        log::info!("entry: event=stop entry={} in_flight={in_flight}", self.shared.name);
        self.stage.send_replace(Stage::Draining);
        tokio::time::sleep(BALANCER_LAG).await;
        self.stage.send_replace(Stage::Closing);
        let rest = self.grace.saturating_sub(BALANCER_LAG + EXIT_MARGIN);
        let ended = async {
            while self.shared.in_flight() > 0 {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        };
        if tokio::time::timeout(rest, ended).await.is_err() {
            let in_flight = self.shared.in_flight();
            log::warn!("entry: event=cut-off entry={} in_flight={in_flight}", self.shared.name);
        }
        for task in self.tasks {
            task.abort();
        }
        log::info!("entry: event=stopped entry={}", self.shared.name);
    }
}

async fn tick(shared: Arc<Shared>) {
    loop {
        let idle = shared.scheduler().open_jobs() == 0;
        tokio::time::sleep(if idle { IDLE_TICK } else { TICK }).await;
        shared.decide(|scheduler, now| scheduler.on_tick(now));
    }
}
