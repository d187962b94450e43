//! What operators are told about evacuations that may be mistakes.

use compact_str::CompactString;
use cowslipwing_types::{Site, SortedMap, insert_sorted};

use super::Evacuations;

/// Maximum number of ignored records that are remembered, so that each is reported once.
const MAX_IGNORED: usize = 256;

/// A remark about the evacuations in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationNotice {
    /// No known endpoint is in this evacuated data centre.
    UnknownSite(Site),
    /// All data centres with known endpoints are evacuated.
    AllSites(Vec<Site>),
}

/// The notices that have been given. Each is given once for as long as its cause lasts.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::EvacuationNotices;
///
/// let mut notices = EvacuationNotices::default();
/// assert!(notices.on_ignored("evacuate/waw-a", 7));
/// assert!(!notices.on_ignored("evacuate/waw-a", 7));
/// assert!(notices.on_ignored("evacuate/waw-a", 9));
/// ```
#[derive(Debug, Default)]
pub struct EvacuationNotices {
    /// Offset of the last ignored record of each key.
    ignored: SortedMap<CompactString, u64>,
    unknown_sites: Vec<Site>,
    all_sites: bool,
}

impl EvacuationNotices {
    /// Records that a record of the store is ignored; returns whether it has to be reported.
    pub fn on_ignored(&mut self, key: &str, offset: u64) -> bool {
        if self.ignored.get(&key.into()) == Some(&offset) {
            return false;
        }
        if self.ignored.len() >= MAX_IGNORED {
            self.ignored = SortedMap::new();
        }
        self.ignored.insert(key.into(), offset);
        true
    }

    /// Returns the new remarks about the evacuations in force. `known_sites` are the data centres
    /// with endpoints, as far as is known.
    pub fn check(
        &mut self,
        evacuations: &Evacuations,
        known_sites: &[Site],
    ) -> Vec<EvacuationNotice> {
        if known_sites.is_empty() {
            return Vec::new();
        }
        let active = evacuations.active_sites();
        self.unknown_sites.retain(|site| active.contains(site) && !known_sites.contains(site));
        let mut notices = Vec::new();
        for site in active.iter().filter(|site| !known_sites.contains(site)) {
            if insert_sorted(&mut self.unknown_sites, site.clone()) {
                notices.push(EvacuationNotice::UnknownSite(site.clone()));
            }
        }
        let all_sites = known_sites.iter().all(|site| active.contains(site));
        if all_sites && !self.all_sites {
            notices.push(EvacuationNotice::AllSites(known_sites.to_vec()));
        }
        self.all_sites = all_sites;
        notices
    }
}
