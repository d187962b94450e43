//! Reads the decision log on the platform's store, and applies its records.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cowslipwing_fold::{ApplyOutcome, Fold};
use cowslipwing_platform::{ReadResult, StoreError};
use cowslipwing_proto::peer_client::PeerClient;
use cowslipwing_proto::{self as proto, FoldRequest, record::Body};
use cowslipwing_types::{CustomerName, Offset, RangeId};
use tokio::time::timeout;

use super::append::append;
use super::decision_log::{Snapshot, decode_record};
use super::shard::{OpenJob, Reply};
use super::shared::{Shared, lock};
use super::{jobs, link, quotas, shared};
use crate::api_error::ApiError;
use crate::net::{self, SetRecipient};

/// Interval between reads of the log, unless a wakeup requests one earlier.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request to a peer for its state.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the log must be read up to its end to find the contract of an unknown customer.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between snapshots by this entry. Stores of the platform retain records for four
/// times as long.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the log until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut follower = Follower::default();
    loop {
        follower.read_to_tail(&shared).await;
        let _ = timeout(READ_INTERVAL, shared.follower_wakeup.notified()).await;
    }
}

/// Reads the log up to its end if this entry knows no contract of a customer.
///
/// # Errors
///
/// Returns an error if the store does not answer in time, since the customer may then have a
/// contract that this entry does not know.
pub(crate) async fn resolve_customer(
    shared: &Shared,
    customer: &CustomerName,
) -> Result<(), ApiError> {
    let is_known = || shared.with_fold(|fold| fold.contracts().get(customer).is_some());
    if is_known() || catch_up(shared, RESOLVE_TIMEOUT).await || is_known() {
        return Ok(());
    }
    Err(ApiError::UnresolvedCustomer { customer: customer.clone() })
}

/// Waits until the log has been read up to the end that it has now.
///
/// Returns `false` if the store does not answer within `limit`.
async fn catch_up(shared: &Shared, limit: Duration) -> bool {
    let requested_at = shared.now();
    let caught_up = async {
        loop {
            let fold_changed = shared.fold_changed.notified();
            tokio::pin!(fold_changed);
            fold_changed.as_mut().enable();
            let read_at = {
                let log_state =
                    shared.log_state.read().expect("the log state lock is not poisoned");
                log_state.tail_read_at
            };
            if read_at.is_some_and(|at| at >= requested_at) {
                return;
            }
            shared.follower_wakeup.notify_one();
            fold_changed.await;
        }
    };
    timeout(limit, caught_up).await.is_ok()
}

/// The state of the loop that reads the log.
#[derive(Default)]
struct Follower {
    /// Whether the latest read failed; the failure is logged once until the store answers again.
    is_down: bool,
    snapshots: SnapshotState,
}

/// The newest snapshot on the store, as far as this entry knows it.
#[derive(Default)]
struct SnapshotState {
    /// End of the snapshot topic; `None` until it is read, and after a failed write.
    topic_end: Option<u64>,
    /// Next log offset of the newest snapshot.
    snapshot_offset: Offset,
    /// When this entry last wrote a snapshot.
    written_at: Option<Instant>,
}

impl Follower {
    /// Reads and applies records until the end of the log, or until an error.
    async fn read_to_tail(&mut self, shared: &Arc<Shared>) {
        loop {
            let from = shared.with_fold(Fold::next_offset);
            let requested_at = shared.now();
            let read = shared.decision_log.read(from).await;
            let (records, end) = match read {
                Ok(ReadResult::Records { records, end, .. }) => (records, end),
                Ok(ReadResult::Truncated) => {
                    self.on_store_available();
                    if self.recover_from_gap(shared, from).await {
                        continue;
                    }
                    return;
                }
                Err(error) => {
                    self.on_store_error(shared, &error.to_string()).await;
                    return;
                }
            };
            self.on_store_available();
            let next = apply_records(shared, from, &records);
            if next.get() >= end {
                on_tail_reached(shared, requested_at);
                self.write_snapshot_if_due(shared).await;
                return;
            }
            if records.is_empty() {
                log::warn!("store: no record at offset {from}, although the topic ends at {end}.");
                return;
            }
        }
    }

