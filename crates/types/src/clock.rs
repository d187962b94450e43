//! Clock abstraction, so that tests can control the time.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall-clock time.
    ///
    /// The wall clocks of any two VMs are assumed to differ by at most the configured skew.
    fn wall(&self) -> SystemTime;

    /// Returns the time since the VM booted, including time spent suspended.
    fn since_boot(&self) -> Duration;
}

/// A clock that reads the operating system's time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn since_boot(&self) -> Duration {
        // The call fails only if the clock id is not supported.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        time.map(Duration::from).expect("Linux supports CLOCK_BOOTTIME")
    }
}

/// A clock for tests that advances only through [`advance`](Self::advance).
///
/// The wall clock starts at the Unix epoch and the time since boot at 0.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_types::{Clock, ManualClock};
///
/// let clock = ManualClock::new();
/// let before = clock.now();
/// clock.advance(Duration::from_secs(2));
/// assert_eq!(clock.now() - before, Duration::from_secs(2));
/// ```
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock with no time elapsed.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Advances the clock by a duration.
    pub fn advance(&self, duration: Duration) {
        *self.elapsed.lock().expect("the clock mutex is not poisoned") += duration;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("the clock mutex is not poisoned")
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed()
    }
}

/// Converts a wall-clock time to milliseconds since the Unix epoch.
///
/// Returns 0 for times before the epoch.
pub fn to_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Converts milliseconds since the Unix epoch to a wall-clock time.
pub fn from_millis(millis: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(millis)
}
