//! The agent, which runs beside an endpoint and decides which tasks start there.

mod actor;
mod announcements;
mod endpoint_calls;
mod saved_report;
mod streams;

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_platform::StoreClient;
use cowslipwing_server::{Share, Stage};
use cowslipwing_settings::PlatformAgentConfig;
use cowslipwing_types::{Clock, to_millis};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::http::{self, ListenError, Listeners};
use crate::members::Members;
use crate::metrics::Metrics;

use actor::{Actor, Event, SharedHandles};
use endpoint_calls::EndpointCalls;

/// Time before the end of the stop grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Delay before the background tasks are aborted, in which the last messages are sent.
const FINAL_SEND_DELAY: Duration = Duration::from_millis(150);

/// A running agent, with its listeners, streams and background tasks.
pub struct Agent {
    name: String,
    stop_grace: Duration,
    events: mpsc::UnboundedSender<Event>,
    drained: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
    /// Never changes; the servers stop when it is dropped.
    _stage: watch::Sender<Stage>,
}

impl Agent {
    /// Binds the agent's listeners and starts its background tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if a configured address cannot be listened on.
    pub async fn start(
        config: &PlatformAgentConfig,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, ListenError> {
        let common = &config.common;
        let endpoint = config.endpoint;
        let listeners = Listeners::new(&common.limits, clock.clone(), metrics.clone());
        let bind = |key, name, address, share| {
            listeners.bind(key, name, address, listeners.account(share))
        };
        let address = config.announcements;
        let announcements =
            bind("platform.announcements", "announcements", address, Share::Announcements)?;
        let started_ms = to_millis(clock.wall());
        let name = format!("{}@{started_ms}", common.node);
        log::info!("agent: event=start agent={name} endpoint={endpoint} seeds={:?}", common.seeds);
        let members = Arc::new(Members::new(&common.seeds));
        let (events, rx) = mpsc::unbounded_channel();
        let (drained_tx, drained) = watch::channel(false);
        let (call_clock, call_metrics) = (clock.clone(), metrics.clone());
        let calls =
            EndpointCalls::new(endpoint, started_ms, call_clock, call_metrics, events.clone());
        let id = name.parse().expect("a valid node name and digits form an agent id");
        let (reports, report_changes) = watch::channel(None);
        let handles = SharedHandles { members: members.clone(), reports };
        let actor = Actor::new(id, common, clock, metrics.clone(), handles, calls);
        let store = Arc::new(StoreClient::new(common.store));
        let node = common.node.to_string();
        let stage = watch::Sender::new(Stage::Serving);
        let mut services: Vec<BoxFuture<'static, ()>> = vec![
            actor.run(rx, drained_tx).boxed(),
            announcements::serve(events.clone(), announcements, stage.subscribe()).boxed(),
            streams::read_entries(store.clone(), members.clone()).boxed(),
            saved_report::load(store.clone(), node.clone(), events.clone()).boxed(),
            saved_report::save(store, node, report_changes).boxed(),
            streams::maintain(members, name.clone(), events.clone()).boxed(),
        ];
        if let Some(port) = common.metrics_port {
            let address = (common.ip, port).into();
            let listener = bind("platform.metrics_port", "metrics", address, Share::Probes)?;
            services.push(http::serve_metrics(metrics, listener, stage.subscribe()).boxed());
        }
        let tasks = services.into_iter().map(tokio::spawn).collect();
        Ok(Self { name, stop_grace: common.stop_grace, events, drained, tasks, _stage: stage })
    }

    /// Runs until `stop` completes, then returns tasks that have not started to their entries and
    /// waits for running tasks to end, at most until shortly before the stop grace period ends.
    pub async fn run<F>(mut self, stop: F)
    where
        F: Future<Output = ()>,
    {
        stop.await;
        log::info!("agent: event=stop agent={}", self.name);
        if self.events.send(Event::Shutdown).is_err() {
            log::error!("agent: event=actor-ended agent={}", self.name);
        }
        let remaining = self.stop_grace.saturating_sub(EXIT_MARGIN);
        let drained = self.drained.wait_for(|drained| *drained);
        if tokio::time::timeout(remaining, drained).await.is_err() {
            log::warn!("agent: event=cut-off agent={}", self.name);
        }
        tokio::time::sleep(FINAL_SEND_DELAY).await;
        for task in self.tasks {
            task.abort();
        }
        log::info!("agent: event=stopped agent={}", self.name);
    }
}
