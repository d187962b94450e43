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
