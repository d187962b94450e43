//! A task that an agent holds.

use std::sync::Arc;
use std::time::Duration;

use crate::id::EntryName;
use crate::room::Room;
use crate::scheduler::TaskOrder;

/// Least time that a running task is taken to need.
const LEAST_REMAINING: Duration = Duration::from_millis(5);
/// Progress assumed where none is listed, in percent.
const LEAST_PERCENT: f64 = 1.0;

/// Longest run time projected, in seconds.
const MAX_PROJECTED_S: f64 = 600.0;

/// How far a task has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// It waits here.
    Queued,
    /// A start was sent.
    Starting,
    /// The endpoint has confirmed the start.
    Running,
}

/// A task that an agent holds.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) entry: EntryName,
    pub(super) run: u32,
    pub(super) work: Arc<str>,
    pub(super) need: Room,
    /// Run time expected here when it was sent.
    pub(super) expected: Duration,
    /// Run time its caller declared.
    pub(super) declared: Duration,
    /// Its objective is missed already.
    pub(super) late: bool,
    pub(super) start_by: Duration,
    pub(super) give_up_at: Duration,
    pub(super) most_here: u32,
    pub(super) phase: Phase,
    pub(super) started_at: Duration,
    pub(super) confirmed_at: Option<Duration>,
    /// Until when the start may be carried out, on the endpoint's clock.
    pub(super) until_ms: u64,
    pub(super) in_doubt: bool,
    pub(super) stop_sent: Option<Duration>,
    pub(super) stop_confirmed: Option<Duration>,
    pub(super) percent: u32,
    pub(super) told_at: Option<Duration>,
}

impl Held {
    pub(super) fn new(now: Duration, entry: EntryName, order: TaskOrder) -> Self {
        Self {
            entry,
            run: order.run.run,
            work: order.work,
            need: order.need,
            expected: order.expected,
            declared: order.declared,
            late: order.start_within.is_zero(),
            start_by: now + order.start_within,
            give_up_at: now + order.give_up,
            most_here: order.most_here,
            phase: Phase::Queued,
            started_at: now,
            confirmed_at: None,
            until_ms: 0,
            in_doubt: false,
            stop_sent: None,
            stop_confirmed: None,
            percent: 0,
            told_at: None,
        }
    }

    /// Tells whether a start is of no use here any more.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        now >= self.give_up_at || (!self.late && now > self.start_by)
    }

    /// Returns the projected run time in seconds, once progress tells.
    fn projected(&self, now: Duration, least: Duration) -> Option<f64> {
        let elapsed = now.saturating_sub(self.started_at);
        if elapsed < least {
            return None;
        }
        let done = f64::from(self.percent).max(LEAST_PERCENT) / 100.0;
        // A small part done tells only of a task that has fallen far behind.
        let tells = self.percent >= 25 || elapsed.as_secs_f64() > 0.3 * self.expected.as_secs_f64();
        tells.then_some(elapsed.as_secs_f64() / done)
    }

    /// Returns the projected run time relative to the declared one, once progress tells.
    pub(super) fn pace(&self, now: Duration, least: Duration) -> Option<f64> {
        Some(self.projected(now, least)? / self.declared.as_secs_f64().max(0.001))
    }

    /// Returns the time a task still needs that is far slower than expected.
    pub(super) fn slow_left(&self, now: Duration, least: Duration, ratio: f64) -> Option<Duration> {
        let projected = self.projected(now, least)?;
        if projected < ratio * self.expected.as_secs_f64() {
            return None;
        }
        let elapsed = now.saturating_sub(self.started_at);
        Some(Duration::from_secs_f64(projected.min(MAX_PROJECTED_S)).saturating_sub(elapsed))
    }

    /// Returns the time that a started task is taken to need.
    pub(super) fn remaining(&self, now: Duration, slowness: f64) -> Duration {
        let elapsed = now.saturating_sub(self.started_at);
        self.declared.mul_f64(slowness).saturating_sub(elapsed).max(LEAST_REMAINING)
    }
}
