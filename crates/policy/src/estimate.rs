//! Run time estimates per customer and kind of task.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::{CustomerName, SortedMap};

/// Weight of a new sample in the moving average of a run time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Estimate for a kind that has no sample and no declared run time.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);
/// Maximum length of a kind whose run time is learned, in bytes. Callers choose the names.
const MAX_KIND_BYTES: usize = 256;
/// Maximum number of kinds of task remembered, over all customers. Further kinds are not recorded.
const MAX_KINDS: usize = 4096;

/// Learned run times, as a moving average per customer and kind of task.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_policy::Estimates;
///
/// let gym = "gym".parse().unwrap();
/// let mut estimates = Estimates::default();
/// estimates.observe(&gym, "hold", Duration::from_millis(80));
/// assert_eq!(estimates.get(&gym, "hold", None), Duration::from_millis(80));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    /// Average run times in seconds.
    seconds: SortedMap<(CustomerName, CompactString), f64>,
}

impl Estimates {
    /// Returns the expected run time of a task.
    ///
    /// Prefers the learned run time, then the one that the caller declared, then a default of
    /// 200 ms.
    pub fn get(&self, customer: &CustomerName, kind: &str, declared: Option<Duration>) -> Duration {
        match self.seconds.get(&(customer.clone(), kind.into())) {
            Some(seconds) => Duration::from_secs_f64(*seconds),
            None => declared.unwrap_or(DEFAULT_RUN_TIME),
        }
    }

    /// Adds the run time of a task that succeeded to the average of its kind.
    pub fn observe(&mut self, customer: &CustomerName, kind: &str, run_time: Duration) {
        let key = (customer.clone(), CompactString::from(kind));
        let is_full = self.seconds.len() >= MAX_KINDS && !self.seconds.contains(&key);
        if is_full || kind.len() > MAX_KIND_BYTES {
            return;
        }
        let seconds = run_time.as_secs_f64();
        let average = self.seconds.get_or_insert_with(key, || seconds);
        *average += SAMPLE_WEIGHT * (seconds - *average);
    }
}
