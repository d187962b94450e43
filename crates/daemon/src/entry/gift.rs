//! What an owner tells the heir of a range.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_claims::Recovery;
use cowslipwing_proto::{self as proto, FoundTask, Gift, RangeGift};
use cowslipwing_types::{EntryId, Epoch, Incarnation, JobId, RangeId, from_millis, to_millis};
use tokio::time::timeout;

use super::shard::{EndedJob, Serving, Shard};
use super::shared::{Shared, lock};
use crate::convert::{found_of, report_to};

/// Time in which the heir must take a gift.
const SEND_LIMIT: Duration = Duration::from_secs(2);

/// Wraps up all that is known of a range, unless a job of it is open.
///
/// From then on this entry takes on no job of the range.
pub(crate) fn wrap(shared: &Shared, shard: &mut Shard, range: RangeId) -> Option<RangeGift> {
    let Serving::Here(recovery) = &shard.serving else {
        return None;
    };
    if !shard.open.is_empty() {
        return None;
    }
    let now = shared.now();
    let found = recovery.all_found().map(|(task, found)| FoundTask {
        agent: found.agent.to_string(),
        report: Some(report_to(task, found.fingerprint, &found.report)),
    });
    let ended = shard.ended.values().map(|ended| proto::EndedJob {
        answer: Some((*ended.answer).clone()),
        fingerprint: ended.fingerprint,
        age_ms: u64::try_from(now.duration_since(ended.ended_at).as_millis()).unwrap_or(u64::MAX),
    });
    let gift = RangeGift {
        barrier_ms: to_millis(recovery.barrier()),
        whole: recovery.history_is_whole(),
        found: found.collect(),
        ended: ended.collect(),
        ..bare(shard, range)
    };
    shard.given = true;
    Some(gift)
}

/// Names a range to be given away of which nothing is told; its heir has to ask the agents.
pub(crate) fn bare(shard: &Shard, range: RangeId) -> RangeGift {
    RangeGift { range: range.get(), epoch: shard.epoch.next().get(), ..RangeGift::default() }
}

/// Sends a gift; false where the heir did not take it.
pub(crate) async fn send(shared: &Shared, heir: &EntryId, gift: &Gift) -> bool {
    let told = |range: &&RangeGift| range.barrier_ms > 0 || range.whole;
    let ranges: Vec<RangeGift> = gift.ranges.iter().filter(told).cloned().collect();
    call(shared, heir, Gift { ranges, ..gift.clone() }).await
}

/// Makes the heir forget a gift, and takes jobs of its ranges on again.
///
/// Should the log take the handover all the same, the heir asks the agents as after a death.
pub(crate) async fn take_back(shared: &Shared, heir: &EntryId, gift: &Gift) {
    let bare = |range: &RangeGift| RangeGift {
        range: range.range,
        epoch: range.epoch,
        ..RangeGift::default()
    };
    let ranges = gift.ranges.iter().map(bare).collect();
    if !call(shared, heir, Gift { ranges, taken_back: true, ..gift.clone() }).await {
        return;
    }
    for range in &gift.ranges {
        let mut shard = shared.shard(RangeId::new(range.range));
        if shard.epoch.next().get() == range.epoch {
            (shard.given, shard.draining) = (false, false);
        }
    }
}

async fn call(shared: &Shared, heir: &EntryId, gift: Gift) -> bool {
    if *heir == shared.id {
        return accept(shared, gift);
    }
    let Some(mut client) = shared.peer(heir) else {
        return false;
    };
    let reply = timeout(SEND_LIMIT, client.give(gift)).await;
    matches!(reply, Ok(Ok(reply)) if reply.get_ref().accepted)
}

/// Keeps a gift until the log makes this entry the owner, or forgets one that is taken back.
///
/// False where the gift was taken back before, or the log has made this entry the owner since.
pub(crate) fn accept(shared: &Shared, gift: Gift) -> bool {
    let is_owner =
        |range: &RangeGift| shared.shard(RangeId::new(range.range)).epoch.get() >= range.epoch;
    let is_over = gift.ranges.iter().any(is_owner);
    let mut taken_back = lock(&shared.gifts_taken_back);
    let last = taken_back.get_or_insert_with(gift.giver.clone(), || 0);
    let mut gifts = lock(&shared.gifts);
    if gift.taken_back {
        *last = gift.serial.max(*last);
        for range in &gift.ranges {
            gifts.remove(&RangeId::new(range.range));
        }
        return !is_over;
    }
    if gift.serial <= *last {
        return false;
    }
    for range in gift.ranges {
        gifts.insert(RangeId::new(range.range), range);
    }
    true
}

/// Serves a range by what its former owner has told; false where it has told nothing.
pub(crate) fn open(shared: &Shared, range: RangeId, epoch: Epoch) -> bool {
    let Some(gift) = lock(&shared.gifts).remove(&range) else {
        return false;
    };
    if gift.epoch != epoch.get() {
        return false;
    }
    let found = gift.found.iter().filter_map(|found| {
        let agent: Incarnation = found.agent.parse().ok()?;
        found_of(&agent, found.report.as_ref()?)
    });
    let recovery = Recovery::handed_over(from_millis(gift.barrier_ms), gift.whole, found);
    let ended: Vec<_> = gift.ended.iter().filter_map(|ended| read_ended(shared, ended)).collect();
    let mut shard = shared.shard(range);
    let serves = shard.serve(epoch, recovery);
    if serves {
        for (job, ended) in ended {
            shard.ended.insert(job, ended);
        }
    }
    serves
}

fn read_ended(shared: &Shared, ended: &proto::EndedJob) -> Option<(JobId, EndedJob)> {
    let answer = ended.answer.clone()?;
    let job = JobId { customer: answer.customer.parse().ok()?, key: answer.key.parse().ok()? };
    let now = shared.now();
    let ended_at = now.checked_sub(Duration::from_millis(ended.age_ms)).unwrap_or(now);
    Some((job, EndedJob { fingerprint: ended.fingerprint, answer: Arc::new(answer), ended_at }))
}
