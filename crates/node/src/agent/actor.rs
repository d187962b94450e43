//! The agent's event loop, which passes events to the executor and executes the resulting actions.

mod endpoint;
mod evacuation;
mod frames;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_dispatch::{
    AgentId, CrashRecord, EndpointActivity, EndpointReport, EntryId, EvacuationFeed, Evacuations,
    Executor, ExecutorAction, ExecutorSettings, Listing, Outbox, ReceivedOrder, RunStatus,
    StartOutcome, TaskEvent, TaskRun,
};
use cowslipwing_platform::EndpointError;
use cowslipwing_proto::{self as proto, AgentFrame, AgentHello, EntryFrame};
use cowslipwing_settings::PlatformConfig;
use cowslipwing_types::{ByteSize, Clock, SortedMap};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::endpoint_calls::EndpointCalls;
use crate::convert::{
    crash_from_proto, crash_to_proto, crashes_to_proto, evacuation_to_proto, event_to_proto,
    millis, orders_from_proto, report_from_proto, report_to_proto, status_to_proto,
};
use crate::members::{Members, parse_addresses};
use crate::metrics::Metrics;
use crate::wire_ids::{run_from_proto, run_to_proto};
use crate::{ENDPOINT_LEASE, ENTRY_LEASE};
use frames::frame_time;

/// Interval at which queued tasks and leases are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// An input of the event loop.
pub(super) enum Event {
    /// The endpoint has announced its state.
    EndpointAnnounced(EndpointReport),
    /// The endpoint with this id has left.
    EndpointLeft(CompactString),
    /// A reply to a list request, or its error.
    ListReply {
        /// Id of the endpoint that the request was sent to.
        endpoint_id: String,
        /// The listing, or the reason why there is none.
        result: Result<Listing, EndpointError>,
    },
    /// The next list request may be sent.
    ListingDue,
    /// The outcome of a start request.
    StartReply(TaskRun, StartOutcome),
    /// The endpoint has confirmed that a run is stopped.
    StopConfirmed(TaskRun),
    /// A stream to an entry was opened.
    StreamOpened {
        /// The entry.
        entry: EntryId,
        /// The entry's address.
        address: SocketAddr,
        /// Sender of frames to the entry.
        tx: mpsc::UnboundedSender<AgentFrame>,
        /// The entry's first frame.
        first: EntryFrame,
        /// Closes the stream when notified.
        close: Arc<Notify>,
    },
    /// The selection of entries has changed for an entry with a stream.
    EntrySelected {
        /// The entry.
        entry: EntryId,
        /// Sender that belongs to the stream.
        tx: mpsc::UnboundedSender<AgentFrame>,
        /// Whether the entry is selected now.
        selected: bool,
    },
    /// A stream to an entry has ended.
    StreamClosed {
        /// The entry.
        entry: EntryId,
        /// Sender that belongs to the ended stream.
        tx: mpsc::UnboundedSender<AgentFrame>,
    },
    /// A frame was received from an entry.
    Frame {
        /// The entry.
        entry: EntryId,
        /// Sender that belongs to the stream on which the frame arrived.
        tx: mpsc::UnboundedSender<AgentFrame>,
        /// The frame.
        frame: EntryFrame,
    },
    /// The agent must stop.
    Shutdown,
}

/// A stream to an entry.
struct EntryStream {
    address: SocketAddr,
    tx: mpsc::UnboundedSender<AgentFrame>,
    /// Number of orders received on this stream, which the status reports to the entry.
    orders_seen: u64,
    /// Crash records that have not been sent yet.
    crashes: Vec<proto::CrashRecord>,
    /// Report of the endpoint, if it has changed since it was last sent.
    report: Option<proto::EndpointReport>,
    /// Time at which the last frame was sent.
    sent_at: Duration,
    /// Whether the status has changed since it was last sent.
    status_changed: bool,
    evacuation_feed: EvacuationFeed,
    /// Time since which the entry is no longer selected. The stream takes no new orders and is
    /// closed once no task of the entry is held.
    retiring_since: Option<Duration>,
    /// Closes the stream when notified.
    close: Arc<Notify>,
}