    /// Replaces the state with that of a snapshot or a peer, because the store dropped records
    /// before this entry read them.
    ///
    /// Returns `false` if neither has a newer state.
    async fn recover_from_gap(&mut self, shared: &Arc<Shared>, from: Offset) -> bool {
        log::info!("store: the records from offset {from} have been dropped.");
        match shared.decision_log.snapshot().await {
            Ok(Snapshot { fold: Some(fold), .. }) => {
                if replace_fold_if_newer(shared, fold) {
                    log::info!("store: loaded the state from a snapshot.");
                    return true;
                }
            }
            Ok(Snapshot { fold: None, .. }) => log::info!("store: there is no readable snapshot."),
            Err(error) => log::warn!("store: the snapshot cannot be read: {error}."),
        }
        self.fetch_fold(shared).await
    }

    /// Writes a snapshot if one is due, before the store drops the records that it replaces.
    ///
    /// Only the leader writes snapshots.
    async fn write_snapshot_if_due(&mut self, shared: &Arc<Shared>) {
        let is_due =
            self.snapshots.written_at.is_none_or(|at| shared.now() >= at + SNAPSHOT_INTERVAL);
        let next = shared.with_fold(Fold::next_offset);
        if next <= self.snapshots.snapshot_offset
            || !is_due
            || !super::membership::is_leader(shared)
        {
            return;
        }
        let state = shared.with_fold(|fold| proto::FoldState::from(fold));
        match self.write_snapshot(shared, &state).await {
            Ok(()) => {}
            Err(StoreError::Conflict { .. }) => self.snapshots.topic_end = None,
            Err(error) => {
                self.snapshots.topic_end = None;
                log::warn!("store: the snapshot cannot be written: {error}.");
            }
        }
    }

    /// Writes a snapshot, unless the store already has one that is as new.
    async fn write_snapshot(
        &mut self,
        shared: &Arc<Shared>,
        state: &proto::FoldState,
    ) -> Result<(), StoreError> {
        let topic_end = match self.snapshots.topic_end {
            Some(end) => end,
            None => {
                let newest = shared.decision_log.snapshot().await?;
                let snapshot_offset =
                    newest.fold.map_or(Offset::default(), |fold| fold.next_offset());
                self.snapshots.snapshot_offset = snapshot_offset;
                self.snapshots.topic_end = Some(newest.topic_end);
                newest.topic_end
            }
        };
        if state.next_offset > self.snapshots.snapshot_offset.get() {
            let end = shared.decision_log.write_snapshot(state, topic_end).await?;
            self.snapshots.topic_end = Some(end);
            self.snapshots.snapshot_offset = Offset::new(state.next_offset);
            self.snapshots.written_at = Some(shared.now());
        }
        Ok(())
    }

    fn on_store_available(&mut self) {
        if std::mem::take(&mut self.is_down) {
            log::info!("store: the decision log can be read again.");
        }
    }

    async fn on_store_error(&mut self, shared: &Arc<Shared>, error: &str) {
        if !std::mem::replace(&mut self.is_down, true) {
            log::warn!("store: the decision log cannot be read: {error}.");
        }
        self.fetch_fold(shared).await;
    }

    /// Asks the peers, and then the contact, for their state until one of them has a newer one.
    ///
    /// Returns whether the state was replaced.
    async fn fetch_fold(&self, shared: &Arc<Shared>) -> bool {
        let contact =
            shared.contact.and_then(|address| net::channel(&address.to_string(), shared.source_ip));
        let contact =
            contact.map(|channel| PeerClient::with_interceptor(channel, SetRecipient::any_entry()));
        let others = shared.other_members().into_iter().map(|(_, client)| client);
        for mut client in others.chain(contact) {
            let Ok(Ok(reply)) = timeout(FETCH_TIMEOUT, client.fetch_fold(FoldRequest {})).await
            else {
                continue;
            };
            let Ok(fold) = Fold::try_from(&reply.into_inner()) else {
                continue;
            };
            if replace_fold_if_newer(shared, fold) {
                log::info!("store: loaded the state from a peer.");
                return true;
            }
        }
        false
    }
}

/// Replaces the state if `newer` is newer, and returns whether it was replaced.
fn replace_fold_if_newer(shared: &Arc<Shared>, newer: Fold) -> bool {
    let mut log_state = shared.log_state.write().expect("the log state lock is not poisoned");
    let replaced = log_state.fold.replace_if_newer(newer);
    drop(log_state);
    if replaced {
        // Entries may have been removed by the records that were skipped.
        quotas::extend_hold(shared);
        update_from_fold(shared);
    }
    replaced
}

