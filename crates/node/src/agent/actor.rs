//! The agent's one task that decides: it takes events and carries out what the executor says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_dispatch::{
    AgentId, EndpointReport, EntryName, Executor, ExecutorAction, ExecutorSettings, Fate, Listing,
    ReceivedOrder, StartOutcome, TaskEvent, TaskRun,
};
use cowslipwing_platform::EndpointError;
use cowslipwing_proto::{self as proto, AgentFrame, AgentHello, EntryFrame};
use cowslipwing_settings::PlatformConfig;
use cowslipwing_types::{Clock, SortedMap};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::calls::Calls;
use crate::convert::{event_to, millis, order_of, status_to};
use crate::members::{Members, parse_addresses};
use crate::metrics::Metrics;
use crate::wire_ids::{run_of, run_to};
use crate::{BEAT_INTERVAL, BEAT_PER_STREAM, ENDPOINT_LEASE, ENTRY_LEASE};

/// Time between two looks at queue and leases.
const TICK: Duration = Duration::from_millis(10);
/// Least time between two statuses that no event of a task accompanies, for each stream; the room
/// that entries see is as old as this.
const STATUS_PER_STREAM: Duration = Duration::from_millis(8);
/// Events kept for an entry without a stream.
const MAX_UNSENT: usize = 1024;

/// What the agent takes in.
pub(super) enum Event {
    /// The endpoint has announced itself.
    Announced(EndpointReport),
    /// The endpoint has left.
    Left(CompactString),
    /// A listing, or why there is none.
    Listed {
        /// The incarnation that was asked.
        id: String,
        /// What it has answered.
        listed: Result<Listing, EndpointError>,
    },
    /// What became of a start.
    StartReply(TaskRun, StartOutcome),
    /// A stop was carried out.
    Stopped(TaskRun),
    /// A stream to an entry is open.
    StreamUp {
        /// The entry.
        entry: EntryName,
        /// Its address.
        address: SocketAddr,
        /// Where frames to it go.
        tx: mpsc::UnboundedSender<AgentFrame>,
        /// Its first frame.
        first: EntryFrame,
    },
    /// A stream to an entry has ended.
    StreamDown {
        /// The entry.
        entry: EntryName,
        /// Where frames to it went.
        tx: mpsc::UnboundedSender<AgentFrame>,
    },
    /// A frame from an entry.
    Frame {
        /// The entry.
        entry: EntryName,
        /// Where frames to it go on the stream that brought this one.
        tx: mpsc::UnboundedSender<AgentFrame>,
        /// The frame.
        frame: EntryFrame,
    },
    /// The agent is to stop.
    Leave,
}

struct Stream {
    address: SocketAddr,
    tx: mpsc::UnboundedSender<AgentFrame>,
    orders_seen: u64,
    events: Vec<proto::TaskEvent>,
    sent_at: Duration,
    /// The status has changed since it was sent.
    stale: bool,
}

/// What the agent knows that outlives a decision.
pub(super) struct Kept {
    /// The entries.
    pub(super) members: Arc<Members>,
    /// What is to be remembered of the endpoint.
    pub(super) reports: watch::Sender<Option<EndpointReport>>,
}

/// The state of an agent.
pub(super) struct Actor {
    id: AgentId,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    members: Arc<Members>,
    reports: watch::Sender<Option<EndpointReport>>,
    calls: Calls,
    executor: Executor,
    streams: SortedMap<EntryName, Stream>,
    unsent: SortedMap<EntryName, Vec<proto::TaskEvent>>,
    listing: bool,
    reachable: bool,
    leaving: bool,
}

impl Actor {
    pub(super) fn new(
        id: AgentId,
        config: &PlatformConfig,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        kept: Kept,
        calls: Calls,
    ) -> Self {
        let settings = ExecutorSettings {
            entry_lease: ENTRY_LEASE,
            endpoint_lease: ENDPOINT_LEASE.min(config.longest_lease),
            longest_lease: config.longest_lease,
        };
        Self {
            id,
            clock,
            metrics,
            members: kept.members,
            reports: kept.reports,
            calls,
            executor: Executor::new(settings),
            streams: SortedMap::new(),
            unsent: SortedMap::new(),
            listing: false,
            reachable: false,
            leaving: false,
        }
    }

