//! Gives ranges away: all of them when the entry stops, some when another entry ranks first.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cowslipwing_fold::MemberSet;
use cowslipwing_proto::{RangeEpoch, RangeTakeover, RangeTransfer, Transfer, record::Body};
use cowslipwing_types::{EntryId, RangeId, SortedMap};

use super::log_follower::append_or_warn;
use super::membership;
use super::shared::{Shared, lock};
use super::transfer;

/// Time between two looks at whether other entries rank first.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Age of the last reading of the log up to which ranges are given to entries that rank first.
const MAX_LOG_AGE: Duration = Duration::from_secs(2);
/// Time between two looks at the ranges of a stopping entry.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which another entry must rank first before it gets a range.
const REBALANCE_DELAY: Duration = Duration::from_secs(3);
/// Time in which the open jobs of a range may end before it is given away all the same.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Gives ranges to the entries that rank first for them, until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut candidates: SortedMap<RangeId, (EntryId, Instant)> = SortedMap::new();
    loop {
        tokio::time::sleep(REBALANCE_INTERVAL).await;
        let is_log_current = shared.log_age().is_some_and(|age| age < MAX_LOG_AGE);
        if !shared.is_stopping() && is_log_current {
            rebalance(&shared, &mut candidates).await;
        }
    }
}

/// Gives all ranges away, waits for requests in flight, and leaves the member set.
pub(crate) async fn leave(shared: &Shared) {
    let drain_started_at = shared.now();
    while !shared.owned_ranges().is_empty() && has_successor(shared) {
        let ranges: Vec<RangeId> = shared.owned_ranges().into_iter().map(|claim| claim.0).collect();
        hand_over_drained(shared, &ranges, drain_started_at).await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    while shared.requests_in_flight.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if has_successor(shared) {
        let drained = lock(&shared.dispatch).dispatcher.is_drained();
        membership::remove(shared, &shared.id, drained).await;
    }
}

async fn rebalance(shared: &Shared, candidates: &mut SortedMap<RangeId, (EntryId, Instant)>) {
    let members = shared.members();
    let now = shared.now();
    let mut due = Vec::new();
    let mut drain_started_at = now;
    for (range, _) in shared.owned_ranges() {
        let preferred =
            shared.preferred_owner(&members, range).unwrap_or_else(|| shared.id.clone());
        if preferred == shared.id && cancel_handover(shared, range) {
            candidates.remove(&range);
            continue;
        }
        let (known, since) = candidates.get_or_insert_with(range, || (preferred.clone(), now));
        if *known != preferred {
            (*known, *since) = (preferred, now);
        }
        if now >= *since + REBALANCE_DELAY {
            drain_started_at = drain_started_at.min(*since + REBALANCE_DELAY);
            due.push(range);
        }
    }
    if !due.is_empty() {
        hand_over_drained(shared, &due, drain_started_at).await;
    }
}

/// Goes on serving a range that was to be given away; false where it was given already.
fn cancel_handover(shared: &Shared, range: RangeId) -> bool {
    let mut shard = shared.shard(range);
    shard.draining &= shard.handed_over;
    !shard.handed_over
}

/// Stops new jobs of the ranges, and gives away those that have no open job.
async fn hand_over_drained(shared: &Shared, ranges: &[RangeId], drain_started_at: Instant) {
    let overdue = shared.now() >= drain_started_at + DRAIN_TIMEOUT;
    let members = shared.members();
    let mut transfers: SortedMap<EntryId, Transfer> = SortedMap::new();
    for range in ranges {
        let Some(successor) = successor_of(shared, &members, *range) else {
            continue;
        };
        let mut shard = shared.shard(*range);
        shard.draining = true;
        let transfer = match transfer::build(shared, &mut shard, *range) {
            Some(transfer) => transfer,
            None if overdue => transfer::empty(&shard, *range),
            None => continue,
        };
        transfers.get_or_insert_with(successor, Transfer::default).ranges.push(transfer);
    }
    for (successor, transfer) in transfers.iter() {
        let serial = shared.last_transfer_serial.fetch_add(1, Ordering::Relaxed) + 1;
        let sender = shared.id.to_string();
        hand_over(shared, successor, &Transfer { sender, serial, ..transfer.clone() }).await;
    }
}

/// Tells the successor what is known of the ranges, then makes it their owner.
async fn hand_over(shared: &Shared, successor: &EntryId, transfer: &Transfer) {
    if !transfer::send(shared, successor, transfer).await {
        transfer::revoke(shared, successor, transfer).await;
        return;
    }
    let claim =
        |transfer: &RangeTransfer| RangeEpoch { range: transfer.range, epoch: transfer.epoch };
    let ranges = transfer.ranges.iter().map(claim).collect();
    log::info!("ranges: gives {} to {successor}.", transfer.ranges.len());
    let takeover = RangeTakeover { owner: successor.to_string(), ranges };
    if !append_or_warn(shared, "a handover", Body::Takeover(takeover)).await {
        transfer::revoke(shared, successor, transfer).await;
    }
}

/// Returns the entry that a range goes to; this entry itself where it ranks first again.
fn successor_of(shared: &Shared, members: &MemberSet, range: RangeId) -> Option<EntryId> {
    let preferred = shared.preferred_owner(members, range);
    let stays = preferred.as_ref() == Some(&shared.id) && !shared.is_stopping();
    if stays {
        return preferred;
    }
    let mut others = members.iter().map(|(id, _)| id).filter(|id| **id != shared.id);
    preferred
        .filter(|id| *id != shared.id)
        .or_else(|| others.find(|id| shared.is_live(id)).cloned())
}

fn has_successor(shared: &Shared) -> bool {
    let members = shared.members();
    members.iter().any(|(id, _)| *id != shared.id && shared.is_live(id))
}
