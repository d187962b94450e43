//! Joins the member set, settles its changes and removes entries that have failed.
//!
//! A change of the member set is settled by a record on the log once a majority of the previous set
//! follows the current one and the leases that the previous set granted have expired. Until then,
//! no further change is accepted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cowslipwing_fold::Membership;
use cowslipwing_proto::{self as proto, record::Body};
use cowslipwing_types::{EntryId, MemberVersion};

use super::log_follower::append_or_warn;
use super::shared::{Shared, lock};

/// Interval between checks of the member set.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Multiple of `suspect_after` after which a silent entry is removed.
const REMOVAL_TIMEOUT_FACTOR: u32 = 3;

/// Maintains the member set until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    // The current version, and since when a majority of the previous member set has followed it.
    let mut followed_since: Option<(MemberVersion, Instant)> = None;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let members = shared.with_fold(|fold| fold.membership().clone());
        if !has_read_log(&shared) || shared.is_stopping() {
            continue;
        }
        if !members.is_settled() {
            let since = match followed_since {
                Some((version, since)) if version == members.version() => Some(since),
                _ => majority_follows(&shared, &members).then(|| shared.now()),
            };
            followed_since = since.map(|since| (members.version(), since));
            settle(&shared, &members, since).await;
        } else if !members.current().contains(&shared.id) {
            join(&shared, &members).await;
        } else if is_leader(&shared) {
            remove_silent_member(&shared, &members).await;
        }
    }
}

/// Returns whether this entry is the leader: the live member with the lowest id, which acts on
/// behalf of all members. Two entries may briefly both see themselves as the leader.
pub(crate) fn is_leader(shared: &Shared) -> bool {
    let members = shared.members();
    let first_live = members.iter().map(|(id, _)| id).find(|id| shared.is_live(id));
    first_live == Some(&shared.id)
}

/// Removes an entry from the member set, and returns whether the record was read back from the log.
///
/// `drained` states that no task that the entry started is still running.
pub(crate) async fn remove(shared: &Shared, id: &EntryId, drained: bool) -> bool {
    let base_version = shared.with_fold(|fold| fold.membership().version().get());
    let leave = proto::MemberLeave { base_version, entry: id.to_string(), drained };
    append_or_warn(shared, "the removal of an entry", Body::Leave(leave)).await
}

/// Returns whether this entry has read the log to its end at least once.
fn has_read_log(shared: &Shared) -> bool {
    shared.log_state.read().expect("the log state lock is not poisoned").tail_read_at.is_some()
}

/// Returns whether a majority of the previous member set follows the current version.
fn majority_follows(shared: &Shared, members: &Membership) -> bool {
    let version = members.version();
    let peers = lock(&shared.peers);
    members.previous().has_majority(|id| {
        *id == shared.id || peers.get(id).is_some_and(|peer| peer.member_version >= version)
    })
}

/// Settles a change once the leases granted by the previous member set have expired. Only the
/// leader does so.
async fn settle(shared: &Shared, members: &Membership, followed_since: Option<Instant>) {
    let Some(since) = followed_since else {
        return;
    };
    if shared.now() < since + shared.lease.length || !is_leader(shared) {
        return;
    }
    let settled = proto::MemberSettled { version: members.version().get() };
    append_or_warn(shared, "the settlement of the member set", Body::Settled(settled)).await;
}

/// Adds this entry to the member set.
async fn join(shared: &Shared, members: &Membership) {
    let base_version = members.version().get();
    let join = proto::MemberJoin { base_version, member: Some(shared.member.clone()) };
    append_or_warn(shared, "the joining of the member set", Body::Join(join)).await;
}

/// Removes the first member that has been silent for too long.
async fn remove_silent_member(shared: &Shared, members: &Membership) {
    let limit = shared.lease.suspect_after * REMOVAL_TIMEOUT_FACTOR;
    let now = shared.now();
    let silent_member = {
        let peers = lock(&shared.peers);
        let is_silent =
            |id: &&EntryId| peers.get(id).is_some_and(|peer| now >= peer.last_seen_at + limit);
        members.current().iter().map(|(id, _)| id).find(is_silent).cloned()
    };
    if let Some(id) = silent_member {
        log::warn!("members: removing {id}, which has been silent for {limit:?}.");
        remove(shared, &id, false).await;
    }
}
