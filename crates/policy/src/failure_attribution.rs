//! Whether a failed task speaks against its endpoint or against its kind.

use compact_str::CompactString;
use cowslipwing_types::{CustomerName, Incarnation, SortedMap};

/// Kinds remembered at once.
const MAX_KINDS: usize = 4096;

/// Where tasks of each kind last succeeded.
///
/// # Examples
///
/// ```
/// use cowslipwing_policy::FailureAttribution;
///
/// let (gym, good) = ("gym".parse().unwrap(), "good".parse().unwrap());
/// let bad = "bad".parse().unwrap();
/// let mut blame = FailureAttribution::default();
/// assert!(!blame.is_endpoint_fault(&gym, "hold", &bad));
/// blame.on_success(&gym, "hold", &good);
/// assert!(blame.is_endpoint_fault(&gym, "hold", &bad));
/// assert!(!blame.is_endpoint_fault(&gym, "hold", &good));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FailureAttribution {
    succeeded_at: SortedMap<(CustomerName, CompactString), Incarnation>,
}

impl FailureAttribution {
    /// Notes that a task of a kind succeeded at an agent.
    pub fn on_success(&mut self, customer: &CustomerName, kind: &str, agent: &Incarnation) {
        let key = (customer.clone(), CompactString::from(kind));
        if self.succeeded_at.len() < MAX_KINDS || self.succeeded_at.contains(&key) {
            self.succeeded_at.insert(key, agent.clone());
        }
    }

    /// Tells whether a failure of the kind speaks against an agent, since the kind has succeeded
    /// elsewhere.
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
