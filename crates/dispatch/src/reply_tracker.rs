//! What the answers of an endpoint tell of the way to it.
//!
//! Answers a load in which a share of all calls gets no answer: what has ended is then asked for more
//! often, and connections are kept as long as some calls are answered.

use std::time::Duration;

/// Longest wait of a listing while tasks run, so that their progress is seen.
const BUSY_WAIT: Duration = Duration::from_millis(45);
/// The same while answers are lost: what has ended is seen sooner after a lost one.
const LOSSY_WAIT: Duration = Duration::from_millis(15);
/// Longest wait of a listing while nothing runs.
const IDLE_WAIT: Duration = Duration::from_millis(300);
/// Time after a lost answer for which more are expected to be lost.
const LOSSY_TIME: Duration = Duration::from_millis(500);
/// Calls in a row without an answer from which all connections may have fallen silent. A single answer
/// may be lost without that.
const SILENT_CALLS: u32 = 2;
/// Time without any answer from which they may; listings are answered about twice as often.
const SILENT_TIME: Duration = Duration::from_millis(80);

/// The answers to calls to one endpoint.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::ReplyTracker;
///
/// let mut answers = ReplyTracker::default();
/// let now = Duration::from_secs(10);
/// let calm = answers.listing_wait(now, false);
/// assert!(!answers.record_call(now, false));
/// assert!(answers.listing_wait(now, false) < calm);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReplyTracker {
    /// Calls in a row without an answer.
    unanswered: u32,
    /// The connections were closed in this silence.
    closed: bool,
    answered_at: Option<Duration>,
    lost_at: Option<Duration>,
}

impl ReplyTracker {
    /// Notes whether a call was answered; tells, once in each silence, whether connections that no call
    /// uses are to be closed, since they may all have fallen silent.
    pub fn record_call(&mut self, now: Duration, answered: bool) -> bool {
        if answered {
            self.unanswered = 0;
            self.closed = false;
            self.answered_at = Some(now);
            return false;
        }
        self.unanswered += 1;
        self.lost_at = Some(now);
        let is_silent = self.answered_at.is_none_or(|at| now >= at + SILENT_TIME);
        let closes = self.unanswered >= SILENT_CALLS && is_silent && !self.closed;
        self.closed |= closes;
        closes
    }

    /// Returns how long a listing may wait for an end, with or without tasks that run.
    pub fn listing_wait(&self, now: Duration, idle: bool) -> Duration {
        let is_lossy = self.lost_at.is_some_and(|at| now < at + LOSSY_TIME);
        match (idle, is_lossy) {
            (true, _) => IDLE_WAIT,
            (false, true) => LOSSY_WAIT,
            (false, false) => BUSY_WAIT,
        }
    }
}
