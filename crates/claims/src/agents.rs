//! The agents that an entry knows, and those to which an owner may send tasks.

use std::time::{Duration, Instant};

use cowslipwing_fold::MemberSet;
use cowslipwing_types::{EntryId, Incarnation, RangeId, SortedMap, insert_sorted};

/// An incarnation of an agent that has announced itself.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AnnouncedAgent<A> {
    /// Sequence number in the registry, from 1, in the order of the first announcements.
    pub position: u64,
    /// When the latest announcement arrived.
    pub last_announced_at: Instant,
    /// The latest announcement.
    pub announcement: A,
}

/// The incarnations of agents that have announced themselves to an entry.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_claims::AgentRegistry;
///
/// let now = Instant::now();
/// let mut registry = AgentRegistry::new(Duration::from_secs(600));
/// registry.record(now, "agent-1".parse().unwrap(), "10.0.0.1:7000");
/// assert_eq!(registry.after_position(0).count(), 1);
/// assert_eq!(registry.after_position(1).count(), 0);
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AgentRegistry<A> {
    retention: Duration,
    last_position: u64,
    agents: SortedMap<Incarnation, AnnouncedAgent<A>>,
}

impl<A> AgentRegistry<A> {
    /// Creates an empty registry, which keeps each incarnation for `retention` after its latest
    /// announcement.
    pub fn new(retention: Duration) -> Self {
        Self { retention, last_position: 0, agents: SortedMap::new() }
    }

    /// Records an announcement and returns whether the incarnation is new.
    pub fn record(&mut self, now: Instant, incarnation: Incarnation, announcement: A) -> bool {
        if let Some(known) = self.agents.get_mut(&incarnation) {
            known.last_announced_at = now;
            known.announcement = announcement;
            return false;
        }
        self.last_position += 1;
        let announced =
            AnnouncedAgent { position: self.last_position, last_announced_at: now, announcement };
        self.agents.insert(incarnation, announced);
        true
    }

    /// Returns the latest announcement of an incarnation.
    pub fn get(&self, incarnation: &Incarnation) -> Option<&AnnouncedAgent<A>> {
        self.agents.get(incarnation)
    }

    /// Iterates over the incarnations whose position is greater than the given one.
    pub fn after_position(
        &self,
        position: u64,
    ) -> impl Iterator<Item = (&Incarnation, &AnnouncedAgent<A>)> {
        self.agents.iter().filter(move |(_, announced)| announced.position > position)
    }

    /// Iterates over all incarnations in the registry.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, &AnnouncedAgent<A>)> {
        self.agents.iter()
    }

    /// Removes the incarnations that have not announced themselves within the retention.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.retention;
        self.agents.retain(|_, announced| now < announced.last_announced_at + retention);
    }
}

/// The incarnations of agents to which an owner may send tasks.
///
/// An incarnation is usable for a range once a majority of the members knows it. A later takeover
/// collects the agents known to a majority of the members, and therefore surveys this one.
///
/// Members that have refused to confirm the owner's lease on the range do not count. A new owner
/// may survey only the agents that they knew when they promised it the range.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct UsableAgents {
    known_by: SortedMap<Incarnation, Vec<EntryId>>,
    refused_by: SortedMap<RangeId, Vec<EntryId>>,
    last_positions: SortedMap<EntryId, u64>,
}

impl UsableAgents {
    /// Returns the last position received from a member's [`AgentRegistry`], 0 if there is none.
    pub fn last_position(&self, member: &EntryId) -> u64 {
        self.last_positions.get(member).copied().unwrap_or(0)
    }

    /// Handles a member's reply to a lease check.
    ///
    /// `known_agents` are the position and the incarnation of agents in the member's registry.
    pub fn on_lease_reply<I>(
        &mut self,
        from: &EntryId,
        requested: &[RangeId],
        confirmed: &[RangeId],
        known_agents: I,
    ) where
        I: IntoIterator<Item = (u64, Incarnation)>,
    {
        for range in requested.iter().filter(|range| !confirmed.contains(range)) {
            insert_sorted(self.refused_by.get_or_insert_with(*range, Vec::new), from.clone());
        }
        for (position, incarnation) in known_agents {
            insert_sorted(self.known_by.get_or_insert_with(incarnation, Vec::new), from.clone());
            let last = self.last_positions.get_or_insert_with(from.clone(), || 0);
            *last = position.max(*last);
        }
    }

    /// Removes the refusals of a range, which do not apply to its new epoch.
    pub fn clear_refusals(&mut self, range: RangeId) {
        self.refused_by.remove(&range);
    }

    /// Keeps only the incarnations for which `keep` returns `true`.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&Incarnation) -> bool,
    {
        self.known_by.retain(|incarnation, _| keep(incarnation));
    }

    /// Returns whether tasks of a range may be sent to an incarnation.
    pub fn is_usable(
        &self,
        members: &MemberSet,
        range: RangeId,
        incarnation: &Incarnation,
    ) -> bool {
        let Some(known_by) = self.known_by.get(incarnation) else {
            return false;
        };
        let refused_by = self.refused_by.get(&range).map_or(&[][..], Vec::as_slice);
        let counts = |id: &EntryId| {
            known_by.binary_search(id).is_ok() && refused_by.binary_search(id).is_err()
        };
        members.has_majority(counts)
    }
}