/// Applies records, the first of which is at the offset `from`, and returns the next offset.
fn apply_records(shared: &Arc<Shared>, from: Offset, records: &[Bytes]) -> Offset {
    if records.is_empty() {
        return from;
    }
    let mut has_removed_entry = false;
    let mut log_state = shared.log_state.write().expect("the log state lock is not poisoned");
    for (offset, record) in (from.get()..).zip(records) {
        let record = decode_record(record);
        let outcome = log_state.fold.apply(Offset::new(offset), &record);
        let is_removal = matches!(&record.body, Some(Body::Leave(leave)) if !leave.drained);
        has_removed_entry |= is_removal && outcome == ApplyOutcome::Applied;
        if outcome != ApplyOutcome::AlreadyApplied {
            log_state.record_outcome(&record.append_id, outcome);
        }
    }
    let next = log_state.fold.next_offset();
    // Peers already know of the removals read before the end of the log is first reached, and
    // report for how long quotas must not be raised.
    let was_at_tail = log_state.tail_read_at.is_some();
    drop(log_state);
    if has_removed_entry && was_at_tail {
        quotas::extend_hold(shared);
    }
    update_from_fold(shared);
    next
}

/// Handles a complete read of the log that was requested at `requested_at`.
fn on_tail_reached(shared: &Arc<Shared>, requested_at: std::time::Instant) {
    let version = shared.with_fold(|fold| fold.membership().version());
    let is_first = {
        let mut log_state = shared.log_state.write().expect("the log state lock is not poisoned");
        log_state.tail_read_at.replace(requested_at).is_none()
    };
    if is_first && shared.other_members().is_empty() {
        // No peer can report whether removed entries still have tasks running.
        quotas::extend_hold(shared);
    }
    lock(&shared.lease_voter).on_log_read(requested_at, version);
    // A complete read shows the latest owners, so it confirms the leases like a majority of
    // members.
    let owned = shared.owned_ranges();
    let mut leases = lock(&shared.leases);
    for (range, epoch) in owned {
        leases.extend(range, epoch, requested_at);
    }
    drop(leases);
    shared.fold_changed.notify_waiters();
    shared.dispatch_wakeup.notify_one();
}

/// Updates everything that depends on the state built from the log.
fn update_from_fold(shared: &Arc<Shared>) {
    update_members(shared);
    update_ranges(shared);
    quotas::update_quotas(shared);
    link::update_withdrawals(shared);
    jobs::withdraw_batches(shared);
    shared.fold_changed.notify_waiters();
}

fn update_members(shared: &Shared) {
    let members = shared.members();
    let version = shared.with_fold(|fold| fold.membership().version());
    lock(&shared.lease_voter).on_member_version(version);
    for id in members.iter().map(|(id, _)| id).filter(|id| **id != shared.id) {
        shared.peer(id);
    }
    lock(&shared.peers).retain(|id, _| members.contains(id));
}

fn update_ranges(shared: &Shared) {
    let owners: Vec<_> = shared.with_fold(|fold| {
        let owners = fold.range_owners().iter();
        owners
            .map(|(range, ownership)| (range, ownership.epoch, ownership.owner == shared.id))
            .collect()
    });
    for (range, epoch, is_own) in owners {
        // From now on, this entry confirms no older epoch of the range.
        lock(&shared.lease_voter).promise(range, epoch);
        let lost_jobs = shared.shard(range).set_owner(epoch, is_own);
        for open in lost_jobs {
            on_owner_changed(shared, range, open);
        }
    }
}

/// Closes an open job whose range this entry has lost.
fn on_owner_changed(shared: &Shared, range: RangeId, open: OpenJob) {
    jobs::remove_from_queue(shared, range, &open);
    jobs::count_closed(shared, open.job.id());
    for waiter in open.waiters {
        // The caller may have disconnected.
        let _ = waiter.send(Reply::OwnerChanged);
    }
}

/// Appends a record and logs a failure; returns whether the record was read back from the log.
///
/// `description` names the decision in the log message.
pub(crate) async fn append_or_warn(shared: &shared::Shared, description: &str, body: Body) -> bool {
    match append(shared, body).await {
        Ok(_) => true,
        Err(error) => {
            log::warn!("store: {description} was not confirmed by the log: {error}.");
            false
        }
    }
}
