//! Tracks which calls to an endpoint are answered.
//!
//! A link may lose a share of all answers. While answers are lost, listings return sooner, and
//! connections are kept as long as some calls are answered. While none is, listings are sent less
//! often.

use std::time::Duration;

/// Maximum wait of a listing while tasks run, so that their progress is seen.
const BUSY_LISTING_WAIT: Duration = Duration::from_millis(45);
/// Maximum wait of a listing while answers are lost, so that the next listing soon makes up for a
/// lost one.
const LOSSY_LISTING_WAIT: Duration = Duration::from_millis(15);
/// Maximum wait of a listing while no task runs.
const IDLE_LISTING_WAIT: Duration = Duration::from_millis(300);
/// Time after a lost answer during which more losses are expected.
const LOSSY_PERIOD: Duration = Duration::from_millis(500);
/// Number of consecutive lost answers from which all connections may be dead. A single answer may
/// be lost while connections are alive.
const MIN_LOST_CALLS: u32 = 2;
/// Time without any answer from which all connections may be dead. Listings are answered about
/// twice as often.
const MIN_SILENCE: Duration = Duration::from_millis(80);

/// First delay before the next listing after one that was not answered; it doubles with each one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum delay before the next listing, which bounds the time until the return of the endpoint is
/// noticed. With a constant delay of 5 ms, an agent whose endpoint refused connections for a second
/// attempted up to 200.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(40);

/// What an agent knows of the runs at its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointActivity {
    /// No listing has arrived from the present incarnation, or no process listens at the endpoint's
    /// address. Tasks can start only after the next listing.
    Unknown,
    /// No task runs.
    Idle,
    /// Tasks run or are about to start.
    Busy,
}

/// The record of answered and lost calls to one endpoint.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::{EndpointActivity, ReplyTracker};
///
/// let mut tracker = ReplyTracker::default();
/// let now = Duration::from_secs(10);
/// let normal_wait = tracker.listing_wait(now, EndpointActivity::Busy);
/// assert!(!tracker.record_call(now, false));
/// assert!(tracker.listing_wait(now, EndpointActivity::Busy) < normal_wait);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReplyTracker {
    /// Number of consecutive calls without an answer.
    consecutive_lost: u32,
    /// Whether idle connections were already closed in the current silence.
    connections_closed: bool,
    last_answered_at: Option<Duration>,
    last_lost_at: Option<Duration>,
    /// Number of consecutive listings that failed.
    failed_listings: u32,
}

impl ReplyTracker {
    /// Records whether a call was answered. Returns `true` at most once in each period of silence,
    /// when idle connections should be closed because they may all be dead.
    pub fn record_call(&mut self, now: Duration, answered: bool) -> bool {
        if answered {
            self.consecutive_lost = 0;
            self.connections_closed = false;
            self.last_answered_at = Some(now);
            return false;
        }
        self.consecutive_lost += 1;
        self.last_lost_at = Some(now);
        let is_silent = self.last_answered_at.is_none_or(|at| now >= at + MIN_SILENCE);
        let should_close =
            self.consecutive_lost >= MIN_LOST_CALLS && is_silent && !self.connections_closed;
        self.connections_closed |= should_close;
        should_close
    }

    /// Returns how long a listing may wait for the end of a run.
    pub fn listing_wait(&self, now: Duration, activity: EndpointActivity) -> Duration {
        let is_lossy = self.last_lost_at.is_some_and(|at| now < at + LOSSY_PERIOD);
        match activity {
            EndpointActivity::Unknown => Duration::ZERO,
            EndpointActivity::Idle => IDLE_LISTING_WAIT,
            EndpointActivity::Busy if is_lossy => LOSSY_LISTING_WAIT,
            EndpointActivity::Busy => BUSY_LISTING_WAIT,
        }
    }

    /// Records whether a list request succeeded. Returns the delay before the next one.
    pub fn record_listing(&mut self, succeeded: bool) -> Duration {
        if succeeded {
            self.failed_listings = 0;
            return Duration::ZERO;
        }
        let doublings = self.failed_listings.min(10);
        self.failed_listings += 1;
        (INITIAL_RETRY_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY)
    }
}
