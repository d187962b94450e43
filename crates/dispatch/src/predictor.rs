//! Predicts the work of the tasks of each queue.
//!
//! Declared run times are inaccurate, and more so the further they are from the usual ones of their
//! queue. A regression of the logarithm of the work on the logarithm of the declared run time
//! accounts for both.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::SortedMap;

/// Minimum weight of a new observation.
const MIN_LEARNING_RATE: f64 = 0.01;
/// Standard deviation of the logarithm of the work, assumed before any observation.
const INITIAL_LOG_STD_DEV: f64 = 0.4;
/// Number of observations that the initial assumptions count for.
const INITIAL_WEIGHT: f64 = 8.0;
/// Variance of the logarithm of declared run times, assumed before any observation.
const INITIAL_VARIANCE: f64 = 0.3;
/// Lower bound of the variance used as a divisor.
const MIN_VARIANCE: f64 = 1e-3;
/// Lower bound of a time before its logarithm is taken, in seconds.
const MIN_SECS: f64 = 0.001;
/// Largest error to learn from, as a factor, so that a hung task does not count as a large one.
const MAX_ERROR_FACTOR: f64 = 6.0;
/// Maximum number of queues to keep a regression for.
const MAX_QUEUES: usize = 4096;

/// The predicted work of a task: its run time on an endpoint of slowness 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Median of the work.
    pub median: Duration,
    /// Standard deviation of the natural logarithm of the work.
    pub log_std_dev: f64,
}

/// A regression of work on declared run time, both as logarithms of seconds.
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
    /// Creates a regression that assumes the first declared run time to be right.
    fn new(declared: f64) -> Self {
        Self {
            weight: INITIAL_WEIGHT,
            mean_declared: declared,
            mean_work: declared,
            variance: INITIAL_VARIANCE,
            covariance: INITIAL_VARIANCE,
            error_variance: INITIAL_LOG_STD_DEV * INITIAL_LOG_STD_DEV,
        }
    }

    fn predict(&self, declared: f64) -> f64 {
        let slope = (self.covariance / self.variance.max(MIN_VARIANCE)).clamp(0.0, 1.0);
        self.mean_work + slope * (declared - self.mean_declared)
    }

    fn observe(&mut self, declared: f64, work: f64) {
        let expected = self.predict(declared);
        let max_error = MAX_ERROR_FACTOR.ln();
        let error = (work - expected).clamp(-max_error, max_error);
        let work = expected + error;
        self.weight += 1.0;
        let rate = MIN_LEARNING_RATE.max(1.0 / self.weight);
        let (declared_deviation, work_deviation) =
            (declared - self.mean_declared, work - self.mean_work);
        self.mean_declared += rate * declared_deviation;
        self.mean_work += rate * work_deviation;
        let decay = 1.0 - rate;
        self.variance = decay * (self.variance + rate * declared_deviation * declared_deviation);
        self.covariance = decay * (self.covariance + rate * declared_deviation * work_deviation);
        self.error_variance += rate * (error * error - self.error_variance);
    }
}

/// Learns the relation between declared run times and work for each queue.
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

fn ln_secs(time: Duration) -> f64 {
    time.as_secs_f64().max(MIN_SECS).ln()
}

impl Predictor {
    /// Records the work of a completed task.
    pub fn observe(&mut self, queue: &str, declared: Duration, work: Duration) {
        let queue = CompactString::from(queue);
        if self.by_queue.len() >= MAX_QUEUES && !self.by_queue.contains(&queue) {
            return;
        }
        let declared = ln_secs(declared);
        let regression = self.by_queue.get_or_insert_with(queue, || Regression::new(declared));
        regression.observe(declared, ln_secs(work));
    }

    /// Returns the predicted work of a task.
    pub fn predict_work(&self, queue: &str, declared: Duration) -> WorkEstimate {
        match self.by_queue.get(&queue.into()) {
            None => WorkEstimate { median: declared, log_std_dev: INITIAL_LOG_STD_DEV },
            Some(regression) => WorkEstimate {
                median: Duration::from_secs_f64(regression.predict(ln_secs(declared)).exp()),
                log_std_dev: regression.error_variance.sqrt(),
            },
        }
    }
}
