//! Announces the endpoint to every entry.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_proto::{AnnounceReply, Announcement, Member, peer_client::PeerClient};
use futures::future::join_all;
use tokio::time::timeout;
use tonic::transport::Channel;

use super::state::Shared;
use crate::net;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which an entry must answer.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(800);
/// Time between two tries while no entry is known.
const FIRST_INTERVAL: Duration = Duration::from_millis(200);

/// Announces until the agent stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        announce_once(&shared).await;
        let knows_entries = !members(&shared).is_empty();
        let pause = if knows_entries { ANNOUNCE_INTERVAL } else { FIRST_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

/// Announces to every entry known, and to the contact where none is.
pub(crate) async fn announce_once(shared: &Shared) {
    let announcement =
        Announcement { leaving: shared.tasks().leaving, ..shared.announcement.clone() };
    let mut addresses: Vec<String> = members(shared).into_iter().map(|member| member.rpc).collect();
    addresses.push(shared.contact.to_string());
    addresses.sort();
    addresses.dedup();
    forget_clients(shared, &addresses);
    let calls = addresses.iter().map(|address| announce_to(shared, address, announcement.clone()));
    let replies: Vec<AnnounceReply> = join_all(calls).await.into_iter().flatten().collect();
    // The entry that has followed the log furthest knows the most members that are still there.
    let newest = replies.iter().max_by_key(|reply| reply.next_offset);
    if let Some(newest) = newest {
        *shared.members.lock().expect("no holder of the members panics") = newest.members.clone();
        shared.set_withdrawn(newest.withdrawn);
    }
}

/// Closes the connections to entries that are gone.
fn forget_clients(shared: &Shared, addresses: &[String]) {
    let mut clients = shared.clients.lock().expect("no holder of the clients panics");
    clients.retain(|address, _| addresses.contains(address));
}

fn members(shared: &Shared) -> Vec<Member> {
    shared.members.lock().expect("no holder of the members panics").clone()
}

async fn announce_to(
    shared: &Shared,
    address: &str,
    announcement: Announcement,
) -> Option<AnnounceReply> {
    let mut client = client_of(shared, address)?;
    let reply = timeout(ANNOUNCE_LIMIT, client.announce(announcement)).await;
    reply.ok()?.ok().map(tonic::Response::into_inner)
}

/// Returns the client of an entry, whose connection is kept.
fn client_of(shared: &Shared, address: &str) -> Option<PeerClient<Channel>> {
    let mut clients = shared.clients.lock().expect("no holder of the clients panics");
    if let Some(client) = clients.get(&address.to_owned()) {
        return Some(client.clone());
    }
    let client = PeerClient::new(net::channel(address, shared.source)?);
    clients.insert(address.to_owned(), client.clone());
    Some(client)
}
