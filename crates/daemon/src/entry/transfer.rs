//! What an owner tells the successor of a range.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_claims::Recovery;
use cowslipwing_proto::{self as proto, FoundTask, RangeTransfer, Transfer};
use cowslipwing_types::{EntryId, Epoch, Incarnation, JobId, RangeId, from_millis, to_millis};
use tokio::time::timeout;

use super::shard::{EndedJob, Serving, Shard};
use super::shared::{Shared, lock};
use crate::convert::{recovered_task_from_proto, report_to_proto};

/// Time in which the successor must take a transfer.
const SEND_LIMIT: Duration = Duration::from_secs(2);

/// Wraps up all that is known of a range, unless a job of it is open.
///
/// From then on this entry takes on no job of the range.
pub(crate) fn wrap(shared: &Shared, shard: &mut Shard, range: RangeId) -> Option<RangeTransfer> {
    let Serving::Here(recovery) = &shard.serving else {
        return None;
    };
    if !shard.open.is_empty() {
        return None;
    }
    let now = shared.now();
    let found = recovery.tasks().map(|(task, found)| FoundTask {
        agent: found.agent.to_string(),
        report: Some(report_to_proto(task, found.fingerprint, &found.report)),
    });
    let ended = shard.ended.values().map(|ended| proto::EndedJob {
        answer: Some((*ended.answer).clone()),
        fingerprint: ended.fingerprint,
        age_ms: u64::try_from(now.duration_since(ended.ended_at).as_millis()).unwrap_or(u64::MAX),
    });
    let transfer = RangeTransfer {
        barrier_ms: to_millis(recovery.barrier()),
        whole: recovery.is_history_complete(),
        found: found.collect(),
        ended: ended.collect(),
        ..bare(shard, range)
    };
    shard.given = true;
    Some(transfer)
}

/// Names a range to be given away of which nothing is told; its successor has to ask the agents.
pub(crate) fn bare(shard: &Shard, range: RangeId) -> RangeTransfer {
    RangeTransfer {
        range: range.get(),
        epoch: shard.epoch.next().get(),
        ..RangeTransfer::default()
    }
}

/// Sends a transfer; false where the successor did not take it.
pub(crate) async fn send(shared: &Shared, successor: &EntryId, transfer: &Transfer) -> bool {
    let told = |range: &&RangeTransfer| range.barrier_ms > 0 || range.whole;
    let ranges: Vec<RangeTransfer> = transfer.ranges.iter().filter(told).cloned().collect();
    call(shared, successor, Transfer { ranges, ..transfer.clone() }).await
}

/// Makes the successor forget a transfer, and takes jobs of its ranges on again.
///
/// Should the log take the handover all the same, the successor asks the agents as after a death.
pub(crate) async fn take_back(shared: &Shared, successor: &EntryId, transfer: &Transfer) {
    let bare = |range: &RangeTransfer| RangeTransfer {
        range: range.range,
        epoch: range.epoch,
        ..RangeTransfer::default()
    };
    let ranges = transfer.ranges.iter().map(bare).collect();
    if !call(shared, successor, Transfer { ranges, taken_back: true, ..transfer.clone() }).await {
        return;
    }
    for range in &transfer.ranges {
        let mut shard = shared.shard(RangeId::new(range.range));
        if shard.epoch.next().get() == range.epoch {
            (shard.given, shard.draining) = (false, false);
        }
    }
}

async fn call(shared: &Shared, successor: &EntryId, transfer: Transfer) -> bool {
    if *successor == shared.id {
        return accept(shared, transfer);
    }
    let Some(mut client) = shared.peer(successor) else {
        return false;
    };
    let reply = timeout(SEND_LIMIT, client.transfer_ranges(transfer)).await;
    matches!(reply, Ok(Ok(reply)) if reply.get_ref().accepted)
}

/// Keeps a transfer until the log makes this entry the owner, or forgets one that is taken back.
///
/// False where the transfer was taken back before, or the log has made this entry the owner since.
pub(crate) fn accept(shared: &Shared, transfer: Transfer) -> bool {
    let is_owner =
        |range: &RangeTransfer| shared.shard(RangeId::new(range.range)).epoch.get() >= range.epoch;
    let is_over = transfer.ranges.iter().any(is_owner);
    let mut taken_back = lock(&shared.transfers_taken_back);
    let last = taken_back.get_or_insert_with(transfer.sender.clone(), || 0);
    let mut transfers = lock(&shared.transfers);
    if transfer.taken_back {
        *last = transfer.serial.max(*last);
        for range in &transfer.ranges {
            transfers.remove(&RangeId::new(range.range));
        }
        return !is_over;
    }
    if transfer.serial <= *last {
        return false;
    }
    for range in transfer.ranges {
        transfers.insert(RangeId::new(range.range), range);
    }
    true
}

/// Serves a range by what its former owner has told; false where it has told nothing.
pub(crate) fn open(shared: &Shared, range: RangeId, epoch: Epoch) -> bool {
    let Some(transfer) = lock(&shared.transfers).remove(&range) else {
        return false;
    };
    if transfer.epoch != epoch.get() {
        return false;
    }
    let found = transfer.found.iter().filter_map(|found| {
        let agent: Incarnation = found.agent.parse().ok()?;
        recovered_task_from_proto(&agent, found.report.as_ref()?)
    });
    let recovery = Recovery::from_handover(from_millis(transfer.barrier_ms), transfer.whole, found);
    let ended: Vec<_> =
        transfer.ended.iter().filter_map(|ended| read_ended(shared, ended)).collect();
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
