//! How long the tasks of each queue take.
//!
//! Declared times are far off; how far, differs by queue.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::SortedMap;

/// Weight of an observation once several have been made.
const LEARNING_RATE: f64 = 0.05;
/// Relative deviation assumed before anything was observed.
const FIRST_DEVIATION: f64 = 0.3;
/// Largest ratio learned from, so that a hung task does not count as a slow kind.
const MAX_RATIO: f64 = 8.0;
/// Queues remembered at once.
const MAX_QUEUES: usize = 4096;

/// Run time relative to the expected one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio {
    /// Mean.
    pub mean: f64,
    /// Mean absolute deviation.
    pub deviation: f64,
    seen: u32,
}

impl Default for Ratio {
    fn default() -> Self {
        Self { mean: 1.0, deviation: FIRST_DEVIATION, seen: 0 }
    }
}

impl Ratio {
    fn observe(&mut self, ratio: f64) {
        self.seen = self.seen.saturating_add(1);
        let rate = LEARNING_RATE.max(1.0 / f64::from(self.seen));
        let error = ratio - self.mean;
        self.mean += rate * error;
        if self.seen > 1 {
            self.deviation += rate.min(0.5) * (error.abs() - self.deviation);
        }
    }
}

/// Learns run times by queue, relative to the declared time and the speed of the endpoint.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::Predictor;
///
/// let mut predictor = Predictor::default();
/// let expected = Duration::from_millis(100);
/// predictor.observe("quotes", expected, Duration::from_millis(190));
/// assert_eq!(predictor.ratio("quotes").mean, 1.9);
/// assert_eq!(predictor.ratio("holds").mean, 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Predictor {
    by_queue: SortedMap<CompactString, Ratio>,
}

impl Predictor {
    /// Takes in that a task of a queue ran for `took` where its declared time and the speed of the
    /// endpoint let `expected` be expected.
    pub fn observe(&mut self, queue: &str, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / expected.as_secs_f64()).min(MAX_RATIO);
        if self.by_queue.len() < MAX_QUEUES || self.by_queue.contains(&queue.into()) {
            self.by_queue.get_or_insert_with(queue.into(), Ratio::default).observe(ratio);
        }
    }

    /// Returns the expected run time relative to the one that declared time and speed tell.
    pub fn ratio(&self, queue: &str) -> Ratio {
        self.by_queue.get(&queue.into()).copied().unwrap_or_default()
    }
}
