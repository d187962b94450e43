//! Renews the leases of this entry with its peers.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_claims::{LeaseRound, LeaseVote};
use cowslipwing_proto::{LeaseCheck, LeaseReply, peer_client::PeerClient};
use cowslipwing_types::{EntryId, Epoch, Incarnation, MemberVersion, RangeId};
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::timeout;

use super::link;
use super::shared::{Shared, lock};
use crate::convert::{range_epochs_to_proto, range_ids_from_proto};
use crate::net::PeerChannel;

/// Renewals within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Renews leases until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let interval = shared.lease.length / RENEWALS_PER_LEASE;
    loop {
        tokio::time::sleep(interval).await;
        renew(&shared, interval).await;
    }
}

/// Asks every member once and extends the leases that a majority confirms.
async fn renew(shared: &Arc<Shared>, limit: Duration) {
    let claims = shared.owned();
    let version = shared.read(|fold| fold.membership().version());
    let asked_at = shared.now();
    let mut round = LeaseRound::new(asked_at, claims.clone());
    ask_self(shared, &mut round, version, &claims);
    let members = shared.members();
    round.extend_leases(&members, &mut lock(&shared.leases));
    let mut answers: FuturesUnordered<_> = shared
        .other_members()
        .into_iter()
        .map(|(id, client)| ask(shared, id, client, version, &claims, limit))
        .collect();
    while let Some((id, reply)) = answers.next().await {
        let Some(reply) = reply else {
            continue;
        };
        shared.note_reply(&id, &reply);
        if reply.abstains {
            continue;
        }
        take_in(shared, &id, &claims, &reply);
        round.on_confirmed(&id, &range_ids_from_proto(&reply.confirmed));
        round.extend_leases(&members, &mut lock(&shared.leases));
        shared.work.notify_one();
    }
}

fn ask_self(
    shared: &Shared,
    round: &mut LeaseRound,
    version: MemberVersion,
    claims: &[(RangeId, Epoch)],
) {
    let answer = lock(&shared.votes).confirm(shared.now(), version, claims);
    let LeaseVote::Confirmed(confirmed) = answer else {
        return;
    };
    round.on_confirmed(&shared.id, &confirmed);
    let asked: Vec<RangeId> = claims.iter().map(|claim| claim.0).collect();
    let mut usable = lock(&shared.usable);
    let announcements = lock(&shared.announcements);
    let heard: Vec<_> = announcements
        .after_position(usable.last_position(&shared.id))
        .map(|(incarnation, announced)| (announced.position, incarnation.clone()))
        .collect();
    usable.on_lease_reply(&shared.id, &asked, &confirmed, heard);
}

async fn ask(
    shared: &Shared,
    id: EntryId,
    mut client: PeerClient<PeerChannel>,
    version: MemberVersion,
    claims: &[(RangeId, Epoch)],
    limit: Duration,
) -> (EntryId, Option<LeaseReply>) {
    let check = LeaseCheck {
        entry: shared.id.to_string(),
        member_version: version.get(),
        ranges: range_epochs_to_proto(claims),
        heard_after: lock(&shared.usable).last_position(&id),
    };
    let reply = timeout(limit, client.check_lease(check)).await;
    (id, reply.ok().and_then(Result::ok).map(tonic::Response::into_inner))
}

fn take_in(shared: &Arc<Shared>, id: &EntryId, claims: &[(RangeId, Epoch)], reply: &LeaseReply) {
    let asked: Vec<RangeId> = claims.iter().map(|claim| claim.0).collect();
    let heard = reply.heard.iter().filter_map(|heard| {
        let announcement = heard.announcement.as_ref()?;
        Some((heard.position, announcement.incarnation.parse::<Incarnation>().ok()?))
    });
    lock(&shared.usable).on_lease_reply(id, &asked, &range_ids_from_proto(&reply.confirmed), heard);
    for announcement in reply.heard.iter().filter_map(|heard| heard.announcement.as_ref()) {
        link::learn(shared, announcement);
    }
}
