//! Hands ranges over to other entries: all of them when this entry stops, and single ones when
//! another entry is their preferred owner ([`Shared::preferred_owner`]).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cowslipwing_fold::MemberSet;
use cowslipwing_proto::{RangeEpoch, RangeTakeover, RangeTransfer, Transfer, record::Body};
use cowslipwing_types::{EntryId, RangeId, SortedMap};

use super::append::READ_BACK_TIMEOUT;
use super::log_follower::append_or_warn;
use super::membership;
use super::shared::{Shared, lock};
use super::transfer;

/// Interval between checks of the preferred owners.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Ranges are rebalanced only if the log was last read to its end less than this time ago.
const MAX_LOG_AGE: Duration = Duration::from_secs(2);
/// Interval between checks of the ranges and requests of a stopping entry.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which another entry must be the preferred owner before it gets a range.
const REBALANCE_DELAY: Duration = Duration::from_secs(3);
/// Time in which the open jobs of a range may end before it is handed over regardless.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Hands ranges over to their preferred owners until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    tokio::join!(rebalance_at_intervals(&shared), reopen_in_outages(&shared));
}

/// Reopens ranges that wait for their open jobs to end while the log is too old to hand them over.
async fn reopen_in_outages(shared: &Shared) {
    loop {
        tokio::time::sleep(REBALANCE_INTERVAL).await;
        if shared.is_stopping() {
            continue;
        }
        let log_age = shared.log_age();
        for (range, _) in shared.owned_ranges() {
            shared.shard(range).handover.cancel_if_log_stale(log_age, MAX_LOG_AGE);
        }
    }
}

async fn rebalance_at_intervals(shared: &Shared) {
    let mut candidates: SortedMap<RangeId, (EntryId, Instant)> = SortedMap::new();
    loop {
        tokio::time::sleep(REBALANCE_INTERVAL).await;
        let is_log_current = shared.log_age().is_some_and(|age| age < MAX_LOG_AGE);
        if !shared.is_stopping() && is_log_current {
            rebalance(shared, &mut candidates).await;
        }
    }
}

/// Hands over all ranges, waits for requests in flight and leaves the member set.
///
/// Without another live member, the entry keeps its ranges and stays a member.
pub(crate) async fn leave(shared: &Shared) {
    let drain_started_at = shared.now();
    while (!shared.owned_ranges().is_empty() || expects_ranges(shared)) && has_successor(shared) {
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

/// Hands over the ranges that have had another preferred owner for long enough.
///
/// `candidates` holds the preferred owner of each such range, and since when it has been preferred.
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
        let (candidate, since) = candidates.get_or_insert_with(range, || (preferred.clone(), now));
        if *candidate != preferred {
            (*candidate, *since) = (preferred, now);
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

/// Cancels the handover of a range, so that it accepts new jobs again.
///
/// Returns `false` if the transfer to the successor has already been built.
fn cancel_handover(shared: &Shared, range: RangeId) -> bool {
    shared.shard(range).handover.cancel()
}

/// Refuses new jobs in the ranges, and hands over those that have no open job, or all of them once
/// the time to drain has passed.
async fn hand_over_drained(shared: &Shared, ranges: &[RangeId], drain_started_at: Instant) {
    let overdue = shared.now() >= drain_started_at + DRAIN_TIMEOUT;
    let members = shared.members();
    let mut transfers: SortedMap<EntryId, Transfer> = SortedMap::new();
    for range in ranges {
        let Some(successor) = successor_of(shared, &members, *range) else {
            continue;
        };
        let mut shard = shared.shard(*range);
        shard.handover.begin();
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

/// Sends the state of the ranges to the successor, then makes it their owner.
async fn hand_over(shared: &Shared, successor: &EntryId, transfer: &Transfer) {
    if !transfer::send(shared, successor, transfer).await {
        transfer::revoke(shared, successor, transfer).await;
        return;
    }
    let claim =
        |transfer: &RangeTransfer| RangeEpoch { range: transfer.range, epoch: transfer.epoch };
    let ranges = transfer.ranges.iter().map(claim).collect();
    log::info!("ranges: handing over {} ranges to {successor}.", transfer.ranges.len());
    let takeover = RangeTakeover { owner: successor.to_string(), ranges };
    if !append_or_warn(shared, "a handover", Body::Takeover(takeover)).await {
        transfer::revoke(shared, successor, transfer).await;
    }
}

/// Returns the entry to hand a range over to, which is this entry itself if it has become the
/// preferred owner again.
fn successor_of(shared: &Shared, members: &MemberSet, range: RangeId) -> Option<EntryId> {
    let preferred = shared.preferred_owner(members, range);
    let keeps_range = preferred.as_ref() == Some(&shared.id) && !shared.is_stopping();
    if keeps_range {
        return preferred;
    }
    let mut others = members.iter().map(|(id, _)| id).filter(|id| **id != shared.id);
    preferred
        .filter(|id| *id != shared.id)
        .or_else(|| others.find(|id| shared.is_live(id)).cloned())
}

/// Returns whether the record of a transfer that was accepted before the stop may still make this
/// entry an owner.
fn expects_ranges(shared: &Shared) -> bool {
    lock(&shared.transfers).expects_records(shared.now(), READ_BACK_TIMEOUT)
}

/// Returns whether another member is live.
fn has_successor(shared: &Shared) -> bool {
    let members = shared.members();
    members.iter().any(|(id, _)| *id != shared.id && shared.is_live(id))
}
