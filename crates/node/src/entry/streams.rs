//! Serves agents, each of which opens a stream, and other entries.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cowslipwing_dispatch::{AgentId, TaskRun};
use cowslipwing_proto::dispatch_server::{Dispatch, DispatchServer};
use cowslipwing_proto::{AgentFrame, AgentHello, EntryFrame, ExchangeReply, ExchangeRequest};
use futures::{Stream as FutureStream, StreamExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::{TcpListenerStream, UnboundedReceiverStream};
use tonic::{Request, Response, Status, Streaming};

use super::shared::{Shared, Stream};
use crate::STREAM_SILENCE;
use crate::convert::{event_of, status_of};
use crate::members::parse_addresses;
use crate::wire_ids::run_of;

/// Serves until the entry stops.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let service = DispatchServer::new(Service { shared, streams: AtomicU64::new(0) });
    let server = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(error) = server.await {
        log::error!("entry: event=peers-server-ended error=\"{error}\"");
    }
}

struct Service {
    shared: Arc<Shared>,
    streams: AtomicU64,
}

#[tonic::async_trait]
impl Dispatch for Service {
    type AttachStream = Pin<Box<dyn FutureStream<Item = Result<EntryFrame, Status>> + Send>>;

    async fn attach(
        &self,
        req: Request<Streaming<AgentFrame>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let frames = req.into_inner();
        let number = self.streams.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        // The receiver is still here.
        let _ = tx.send(self.shared.hello());
        tokio::spawn(run(self.shared.clone(), frames, tx, number));
        Ok(Response::new(Box::pin(UnboundedReceiverStream::new(rx).map(Ok))))
    }

    async fn exchange(
        &self,
        req: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let req = req.into_inner();
        let mut addresses = parse_addresses(&req.entries);
        addresses.extend(parse_addresses([&req.address]));
        for address in self.shared.members.add(addresses) {
            log::info!("entry: event=entry-known address={address} source=peer");
        }
        let config = self.shared.record_after(req.config_version).unwrap_or_default();
        let entries = self.shared.members.list().iter().map(ToString::to_string).collect();
        Ok(Response::new(ExchangeReply { config: config.to_vec(), entries }))
    }
}

/// Takes an agent's frames until its stream ends or falls silent.
async fn run(
    shared: Arc<Shared>,
    mut frames: Streaming<AgentFrame>,
    tx: mpsc::UnboundedSender<EntryFrame>,
    number: u64,
) {
    let Some((agent, hello)) = read_hello(&mut frames).await else {
        return;
    };
    let attached = Attached { shared: shared.clone(), agent: agent.clone(), number };
    attached.begin(tx.clone(), hello);
    let beats = tokio::spawn(send_beats(shared.clone(), agent.clone(), tx, number));
    let reason = loop {
        match timeout(STREAM_SILENCE, frames.message()).await {
            Ok(Ok(Some(frame))) => attached.on_frame(frame),
            Ok(Ok(None)) => break "closed",
            Ok(Err(_)) => break "broken",
            Err(_) => break "silent",
        }
    };
    beats.abort();
    attached.end(reason);
}

async fn read_hello(frames: &mut Streaming<AgentFrame>) -> Option<(AgentId, AgentFrame)> {
    let first = timeout(STREAM_SILENCE, frames.message()).await.ok()?.ok()??;
    let agent = first.hello.as_ref()?.agent.parse().ok()?;
    Some((agent, first))
}

/// Sends signs of life, and news of entries.
async fn send_beats(
    shared: Arc<Shared>,
    agent: AgentId,
    tx: mpsc::UnboundedSender<EntryFrame>,
    number: u64,
) {
    let mut changes = shared.members.changes();
    loop {
        let interval = shared.beat_interval();
        let news = timeout(interval, changes.changed()).await.is_ok();
        let Some(heard_ms) = heard_on(&shared, &agent, number) else {
            return;
        };
        let mut frame = EntryFrame { heard_ms, ..EntryFrame::default() };
        if news {
            frame.entries = shared.hello().entries;
        }
        if tx.send(frame).is_err() {
            return;
        }
    }
}

fn heard_on(shared: &Shared, agent: &AgentId, number: u64) -> Option<u64> {
    let streams = shared.streams();
    let stream = streams.get(agent).filter(|stream| stream.number == number)?;
    Some(stream.heard_ms)
}

/// The attachment of an agent by one stream.
struct Attached {
    shared: Arc<Shared>,
    agent: AgentId,
    number: u64,
}

impl Attached {
    fn begin(&self, tx: mpsc::UnboundedSender<EntryFrame>, mut first: AgentFrame) {
        let hello: AgentHello = first.hello.take().unwrap_or_default();
        let held: Vec<TaskRun> = hello.held.iter().filter_map(run_of).collect();
        log::info!("entry: event=attached agent={} held={}", self.agent, held.len());
        let stream = Stream { tx, heard_ms: first.clock_ms, number: self.number };
        self.shared.streams().insert(self.agent.clone(), stream);
        let events: Vec<_> = first.events.iter().filter_map(event_of).collect();
        self.shared.decide(|scheduler, now| {
            for event in &events {
                scheduler.on_task_event(now, &self.agent, event);
            }
            scheduler.on_attached(now, &self.agent, &held);
            if let Some(status) = &first.status {
                scheduler.on_status(now, &self.agent, status_of(status));
            }
        });
    }

    fn on_frame(&self, frame: AgentFrame) {
        {
            let mut streams = self.shared.streams();
            match streams.get_mut(&self.agent) {
                Some(stream) if stream.number == self.number => {
                    stream.heard_ms = stream.heard_ms.max(frame.clock_ms);
                }
                // A later stream of the same agent has taken over.
                _ => return,
            }
        }
        self.shared.decide(|scheduler, now| {
            scheduler.on_heartbeat(now, &self.agent);
            for event in frame.events.iter().filter_map(event_of) {
                scheduler.on_task_event(now, &self.agent, &event);
            }
            if let Some(status) = &frame.status {
                let status = status_of(status);
                if status.usable {
                    self.replace_former(scheduler, now);
                }
                scheduler.on_status(now, &self.agent, status);
            }
        });
    }

    /// Settles what an earlier incarnation of the agent had: the endpoint obeys this one now, which
    /// has stopped what it found.
    fn replace_former(&self, scheduler: &mut cowslipwing_dispatch::Scheduler, now: Duration) {
        for former in scheduler.previous_incarnations(&self.agent) {
            log::info!("entry: event=agent-replaced former={former} agent={}", self.agent);
            scheduler.on_replaced(now, &former);
        }
    }

    fn end(&self, reason: &str) {
        log::info!("entry: event=detached agent={} reason={reason}", self.agent);
        let mut streams = self.shared.streams();
        if streams.get(&self.agent).is_some_and(|stream| stream.number == self.number) {
            streams.remove(&self.agent);
            drop(streams);
            self.shared.decide(|scheduler, now| scheduler.on_detached(now, &self.agent));
        }
    }
}
