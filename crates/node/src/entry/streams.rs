//! Serves the streams of agents and the requests of other entries.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cowslipwing_dispatch::{AgentId, Answer, EvacuationFeed, RequestId, TaskRun};
use cowslipwing_proto::dispatch_server::{Dispatch, DispatchServer};
use cowslipwing_proto::{
    AgentFrame, AgentHello, CancelReply, CancelRequest, EntryFrame, ExchangeReply, ExchangeRequest,
};
use cowslipwing_server::Listener;
use futures::{Stream as FutureStream, StreamExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::shared::{AgentStream, Shared};
use crate::STREAM_TIMEOUT;
use crate::convert::{
    crash_from_proto, evacuation_to_proto, event_from_proto, report_from_proto, status_from_proto,
};
use crate::members::parse_addresses;
use crate::wire_ids::run_from_proto;

/// Serves agents and other entries until the entry stops.
pub(super) async fn serve(shared: Arc<Shared>, listener: Listener) {
    let service = DispatchServer::new(Service { shared, next_stream_id: AtomicU64::new(0) });
    listener.serve_http2(service).await;
}

struct Service {
    shared: Arc<Shared>,
    next_stream_id: AtomicU64,
}

#[tonic::async_trait]
impl Dispatch for Service {
    type AttachStream = Pin<Box<dyn FutureStream<Item = Result<EntryFrame, Status>> + Send>>;

    async fn attach(
        &self,
        req: Request<Streaming<AgentFrame>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let frames = req.into_inner();
        let stream_id = self.next_stream_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        // The send cannot fail: the receiver is still in scope.
        let _ = tx.send(self.shared.hello_frame());
        tokio::spawn(serve_stream(self.shared.clone(), frames, tx, stream_id));
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
        self.shared.learn_evacuations(&req.evacuations, "peer");
        let config = self.shared.config_newer_than(req.config_version).unwrap_or_default();
        let entries = self.shared.known_entries();
        let evacuations = self.shared.evacuation_states();
        Ok(Response::new(ExchangeReply { config: config.to_vec(), entries, evacuations }))
    }

    async fn cancel(&self, req: Request<CancelRequest>) -> Result<Response<CancelReply>, Status> {
        let jobs = req.into_inner().jobs;
        let mut found = false;
        for id in jobs.iter().filter_map(|id| id.parse::<RequestId>().ok()) {
            let is_cancelled = self.shared.answer_of_ended(&id) == Some(Answer::Cancelled);
            found |= self.shared.cancel(&id) || is_cancelled;
        }
        Ok(Response::new(CancelReply { found }))
    }
}

/// Handles an agent's frames until its stream ends or no frame arrives within `STREAM_TIMEOUT`.
async fn serve_stream(
    shared: Arc<Shared>,
    mut frames: Streaming<AgentFrame>,
    tx: mpsc::UnboundedSender<EntryFrame>,
    stream_id: u64,
) {
    let Some((agent, hello)) = read_hello(&mut frames).await else {
        return;
    };
    let connection = AgentConnection { shared: shared.clone(), agent: agent.clone(), stream_id };
    if !connection.start(tx.clone(), hello) {
        return;
    }
    let heartbeats = tokio::spawn(send_heartbeats(shared.clone(), agent.clone(), tx, stream_id));
    let reason = loop {
        match timeout(STREAM_TIMEOUT, frames.message()).await {
            Ok(Ok(Some(frame))) => connection.on_frame(frame),
            Ok(Ok(None)) => break "closed",
            Ok(Err(_)) => break "broken",
            Err(_) => break "silent",
        }
    };
    heartbeats.abort();
    connection.end(reason);
}

async fn read_hello(frames: &mut Streaming<AgentFrame>) -> Option<(AgentId, AgentFrame)> {
    let first = timeout(STREAM_TIMEOUT, frames.message()).await.ok()?.ok()??;
    let agent = first.hello.as_ref()?.agent.parse().ok()?;
    Some((agent, first))
}

/// Sends heartbeats, with the list of entries when it has changed. A change of the evacuations is
/// sent at once.
async fn send_heartbeats(
    shared: Arc<Shared>,
    agent: AgentId,
    tx: mpsc::UnboundedSender<EntryFrame>,
    stream_id: u64,
) {
    let mut changes = shared.members.changes();
    let mut evacuations = shared.evacuations.subscribe();
    let mut evacuation_feed = EvacuationFeed::default();
    loop {
        let interval = shared.heartbeat_interval(&agent);
        // A time-out is normal: no evacuation has changed within the interval.
        let _ = timeout(interval, evacuations.changed()).await;
        let Some(heard_ms) = latest_heard_ms(&shared, &agent, stream_id) else {
            return;
        };
        let mut frame = EntryFrame { heard_ms, ..EntryFrame::default() };
        // Entries that start together join the list one by one; one frame announces several.
        if changes.has_changed().unwrap_or(false) {
            changes.mark_unchanged();
            frame.entries = shared.known_entries();
        }
        let announced = evacuation_feed.take(&evacuations.borrow_and_update());
        frame.evacuations = announced.iter().map(evacuation_to_proto).collect();
        if tx.send(frame).is_err() {
            return;
        }
    }
}

fn latest_heard_ms(shared: &Shared, agent: &AgentId, stream_id: u64) -> Option<u64> {
    let streams = shared.streams();
    let stream = streams.get(agent).filter(|stream| stream.stream_id == stream_id)?;
    Some(stream.heard_ms)
}

/// An agent that is connected by a stream.
struct AgentConnection {
    shared: Arc<Shared>,
    agent: AgentId,
    stream_id: u64,
}

impl AgentConnection {
    /// Attaches the agent; returns `false` if a later stream of the agent is open.
    fn start(&self, tx: mpsc::UnboundedSender<EntryFrame>, mut first: AgentFrame) -> bool {
        if self.has_later_stream(first.clock_ms) {
            log::info!("entry: event=late-hello agent={}", self.agent);
            return false;
        }
        self.shared.learn_evacuations(&first.evacuations, self.agent.as_str());
        let hello: AgentHello = first.hello.take().unwrap_or_default();
        let held: Vec<TaskRun> = hello.held.iter().filter_map(run_from_proto).collect();
        log::info!("entry: event=attached agent={} held={}", self.agent, held.len());
        if let Some(report) = &first.report {
            self.shared.remember_report(&self.agent, report_from_proto(report));
        }
        // The agent must know the capacity of its endpoint before the first order.
        if let Some(frame) = self.shared.report_frame(&self.agent) {
            // If the stream has already ended, the caller notices.
            let _ = tx.send(frame);
        }
        let stream = AgentStream {
            tx,
            heard_ms: first.clock_ms,
            accepts_same_work: hello.accepts_same_work,
            stream_id: self.stream_id,
        };
        let events: Vec<_> = first.events.iter().filter_map(event_from_proto).collect();
        self.shared.with_scheduler(|scheduler, now| {
            // Orders of other tasks must not be sent on this stream before the runs are compared.
            self.shared.streams().insert(self.agent.clone(), stream);
            let crashes = first.crashes.iter().filter_map(crash_from_proto);
            scheduler.on_crash_records(now, &self.agent, crashes);
            scheduler.on_hello(now, &self.agent, &events, &held);
            if let Some(status) = &first.status {
                scheduler.on_status(now, &self.agent, status_from_proto(status));
            }
        });
        true
    }

    /// Returns whether the agent has an open stream with a frame that it sent after `clock_ms`. Its
    /// orders are not known in a hello that it sent before.
    fn has_later_stream(&self, clock_ms: u64) -> bool {
        let streams = self.shared.streams();
        streams.get(&self.agent).is_some_and(|stream| stream.heard_ms > clock_ms)
    }

    fn on_frame(&self, frame: AgentFrame) {
        // The tasks that the frame returns must not be sent to the same data centre again.
        self.shared.learn_evacuations(&frame.evacuations, self.agent.as_str());
        {
            let mut streams = self.shared.streams();
            match streams.get_mut(&self.agent) {
                Some(stream) if stream.stream_id == self.stream_id => {
                    stream.heard_ms = stream.heard_ms.max(frame.clock_ms);
                }
                // A later stream of the same agent has replaced this one.
                _ => return,
            }
        }
        if let Some(report) = &frame.report {
            self.shared.remember_report(&self.agent, report_from_proto(report));
        }
        self.shared.with_scheduler(|scheduler, now| {
            scheduler.on_heartbeat(now, &self.agent);
            // The records precede the events of the lost runs, which decide by the counts.
            let crashes = frame.crashes.iter().filter_map(crash_from_proto);
            scheduler.on_crash_records(now, &self.agent, crashes);
            for event in frame.events.iter().filter_map(event_from_proto) {
                scheduler.on_task_event(now, &self.agent, &event);
            }
            if let Some(status) = &frame.status {
                let status = status_from_proto(status);
                if status.usable {
                    self.replace_previous_incarnations(scheduler, now);
                }
                scheduler.on_status(now, &self.agent, status);
            }
        });
    }

    /// Reports earlier incarnations of the agent as replaced. The endpoint now accepts calls only
    /// from this incarnation, which has stopped the runs that it found.
    fn replace_previous_incarnations(
        &self,
        scheduler: &mut cowslipwing_dispatch::Scheduler,
        now: Duration,
    ) {
        for previous in scheduler.previous_incarnations(&self.agent) {
            log::info!("entry: event=agent-replaced former={previous} agent={}", self.agent);
            scheduler.on_replaced(now, &previous);
        }
    }

    fn end(&self, reason: &str) {
        log::info!("entry: event=detached agent={} reason={reason}", self.agent);
        self.shared.with_scheduler(|scheduler, now| {
            let mut streams = self.shared.streams();
            if streams.get(&self.agent).is_some_and(|stream| stream.stream_id == self.stream_id) {
                streams.remove(&self.agent);
                scheduler.on_detached(now, &self.agent);
            }
        });
    }
}
