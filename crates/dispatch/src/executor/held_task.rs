//! A task that an agent holds.

use std::sync::Arc;
use std::time::Duration;

use crate::id::{EntryName, TaskName, TaskRun};
use crate::resources::Resources;
use crate::scheduler::TaskOrder;

/// Least time that a running task is taken to need.
const LEAST_REMAINING: Duration = Duration::from_millis(5);
/// Progress assumed where none is seen, in percent.
const LEAST_PERCENT: f64 = 0.5;
/// Progress from which the run time can be projected, in percent: 1 in 25 is off by 4%.
const ENOUGH_PERCENT: u32 = 25;
/// Least time between two looks at progress, which is listed in whole percents.
const MARK_TIME: Duration = Duration::from_millis(35);
/// Pace relative to the usual one from which a task at a disturbed endpoint is told of.
const SLOW_PACE: f64 = 1.8;
/// Pace relative to the usual one from which a task is told of that others do not share; wrong
/// declared times rarely explain it.
const STILL_PACE: f64 = 5.0;

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
pub(super) struct HeldTask {
    pub(super) entry: EntryName,
    pub(super) run: u32,
    pub(super) payload: Arc<str>,
    pub(super) need: Resources,
    /// Work expected: the run time on an endpoint of speed 1.
    pub(super) work_time: Duration,
    /// Its objective is missed already.
    pub(super) late: bool,
    pub(super) start_by: Duration,
    pub(super) give_up_at: Duration,
    /// When it must end for its caller to get the answer.
    end_by: Duration,
    pub(super) most_here: u32,
    pub(super) phase: Phase,
    pub(super) started_at: Duration,
    /// When the start was last sent.
    pub(super) sent_at: Duration,
    /// Times that the start was sent.
    pub(super) sends: u32,
    pub(super) confirmed_at: Option<Duration>,
    /// Until when the start may be carried out, on the endpoint's clock.
    pub(super) deadline_ms: u64,
    pub(super) stop_sent: Option<Duration>,
    pub(super) stop_confirmed: Option<Duration>,
    percent: u32,
    /// When progress was last looked at, and how far the task was.
    mark: Option<(Duration, u32)>,
    /// Run time of the whole task at its present pace, in seconds.
    rate: Option<f64>,
    pub(super) told_at: Option<Duration>,
}

impl HeldTask {
    pub(super) fn new(now: Duration, entry: EntryName, order: TaskOrder) -> Self {
        Self {
            entry,
            run: order.run.run,
            payload: order.payload,
            need: order.resources,
            work_time: order.expected_work,
            late: order.start_within.is_zero(),
            start_by: now + order.start_within,
            give_up_at: now + order.abandon_after,
            end_by: now + order.end_within,
            most_here: order.max_per_endpoint,
            phase: Phase::Queued,
            started_at: now,
            sent_at: now,
            sends: 0,
            confirmed_at: None,
            deadline_ms: 0,
            stop_sent: None,
            stop_confirmed: None,
            percent: 0,
            mark: None,
            rate: None,
            told_at: None,
        }
    }

    /// Returns the run of the task, whose name is that under which it is held.
    pub(super) fn run_of(&self, name: &TaskName) -> TaskRun {
        TaskRun { task: name.clone(), run: self.run }
    }

    /// Tells whether a start is of no use here any more.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        now >= self.give_up_at || (!self.late && now > self.start_by)
    }

    /// Takes in how far the task is.
    pub(super) fn on_progress(&mut self, now: Duration, percent: u32) {
        self.percent = percent;
        let (at, from) = *self.mark.get_or_insert((self.started_at, 0));
        let passed = now.saturating_sub(at);
        if passed < MARK_TIME {
            return;
        }
        let done = f64::from(percent.saturating_sub(from)).max(LEAST_PERCENT);
        self.rate = Some(passed.as_secs_f64() * 100.0 / done);
        self.mark = Some((now, percent));
    }

    /// Returns the run time at the present pace relative to the work, once progress tells.
    pub(super) fn pace(&self) -> Option<f64> {
        Some(self.rate? / self.work_time.as_secs_f64().max(0.001))
    }

    /// Returns the time a task still needs that cannot end in time, going by its progress so far.
    pub(super) fn overrun(&self, now: Duration) -> Option<Duration> {
        if self.percent < ENOUGH_PERCENT {
            return None;
        }
        let elapsed = now.saturating_sub(self.started_at);
        // Whole percents are listed, so that up to one more is done.
        let done = f64::from(self.percent) + 1.0;
        let left = elapsed.mul_f64((100.0 - done).max(0.0) / done);
        (now + left > self.end_by).then_some(left)
    }

    /// Returns the time a task still needs whose endpoint is disturbed or that stands still.
    pub(super) fn slow_left(&self, usual: f64, disturbed: bool) -> Option<Duration> {
        let pace = self.pace()?;
        let limit = if disturbed { SLOW_PACE } else { STILL_PACE };
        if pace < limit * usual {
            return None;
        }
        let left = f64::from(100u32.saturating_sub(self.percent)) / 100.0;
        Some(Duration::from_secs_f64((left * self.rate?).min(MAX_PROJECTED_S)))
    }

    /// Returns the time that a started task is taken to need.
    pub(super) fn remaining(&self, now: Duration, slowness: f64) -> Duration {
        let elapsed = now.saturating_sub(self.started_at);
        self.work_time.mul_f64(slowness).saturating_sub(elapsed).max(LEAST_REMAINING)
    }
}
