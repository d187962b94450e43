//! What an owner tells the successor of a range.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_claims::Recovery;
use cowslipwing_proto::{self as proto, FoundTask, RangeTransfer, Transfer};
use cowslipwing_types::{EntryId, Epoch, Incarnation, JobId, RangeId, from_millis, to_millis};
use tokio::time::timeout;

use super::shard::{EndedJob, ServingState, Shard};
use super::shared::{Shared, lock};
use crate::convert::{found_of, report_to};

/// Time in which the successor must take a transfer.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Wraps up all that is known of a range, unless a job of it is open.
///
/// From then on this entry takes on no job of the range.
pub(crate) fn build(shared: &Shared, shard: &mut Shard, range: RangeId) -> Option<RangeTransfer> {
    let ServingState::Serving(recovery) = &shard.serving else {
        return None;
    };
    if !shard.open_jobs.is_empty() {
        return None;
    }
    let now = shared.now();
    let found = recovery.tasks().map(|(task, found)| FoundTask {
        agent: found.agent.to_string(),
        report: Some(report_to(task, found.fingerprint, &found.report)),
    });
    let ended = shard.ended_jobs.values().map(|ended| proto::EndedJob {
        answer: Some((*ended.answer).clone()),
        fingerprint: ended.fingerprint,
        age_ms: u64::try_from(now.duration_since(ended.ended_at).as_millis()).unwrap_or(u64::MAX),
    });
    let transfer = RangeTransfer {
        barrier_ms: to_millis(recovery.barrier()),
        whole: recovery.is_history_complete(),
        found: found.collect(),
        ended: ended.collect(),
        ..empty(shard, range)
    };
    shard.handed_over = true;
    Some(transfer)
}

/// Names a range to be given away of which nothing is told; its successor has to ask the agents.
pub(crate) fn empty(shard: &Shard, range: RangeId) -> RangeTransfer {
    RangeTransfer {
        range: range.get(),
        epoch: shard.epoch.next().get(),
        ..RangeTransfer::default()
    }
}

/// Sends a transfer; false where the successor did not take it.
pub(crate) async fn send(shared: &Shared, successor: &EntryId, transfer: &Transfer) -> bool {
    let has_state = |range: &&RangeTransfer| range.barrier_ms > 0 || range.whole;
    let ranges: Vec<RangeTransfer> = transfer.ranges.iter().filter(has_state).cloned().collect();
    deliver(shared, successor, Transfer { ranges, ..transfer.clone() }).await
}

/// Makes the successor forget a transfer, and takes jobs of its ranges on again.
///
/// Should the log take the handover all the same, the successor asks the agents as after a death.
pub(crate) async fn revoke(shared: &Shared, successor: &EntryId, transfer: &Transfer) {
    let without_state = |range: &RangeTransfer| RangeTransfer {
        range: range.range,
        epoch: range.epoch,
        ..RangeTransfer::default()
    };
    let ranges = transfer.ranges.iter().map(without_state).collect();
    if !deliver(shared, successor, Transfer { ranges, taken_back: true, ..transfer.clone() }).await
    {
        return;
    }
    for range in &transfer.ranges {
        let mut shard = shared.shard(RangeId::new(range.range));
        if shard.epoch.next().get() == range.epoch {
            (shard.handed_over, shard.draining) = (false, false);
        }
    }
}

async fn deliver(shared: &Shared, successor: &EntryId, transfer: Transfer) -> bool {
    if *successor == shared.id {
        return accept(shared, transfer);
    }
    let Some(mut client) = shared.peer(successor) else {
        return false;
    };
    let reply = timeout(SEND_TIMEOUT, client.transfer_ranges(transfer)).await;
    matches!(reply, Ok(Ok(reply)) if reply.get_ref().accepted)
}

/// Keeps a transfer until the log makes this entry the owner, or forgets one that is taken back.
///
/// False where the transfer was taken back before, or the log has made this entry the owner since.
pub(crate) fn accept(shared: &Shared, transfer: Transfer) -> bool {
    let is_owner =
        |range: &RangeTransfer| shared.shard(RangeId::new(range.range)).epoch.get() >= range.epoch;
    let is_already_owner = transfer.ranges.iter().any(is_owner);
    let mut revoked = lock(&shared.revoked_transfers);
    let last_revoked = revoked.get_or_insert_with(transfer.sender.clone(), || 0);
    let mut transfers = lock(&shared.transfers);
    if transfer.taken_back {
        *last_revoked = transfer.serial.max(*last_revoked);
        for range in &transfer.ranges {
            transfers.remove(&RangeId::new(range.range));
        }
        return !is_already_owner;
    }
    if transfer.serial <= *last_revoked {
        return false;
    }
    for range in transfer.ranges {
        transfers.insert(RangeId::new(range.range), range);
    }
    true
}

/// Serves a range by what its former owner has told; false where it has told nothing.
pub(crate) fn start_serving(shared: &Shared, range: RangeId, epoch: Epoch) -> bool {
    let Some(transfer) = lock(&shared.transfers).remove(&range) else {
        return false;
    };
    if transfer.epoch != epoch.get() {
        return false;
    }
    let found = transfer.found.iter().filter_map(|found| {
        let agent: Incarnation = found.agent.parse().ok()?;
        found_of(&agent, found.report.as_ref()?)
    });
    let recovery = Recovery::from_handover(from_millis(transfer.barrier_ms), transfer.whole, found);
    let ended: Vec<_> =
        transfer.ended.iter().filter_map(|ended| parse_ended_job(shared, ended)).collect();
    let mut shard = shared.shard(range);
    let is_serving = shard.start_serving(epoch, recovery);
    if is_serving {
        for (job, ended) in ended {
            shard.ended_jobs.insert(job, ended);
        }
    }
    is_serving
}

fn parse_ended_job(shared: &Shared, ended: &proto::EndedJob) -> Option<(JobId, EndedJob)> {
    let answer = ended.answer.clone()?;
    let job = JobId { customer: answer.customer.parse().ok()?, key: answer.key.parse().ok()? };
    let now = shared.now();
    let ended_at = now.checked_sub(Duration::from_millis(ended.age_ms)).unwrap_or(now);
    Some((job, EndedJob { fingerprint: ended.fingerprint, answer: Arc::new(answer), ended_at }))
}
