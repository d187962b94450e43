//! The latest observations of an endpoint.

use std::collections::VecDeque;
use std::time::Duration;

/// Observations kept.
const KEPT: usize = 9;
/// Age at which an observation no longer counts, so that a recovered endpoint is tried again.
const MAX_AGE: Duration = Duration::from_millis(2500);

/// The latest observations, of which the median counts.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::Samples;
///
/// let now = Duration::from_secs(1);
/// let mut samples = Samples::default();
/// for value in [1.0, 6.0, 6.5] {
///     samples.add(now, value);
/// }
/// assert_eq!(samples.median(now), Some(6.0));
/// assert_eq!(samples.median(now + Duration::from_secs(9)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Samples {
    values: VecDeque<(Duration, f64)>,
}

impl Samples {
    /// Adds an observation.
    pub fn add(&mut self, now: Duration, value: f64) {
        if self.values.len() == KEPT {
            self.values.pop_front();
        }
        self.values.push_back((now, value));
    }

    /// Returns the observations that still count.
    pub fn recent(&self, now: Duration) -> impl Iterator<Item = f64> {
        self.values.iter().filter(move |(at, _)| now < *at + MAX_AGE).map(|(_, value)| *value)
    }

    /// Returns the median of the observations that still count.
    pub fn median(&self, now: Duration) -> Option<f64> {
        median(self.recent(now).collect())
    }

    /// Returns the mean of the observations that still count, and their number.
    pub fn mean(&self, now: Duration) -> (f64, usize) {
        let (sum, count) = self.recent(now).fold((0.0, 0), |(sum, n), v| (sum + v, n + 1));
        (if count == 0 { 0.0 } else { sum / count as f64 }, count)
    }
}

/// Returns the median of some values.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[values.len() / 2])
}

/// Weight of an observation of an endpoint's speed once several were made.
const LEARNING_RATE: f64 = 0.04;
/// Latest run times relative to the usual ones from which the endpoint counts as disturbed.
const DISTURBED_RATIO: f64 = 1.6;
/// Observations from which the usual speed is known.
const ENOUGH: u32 = 12;
/// Latest observations needed to tell a disturbance from wrong declared times.
const ENOUGH_RECENT: usize = 3;

/// How long tasks take at an endpoint, relative to what their callers declare.
///
/// The mean over many tasks tells the usual speed, the median of the latest a disturbance.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::Speed;
///
/// let (now, declared) = (Duration::from_secs(1), Duration::from_millis(100));
/// let mut speed = Speed::default();
/// for _ in 0..20 {
///     speed.observe(now, declared, Duration::from_millis(70));
/// }
/// assert_eq!((speed.ratio(now, vec![]) * 100.0).round(), 70.0);
/// // Running tasks that have fallen far behind tell at once.
/// assert!(speed.ratio(now, vec![5.0; 10]) > 4.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Speed {
    usual: f64,
    seen: u32,
    latest: Samples,
}

impl Speed {
    /// Takes in that a task has taken so long.
    pub fn observe(&mut self, now: Duration, declared: Duration, took: Duration) {
        if declared.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / declared.as_secs_f64();
        self.latest.add(now, ratio);
        let disturbed = self.seen >= ENOUGH && self.ratio(now, Vec::new()) > self.usual;
        if disturbed {
            return;
        }
        self.seen = self.seen.saturating_add(1);
        let rate = LEARNING_RATE.max(1.0 / f64::from(self.seen));
        self.usual += rate * (ratio - self.usual);
    }

    /// Returns the run time to expect relative to the declared one, where tasks that run are projected
    /// to take `running`.
    pub fn ratio(&self, now: Duration, running: Vec<f64>) -> f64 {
        let usual = if self.seen == 0 { 1.0 } else { self.usual };
        let mut seen = running;
        seen.extend(self.latest.recent(now));
        if seen.len() < ENOUGH_RECENT {
            return usual;
        }
        let latest = median(seen).unwrap_or(usual);
        if latest > DISTURBED_RATIO * usual { latest } else { usual }
    }
}
