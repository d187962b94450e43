//! Which agents an entry has heard of, and which an owner may use.

use std::time::{Duration, Instant};

use cowslipwing_fold::MemberSet;
use cowslipwing_types::{EntryId, Incarnation, RangeId, SortedMap, insert_sorted};

/// An agent's incarnation and what it announced.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Announced<A> {
    /// Counts the incarnations heard of, from 1.
    pub position: u64,
    /// When it was last heard of.
    pub last_heard: Instant,
    /// The latest announcement.
    pub announcement: A,
}

/// The incarnations of agents that an entry has heard of.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_claims::Announcements;
///
/// let now = Instant::now();
/// let mut announcements = Announcements::new(Duration::from_secs(600));
/// announcements.hear(now, "agent-1".parse().unwrap(), "10.0.0.1:7000");
/// assert_eq!(announcements.after(0).count(), 1);
/// assert_eq!(announcements.after(1).count(), 0);
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Announcements<A> {
    retention: Duration,
    last_position: u64,
    heard: SortedMap<Incarnation, Announced<A>>,
}

impl<A> Announcements<A> {
    /// Returns an entry's empty list, which keeps incarnations for `retention` after their last
    /// announcement.
    pub fn new(retention: Duration) -> Self {
        Self { retention, last_position: 0, heard: SortedMap::new() }
    }

    /// Notes an announcement; true where the incarnation is new.
    pub fn hear(&mut self, now: Instant, incarnation: Incarnation, announcement: A) -> bool {
        if let Some(known) = self.heard.get_mut(&incarnation) {
            known.last_heard = now;
            known.announcement = announcement;
            return false;
        }
        self.last_position += 1;
        let announced = Announced { position: self.last_position, last_heard: now, announcement };
        self.heard.insert(incarnation, announced);
        true
    }

    /// Returns the latest announcement of an incarnation.
    pub fn get(&self, incarnation: &Incarnation) -> Option<&Announced<A>> {
        self.heard.get(incarnation)
    }

    /// Walks the incarnations heard of after a position.
    pub fn after(&self, position: u64) -> impl Iterator<Item = (&Incarnation, &Announced<A>)> {
        self.heard.iter().filter(move |(_, announced)| announced.position > position)
    }

    /// Walks all incarnations heard of within the retention.
    pub fn all(&self) -> impl Iterator<Item = (&Incarnation, &Announced<A>)> {
        self.heard.iter()
    }

    /// Forgets incarnations that have been silent for the retention.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.retention;
        self.heard.retain(|_, announced| now < announced.last_heard + retention);
    }
}

/// The incarnations that an owner may send starts to.
///
/// An incarnation is usable for a range once a majority of the members has heard of it, counting
/// no member that has refused to confirm the range.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Usable {
    heard_by: SortedMap<Incarnation, Vec<EntryId>>,
    refused_by: SortedMap<RangeId, Vec<EntryId>>,
    positions: SortedMap<EntryId, u64>,
}

impl Usable {
    /// Returns the last position known of a member's list.
    pub fn position(&self, member: &EntryId) -> u64 {
        self.positions.get(member).copied().unwrap_or(0)
    }

    /// Takes in a member's answer to a lease check.
    pub fn on_reply<I>(
        &mut self,
        from: &EntryId,
        asked: &[RangeId],
        confirmed: &[RangeId],
        heard: I,
    ) where
        I: IntoIterator<Item = (u64, Incarnation)>,
    {
        for range in asked.iter().filter(|range| !confirmed.contains(range)) {
            insert_sorted(self.refused_by.get_or_insert_with(*range, Vec::new), from.clone());
        }
        for (position, incarnation) in heard {
            insert_sorted(self.heard_by.get_or_insert_with(incarnation, Vec::new), from.clone());
            let last = self.positions.get_or_insert_with(from.clone(), || 0);
            *last = position.max(*last);
        }
    }

    /// Forgets the refusals of a range, whose epoch is a new one.
    pub fn renew(&mut self, range: RangeId) {
        self.refused_by.remove(&range);
    }

    /// Forgets the incarnations that are not kept.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&Incarnation) -> bool,
    {
        self.heard_by.retain(|incarnation, _| keep(incarnation));
    }

    /// Tells whether starts of a range may go to an incarnation.
    pub fn may_use(&self, members: &MemberSet, range: RangeId, incarnation: &Incarnation) -> bool {
        let Some(heard_by) = self.heard_by.get(incarnation) else {
            return false;
        };
        let refused_by = self.refused_by.get(&range).map_or(&[][..], Vec::as_slice);
        let counts = |id: &EntryId| {
            heard_by.binary_search(id).is_ok() && refused_by.binary_search(id).is_err()
        };
        members.has_majority(counts)
    }
}
