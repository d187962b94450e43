//! Renews the leases on the ranges that this entry owns.

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

/// Number of renewals within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Renews the leases until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let interval = shared.lease.length / RENEWALS_PER_LEASE;
    loop {
        tokio::time::sleep(interval).await;
        renew(&shared, interval).await;
    }
}

/// Asks every member once to confirm the leases, and extends those that a majority confirms.
async fn renew(shared: &Arc<Shared>, reply_timeout: Duration) {
    let claims = shared.owned_ranges();
    let version = shared.with_fold(|fold| fold.membership().version());
    let requested_at = shared.now();
    let mut round = LeaseRound::new(requested_at, claims.clone());
    vote_for_self(shared, &mut round, version, &claims);
    let members = shared.members();
    round.extend_leases(&members, &mut lock(&shared.leases));
    let mut replies: FuturesUnordered<_> = shared
        .other_members()
        .into_iter()
        .map(|(id, client)| check_lease(shared, id, client, version, &claims, reply_timeout))
        .collect();
    while let Some((id, reply)) = replies.next().await {
        let Some(reply) = reply else {
            continue;
        };
        shared.record_lease_reply(&id, &reply);
        if reply.abstains {
            continue;
        }
        on_reply(shared, &id, &claims, &reply);
        round.on_confirmed(&id, &range_ids_from_proto(&reply.confirmed));
        round.extend_leases(&members, &mut lock(&shared.leases));
        shared.dispatch_wakeup.notify_one();
    }
}

/// Adds this entry's own vote to the round.
fn vote_for_self(
    shared: &Shared,
    round: &mut LeaseRound,
    version: MemberVersion,
    claims: &[(RangeId, Epoch)],
) {
    let vote = lock(&shared.lease_voter).confirm(shared.now(), version, claims);
    let LeaseVote::Confirmed(confirmed) = vote else {
        return;
    };
    round.on_confirmed(&shared.id, &confirmed);
    let requested: Vec<RangeId> = claims.iter().map(|claim| claim.0).collect();
    let mut usable_agents = lock(&shared.usable_agents);
    let registry = lock(&shared.agent_registry);
    let known_agents: Vec<_> = registry
        .after_position(usable_agents.last_position(&shared.id))
        .map(|(incarnation, agent)| (agent.position, incarnation.clone()))
        .collect();
    usable_agents.on_lease_reply(&shared.id, &requested, &confirmed, known_agents);
}

/// Asks a member to confirm the leases. The reply is `None` if the member does not answer in time.
async fn check_lease(
    shared: &Shared,
    id: EntryId,
    mut client: PeerClient<PeerChannel>,
    version: MemberVersion,
    claims: &[(RangeId, Epoch)],
    reply_timeout: Duration,
) -> (EntryId, Option<LeaseReply>) {
    let check = LeaseCheck {
        entry: shared.id.to_string(),
        member_version: version.get(),
        ranges: range_epochs_to_proto(claims),
        heard_after: lock(&shared.usable_agents).last_position(&id),
    };
    let reply = timeout(reply_timeout, client.check_lease(check)).await;
    (id, reply.ok().and_then(Result::ok).map(tonic::Response::into_inner))
}

/// Records the agents that a member knows, and which ranges it has refused to confirm.
fn on_reply(shared: &Arc<Shared>, id: &EntryId, claims: &[(RangeId, Epoch)], reply: &LeaseReply) {
    let requested: Vec<RangeId> = claims.iter().map(|claim| claim.0).collect();
    let known_agents = reply.heard.iter().filter_map(|heard| {
        let announcement = heard.announcement.as_ref()?;
        Some((heard.position, announcement.incarnation.parse::<Incarnation>().ok()?))
    });
    lock(&shared.usable_agents).on_lease_reply(
        id,
        &requested,
        &range_ids_from_proto(&reply.confirmed),
        known_agents,
    );
    for announcement in reply.heard.iter().filter_map(|heard| heard.announcement.as_ref()) {
        link::on_announcement(shared, announcement);
    }
}
