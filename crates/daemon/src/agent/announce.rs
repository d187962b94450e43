//! Announcements of the endpoint to the entries.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_proto::{AnnounceReply, Announcement, Member, peer_client::PeerClient};
use futures::future::join_all;
use tokio::time::timeout;
use tonic::transport::Channel;

use super::state::Shared;
use crate::net;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of an announcement to an entry.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between announcements while no entry is known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// Announces the endpoint periodically until the agent stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        announce_once(&shared).await;
        let has_members = !members(&shared).is_empty();
        let interval = if has_members { ANNOUNCE_INTERVAL } else { DISCOVERY_INTERVAL };
        tokio::time::sleep(interval).await;
    }
}

/// Announces the endpoint once, to every known entry and to the contact address.
///
/// The replies update the member list and whether operators have withdrawn the endpoint.
pub(crate) async fn announce_once(shared: &Shared) {
    let announcement =
        Announcement { leaving: shared.tasks().leaving, ..shared.announcement.clone() };
    let mut addresses: Vec<String> = members(shared).into_iter().map(|member| member.rpc).collect();
    addresses.push(shared.contact.to_string());
    addresses.sort();
    addresses.dedup();
    remove_stale_clients(shared, &addresses);
    let calls = addresses.iter().map(|address| announce_to(shared, address, announcement.clone()));
    let replies: Vec<AnnounceReply> = join_all(calls).await.into_iter().flatten().collect();
    // The entry that has read the log furthest has the most recent member list.
    let newest = replies.iter().max_by_key(|reply| reply.next_offset);
    if let Some(newest) = newest {
        *shared.members.lock().expect("the members mutex is not poisoned") = newest.members.clone();
        shared.set_withdrawn(newest.withdrawn);
    }
}

/// Drops the clients of all other addresses, which closes the connections to former members.
fn remove_stale_clients(shared: &Shared, addresses: &[String]) {
    let mut clients = shared.clients.lock().expect("the clients mutex is not poisoned");
    clients.retain(|address, _| addresses.contains(address));
}

fn members(shared: &Shared) -> Vec<Member> {
    shared.members.lock().expect("the members mutex is not poisoned").clone()
}

/// Announces the endpoint to one entry. Returns `None` if the call fails or times out.
async fn announce_to(
    shared: &Shared,
    address: &str,
    announcement: Announcement,
) -> Option<AnnounceReply> {
    let mut client = client_for(shared, address)?;
    let reply = timeout(ANNOUNCE_TIMEOUT, client.announce(announcement)).await;
    reply.ok()?.ok().map(tonic::Response::into_inner)
}

/// Returns the client of an entry, which is created on first use and then reused.
///
/// Returns `None` if the address is invalid.
fn client_for(shared: &Shared, address: &str) -> Option<PeerClient<Channel>> {
    let mut clients = shared.clients.lock().expect("the clients mutex is not poisoned");
    if let Some(client) = clients.get(&address.to_owned()) {
        return Some(client.clone());
    }
    let client = PeerClient::new(net::channel(address, shared.source_ip)?);
    clients.insert(address.to_owned(), client.clone());
    Some(client)
}
