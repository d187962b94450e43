//! The leases under which an owner starts tasks.

use std::time::{Duration, Instant};

use cowslipwing_fold::MemberSet;
use cowslipwing_types::{EntryId, Epoch, RangeId, SortedMap, insert_sorted};

/// The leases an owner holds, by range.
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
/// let asked_at = Instant::now();
/// let mut leases = Leases::new(length);
/// leases.extend(range, epoch, asked_at);
/// assert!(leases.covers(range, epoch, asked_at));
/// assert!(!leases.covers(range, epoch, asked_at + length));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leases {
    length: Duration,
    until: SortedMap<RangeId, (Epoch, Instant)>,
}

impl Leases {
    /// Returns no leases, each of which will last `length` from when it was asked for.
    pub fn new(length: Duration) -> Self {
        Self { length, until: SortedMap::new() }
    }

    /// Returns the length of a lease.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Extends the lease on a range that was confirmed on a question asked at `asked_at`.
    pub fn extend(&mut self, range: RangeId, epoch: Epoch, asked_at: Instant) {
        let until = asked_at + self.length;
        let held = self.until.get_or_insert_with(range, || (epoch, until));
        if epoch > held.0 || (epoch == held.0 && until > held.1) {
            *held = (epoch, until);
        }
    }

    /// Tells whether tasks of the range may start now.
    pub fn covers(&self, range: RangeId, epoch: Epoch, now: Instant) -> bool {
        self.until.get(&range).is_some_and(|held| held.0 == epoch && now < held.1)
    }

    /// Gives up the lease on a range.
    pub fn release(&mut self, range: RangeId) {
        self.until.remove(&range);
    }
}

/// One question to the members, and the answers so far.
#[derive(Clone, Debug)]
pub struct LeaseRound {
    asked_at: Instant,
    claims: Vec<(RangeId, Epoch)>,
    confirmed_by: SortedMap<RangeId, Vec<EntryId>>,
}

impl LeaseRound {
    /// Begins a round at the time its question is asked.
    pub fn new(asked_at: Instant, claims: Vec<(RangeId, Epoch)>) -> Self {
        Self { asked_at, claims, confirmed_by: SortedMap::new() }
    }

    /// Counts a member's confirmation.
    pub fn on_confirmed(&mut self, from: &EntryId, ranges: &[RangeId]) {
        for range in ranges {
            let voters = self.confirmed_by.get_or_insert_with(*range, Vec::new);
            insert_sorted(voters, from.clone());
        }
    }

    /// Extends the leases on the ranges that a majority has confirmed.
    pub fn settle(&self, members: &MemberSet, leases: &mut Leases) {
        for (range, epoch) in &self.claims {
            let voters = self.confirmed_by.get(range).map_or(&[][..], Vec::as_slice);
            if members.has_majority(|id| voters.binary_search(id).is_ok()) {
                leases.extend(*range, *epoch, self.asked_at);
            }
        }
    }
}
