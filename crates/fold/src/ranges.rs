//! Owners of ranges; the order of the log decides.

use cowslipwing_types::{EntryId, Epoch, RangeId, SortedMap};

/// The owner of a range at an epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ownership {
    /// Counts the owners from 1.
    pub epoch: Epoch,
    /// The owner.
    pub owner: EntryId,
}

/// The owners of all ranges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ranges {
    owners: SortedMap<RangeId, Ownership>,
}

impl Ranges {
    /// Returns the owner of a range.
    pub fn get(&self, range: RangeId) -> Option<&Ownership> {
        self.owners.get(&range)
    }

    /// Returns the epoch of a range, 0 where it has no owner yet.
    pub fn epoch(&self, range: RangeId) -> Epoch {
        self.get(range).map_or(Epoch::new(0), |found| found.epoch)
    }

    /// Walks the ranges that have an owner.
    pub fn iter(&self) -> impl Iterator<Item = (RangeId, &Ownership)> {
        self.owners.iter().map(|(range, found)| (*range, found))
    }

    /// Gives a range to an owner where the epoch is the next one.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_fold::Ranges;
    /// use cowslipwing_types::{Epoch, RangeId};
    ///
    /// let mut ranges = Ranges::default();
    /// let range = RangeId::new(7);
    /// assert!(ranges.take(range, Epoch::new(1), "a".parse().unwrap()));
    /// assert!(!ranges.take(range, Epoch::new(1), "b".parse().unwrap()));
    /// ```
    pub fn take(&mut self, range: RangeId, epoch: Epoch, owner: EntryId) -> bool {
        let wins = epoch == self.epoch(range).next();
        if wins {
            self.owners.insert(range, Ownership { epoch, owner });
        }
        wins
    }

    pub(crate) fn restore(&mut self, range: RangeId, ownership: Ownership) {
        self.owners.insert(range, ownership);
    }
}
