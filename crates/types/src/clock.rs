//! The clock, passed in as an interface.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Tells the time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which other VMs share within the stated skew.
    fn wall(&self) -> SystemTime;

    /// Returns the time since the VM booted, which goes on while the VM is suspended.
    fn since_boot(&self) -> Duration;
}

/// The clock of the operating system.
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
        // The call fails only for clocks that Linux does not have.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        time.map(Duration::from).expect("Linux has a clock of the time since boot")
    }
}

/// A clock that moves only when told to.
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
    /// Returns a clock that stands still.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().expect("no holder of the clock panics") += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("no holder of the clock panics")
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

/// Converts a wall-clock time to milliseconds since the Unix epoch; earlier times become 0.
pub fn to_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Converts milliseconds since the Unix epoch to a wall-clock time.
pub fn from_millis(millis: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(millis)
}
