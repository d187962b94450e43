//! Recent observations of an endpoint, and the slowness estimated from them.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of observations to keep.
const MAX_SAMPLES: usize = 9;
/// Age from which an observation is ignored, so that a recovered endpoint is tried again.
const MAX_AGE: Duration = Duration::from_millis(2500);

/// A window of recent observations.
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
    /// Adds an observation, replacing the oldest one if the window is full.
    pub fn add(&mut self, now: Duration, value: f64) {
        if self.values.len() == MAX_SAMPLES {
            self.values.pop_front();
        }
        self.values.push_back((now, value));
    }

    /// Returns the observations that are not outdated.
    pub fn recent(&self, now: Duration) -> impl Iterator<Item = f64> {
        self.values.iter().filter(move |(at, _)| now < *at + MAX_AGE).map(|(_, value)| *value)
    }

    /// Returns the observations up to this age.
    pub fn within(&self, now: Duration, age: Duration) -> impl Iterator<Item = f64> {
        self.values.iter().filter(move |(at, _)| now <= *at + age).map(|(_, value)| *value)
    }

    /// Returns the median of the observations that are not outdated.
    pub fn median(&self, now: Duration) -> Option<f64> {
        median(self.recent(now).collect())
    }

    /// Returns the mean and the number of the observations that are not outdated.
    pub fn mean(&self, now: Duration) -> (f64, usize) {
        let (sum, count) = self.recent(now).fold((0.0, 0), |(sum, n), v| (sum + v, n + 1));
        (if count == 0 { 0.0 } else { sum / count as f64 }, count)
    }
}

/// Returns the median of the values, or `None` if there are none.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[values.len() / 2])
}

/// Minimum weight of a new observation in the baseline.
const MIN_LEARNING_RATE: f64 = 0.03;
/// Number of observations that the initial slowness of 1 counts for.
const INITIAL_WEIGHT: f64 = 2.0;
/// Shrinkage of the baseline towards 1 with each observation. Only the product of slowness and work
/// is observable, and the shrinkage keeps the two estimates from drifting apart.
const SHRINKAGE: f64 = 0.0005;
/// Current slowness relative to the baseline above which the endpoint counts as disturbed.
const DISTURBED_RATIO: f64 = 2.0;
/// Largest deviation to learn from once the baseline is established, as a factor. It keeps the
/// first tasks of a disturbance from shifting the baseline.
const MAX_ERROR_FACTOR: f64 = 2.0;
/// Number of observations above which the baseline is established.
const MIN_BASELINE_WEIGHT: f64 = 12.0;
/// Minimum number of current observations to detect a disturbance.
const MIN_CURRENT_SAMPLES: usize = 3;
/// Age up to which ended tasks are considered together with running ones. Running tasks are more
/// often large ones, and ended tasks more often short ones.
const CURRENT_WINDOW: Duration = Duration::from_millis(120);

/// Whether the recent tasks at an endpoint run as usual there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointCondition {
    /// Too few recent tasks are known.
    Unknown,
    /// The median of the recent tasks is as usual.
    Normal,
    /// The recent tasks take much longer than usual.
    Disturbed,
}

/// Estimates the run times at an endpoint relative to the expected work.
///
/// The mean over many tasks gives the baseline. An endpoint counts as disturbed while its current
/// tasks take much longer: if their median is above twice the baseline, it replaces the baseline in
/// the estimate.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::SlownessEstimator;
///
/// let (now, work) = (Duration::from_secs(1), Duration::from_millis(100));
/// let mut slowness = SlownessEstimator::default();
/// for _ in 0..200 {
///     slowness.observe(now, work, Duration::from_millis(70));
/// }
/// assert!((slowness.baseline() - 0.7).abs() < 0.02);
/// // Running tasks that are far behind raise the estimate at once.
/// let later = now + Duration::from_millis(200);
/// assert!(slowness.current(later, vec![5.0; 4]) > 4.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlownessEstimator {
    /// Mean logarithm of the slowness.
    log_baseline: f64,
    weight: f64,
    samples: Samples,
}

impl SlownessEstimator {
    /// Records the expected work and the run time of a completed task.
    pub fn observe(&mut self, now: Duration, work: Duration, run_time: Duration) {
        if work.is_zero() || run_time.is_zero() {
            return;
        }
        let ratio = run_time.as_secs_f64() / work.as_secs_f64();
        self.samples.add(now, ratio);
        let is_disturbed =
            self.weight > MIN_BASELINE_WEIGHT && self.current(now, Vec::new()) > self.baseline();
        if is_disturbed {
            return;
        }
        self.weight += 1.0;
        let rate = MIN_LEARNING_RATE.max(1.0 / (INITIAL_WEIGHT + self.weight));
        let max_error =
            if self.weight > MIN_BASELINE_WEIGHT { MAX_ERROR_FACTOR.ln() } else { f64::INFINITY };
        let error = (ratio.ln() - self.log_baseline).clamp(-max_error, max_error);
        self.log_baseline += rate * error - SHRINKAGE * self.log_baseline;
    }

    /// Returns the usual slowness of the endpoint, from many tasks.
    pub fn baseline(&self) -> f64 {
        self.log_baseline.exp()
    }

    /// Returns the slowness to expect now. `running` holds the projected slowness of each running
    /// job.
    pub fn current(&self, now: Duration, running: Vec<f64>) -> f64 {
        let baseline = self.baseline();
        match self.current_median(now, running) {
            Some(current) if current > DISTURBED_RATIO * baseline => current,
            Some(_) | None => baseline,
        }
    }

    /// Returns whether the current tasks run as is usual at the endpoint. `running` holds the
    /// projected slowness of each running job.
    pub fn condition(&self, now: Duration, running: Vec<f64>) -> EndpointCondition {
        match self.current_median(now, running) {
            None => EndpointCondition::Unknown,
            Some(current) if current > DISTURBED_RATIO * self.baseline() => {
                EndpointCondition::Disturbed
            }
            Some(_) => EndpointCondition::Normal,
        }
    }

    /// Returns the median slowness of the current tasks, or `None` if they are too few.
    fn current_median(&self, now: Duration, running: Vec<f64>) -> Option<f64> {
        let mut ratios = running;
        ratios.extend(self.samples.within(now, CURRENT_WINDOW));
        if ratios.len() < MIN_CURRENT_SAMPLES {
            return None;
        }
        median(ratios)
    }
}