    /// Runs until the process ends; tells once nothing runs after it was told to leave.
    pub(super) async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        drained: watch::Sender<bool>,
    ) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // An answer that is here already counts before the time that has passed.
                biased;
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                _ = ticks.tick() => {
                    let now = self.clock.since_boot();
                    self.executor.on_tick(now);
                }
            }
            while let Ok(event) = events.try_recv() {
                self.on_event(event);
            }
            self.carry_out();
            self.list_again();
            self.flush();
            if self.leaving && self.executor.started_count() == 0 {
                drained.send_replace(true);
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.clock.since_boot();
        match event {
            Event::Announced(report) => self.on_announced(now, report),
            Event::Left(id) => {
                log::info!("agent: event=endpoint-left endpoint={id}");
                self.executor.on_endpoint_left(&id);
                self.mark_stale();
            }
            Event::Listed { id, listed } => self.on_listed(now, &id, listed),
            Event::StartReply(run, outcome) => {
                if outcome != StartOutcome::Started {
                    self.metrics.count("start_not_confirmed");
                    log::info!("agent: event=start task={run} outcome={outcome:?}");
                }
                self.executor.on_start_reply(now, &run, outcome);
            }
            Event::Stopped(run) => self.executor.on_stop_confirmed(now, &run),
            Event::StreamUp { entry, address, tx, first } => {
                self.on_stream(now, entry, address, tx, first);
            }
            Event::StreamDown { entry, tx } => self.on_stream_down(&entry, &tx),
            Event::Frame { entry, tx, frame } => {
                // What the entry was told on a later stream does not count orders of an earlier one.
                let is_current =
                    self.streams.get(&entry).is_some_and(|stream| stream.tx.same_channel(&tx));
                if is_current {
                    self.on_frame(now, &entry, frame);
                }
            }
            Event::Leave => {
                self.leaving = true;
                self.executor.drain();
                self.mark_stale();
            }
        }
    }

    fn on_announced(&mut self, now: Duration, report: EndpointReport) {
        let line = format!(
            "endpoint={} born={} draining={} kind={} rack={} cpu={}",
            report.id,
            report.incarnation,
            report.draining,
            report.kind,
            report.rack,
            report.capacity.cpu_millis
        );
        if self.executor.on_report(now, report.clone()) {
            self.reports.send_replace(Some(report));
            log::info!("agent: event=announced {line}");
            self.mark_stale();
        }
    }

    fn on_listed(&mut self, now: Duration, id: &str, listed: Result<Listing, EndpointError>) {
        self.listing = false;
        match listed {
            Ok(listing) => {
                if !self.reachable {
                    log::info!("agent: event=endpoint-reached born={}", listing.incarnation);
                }
                self.reachable = true;
                self.executor.on_listing(now, &listing);
            }
            Err(error) => {
                if self.reachable {
                    log::warn!("agent: event=endpoint-lost error=\"{error}\"");
                }
                self.reachable = false;
                if matches!(error, EndpointError::OtherIncarnation) {
                    let forgotten = self.executor.on_incarnation_mismatch(id);
                    log::info!("agent: event=other-incarnation asked={id} forgotten={forgotten}");
                }
            }
        }
        self.mark_stale();
    }

    fn on_stream(
        &mut self,
        now: Duration,
        entry: EntryName,
        address: SocketAddr,
        tx: mpsc::UnboundedSender<AgentFrame>,
        first: EntryFrame,
    ) {
        log::info!("agent: event=attached entry={entry} address={address}");
        self.drop_former(now, &entry, address);
        self.members.add(parse_addresses(&first.entries));
        // The entry has not heard this agent on this stream yet; it may send orders once it has.
        let hello = AgentHello {
            agent: self.id.to_string(),
            held: self.executor.held_for(&entry).iter().map(run_to).collect(),
        };
        let frame = AgentFrame {
            hello: Some(hello),
            clock_ms: millis(now),
            status: Some(status_to(&self.executor.status(now))),
            events: self.unsent.remove(&entry).unwrap_or_default(),
        };
        // Where the stream has ended already, its end follows.
        let _ = tx.send(frame);
        let stream =
            Stream { address, tx, orders_seen: 0, events: Vec::new(), sent_at: now, stale: false };
        self.streams.insert(entry, stream);
    }

    /// Stops what an earlier incarnation of the entry at this address has started: it is gone.
    fn drop_former(&mut self, now: Duration, entry: &EntryName, address: SocketAddr) {
        let is_former =
            |other: &EntryName, stream: &Stream| other != entry && stream.address == address;
        let found = self.streams.iter().filter(|(other, stream)| is_former(other, stream));
        let former: Vec<EntryName> = found.map(|(other, _)| other.clone()).collect();
        for other in former {
            log::info!("agent: event=entry-replaced former={other} entry={entry}");
            self.streams.remove(&other);
            self.unsent.remove(&other);
            self.executor.on_entry_lost(now, &other);
        }
    }

    fn on_stream_down(&mut self, entry: &EntryName, tx: &mpsc::UnboundedSender<AgentFrame>) {
        let found = self.streams.get_mut(entry);
        let Some(stream) = found.filter(|stream| stream.tx.same_channel(tx)) else {
            return;
        };
        let events = std::mem::take(&mut stream.events);
        let (closed, _) = mpsc::unbounded_channel();
        stream.tx = closed;
        self.unsent.insert(entry.clone(), events);
    }

    fn on_frame(&mut self, now: Duration, entry: &EntryName, frame: EntryFrame) {
        if frame.heard_ms > 0 {
            self.executor.on_entry_heartbeat(entry, Duration::from_millis(frame.heard_ms));
        }
        if !frame.entries.is_empty() {
            self.members.add(parse_addresses(&frame.entries));
        }
        if let Some(stream) = self.streams.get_mut(entry) {
            stream.orders_seen += frame.orders.len() as u64;
        }
        for wire in frame.orders {
            match order_of(wire) {
                Some(order) => {
                    log::debug!(
                        "agent: event=order task={} work_ms={} cpu_millis={} slowness={:.2}",
                        order.run,
                        order.expected_work.as_millis(),
                        order.resources.cpu_millis,
                        self.executor.status(now).slowness
                    );
                    self.executor.on_order(now, ReceivedOrder { entry: entry.clone(), order });
                }
                None => log::warn!("agent: event=bad-order entry={entry}"),
            }
            self.mark_stale();
        }
        for run in frame.cancels.iter().filter_map(run_of) {
            log::info!("agent: event=cancelled task={run} entry={entry}");
            self.executor.on_cancel(now, entry, &run);
            self.mark_stale();
        }
    }

    fn mark_stale(&mut self) {
        for (_, stream) in self.streams.iter_mut() {
            stream.stale = true;
        }
    }

    fn endpoint_id(&self) -> String {
        self.executor.endpoint().map(|known| known.id.to_string()).unwrap_or_default()
    }

    fn carry_out(&mut self) {
        let id = self.endpoint_id();
        for action in self.executor.take_actions() {
            match action {
                ExecutorAction::Start { run, payload, deadline_ms, sends } => {
                    self.metrics.count("start");
                    if sends > 1 {
                        self.metrics.count("start_again");
                        log::info!("agent: event=start-again task={run} sends={sends}");
                    }
                    self.calls.start(id.clone(), run, payload, deadline_ms);
                }
                ExecutorAction::Stop(run) => {
                    self.metrics.count("stop");
                    log::info!("agent: event=stop-task task={run}");
                    self.calls.stop(id.clone(), run);
                }
                ExecutorAction::NotifyEntry(entry, event) => self.tell(&entry, &event),
            }
        }
    }

    fn tell(&mut self, entry: &EntryName, event: &TaskEvent) {
        match event.fate {
            Fate::Done(took) => {
                self.metrics.observe("task_done", took);
                log::debug!("agent: event=done task={} ms={}", event.run, took.as_millis());
            }
            fate => {
                self.metrics.count("task_not_done");
                log::info!("agent: event=task task={} entry={entry} fate={fate:?}", event.run);
            }
        }
        let event = event_to(event);
        match self.streams.get_mut(entry) {
            Some(stream) if !stream.tx.is_closed() => stream.events.push(event),
            _ => {
                let unsent = self.unsent.get_or_insert_with(entry.clone(), Vec::new);
                if unsent.len() < MAX_UNSENT {
                    unsent.push(event);
                }
            }
        }
    }

    /// Asks for the next listing where none is on its way.
    fn list_again(&mut self) {
        if self.listing || self.executor.endpoint().is_none() {
            return;
        }
        self.listing = true;
        let now = self.clock.since_boot();
        let idle = self.executor.is_idle();
        let until_ms = if idle { None } else { self.executor.extend_lease(now) };
        self.calls.list(self.endpoint_id(), until_ms, self.executor.last_acked(), idle);
    }

    /// Sends what entries are to know: events at once, the status at intervals.
    fn flush(&mut self) {
        let now = self.clock.since_boot();
        let count = u32::try_from(self.streams.len()).unwrap_or(u32::MAX);
        let beat = (BEAT_INTERVAL + BEAT_PER_STREAM * count).min(ENTRY_LEASE / 2);
        let pause = STATUS_PER_STREAM * count;
        let mut status = None;
        for (_, stream) in self.streams.iter_mut() {
            let age = now.saturating_sub(stream.sent_at);
            let due = !stream.events.is_empty() || age >= beat || (stream.stale && age >= pause);
            if !due || stream.tx.is_closed() {
                continue;
            }
            let status = status.get_or_insert_with(|| status_to(&self.executor.status(now)));
            let frame = AgentFrame {
                hello: None,
                clock_ms: millis(now),
                status: Some(proto::EndpointStatus {
                    orders_seen: stream.orders_seen,
                    ..status.clone()
                }),
                events: std::mem::take(&mut stream.events),
            };
            // Where the stream has ended already, its end follows.
            let _ = stream.tx.send(frame);
            stream.sent_at = now;
            stream.stale = false;
        }
    }
}