/// Handles that the actor shares with the agent's other tasks.
pub(super) struct SharedHandles {
    /// The known entries.
    pub(super) members: Arc<Members>,
    /// Publishes the endpoint report to be saved in the store.
    pub(super) reports: watch::Sender<Option<EndpointReport>>,
}

/// The agent's state, owned by its event loop.
pub(super) struct Actor {
    id: AgentId,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    members: Arc<Members>,
    reports: watch::Sender<Option<EndpointReport>>,
    calls: EndpointCalls,
    executor: Executor,
    /// Data centre of this VM.
    site: CompactString,
    /// Known evacuations of data centres.
    evacuations: Evacuations,
    /// Streams to entries. A stream that has ended stays here with a closed sender.
    streams: SortedMap<EntryId, EntryStream>,
    /// Task events for each entry, with or without an open stream.
    outboxes: SortedMap<EntryId, Outbox>,
    /// Report of the endpoint that was last sent to the entries.
    shared_report: Option<EndpointReport>,
    /// Whether a list request has been sent and the next one is not due yet.
    listing_in_flight: bool,
    /// Whether the endpoint answered the last list request.
    is_reachable: bool,
    is_stopping: bool,
}

/// Returns the number of tasks that an agent holds at most: a third of its memory, with the largest
/// payload for each.
fn max_tasks(memory: ByteSize) -> usize {
    const MEMORY_DIVISOR: u64 = 3;
    const TASK_BYTES: u64 = 6 << 10;
    usize::try_from(memory.bytes() / MEMORY_DIVISOR / TASK_BYTES).unwrap_or(usize::MAX)
}

impl Actor {
    pub(super) fn new(
        id: AgentId,
        config: &PlatformConfig,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        handles: SharedHandles,
        calls: EndpointCalls,
    ) -> Self {
        let site: CompactString = config.site.as_str().into();
        let settings = ExecutorSettings {
            entry_lease: ENTRY_LEASE,
            endpoint_lease: ENDPOINT_LEASE.min(config.longest_lease),
            longest_lease: config.longest_lease,
            max_tasks: max_tasks(config.limits.memory),
            vm: config.node.as_str().into(),
            site: site.clone(),
        };
        Self {
            id,
            clock,
            metrics,
            members: handles.members,
            reports: handles.reports,
            calls,
            executor: Executor::new(settings),
            site,
            evacuations: Evacuations::default(),
            streams: SortedMap::new(),
            outboxes: SortedMap::new(),
            shared_report: None,
            listing_in_flight: false,
            is_reachable: false,
            is_stopping: false,
        }
    }

    /// Runs until the process ends. Sets `drained` once the agent is stopping and no started task
    /// remains.
    pub(super) async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        drained: watch::Sender<bool>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // Replies that have already arrived are handled before timers expire.
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
            self.share_report();
            self.execute_actions();
            self.request_listing();
            self.send_frames();
            if self.is_stopping && self.executor.started_count() == 0 {
                drained.send_replace(true);
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.clock.since_boot();
        match event {
            Event::EndpointAnnounced(report) => self.on_announced(now, report, "announcement"),
            Event::EndpointLeft(id) => {
                log::info!("agent: event=endpoint-left endpoint={id}");
                self.executor.on_endpoint_left(now, &id);
                self.mark_status_changed();
            }
            Event::ListReply { endpoint_id, result } => self.on_listing(now, &endpoint_id, result),
            Event::ListingDue => self.listing_in_flight = false,
            Event::StartReply(run, outcome) => {
                if outcome != StartOutcome::Started {
                    self.metrics.count("start_not_confirmed");
                    log::info!("agent: event=start task={run} outcome={outcome:?}");
                }
                self.executor.on_start_reply(now, &run, outcome);
            }
            Event::StopConfirmed(run) => self.executor.on_stop_confirmed(now, &run),
            Event::StreamOpened { entry, address, tx, first, close } => {
                self.on_stream_opened(now, entry, address, tx, first, close);
            }
            Event::EntrySelected { entry, tx, selected } => {
                if let Some(stream) = self.streams.get_mut(&entry)
                    && stream.tx.same_channel(&tx)
                {
                    stream.retiring_since = (!selected).then_some(now);
                    stream.status_changed = true;
                }
            }
            Event::StreamClosed { entry, tx } => self.on_stream_closed(&entry, &tx),
            Event::Frame { entry, tx, frame } => {
                // Frames of an earlier stream are ignored: the later stream starts with
                // `orders_seen` at 0, so orders of the earlier one must not be counted.
                let is_current_stream =
                    self.streams.get(&entry).is_some_and(|stream| stream.tx.same_channel(&tx));
                if is_current_stream {
                    self.on_frame(now, &entry, frame);
                }
            }
            Event::Shutdown => {
                self.is_stopping = true;
                self.executor.drain();
                self.mark_status_changed();
            }
        }
    }

