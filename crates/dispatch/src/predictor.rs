//! How much work the tasks of each queue are.
//!
//! Declared times are far off, and the more so the further they are from what is usual in their queue.
//! A regression of the logarithm of the work on that of the declared time takes both into account.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::SortedMap;

/// Weight of an observation once several have been made.
const LEARNING_RATE: f64 = 0.01;
/// Standard deviation of the logarithm assumed before anything was observed.
const FIRST_SPREAD: f64 = 0.4;
/// Observations that what is assumed at first counts for.
const FIRST_WEIGHT: f64 = 8.0;
/// Variance of the logarithm of declared times assumed at first.
const FIRST_VARIANCE: f64 = 0.3;
/// Largest error learned from, as a factor, so that a hung task does not count as a large one.
const MAX_ERROR: f64 = 6.0;
/// Queues remembered at once.
const MAX_QUEUES: usize = 4096;

/// How much work a task is: its run time on an endpoint of speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Median.
    pub median: Duration,
    /// Standard deviation of the logarithm.
    pub log_std_dev: f64,
}

/// A regression of work on declared time, both as logarithms of seconds.
#[derive(Clone, Copy, Debug)]
struct Regression {
    weight: f64,
    mean_declared: f64,
    mean_work: f64,
    variance: f64,
    covariance: f64,
    error_variance: f64,
}

impl Regression {
    /// Starts with the assumption that the first declared time is right.
    fn new(declared: f64) -> Self {
        Self {
            weight: FIRST_WEIGHT,
            mean_declared: declared,
            mean_work: declared,
            variance: FIRST_VARIANCE,
            covariance: FIRST_VARIANCE,
            error_variance: FIRST_SPREAD * FIRST_SPREAD,
        }
    }

    fn predict(&self, declared: f64) -> f64 {
        let slope = (self.covariance / self.variance.max(1e-3)).clamp(0.0, 1.0);
        self.mean_work + slope * (declared - self.mean_declared)
    }

    fn observe(&mut self, declared: f64, work: f64) {
        let expected = self.predict(declared);
        let bound = MAX_ERROR.ln();
        let error = (work - expected).clamp(-bound, bound);
        let work = expected + error;
        self.weight += 1.0;
        let rate = LEARNING_RATE.max(1.0 / self.weight);
        let (from_declared, from_work) = (declared - self.mean_declared, work - self.mean_work);
        self.mean_declared += rate * from_declared;
        self.mean_work += rate * from_work;
        let rest = 1.0 - rate;
        self.variance = rest * (self.variance + rate * from_declared * from_declared);
        self.covariance = rest * (self.covariance + rate * from_declared * from_work);
        self.error_variance += rate * (error * error - self.error_variance);
    }
}

/// Learns how much work the tasks of each queue are.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::Predictor;
///
/// let mut predictor = Predictor::default();
/// let declared = Duration::from_millis(100);
/// assert_eq!(predictor.predict_work("quotes", declared).median, declared);
/// for _ in 0..500 {
///     predictor.observe("quotes", declared, Duration::from_millis(200));
/// }
/// let work = predictor.predict_work("quotes", declared).median;
/// assert!(work > Duration::from_millis(190));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Predictor {
    by_queue: SortedMap<CompactString, Regression>,
}

fn logarithm(time: Duration) -> f64 {
    time.as_secs_f64().max(0.001).ln()
}

impl Predictor {
    /// Takes in that a task was so much work.
    pub fn observe(&mut self, queue: &str, declared: Duration, work: Duration) {
        let queue = CompactString::from(queue);
        if self.by_queue.len() >= MAX_QUEUES && !self.by_queue.contains(&queue) {
            return;
        }
        let declared = logarithm(declared);
        let known = self.by_queue.get_or_insert_with(queue, || Regression::new(declared));
        known.observe(declared, logarithm(work));
    }

    /// Returns how much work a task is expected to be.
    pub fn predict_work(&self, queue: &str, declared: Duration) -> WorkEstimate {
        match self.by_queue.get(&queue.into()) {
            None => WorkEstimate { median: declared, log_std_dev: FIRST_SPREAD },
            Some(known) => WorkEstimate {
                median: Duration::from_secs_f64(known.predict(logarithm(declared)).exp()),
                log_std_dev: known.error_variance.sqrt(),
            },
        }
    }
}
