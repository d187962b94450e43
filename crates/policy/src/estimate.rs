//! Run times learned per customer and kind of task.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::{CustomerName, SortedMap};

/// Weight of a new observation.
const LEARNING_RATE: f64 = 0.1;
/// Run time assumed where neither the caller nor experience tells.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);
/// Kinds remembered at once.
const MAX_KINDS: usize = 4096;

/// Learned run times.
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
    seconds: SortedMap<(CustomerName, CompactString), f64>,
}

impl Estimates {
    /// Returns the expected run time; what was learned goes before what was declared.
    pub fn get(&self, customer: &CustomerName, kind: &str, declared: Option<Duration>) -> Duration {
        match self.seconds.get(&(customer.clone(), kind.into())) {
            Some(seconds) => Duration::from_secs_f64(*seconds),
            None => declared.unwrap_or(DEFAULT_RUN_TIME),
        }
    }

    /// Learns from a task that ran.
    pub fn observe(&mut self, customer: &CustomerName, kind: &str, run_time: Duration) {
        let key = (customer.clone(), CompactString::from(kind));
        if self.seconds.len() >= MAX_KINDS && !self.seconds.contains(&key) {
            return;
        }
        let seconds = run_time.as_secs_f64();
        let learned = self.seconds.get_or_insert_with(key, || seconds);
        *learned += LEARNING_RATE * (seconds - *learned);
    }
}