    fn on_stream_opened(
        &mut self,
        now: Duration,
        entry: EntryId,
        address: SocketAddr,
        tx: mpsc::UnboundedSender<AgentFrame>,
        first: EntryFrame,
        close: Arc<Notify>,
    ) {
        log::info!("agent: event=attached entry={entry} address={address}");
        self.remove_previous_incarnations(now, &entry, address);
        self.members.add(parse_addresses(&first.entries));
        let crashes = first.crashes.iter().filter_map(crash_from_proto);
        self.executor.on_crash_records(now, crashes);
        self.learn_evacuations(now, &entry, &first.evacuations);
        let mut evacuation_feed = EvacuationFeed::default();
        let announced = evacuation_feed.take(&self.evacuations);
        // The entry sends orders on this stream only after it has received this hello.
        let hello = AgentHello {
            agent: self.id.to_string(),
            held: self.executor.held_for(&entry).iter().map(run_to_proto).collect(),
            accepts_same_work: true,
        };
        let outbox = self.outboxes.get_or_insert_with(entry.clone(), Outbox::default);
        let events = outbox.take_pending(frame_time(now));
        let frame = AgentFrame {
            hello: Some(hello),
            clock_ms: millis(now),
            status: Some(status_to_proto(&self.executor.status(now))),
            events: events.iter().map(event_to_proto).collect(),
            crashes: crashes_to_proto(now, self.executor.crash_log()),
            report: self.executor.confirmed_report().map(report_to_proto),
            evacuations: announced.iter().map(evacuation_to_proto).collect(),
        };
        // If the stream has already ended, a `StreamClosed` event follows.
        let _ = tx.send(frame);
        let stream = EntryStream {
            address,
            tx,
            orders_seen: 0,
            crashes: Vec::new(),
            report: None,
            sent_at: now,
            status_changed: false,
            evacuation_feed,
            retiring_since: None,
            close,
        };
        self.streams.insert(entry, stream);
    }

    /// Removes earlier incarnations of the entry at this address, which no longer exist, and stops
    /// their tasks.
    fn remove_previous_incarnations(
        &mut self,
        now: Duration,
        entry: &EntryId,
        address: SocketAddr,
    ) {
        let is_previous =
            |other: &EntryId, stream: &EntryStream| other != entry && stream.address == address;
        let matches = self.streams.iter().filter(|(other, stream)| is_previous(other, stream));
        let previous: Vec<EntryId> = matches.map(|(other, _)| other.clone()).collect();
        for other in previous {
            log::info!("agent: event=entry-replaced former={other} entry={entry}");
            self.streams.remove(&other);
            self.outboxes.remove(&other);
            self.executor.on_entry_lost(now, &other);
        }
    }

    fn on_stream_closed(&mut self, entry: &EntryId, tx: &mpsc::UnboundedSender<AgentFrame>) {
        let stream = self.streams.get_mut(entry);
        let Some(stream) = stream.filter(|stream| stream.tx.same_channel(tx)) else {
            return;
        };
        let outbox = self.outboxes.get_or_insert_with(entry.clone(), Outbox::default);
        outbox.on_stream_closed();
        if stream.retiring_since.is_some() && !self.executor.holds_tasks_of(entry) {
            if outbox.is_empty() {
                self.outboxes.remove(entry);
            }
            self.streams.remove(entry);
            return;
        }
        let (closed, _) = mpsc::unbounded_channel();
        stream.tx = closed;
    }

