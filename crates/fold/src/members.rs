//! The member set of entries, which changes by one member at a time.

use cowslipwing_proto as proto;
use cowslipwing_types::{EntryId, MemberVersion, SortedMap};

/// The entries of one version of the member set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberSet {
    entries: SortedMap<EntryId, proto::Member>,
}

impl MemberSet {
    /// Walks the entries in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryId, &proto::Member)> {
        self.entries.iter()
    }

    /// Returns an entry's addresses.
    pub fn get(&self, id: &EntryId) -> Option<&proto::Member> {
        self.entries.get(id)
    }

    /// Tells whether an entry belongs to the set.
    pub fn contains(&self, id: &EntryId) -> bool {
        self.entries.contains(id)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells whether the given entries are a majority of the set.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_fold::MemberSet;
    ///
    /// let none = MemberSet::default();
    /// assert!(none.has_majority(|_| false));
    /// ```
    pub fn has_majority<F>(&self, mut counts: F) -> bool
    where
        F: FnMut(&EntryId) -> bool,
    {
        let votes = self.entries.keys().filter(|id| counts(id)).count();
        self.is_empty() || votes > self.len() / 2
    }

    pub(crate) fn insert(&mut self, id: EntryId, member: proto::Member) {
        self.entries.insert(id, member);
    }
}

/// The member set in force, the one before it, and whether the change has settled.
///
/// A change is accepted only once the one before it has settled: a majority of the previous set
/// follows the new one. Majorities of any two sets in use therefore share an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Members {
    version: MemberVersion,
    settled: bool,
    current: MemberSet,
    previous: MemberSet,
}

impl Members {
    /// Returns the version in force.
    pub fn version(&self) -> MemberVersion {
        self.version
    }

    /// Tells whether the version has settled.
    pub fn is_settled(&self) -> bool {
        self.settled || self.previous.is_empty()
    }

    /// Returns the set in force.
    pub fn current(&self) -> &MemberSet {
        &self.current
    }

    /// Returns the set of the version before.
    pub fn previous(&self) -> &MemberSet {
        &self.previous
    }

    /// Adds an entry; returns false where the base is stale or unsettled.
    pub fn join(&mut self, base: MemberVersion, id: EntryId, member: proto::Member) -> bool {
        if !self.accepts(base) || self.current.contains(&id) {
            return false;
        }
        self.begin_change();
        self.current.insert(id, member);
        true
    }

    /// Removes an entry; returns false where the base is stale or unsettled.
    pub fn leave(&mut self, base: MemberVersion, id: &EntryId) -> bool {
        if !self.accepts(base) || !self.current.contains(id) {
            return false;
        }
        self.begin_change();
        self.current.entries.remove(id);
        true
    }

    /// Marks a version as settled.
    pub fn settle(&mut self, version: MemberVersion) -> bool {
        let settles = version == self.version && !self.settled;
        self.settled |= settles;
        settles
    }

    pub(crate) fn restore(
        version: MemberVersion,
        settled: bool,
        current: MemberSet,
        previous: MemberSet,
    ) -> Self {
        Self { version, settled, current, previous }
    }

    pub(crate) fn settled_flag(&self) -> bool {
        self.settled
    }

    fn accepts(&self, base: MemberVersion) -> bool {
        base == self.version && self.is_settled()
    }

    fn begin_change(&mut self) {
        self.previous = self.current.clone();
        self.version = self.version.next();
        self.settled = false;
    }
}
