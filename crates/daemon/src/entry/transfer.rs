//! Transfers of a range's state from its owner to the successor.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_claims::Recovery;
use cowslipwing_proto::{self as proto, FoundTask, RangeTransfer, Transfer};
use cowslipwing_types::{EntryId, Epoch, Incarnation, JobId, RangeId, from_millis, to_millis};
use tokio::time::timeout;

use super::shard::{EndedJob, ServingState, Shard};
use super::shared::{Shared, lock};
use crate::convert::{recovered_task_from_proto, report_to_proto};

/// Timeout of a request to the successor to accept a transfer.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Builds the transfer of a range's state.
///
/// Returns `None` if a job is open or the range is not served. Otherwise, this entry accepts no job
/// in the range from then on, unless the transfer is revoked.
pub(crate) fn build(shared: &Shared, shard: &mut Shard, range: RangeId) -> Option<RangeTransfer> {
    let ServingState::Serving(recovery) = &shard.serving else {
        return None;
    };
    if !shard.open_jobs.is_empty() {
        return None;
    }
    let now = shared.now();
    let found_tasks = recovery.tasks().map(|(task, recovered)| FoundTask {
        agent: recovered.agent.to_string(),
        report: Some(report_to_proto(task, recovered.fingerprint, &recovered.report)),
    });
    let ended_jobs = shard.ended_jobs.values().map(|ended| proto::EndedJob {
        answer: Some((*ended.answer).clone()),
        fingerprint: ended.fingerprint,
        age_ms: u64::try_from(now.duration_since(ended.ended_at).as_millis()).unwrap_or(u64::MAX),
    });
    let transfer = RangeTransfer {
        barrier_ms: to_millis(recovery.barrier()),
        whole: recovery.is_history_complete(),
        found: found_tasks.collect(),
        ended: ended_jobs.collect(),
        ..empty(shard, range)
    };
    shard.handover.on_transfer_built();
    Some(transfer)
}

/// Returns a transfer without state, after which the successor has to survey the agents.
pub(crate) fn empty(shard: &Shard, range: RangeId) -> RangeTransfer {
    RangeTransfer {
        range: range.get(),
        epoch: shard.epoch.next().get(),
        ..RangeTransfer::default()
    }
}

/// Sends the state of the ranges to the successor, and returns whether it was accepted. Ranges
/// whose transfer has no state are left out.
pub(crate) async fn send(shared: &Shared, successor: &EntryId, transfer: &Transfer) -> bool {
    let has_state = |range: &&RangeTransfer| range.barrier_ms > 0 || range.whole;
    let ranges: Vec<RangeTransfer> = transfer.ranges.iter().filter(has_state).cloned().collect();
    deliver(shared, successor, Transfer { ranges, ..transfer.clone() }).await
}

/// Makes the successor discard a transfer, then accepts jobs in its ranges again.
///
/// If the successor does not confirm, no jobs are accepted. If the handover wins on the log after
/// all, the successor surveys the agents, as after the failure of an owner.
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
            shard.handover.on_ended();
        }
    }
}

/// Sends a transfer to the successor, which may be this entry, and returns whether it was accepted.
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

/// Stores a transfer until this entry becomes the owner of its ranges, or discards a revoked one.
///
/// Returns whether the transfer is stored, which it is not if it was revoked before it arrived, if
/// it names a range that does not exist, or if this entry is stopping. For a revocation, returns
/// `false` if the log has already brought a range to the transfer's epoch.
pub(crate) fn accept(shared: &Shared, transfer: Transfer) -> bool {
    if transfer.ranges.iter().any(|range| RangeId::from_number(range.range).is_none()) {
        return false;
    }
    let has_reached_epoch =
        |range: &RangeTransfer| shared.shard(RangeId::new(range.range)).epoch.get() >= range.epoch;
    let is_too_late = transfer.ranges.iter().any(has_reached_epoch);
    let Ok(sender) = transfer.sender.parse::<EntryId>() else {
        return false;
    };
    let mut transfers = lock(&shared.transfers);
    if transfer.taken_back {
        let ranges = transfer.ranges.iter().map(|range| RangeId::new(range.range));
        transfers.revoke(&sender, transfer.serial, ranges);
        return !is_too_late;
    }
    // Read under the lock, so that no transfer is stored after a stopping entry has seen none.
    let is_stopping = shared.is_stopping();
    let ranges = transfer
        .ranges
        .into_iter()
        .map(|range| (RangeId::new(range.range), Epoch::new(range.epoch), range));
    transfers.store(shared.now(), &sender, transfer.serial, is_stopping, ranges)
}

/// Starts to serve a range with the state that its former owner has transferred.
///
/// Returns `false` if there is no transfer for this epoch, or if the range is no longer being taken
/// over at this epoch.
pub(crate) fn start_serving(shared: &Shared, range: RangeId, epoch: Epoch) -> bool {
    let Some(transfer) = lock(&shared.transfers).take(range, epoch) else {
        return false;
    };
    let tasks = transfer.found.iter().filter_map(|found_task| {
        let agent: Incarnation = found_task.agent.parse().ok()?;
        recovered_task_from_proto(&agent, found_task.report.as_ref()?)
    });
    let recovery = Recovery::from_handover(from_millis(transfer.barrier_ms), transfer.whole, tasks);
    let ended_jobs: Vec<_> =
        transfer.ended.iter().filter_map(|ended| parse_ended_job(shared, ended)).collect();
    let mut shard = shared.shard(range);
    let is_serving = shard.start_serving(epoch, recovery);
    if is_serving {
        for (job, ended) in ended_jobs {
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