    fn on_frame(&mut self, now: Duration, entry: &EntryId, frame: EntryFrame) {
        self.learn_evacuations(now, entry, &frame.evacuations);
        if frame.heard_ms > 0 {
            let heard_at = Duration::from_millis(frame.heard_ms);
            self.executor.on_entry_heartbeat(now, entry, heard_at);
            if let Some(outbox) = self.outboxes.get_mut(entry) {
                outbox.on_heard(heard_at);
            }
        }
        if !frame.entries.is_empty() {
            self.members.add(parse_addresses(&frame.entries));
        }
        let crashes = frame.crashes.iter().filter_map(crash_from_proto);
        self.executor.on_crash_records(now, crashes);
        if let Some(report) = &frame.report {
            self.on_announced(now, report_from_proto(report), entry.as_str());
        }
        if let Some(stream) = self.streams.get_mut(entry) {
            stream.orders_seen += frame.orders.len() as u64;
        }
        for order in orders_from_proto(frame.orders) {
            match order {
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
            self.mark_status_changed();
        }
        for run in frame.cancels.iter().filter_map(run_from_proto) {
            log::info!("agent: event=cancelled task={run} entry={entry}");
            self.executor.on_cancel(now, entry, &run);
            self.mark_status_changed();
        }
    }

    fn mark_status_changed(&mut self) {
        for (_, stream) in self.streams.iter_mut() {
            stream.status_changed = true;
        }
    }

    /// Returns the id of the known endpoint; empty if none is known.
    fn endpoint_id(&self) -> String {
        self.executor.endpoint().map(|known| known.id.to_string()).unwrap_or_default()
    }

    fn execute_actions(&mut self) {
        let endpoint_id = self.endpoint_id();
        for action in self.executor.take_actions() {
            match action {
                ExecutorAction::Start { endpoint_id, run, payload, deadline_ms, sends } => {
                    self.metrics.count("start");
                    if sends > 1 {
                        self.metrics.count("start_again");
                        log::info!("agent: event=start-again task={run} sends={sends}");
                    }
                    self.calls.start(endpoint_id.to_string(), run, payload, deadline_ms);
                }
                ExecutorAction::Stop(run) => {
                    self.metrics.count("stop");
                    log::info!("agent: event=stop-task task={run}");
                    self.calls.stop(endpoint_id.clone(), run);
                }
                ExecutorAction::NotifyEntry(entry, event) => self.notify_entry(&entry, &event),
                ExecutorAction::ShareCrash(record, age) => self.share_crash(&record, age),
            }
        }
    }

    /// Sends a crash record to all entries with the next frames. An entry whose stream is closed gets
    /// it in the first frame of the next one.
    fn share_crash(&mut self, record: &CrashRecord, age: Duration) {
        self.metrics.count("crash_record_shared");
        let CrashRecord { run, vm, role } = record;
        log::info!("agent: event=crash-record task={run} vm={vm} role={role:?}");
        for (_, stream) in self.streams.iter_mut().filter(|(_, stream)| !stream.tx.is_closed()) {
            stream.crashes.push(crash_to_proto(record, age));
            stream.status_changed = true;
        }
    }

    fn notify_entry(&mut self, entry: &EntryId, event: &TaskEvent) {
        match event.status {
            RunStatus::Done(run_time) => {
                self.metrics.observe("task_done", run_time);
                log::debug!("agent: event=done task={} ms={}", event.run, run_time.as_millis());
            }
            status => {
                self.metrics.count("task_not_done");
                if status == RunStatus::NotStarted && self.executor.is_evacuated() {
                    self.metrics.count("evacuation_task_returned");
                }
                if matches!(status, RunStatus::Crashed(_)) {
                    self.metrics.count("task_lost_in_crash");
                }
                log::info!("agent: event=task task={} entry={entry} fate={status:?}", event.run);
            }
        }
        self.outboxes.get_or_insert_with(entry.clone(), Outbox::default).push(event.clone());
    }

    /// Sends the next list request unless one is in flight.
    fn request_listing(&mut self) {
        if self.listing_in_flight || self.executor.endpoint().is_none() {
            return;
        }
        self.listing_in_flight = true;
        let now = self.clock.since_boot();
        let activity = self.executor.activity();
        let lease_deadline_ms = match activity {
            EndpointActivity::Idle => None,
            _ => self.executor.extend_lease(now),
        };
        let last_acked = self.executor.last_acked();
        self.calls.list(self.endpoint_id(), lease_deadline_ms, last_acked, activity);
    }
}
