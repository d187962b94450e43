//! Predicts the work of the tasks of each queue.
//!
//! Declared run times are inaccurate, and more so the further they are from the usual ones of their
//! queue. A regression of the logarithm of the work on the logarithm of the declared run time
//! accounts for both.
//!
//! A few jobs of a queue may be many times the usual size. The work of a queue is therefore a mixture
//! of usual and large jobs, which share the slope of the regression. A declared run time far above
//! the usual ones may stem from either.

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
/// Share of large jobs, assumed before any observation.
const INITIAL_TAIL_SHARE: f64 = 0.005;
/// Bounds of the learned share of large jobs. Above the upper one they are the usual ones.
const TAIL_SHARE_RANGE: (f64, f64) = (0.001, 0.2);
/// Size of the large jobs relative to the usual ones, assumed before any observation.
const INITIAL_TAIL_FACTOR: f64 = 6.0;
/// Bounds of the learned size of the large jobs relative to the usual ones.
const TAIL_FACTOR_RANGE: (f64, f64) = (3.0, 20.0);

/// The predicted work of a task: its run time on an endpoint of slowness 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Median of the work, given that the job is of the more probable size.
    pub median: Duration,
    /// Standard deviation of the natural logarithm of the work around the median.
    pub log_std_dev: f64,
    /// Probability that the job is of the other size, 0 to 0.5.
    pub other_probability: f64,
    /// Median of the work in that case, relative to `median`.
    pub other_ratio: f64,
}

impl WorkEstimate {
    /// Returns an estimate of jobs of one size.
    pub fn of_one_size(median: Duration, log_std_dev: f64) -> Self {
        Self { median, log_std_dev, other_probability: 0.0, other_ratio: 1.0 }
    }
}

/// A regression of work on declared run time, both as logarithms of seconds, for usual and large
/// jobs. Its means are those of the usual ones.
#[derive(Clone, Copy, Debug)]
struct Regression {
    weight: f64,
    mean_declared: f64,
    mean_work: f64,
    variance: f64,
    covariance: f64,
    error_variance: f64,
    /// Share of large jobs.
    tail_share: f64,
    /// Logarithm of the size of large jobs relative to usual ones.
    tail_shift: f64,
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
            tail_share: INITIAL_TAIL_SHARE,
            tail_shift: INITIAL_TAIL_FACTOR.ln(),
        }
    }

    fn slope(&self) -> f64 {
        (self.covariance / self.variance.max(MIN_VARIANCE)).clamp(0.0, 1.0)
    }

    /// Returns the expected work of a usual job.
    fn predict_usual(&self, declared: f64) -> f64 {
        self.mean_work + self.slope() * (declared - self.mean_declared)
    }

    /// Returns the expected work of a large job.
    fn predict_large(&self, declared: f64) -> f64 {
        self.predict_usual(declared) + (1.0 - self.slope()) * self.tail_shift
    }

    /// Returns the probability that a job with this declared run time is large.
    fn large_probability(&self, declared: f64) -> f64 {
        let deviation = declared - self.mean_declared;
        let variance = self.variance.max(MIN_VARIANCE);
        let large = self.tail_share * density(deviation - self.tail_shift, variance);
        let usual = (1.0 - self.tail_share) * density(deviation, variance);
        large / (large + usual).max(f64::MIN_POSITIVE)
    }

    fn predict(&self, declared: f64) -> WorkEstimate {
        let log_std_dev = self.error_variance.sqrt();
        let large_probability = self.large_probability(declared);
        let (usual, large) = (self.predict_usual(declared), self.predict_large(declared));
        let (median, other, other_probability) = if large_probability > 0.5 {
            (large, usual, 1.0 - large_probability)
        } else {
            (usual, large, large_probability)
        };
        WorkEstimate {
            median: Duration::from_secs_f64(median.exp()),
            log_std_dev,
            other_probability,
            other_ratio: (other - median).exp(),
        }
    }

    fn observe(&mut self, declared: f64, work: f64) {
        self.weight += 1.0;
        let rate = MIN_LEARNING_RATE.max(1.0 / self.weight);
        let large = self.observe_size(declared, work, rate);
        let rate = rate * (1.0 - large);
        let expected = self.predict_usual(declared);
        let max_error = MAX_ERROR_FACTOR.ln();
        let error = (work - expected).clamp(-max_error, max_error);
        let work = expected + error;
        let (declared_deviation, work_deviation) =
            (declared - self.mean_declared, work - self.mean_work);
        self.mean_declared += rate * declared_deviation;
        self.mean_work += rate * work_deviation;
        let decay = 1.0 - rate;
        self.variance = decay * (self.variance + rate * declared_deviation * declared_deviation);
        self.covariance = decay * (self.covariance + rate * declared_deviation * work_deviation);
        self.error_variance += rate * (error * error - self.error_variance);
    }

    /// Learns the share and the size of large jobs. Returns the probability that this job is one.
    fn observe_size(&mut self, declared: f64, work: f64, rate: f64) -> f64 {
        let prior = self.large_probability(declared);
        let variance = self.error_variance.max(MIN_VARIANCE);
        let large = prior * density(work - self.predict_large(declared), variance);
        let usual = (1.0 - prior) * density(work - self.predict_usual(declared), variance);
        let large = large / (large + usual).max(f64::MIN_POSITIVE);
        let (min_share, max_share) = TAIL_SHARE_RANGE;
        self.tail_share =
            (self.tail_share + rate * (large - self.tail_share)).clamp(min_share, max_share);
        // The observation's share of all large jobs seen so far.
        let tail_rate = rate * large / self.tail_share;
        let (min_factor, max_factor) = TAIL_FACTOR_RANGE;
        let shift = self.tail_shift + tail_rate * (work - self.mean_work - self.tail_shift);
        self.tail_shift = shift.clamp(min_factor.ln(), max_factor.ln());
        large
    }
}

/// Returns a number proportional to the density of the normal distribution with mean 0.
fn density(deviation: f64, variance: f64) -> f64 {
    (-0.5 * deviation * deviation / variance).exp()
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
            None => WorkEstimate::of_one_size(declared, INITIAL_LOG_STD_DEV),
            Some(regression) => regression.predict(ln_secs(declared)),
        }
    }
}
