//! Task events that an agent sends to an entry, kept until the entry has received them.
//!
//! A stream may break after a frame was written to it and before the entry has read the frame. The
//! entry would then take a run that has ended for one that was never received, and start the task
//! again. The events of a broken stream are therefore sent again on the next one. The entry ignores
//! events of runs that it no longer waits for, so that it may receive an event twice.

use std::collections::VecDeque;
use std::time::Duration;

use crate::scheduler::TaskEvent;

/// Number of pending events from which further ones are dropped while the entry has no stream. It
/// bounds the memory for entries that do not come back.
const MAX_PENDING: usize = 1024;

/// The events for one entry.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::{Outbox, RunStatus, TaskEvent, TaskRun};
///
/// let run = TaskRun { task: "a1.0.0".parse().unwrap(), number: 1 };
/// let event = TaskEvent { run, status: RunStatus::Failed };
/// let sent_at = Duration::from_millis(10);
/// let mut outbox = Outbox::default();
/// outbox.push(event.clone());
/// assert_eq!(outbox.take_pending(sent_at), [event.clone()]);
/// outbox.on_stream_closed();
/// assert_eq!(outbox.take_pending(sent_at * 2), [event]);
/// outbox.on_heard(sent_at * 3);
/// assert!(outbox.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// Events to send with the next frame.
    pending: Vec<TaskEvent>,
    /// Whether events have been sent on a stream that is not known to have ended.
    has_stream: bool,
    /// Events sent on the present stream, each with the agent's time in its frame, oldest first.
    unconfirmed: VecDeque<(Duration, TaskEvent)>,
}

impl Outbox {
    /// Adds an event to be sent.
    pub fn push(&mut self, event: TaskEvent) {
        if self.has_stream || self.pending.len() < MAX_PENDING {
            self.pending.push(event);
        }
    }

    /// Returns whether an event waits to be sent.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the entry has received all events.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.unconfirmed.is_empty()
    }

    /// Returns the events for a frame that states the agent's time `sent_at`.
    pub fn take_pending(&mut self, sent_at: Duration) -> Vec<TaskEvent> {
        self.has_stream = true;
        let events = std::mem::take(&mut self.pending);
        let ends = events.iter().filter(|event| ends_run(event)).cloned();
        self.unconfirmed.extend(ends.map(|event| (sent_at, event)));
        events
    }

    /// Handles the entry's statement that the latest frame it has received was sent at `heard_at`.
    ///
    /// Several frames may state the same time, so that only earlier ones are confirmed.
    pub fn on_heard(&mut self, heard_at: Duration) {
        while self.unconfirmed.front().is_some_and(|(sent_at, _)| *sent_at < heard_at) {
            self.unconfirmed.pop_front();
        }
    }

    /// Handles the end of the stream: the events that it may have lost are sent again on the next
    /// one. Reports on the progress of runs are dropped, since later ones follow.
    pub fn on_stream_closed(&mut self) {
        self.has_stream = false;
        let later = std::mem::take(&mut self.pending);
        let unconfirmed = self.unconfirmed.drain(..).map(|(_, event)| event);
        self.pending = unconfirmed.chain(later.into_iter().filter(ends_run)).collect();
    }
}

fn ends_run(event: &TaskEvent) -> bool {
    event.status.ends_run()
}
