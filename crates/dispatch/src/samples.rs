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

    /// Returns the observations of the last while.
    pub fn within(&self, now: Duration, age: Duration) -> impl Iterator<Item = f64> {
        self.values.iter().filter(move |(at, _)| now <= *at + age).map(|(_, value)| *value)
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
const LEARNING_RATE: f64 = 0.03;
/// Observations that the speed 1, assumed at first, counts for.
const FIRST_WEIGHT: f64 = 2.0;
/// Pull of the speed towards 1 with each observation: only speed times work is seen, and the pull keeps
/// the two from drifting apart.
const PULL: f64 = 0.0005;
/// Present run times relative to the usual ones from which the endpoint counts as disturbed.
const DISTURBED_RATIO: f64 = 2.0;
/// Largest deviation learned from once the usual speed is known, as a factor: the first tasks of a
/// disturbance must not move it much.
const MAX_ERROR: f64 = 2.0;
/// Observations from which the usual speed is known.
const ENOUGH: f64 = 12.0;
/// Observations needed to tell a disturbance.
const ENOUGH_PRESENT: usize = 3;
/// Age up to which tasks that have ended count beside those that run. Those that run are more often the
/// large ones; among those that end the short ones are more frequent.
const PRESENT: Duration = Duration::from_millis(120);

/// How long tasks take at an endpoint, relative to the work that they are.
///
/// The mean over many tasks tells the usual speed, the median of the present ones a disturbance.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::SlownessEstimator;
///
/// let (now, work) = (Duration::from_secs(1), Duration::from_millis(100));
/// let mut speed = SlownessEstimator::default();
/// for _ in 0..200 {
///     speed.observe(now, work, Duration::from_millis(70));
/// }
/// assert!((speed.baseline() - 0.7).abs() < 0.02);
/// // Running tasks that have fallen far behind tell at once.
/// let later = now + Duration::from_millis(200);
/// assert!(speed.current(later, vec![5.0; 4]) > 4.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlownessEstimator {
    /// Mean logarithm of the usual speed.
    usual: f64,
    weight: f64,
    latest: Samples,
}

impl SlownessEstimator {
    /// Takes in that a task of so much work has taken so long.
    pub fn observe(&mut self, now: Duration, work: Duration, took: Duration) {
        if work.is_zero() || took.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / work.as_secs_f64();
        self.latest.add(now, ratio);
        let disturbed = self.weight > ENOUGH && self.current(now, Vec::new()) > self.baseline();
        if disturbed {
            return;
        }
        self.weight += 1.0;
        let rate = LEARNING_RATE.max(1.0 / (FIRST_WEIGHT + self.weight));
        let bound = if self.weight > ENOUGH { MAX_ERROR.ln() } else { f64::INFINITY };
        let error = (ratio.ln() - self.usual).clamp(-bound, bound);
        self.usual += rate * error - PULL * self.usual;
    }

    /// Returns the usual run time relative to the work.
    pub fn baseline(&self) -> f64 {
        self.usual.exp()
    }

    /// Returns the run time to expect relative to the work, where running jobs have these paces.
    pub fn current(&self, now: Duration, running: Vec<f64>) -> f64 {
        let usual = self.baseline();
        let mut seen = running;
        seen.extend(self.latest.within(now, PRESENT));
        if seen.len() < ENOUGH_PRESENT {
            return usual;
        }
        let present = median(seen).unwrap_or(usual);
        if present > DISTURBED_RATIO * usual { present } else { usual }
    }
}
