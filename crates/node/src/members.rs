//! The addresses of the known entries.

use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;

use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// The addresses of the entries that a process knows, its own included if it is an entry. Entries
/// that have stopped stay listed, and requests to them fail.
pub(crate) struct Members {
    known: Mutex<Vec<SocketAddr>>,
    /// Number of additions.
    changes: watch::Sender<u64>,
}

impl Members {
    /// Creates a list of the entries that the settings name as seeds.
    pub(crate) fn new(seeds: &[SocketAddr]) -> Self {
        let mut known = seeds.to_vec();
        known.sort();
        known.dedup();
        Self { known: Mutex::new(known), changes: watch::Sender::new(0) }
    }

    /// Returns the addresses in ascending order.
    pub(crate) fn list(&self) -> Vec<SocketAddr> {
        self.known.lock().expect("the lock on the members is never poisoned").clone()
    }

    /// Adds addresses; returns those that are new.
    pub(crate) fn add<I>(&self, addresses: I) -> Vec<SocketAddr>
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let mut known = self.known.lock().expect("the lock on the members is never poisoned");
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

    /// Returns a receiver that is notified of each addition.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// Parses addresses. Skips invalid ones and those at which no process can listen, which come from
/// another writer.
pub(crate) fn parse_addresses<I>(texts: I) -> Vec<SocketAddr>
where
    I: IntoIterator,
    I::Item: AsRef<str>,
{
    let addresses = texts.into_iter().filter_map(|text| text.as_ref().parse().ok());
    addresses.filter(is_connectable).collect()
}

fn is_connectable(address: &SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
