//! The evacuations of data centres that a process knows of, merged from several sources.
//!
//! Operators evacuate a data centre by a record in the store, which some processes cannot read. All
//! processes therefore pass on what they know. The offset of the record in its topic is the version
//! of the state, so that a state that arrives late never replaces a newer one.

mod notices;

use cowslipwing_types::{Site, SortedMap};

pub use notices::{EvacuationNotice, EvacuationNotices};

/// Maximum number of data centres whose state is kept. Operators may write keys for any name, and
/// each frame that announces states holds all of them.
const MAX_STATES: usize = 256;

/// Offset of a record in the operators' topic. Higher versions are newer.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EvacuationVersion(pub u64);

/// Whether a data centre is evacuated, as of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationState {
    /// The data centre.
    pub site: Site,
    /// Version of the state.
    pub version: EvacuationVersion,
    /// Whether the data centre is evacuated.
    pub active: bool,
}

/// A read of the newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct FullEvacuationRead {
    /// States of the records that could be decoded.
    pub states: Vec<EvacuationState>,
    /// Data centres whose record exists but could not be decoded.
    pub unreadable: Vec<Site>,
    /// Offset at which the topic ended.
    pub end: u64,
}

/// The newest known state of each data centre.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::{EvacuationState, EvacuationVersion, Evacuations};
///
/// let state = |version, active| EvacuationState {
///     site: "waw-a".parse().unwrap(),
///     version: EvacuationVersion(version),
///     active,
/// };
/// let mut evacuations = Evacuations::default();
/// assert_eq!(evacuations.merge([state(7, false)]), [state(7, false)]);
/// // An older state that arrives later changes nothing.
/// assert!(evacuations.merge([state(4, true)]).is_empty());
/// assert!(!evacuations.is_active("waw-a"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Version of the state of each data centre, and whether it is evacuated. The order of these
    /// pairs decides which of two states is kept.
    states: SortedMap<Site, (EvacuationVersion, bool)>,
    /// Version up to which the most recent full read rules out evacuations that it did not contain.
    /// Another process may still report one of them.
    absent_up_to: Option<EvacuationVersion>,
    /// Data centres about which the most recent full read tells nothing.
    unreadable: Vec<Site>,
    /// Number of changes.
    revision: u64,
}

impl Evacuations {
    /// Merges states from any source. Returns those that changed what is known.
    pub fn merge<I>(&mut self, states: I) -> Vec<EvacuationState>
    where
        I: IntoIterator<Item = EvacuationState>,
    {
        let mut changed: Vec<EvacuationState> =
            states.into_iter().filter_map(|state| self.merge_one(state)).collect();
        // A state that has no room is not a change.
        changed.retain(|state| self.states.contains(&state.site));
        if !changed.is_empty() {
            self.revision += 1;
        }
        changed
    }

    /// Merges a state and returns the state that results, if it is a change.
    fn merge_one(&mut self, state: EvacuationState) -> Option<EvacuationState> {
        let known = self.states.get(&state.site).copied();
        let mut value = (state.version, state.active);
        if known.is_some_and(|known| known >= value) {
            return None;
        }
        if let (None, Some(version)) = (known, self.absent_up_to)
            && !self.unreadable.contains(&state.site)
        {
            // The sender has not heard of the removal and learns of it from the resulting state.
            value = value.max((version, false));
        }
        let (version, active) = value;
        self.states.insert(state.site.clone(), value);
        self.drop_surplus(&state.site);
        Some(EvacuationState { site: state.site, version, active })
    }

    /// Drops the oldest inactive state if there are too many, or the latest addition if all others
    /// are active.
    fn drop_surplus(&mut self, added: &Site) {
        if self.states.len() <= MAX_STATES {
            return;
        }
        let inactive = self.states.iter().filter(|(_, (_, active))| !active);
        let oldest = inactive.min_by_key(|(_, (version, _))| *version).map(|(site, _)| site);
        let dropped = oldest.unwrap_or(added).clone();
        self.states.remove(&dropped);
    }

    /// Merges a read of the newest record of each key. A key that is missing was removed before the
    /// end of the read. Returns the states that changed.
    pub fn merge_full_read(&mut self, read: FullEvacuationRead) -> Vec<EvacuationState> {
        let FullEvacuationRead { mut states, mut unreadable, end } = read;
        // The record that is written next has the offset `end` and is newer than the removal.
        let absent_up_to = end.checked_sub(1).map(EvacuationVersion);
        if let Some(version) = absent_up_to {
            let is_present = |site: &Site| {
                unreadable.contains(site) || states.iter().any(|state| state.site == *site)
            };
            let missing = self.active_sites().into_iter().filter(|site| !is_present(site));
            let removed: Vec<EvacuationState> =
                missing.map(|site| EvacuationState { site, version, active: false }).collect();
            states.extend(removed);
        }
        let changed = self.merge(states);
        if absent_up_to >= self.absent_up_to {
            unreadable.truncate(MAX_STATES);
            self.absent_up_to = absent_up_to;
            self.unreadable = unreadable;
        }
        changed
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_active(&self, site: &str) -> bool {
        self.states.iter().any(|(known, (_, active))| *active && known.as_str() == site)
    }

    /// Returns the evacuated data centres in ascending order.
    pub fn active_sites(&self) -> Vec<Site> {
        let active = self.states.iter().filter(|(_, (_, active))| *active);
        active.map(|(site, _)| site.clone()).collect()
    }

    /// Returns all known states.
    pub fn states(&self) -> Vec<EvacuationState> {
        let state = |(site, (version, active)): (&Site, &(EvacuationVersion, bool))| {
            EvacuationState { site: site.clone(), version: *version, active: *active }
        };
        self.states.iter().map(state).collect()
    }
}

/// Determines what a stream has to announce: all states at its start and after each change.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::{EvacuationFeed, EvacuationState, EvacuationVersion, Evacuations};
///
/// let site = "waw-a".parse().unwrap();
/// let state = EvacuationState { site, version: EvacuationVersion(7), active: true };
/// let mut evacuations = Evacuations::default();
/// let mut feed = EvacuationFeed::default();
/// assert!(!feed.is_due(&evacuations));
/// evacuations.merge([state.clone()]);
/// assert_eq!(feed.take(&evacuations), [state]);
/// assert!(feed.take(&evacuations).is_empty());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EvacuationFeed {
    announced_revision: u64,
}

impl EvacuationFeed {
    /// Returns whether states have changed since they were last announced.
    pub fn is_due(&self, evacuations: &Evacuations) -> bool {
        self.announced_revision != evacuations.revision
    }

    /// Returns the states to announce now; none if the receiver has them.
    pub fn take(&mut self, evacuations: &Evacuations) -> Vec<EvacuationState> {
        if !self.is_due(evacuations) {
            return Vec::new();
        }
        self.announced_revision = evacuations.revision;
        evacuations.states()
    }
}
