//! The leases under which an owner starts tasks.

use std::time::{Duration, Instant};

use cowslipwing_fold::MemberSet;
use cowslipwing_types::{EntryId, Epoch, RangeId, SortedMap, insert_sorted};

/// The leases that an owner holds, by range.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_claims::Leases;
/// use cowslipwing_types::{Epoch, RangeId};
///
/// let (range, epoch) = (RangeId::new(3), Epoch::new(1));
/// let length = Duration::from_secs(2);
/// let requested_at = Instant::now();
/// let mut leases = Leases::new(length);
/// leases.extend(range, epoch, requested_at);
/// assert!(leases.covers(range, epoch, requested_at));
/// assert!(!leases.covers(range, epoch, requested_at + length));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leases {
    length: Duration,
    valid_until: SortedMap<RangeId, (Epoch, Instant)>,
}

impl Leases {
    /// Creates an empty set of leases, each of which will last `length` from its request.
    pub fn new(length: Duration) -> Self {
        Self { length, valid_until: SortedMap::new() }
    }

    /// Returns the length of a lease.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Extends the lease on a range, confirmed by a request sent at `requested_at`.
    ///
    /// A confirmation of an older epoch or of an earlier request changes nothing.
    pub fn extend(&mut self, range: RangeId, epoch: Epoch, requested_at: Instant) {
        let valid_until = requested_at + self.length;
        let held = self.valid_until.get_or_insert_with(range, || (epoch, valid_until));
        if epoch > held.0 || (epoch == held.0 && valid_until > held.1) {
            *held = (epoch, valid_until);
        }
    }

    /// Returns whether there is a valid lease on the range at this epoch.
    pub fn covers(&self, range: RangeId, epoch: Epoch, now: Instant) -> bool {
        self.valid_until.get(&range).is_some_and(|held| held.0 == epoch && now < held.1)
    }

    /// Gives up the lease on a range.
    pub fn release(&mut self, range: RangeId) {
        self.valid_until.remove(&range);
    }
}

/// A request to all members to confirm leases, and the confirmations received so far.
#[derive(Clone, Debug)]
pub struct LeaseRound {
    requested_at: Instant,
    requested: Vec<(RangeId, Epoch)>,
    confirmed_by: SortedMap<RangeId, Vec<EntryId>>,
}

impl LeaseRound {
    /// Creates a round whose request is sent at `requested_at`.
    pub fn new(requested_at: Instant, requested: Vec<(RangeId, Epoch)>) -> Self {
        Self { requested_at, requested, confirmed_by: SortedMap::new() }
    }

    /// Records the ranges that a member has confirmed.
    pub fn on_confirmed(&mut self, from: &EntryId, ranges: &[RangeId]) {
        for range in ranges {
            let voters = self.confirmed_by.get_or_insert_with(*range, Vec::new);
            insert_sorted(voters, from.clone());
        }
    }

    /// Extends the leases on the ranges that a majority of the members has confirmed.
    pub fn extend_leases(&self, members: &MemberSet, leases: &mut Leases) {
        for (range, epoch) in &self.requested {
            let voters = self.confirmed_by.get(range).map_or(&[][..], Vec::as_slice);
            if members.has_majority(|id| voters.binary_search(id).is_ok()) {
                leases.extend(*range, *epoch, self.requested_at);
            }
        }
    }
}
