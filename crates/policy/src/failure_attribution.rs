//! Attribution of task failures to the endpoint or to the kind of task.

use compact_str::CompactString;
use cowslipwing_types::{CustomerName, Incarnation, SortedMap};

/// Maximum number of kinds of task remembered, over all customers. Further kinds are not recorded.
const MAX_KINDS: usize = 4096;

/// Records where tasks of each kind last succeeded, to attribute later failures.
///
/// # Examples
///
/// ```
/// use cowslipwing_policy::FailureAttribution;
///
/// let (gym, good) = ("gym".parse().unwrap(), "good".parse().unwrap());
/// let bad = "bad".parse().unwrap();
/// let mut attribution = FailureAttribution::default();
/// assert!(!attribution.is_endpoint_fault(&gym, "hold", &bad));
/// attribution.on_success(&gym, "hold", &good);
/// assert!(attribution.is_endpoint_fault(&gym, "hold", &bad));
/// assert!(!attribution.is_endpoint_fault(&gym, "hold", &good));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FailureAttribution {
    succeeded_at: SortedMap<(CustomerName, CompactString), Incarnation>,
}

impl FailureAttribution {
    /// Records that a task of the kind succeeded at an agent.
    pub fn on_success(&mut self, customer: &CustomerName, kind: &str, agent: &Incarnation) {
        let key = (customer.clone(), CompactString::from(kind));
        if self.succeeded_at.len() < MAX_KINDS || self.succeeded_at.contains(&key) {
            self.succeeded_at.insert(key, agent.clone());
        }
    }

    /// Returns whether a failure of the kind is attributed to the agent's endpoint, which is the
    /// case if the kind last succeeded at another agent.
    pub fn is_endpoint_fault(
        &self,
        customer: &CustomerName,
        kind: &str,
        agent: &Incarnation,
    ) -> bool {
        let key = (customer.clone(), CompactString::from(kind));
        self.succeeded_at.get(&key).is_some_and(|good| good != agent)
    }
}
