//! Selects the entries that an agent keeps streams to.
//!
//! With a stream from each agent to each entry, an entry would spend its processor time on
//! heartbeats and status updates of endpoints that it hardly uses, and several entries would place
//! tasks at the same endpoint on outdated status. Instead, each agent attaches to a bounded number
//! of entries, which it selects by rendezvous hashing. No list of agents is needed, the load of the
//! entries is even, and if an entry comes or goes, each agent replaces at most one stream.

use std::net::SocketAddr;

use cowslipwing_types::stable_hash;

/// Maximum number of entries that an agent keeps streams to.
///
/// An entry gets this many times the ratio of agents to entries: about 35 endpoints of the 240 in a
/// deployment with 55 entries. These must have room for the bursts of the entry's own callers.
pub const MAX_ENTRIES_PER_AGENT: usize = 8;

/// An entry that an agent knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownEntry {
    /// Address of the entry.
    pub address: SocketAddr,
    /// Whether the last attempts to open a stream to it have failed.
    pub unreachable: bool,
}

/// Returns the addresses of the entries that an agent should attach to, in ascending order.
///
/// These are the `limit` entries of highest weight among those that are reachable. Unreachable
/// entries of higher weight are included as well, so that their streams are opened again once they
/// are back.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::{KnownEntry, select_entries};
///
/// let entries: Vec<KnownEntry> = (1..=20)
///     .map(|n| KnownEntry { address: ([10, 0, 0, n], 7720).into(), unreachable: false })
///     .collect();
/// assert_eq!(select_entries("side-1", &entries, 8).len(), 8);
/// assert_eq!(select_entries("side-1", &entries[..3], 8).len(), 3);
/// ```
pub fn select_entries(agent: &str, entries: &[KnownEntry], limit: usize) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, KnownEntry)> =
        entries.iter().map(|entry| (weight(agent, entry.address), *entry)).collect();
    ranked.sort_by_key(|(weight, entry)| (std::cmp::Reverse(*weight), entry.address));
    let mut reachable = 0;
    let mut selected = Vec::new();
    for (_, entry) in ranked {
        if reachable == limit {
            break;
        }
        reachable += usize::from(!entry.unreachable);
        selected.push(entry.address);
    }
    selected.sort();
    selected
}

/// Returns the weight of an entry for an agent in rendezvous hashing.
fn weight(agent: &str, entry: SocketAddr) -> u64 {
    stable_hash(agent.bytes().chain(entry.to_string().into_bytes()))
}
