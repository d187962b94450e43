//! The membership of entries, which changes by one entry at a time.

use cowslipwing_proto as proto;
use cowslipwing_types::{EntryId, MemberVersion, SortedMap};

/// The entries of one version of the member set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberSet {
    entries: SortedMap<EntryId, proto::Member>,
}

impl MemberSet {
    /// Iterates over the entries in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryId, &proto::Member)> {
        self.entries.iter()
    }

    /// Returns an entry's site and addresses if it belongs to the set.
    pub fn get(&self, id: &EntryId) -> Option<&proto::Member> {
        self.entries.get(id)
    }

    /// Returns whether an entry belongs to the set.
    pub fn contains(&self, id: &EntryId) -> bool {
        self.entries.contains(id)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the entries for which `counts` returns `true` are a majority of the set.
    ///
    /// The empty set always has a majority.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_fold::MemberSet;
    ///
    /// let empty = MemberSet::default();
    /// assert!(empty.has_majority(|_| false));
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

/// The current member set, the previous one, and whether the change between them has settled.
///
/// A change settles once a majority of the previous set follows the current one, and only then is
/// the next change accepted. Majorities of any two sets in use therefore share an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Membership {
    version: MemberVersion,
    settled: bool,
    current: MemberSet,
    previous: MemberSet,
}

impl Membership {
    /// Returns the version of the current set, which is the number of changes so far.
    pub fn version(&self) -> MemberVersion {
        self.version
    }

    /// Returns whether the last change has settled.
    ///
    /// The first change settles at once, because there is no previous set to follow it.
    pub fn is_settled(&self) -> bool {
        self.settled || self.previous.is_empty()
    }

    /// Returns the current set.
    pub fn current(&self) -> &MemberSet {
        &self.current
    }

    /// Returns the set before the last change; empty after the first change.
    pub fn previous(&self) -> &MemberSet {
        &self.previous
    }

    /// Adds an entry and returns whether the change was accepted.
    ///
    /// The change is rejected if `base` is not the current version, if that version has not settled, or
    /// if the entry is already a member.
    pub fn join(&mut self, base: MemberVersion, id: EntryId, member: proto::Member) -> bool {
        if !self.accepts_change(base) || self.current.contains(&id) {
            return false;
        }
        self.begin_change();
        self.current.insert(id, member);
        true
    }

    /// Removes an entry and returns whether the change was accepted.
    ///
    /// The change is rejected if `base` is not the current version, if that version has not settled, or
    /// if the entry is not a member.
    pub fn leave(&mut self, base: MemberVersion, id: &EntryId) -> bool {
        if !self.accepts_change(base) || !self.current.contains(id) {
            return false;
        }
        self.begin_change();
        self.current.entries.remove(id);
        true
    }

    /// Marks a version as settled.
    ///
    /// Returns `false` if it is not the current version or is already marked.
    pub fn settle(&mut self, version: MemberVersion) -> bool {
        let is_accepted = version == self.version && !self.settled;
        self.settled |= is_accepted;
        is_accepted
    }

    pub(crate) fn restore(
        version: MemberVersion,
        settled: bool,
        current: MemberSet,
        previous: MemberSet,
    ) -> Self {
        Self { version, settled, current, previous }
    }

    /// Returns whether [`Self::settle`] has marked the current version.
    pub(crate) fn is_marked_settled(&self) -> bool {
        self.settled
    }

    fn accepts_change(&self, base: MemberVersion) -> bool {
        base == self.version && self.is_settled()
    }

    fn begin_change(&mut self) {
        self.previous = self.current.clone();
        self.version = self.version.next();
        self.settled = false;
    }
}
