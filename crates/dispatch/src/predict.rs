//! How long tasks take on endpoints of each kind.
//!
//! Declared times are far off, and kinds of endpoint differ by more than a factor of two.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::SortedMap;

/// Weight of an observation once several have been made.
const LEARNING_RATE: f64 = 0.05;
/// Relative deviation assumed before anything was observed.
const FIRST_DEVIATION: f64 = 0.3;
/// Largest ratio learned from, so that a hung task does not count as a slow kind.
const MAX_RATIO: f64 = 8.0;
/// Pairs of queue and kind remembered at once.
const MAX_PAIRS: usize = 4096;

/// Run time relative to the declared one.
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

/// Learns run times by queue and by kind of endpoint.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::Predictor;
///
/// let mut predictor = Predictor::default();
/// let declared = Duration::from_millis(100);
/// predictor.observe("quotes", "slow", declared, Duration::from_millis(190));
/// assert_eq!(predictor.ratio("quotes", "slow").mean, 1.9);
/// // Another queue starts from what its kind of endpoint has shown.
/// assert_eq!(predictor.ratio("holds", "slow").mean, 1.9);
/// assert_eq!(predictor.ratio("holds", "fast").mean, 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Predictor {
    by_queue: SortedMap<(CompactString, CompactString), Ratio>,
    by_kind: SortedMap<CompactString, Ratio>,
}

impl Predictor {
    /// Takes in that a task of a queue ran for `took` on an endpoint of a kind.
    pub fn observe(&mut self, queue: &str, kind: &str, declared: Duration, took: Duration) {
        if declared.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / declared.as_secs_f64()).min(MAX_RATIO);
        self.by_kind.get_or_insert_with(kind.into(), Ratio::default).observe(ratio);
        let key = (queue.into(), kind.into());
        if self.by_queue.len() < MAX_PAIRS || self.by_queue.contains(&key) {
            self.by_queue.get_or_insert_with(key, Ratio::default).observe(ratio);
        }
    }

    /// Returns the expected run time relative to the declared one.
    pub fn ratio(&self, queue: &str, kind: &str) -> Ratio {
        let key = (CompactString::from(queue), CompactString::from(kind));
        let found = self.by_queue.get(&key).or_else(|| self.by_kind.get(&key.1));
        found.copied().unwrap_or_default()
    }
}
