//! The addresses of entries.

use std::net::SocketAddr;
use std::sync::Mutex;

use tokio::sync::watch;

/// The entries known to a process. An entry that is gone stays listed; it answers nothing.
pub(crate) struct Members {
    known: Mutex<Vec<SocketAddr>>,
    changes: watch::Sender<u64>,
}

impl Members {
    /// Returns the entries that the settings name.
    pub(crate) fn new(seeds: &[SocketAddr]) -> Self {
        let mut known = seeds.to_vec();
        known.sort();
        known.dedup();
        Self { known: Mutex::new(known), changes: watch::Sender::new(0) }
    }

    /// Returns the entries.
    pub(crate) fn list(&self) -> Vec<SocketAddr> {
        self.known.lock().expect("no holder of the members panics").clone()
    }

    /// Adds entries; returns those that are new.
    pub(crate) fn add<I>(&self, addresses: I) -> Vec<SocketAddr>
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let mut known = self.known.lock().expect("no holder of the members panics");
        let mut added = Vec::new();
        for address in addresses {
            if cowslipwing_types::insert_sorted(&mut known, address) {
                added.push(address);
            }
        }
        drop(known);
        if !added.is_empty() {
            self.changes.send_modify(|count| *count += 1);
        }
        added
    }

    /// Returns what tells of changes.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// Reads addresses; those that are not valid come from another writer and are left out.
pub(crate) fn parse_addresses<I>(texts: I) -> Vec<SocketAddr>
where
    I: IntoIterator,
    I::Item: AsRef<str>,
{
    texts.into_iter().filter_map(|text| text.as_ref().parse().ok()).collect()
}
