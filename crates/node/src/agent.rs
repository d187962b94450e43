//! The agent: stands beside an endpoint and has the last word on what starts there.

mod actor;
mod announced;
mod calls;
mod remembered;
mod streams;

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_platform::StoreClient;
use cowslipwing_settings::PlatformAgentConfig;
use cowslipwing_types::{Clock, to_millis};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::http::{self, ListenError, Stage, listen};
use crate::members::Members;
use crate::metrics::Metrics;

use actor::{Actor, Event, Kept};
use calls::Calls;

/// Time before the end of the grace at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time in which the last messages leave.
const LAST_MESSAGES: Duration = Duration::from_millis(150);

/// A running agent.
pub struct Agent {
    name: String,
    grace: Duration,
    events: mpsc::UnboundedSender<Event>,
    drained: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
    _stage: watch::Sender<Stage>,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be used.
    pub async fn start(
        config: &PlatformAgentConfig,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, ListenError> {
        let common = &config.common;
        let endpoint = config.endpoint;
        let announcements = listen("platform.announcements", config.announcements).await?;
        let started_ms = to_millis(clock.wall());
        let name = format!("{}@{started_ms}", common.node);
        log::info!("agent: event=start agent={name} endpoint={endpoint} seeds={:?}", common.seeds);
        let members = Arc::new(Members::new(&common.seeds));
        let (events, rx) = mpsc::unbounded_channel();
        let (drained_tx, drained) = watch::channel(false);
        let calls = Calls::new(endpoint, started_ms, clock.clone(), events.clone());
        let id = name.parse().expect("a checked name and digits");
        let (reports, latest) = watch::channel(None);
        let kept = Kept { members: members.clone(), reports };
        let actor = Actor::new(id, common, clock, metrics.clone(), kept, calls);
        let store = Arc::new(StoreClient::new(common.store));
        let node = common.node.to_string();
        let stage = watch::Sender::new(Stage::Serving);
        let mut loops: Vec<BoxFuture<'static, ()>> = vec![
            actor.run(rx, drained_tx).boxed(),
            announced::serve(events.clone(), announcements, stage.subscribe()).boxed(),
            streams::read_entries(store.clone(), members.clone()).boxed(),
            remembered::read(store.clone(), node.clone(), events.clone()).boxed(),
            remembered::write(store, node, latest).boxed(),
            streams::run(members, name.clone(), events.clone()).boxed(),
        ];
        if let Some(port) = common.metrics_port {
            let listener = listen("platform.metrics_port", (common.ip, port).into()).await?;
            loops.push(http::serve_metrics(metrics, listener, stage.subscribe()).boxed());
        }
        let tasks = loops.into_iter().map(tokio::spawn).collect();
        Ok(Self { name, grace: common.stop_grace, events, drained, tasks, _stage: stage })
    }

    /// Runs until told to stop, then gives back what has not started and lets what runs end.
    pub async fn run<F>(mut self, stop: F)
    where
        F: Future<Output = ()>,
    {
        stop.await;
        log::info!("agent: event=stop agent={}", self.name);
        if self.events.send(Event::Leave).is_err() {
            log::error!("agent: event=actor-ended agent={}", self.name);
        }
        let rest = self.grace.saturating_sub(EXIT_MARGIN);
        let drained = self.drained.wait_for(|drained| *drained);
        if tokio::time::timeout(rest, drained).await.is_err() {
            log::warn!("agent: event=cut-off agent={}", self.name);
        }
        tokio::time::sleep(LAST_MESSAGES).await;
        for task in self.tasks {
            task.abort();
        }
        log::info!("agent: event=stopped agent={}", self.name);
    }
}
