//! Gives ranges away: all of them when the entry stops, some when another entry ranks first.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cowslipwing_proto::{RangeEpoch, RangeTakeover, record::Body};
use cowslipwing_types::{EntryId, RangeId, SortedMap};

use super::follow::append_or_warn;
use super::membership;
use super::shared::Shared;

/// Time between two looks at the ranges.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which another entry must rank first before it gets a range.
const STEADY: Duration = Duration::from_secs(3);
/// Time in which the open jobs of a range may end before it is given away all the same.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);

/// Gives ranges to the entries that rank first for them, until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut wanted: SortedMap<RangeId, (EntryId, Instant)> = SortedMap::new();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if !shared.is_stopping() {
            rebalance(&shared, &mut wanted).await;
        }
    }
}

/// Gives all ranges away, waits for requests in flight, and leaves the member set.
pub(crate) async fn leave(shared: &Shared) {
    let started = shared.now();
    while !shared.owned().is_empty() && has_successor(shared) {
        let ranges: Vec<RangeId> = shared.owned().into_iter().map(|claim| claim.0).collect();
        give_drained(shared, &ranges, started).await;
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    while shared.requests.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    if has_successor(shared) {
        membership::remove(shared, &shared.id).await;
    }
}

async fn rebalance(shared: &Shared, wanted: &mut SortedMap<RangeId, (EntryId, Instant)>) {
    let members = shared.members();
    let now = shared.now();
    let mut due = Vec::new();
    let mut started = now;
    for (range, _) in shared.owned() {
        let best = shared.best_owner(&members, range).unwrap_or_else(|| shared.id.clone());
        if best == shared.id {
            wanted.remove(&range);
            shared.shard(range).draining = false;
            continue;
        }
        let (known, since) = wanted.get_or_insert_with(range, || (best.clone(), now));
        if *known != best {
            (*known, *since) = (best, now);
        }
        if now >= *since + STEADY {
            started = started.min(*since + STEADY);
            due.push(range);
        }
    }
    if !due.is_empty() {
        give_drained(shared, &due, started).await;
    }
}

/// Stops new jobs of the ranges, and gives away those that have no open job.
async fn give_drained(shared: &Shared, ranges: &[RangeId], started: Instant) {
    let overdue = shared.now() >= started + DRAIN_LIMIT;
    let members = shared.members();
    let mut gifts: SortedMap<EntryId, Vec<RangeEpoch>> = SortedMap::new();
    for range in ranges {
        let epoch = {
            let mut shard = shared.shard(*range);
            shard.draining = true;
            if !(shard.open.is_empty() || overdue) {
                continue;
            }
            shard.epoch.next()
        };
        let mut others = members.iter().map(|(id, _)| id).filter(|id| **id != shared.id);
        let best = shared.best_owner(&members, *range).filter(|id| *id != shared.id);
        let heir = best.or_else(|| others.find(|id| shared.is_live(id)).cloned());
        if let Some(heir) = heir {
            let claim = RangeEpoch { range: range.get(), epoch: epoch.get() };
            gifts.get_or_insert_with(heir, Vec::new).push(claim);
        }
    }
    for (heir, ranges) in gifts.iter() {
        log::info!("ranges: gives {} to {heir}.", ranges.len());
        let takeover = RangeTakeover { owner: heir.to_string(), ranges: ranges.clone() };
        append_or_warn(shared, "a handover", Body::Takeover(takeover)).await;
    }
}

fn has_successor(shared: &Shared) -> bool {
    let members = shared.members();
    members.iter().any(|(id, _)| *id != shared.id && shared.is_live(id))
}
