//! The owners of ranges. The first record on the log that claims an epoch of a range wins it.

use cowslipwing_types::{EntryId, Epoch, RangeId, SortedMap};

/// The current owner of a range and its epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ownership {
    /// Number of takeovers of the range so far, this one included.
    pub epoch: Epoch,
    /// The entry that owns the range.
    pub owner: EntryId,
}

/// The owners of all ranges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RangeOwners {
    owners: SortedMap<RangeId, Ownership>,
}

impl RangeOwners {
    /// Returns the owner of a range if it has one.
    pub fn get(&self, range: RangeId) -> Option<&Ownership> {
        self.owners.get(&range)
    }

    /// Returns the epoch of a range, 0 if it has had no owner yet.
    pub fn epoch(&self, range: RangeId) -> Epoch {
        self.get(range).map_or(Epoch::new(0), |ownership| ownership.epoch)
    }

    /// Iterates over the ranges that have an owner, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (RangeId, &Ownership)> {
        self.owners.iter().map(|(range, ownership)| (*range, ownership))
    }

    /// Makes an entry the owner of a range if the epoch is the next one.
    ///
    /// Returns whether the entry has become the owner.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_fold::RangeOwners;
    /// use cowslipwing_types::{Epoch, RangeId};
    ///
    /// let mut owners = RangeOwners::default();
    /// let range = RangeId::new(7);
    /// assert!(owners.take_over(range, Epoch::new(1), "a".parse().unwrap()));
    /// assert!(!owners.take_over(range, Epoch::new(1), "b".parse().unwrap()));
    /// ```
    pub fn take_over(&mut self, range: RangeId, epoch: Epoch, owner: EntryId) -> bool {
        let is_next = epoch == self.epoch(range).next();
        if is_next {
            self.owners.insert(range, Ownership { epoch, owner });
        }
        is_next
    }

    pub(crate) fn restore(&mut self, range: RangeId, ownership: Ownership) {
        self.owners.insert(range, ownership);
    }
}
