//! When an agent sends frames to its entries, and when it closes a stream.

use std::time::Duration;

use cowslipwing_dispatch::Outbox;
use cowslipwing_proto::{self as proto, AgentFrame};

use super::Actor;
use crate::convert::{evacuation_to_proto, event_to_proto, millis, status_to_proto};
use crate::{HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL_PER_STREAM};

/// Minimum interval between status updates without task events, for each open stream. Entries see
/// the endpoint's free resources with a delay of up to this interval.
const STATUS_INTERVAL_PER_STREAM: Duration = Duration::from_millis(8);
/// Interval between heartbeats to an entry without tasks here. An order is accepted only under a
/// lease, which a heartbeat renews. Entries suspect an agent after 400 ms of silence.
const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(160);
/// Time for which a stream to an entry that is no longer selected stays open, so that orders sent
/// before the entry learned of it arrive.
const STREAM_RETIREMENT_DELAY: Duration = Duration::from_secs(1);

/// Returns the time that a frame states, which the entry returns in its heartbeats.
pub(super) fn frame_time(now: Duration) -> Duration {
    Duration::from_millis(millis(now))
}

impl Actor {
    /// Sends task events and changed evacuations at once, and status updates and heartbeats at intervals.
    pub(super) fn send_frames(&mut self) {
        let now = self.clock.since_boot();
        let open_streams = self.streams.values().filter(|stream| !stream.tx.is_closed()).count();
        let intervals = FrameIntervals::new(open_streams);
        let mut status = None;
        for (entry, stream) in self.streams.iter_mut() {
            let outbox = self.outboxes.get_or_insert_with(entry.clone(), Outbox::default);
            let age = now.saturating_sub(stream.sent_at);
            let heartbeat_interval = if self.executor.holds_tasks_of(entry) {
                intervals.busy_heartbeat
            } else {
                IDLE_HEARTBEAT_INTERVAL
            };
            let is_due = outbox.has_pending()
                || stream.evacuation_feed.is_due(&self.evacuations)
                || age >= heartbeat_interval
                || (stream.status_changed && age >= intervals.status);
            if !is_due || stream.tx.is_closed() {
                continue;
            }
            let status = status.get_or_insert_with(|| status_to_proto(&self.executor.status(now)));
            let announced = stream.evacuation_feed.take(&self.evacuations);
            let frame = AgentFrame {
                hello: None,
                clock_ms: millis(now),
                status: Some(proto::EndpointStatus {
                    orders_seen: stream.orders_seen,
                    usable: status.usable && stream.retiring_since.is_none(),
                    ..status.clone()
                }),
                events: outbox.take_pending(frame_time(now)).iter().map(event_to_proto).collect(),
                crashes: std::mem::take(&mut stream.crashes),
                report: std::mem::take(&mut stream.report),
                evacuations: announced.iter().map(evacuation_to_proto).collect(),
            };
            // If the stream has already ended, a `StreamClosed` event follows.
            let _ = stream.tx.send(frame);
            stream.sent_at = now;
            stream.status_changed = false;
        }
        self.close_retired_streams(now);
    }

    /// Closes the streams to entries that are no longer selected, have no task here and have received
    /// all events.
    fn close_retired_streams(&self, now: Duration) {
        for (entry, stream) in self.streams.iter() {
            let is_over =
                stream.retiring_since.is_some_and(|since| now >= since + STREAM_RETIREMENT_DELAY);
            let is_received = self.outboxes.get(entry).is_none_or(Outbox::is_empty);
            if is_over && is_received && !self.executor.holds_tasks_of(entry) {
                stream.close.notify_one();
            }
        }
    }
}

/// Intervals between the frames on each stream. They grow with the number of streams, so that an
/// agent spends a bounded share of its processor time on them.
struct FrameIntervals {
    /// Minimum interval between status updates without task events.
    status: Duration,
    /// Interval between heartbeats on a stream whose entry has tasks here.
    busy_heartbeat: Duration,
}

impl FrameIntervals {
    fn new(stream_count: usize) -> Self {
        let stream_count = u32::try_from(stream_count).unwrap_or(u32::MAX);
        let busy_heartbeat = HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL_PER_STREAM * stream_count;
        Self {
            status: STATUS_INTERVAL_PER_STREAM * stream_count,
            busy_heartbeat: busy_heartbeat.min(IDLE_HEARTBEAT_INTERVAL),
        }
    }
}
