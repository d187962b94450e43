//! Chooses the time after which a refused caller may retry.
//!
//! Callers that are refused in the same burst must not all return at the same time. Each one gets a
//! time within the period in which capacity becomes free, and callers of less urgent queues a time
//! within a longer period, so that they do not compete with urgent retries.

use std::time::Duration;

use cowslipwing_types::stable_hash;

use crate::id::RequestId;
use crate::job::JobSpec;

use super::Scheduler;
use super::overload::JobDemand;

/// Minimum time after which a refused caller may retry; the load changes within this time.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Shortest period over which the retries of the most urgent class are spread. The header has whole
/// seconds, so that a shorter one has no effect.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// Longest period over which the retries of the most urgent class are spread.
const MAX_PERIOD: Duration = Duration::from_secs(4);

/// Returns a time within the period of a class, which differs between requests.
fn spread(id: &RequestId, time_until_free: Duration, class: usize) -> Duration {
    let classes = u32::try_from(class).unwrap_or(u32::MAX).saturating_add(1);
    let period = time_until_free.clamp(MIN_PERIOD, MAX_PERIOD).saturating_mul(classes);
    let position = stable_hash(id.to_string().bytes()) as f64 / u64::MAX as f64;
    MIN_RETRY_AFTER + period.mul_f64(position)
}

impl Scheduler {
    /// Returns the time after which a caller that is refused for load may retry. It is `default` if
    /// the queues of the service have one priority.
    pub(super) fn retry_after(&self, now: Duration, spec: &JobSpec, default: Duration) -> Duration {
        let usage = self.service_usage(now, &spec.service);
        if !self.overload.has_several_classes(&spec.service, &usage) {
            return default;
        }
        let demand = JobDemand::of(spec);
        let time_until_free = usage.time_until_free(demand.cpu_millis);
        spread(&spec.id, time_until_free, demand.class).max(default)
    }
}
