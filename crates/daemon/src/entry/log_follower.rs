//! Follows the decisions on the platform's store.

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
use crate::net::{self, Addressed};

/// Time between two readings of the store.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a peer must send its fold.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the store must tell of a customer.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two snapshots; a quarter of the history that stores of the platform keep.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the decisions until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut follower = Follower::default();
    loop {
        follower.read_to_tail(&shared).await;
        let _ = timeout(READ_INTERVAL, shared.follower_wakeup.notified()).await;
    }
}

/// Lets the store tell of a customer that this entry does not know yet.
///
/// # Errors
///
/// Fails where the store does not answer in time, so that the customer may have a contract.
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

/// Waits until the store was read to the tail it has now; false where it does not answer in time.
async fn catch_up(shared: &Shared, limit: Duration) -> bool {
    let requested_at = shared.now();
    let caught_up = async {
        loop {
            let fold_changed = shared.fold_changed.notified();
            tokio::pin!(fold_changed);
            fold_changed.as_mut().enable();
            let read_at = {
                let log_state = shared.log_state.read().expect("no holder of the fold panics");
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

#[derive(Default)]
struct Follower {
    is_down: bool,
    snapshots: SnapshotState,
}

/// What is known of the snapshots on the store.
#[derive(Default)]
struct SnapshotState {
    /// Where their topic ends, once it was read.
    topic_end: Option<u64>,
    /// Next offset of the newest one.
    snapshot_offset: Offset,
    /// When this entry last put one.
    written_at: Option<Instant>,
}

impl Follower {
    async fn read_to_tail(&mut self, shared: &Arc<Shared>) {
        loop {
            let from = shared.with_fold(Fold::next_offset);
            let requested_at = shared.now();
            let read = shared.decision_log.read(from).await;
            let (records, end) = match read {
                Ok(ReadResult::Records { records, end, .. }) => (records, end),
                Ok(ReadResult::Dropped) => {
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
                log::warn!(
                    "store: nothing came from offset {from}, though the topic ends at {end}."
                );
                return;
            }
        }
    }

    /// Takes the state from a snapshot, or from a peer, where records were dropped before they were
    /// read; false where neither is newer.
    async fn recover_from_gap(&mut self, shared: &Arc<Shared>, from: Offset) -> bool {
        log::info!("store: the history from offset {from} is gone.");
        match shared.decision_log.snapshot().await {
            Ok(Snapshot { fold: Some(fold), .. }) => {
                if replace_fold_if_newer(shared, fold) {
                    log::info!("store: took the state over from a snapshot.");
                    return true;
                }
            }
            Ok(Snapshot { fold: None, .. }) => log::info!("store: there is no snapshot."),
            Err(error) => log::warn!("store: the snapshot: {error}."),
        }
        self.fetch_fold(shared).await
    }

    /// Puts a snapshot before the store drops what it stands for.
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
            Err(StoreError::Overtaken { .. }) => self.snapshots.topic_end = None,
            Err(error) => {
                self.snapshots.topic_end = None;
                log::warn!("store: no snapshot was put: {error}.");
            }
        }
    }

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
            log::info!("store: it answers again.");
        }
    }

    async fn on_store_error(&mut self, shared: &Arc<Shared>, error: &str) {
        if !std::mem::replace(&mut self.is_down, true) {
            log::warn!("store: {error}.");
        }
        self.fetch_fold(shared).await;
    }

    /// Asks a peer for what it has fold_changed; false where no peer has anything newer.
    async fn fetch_fold(&self, shared: &Arc<Shared>) -> bool {
        let contact =
            shared.contact.and_then(|address| net::channel(&address.to_string(), shared.source));
        let contact =
            contact.map(|channel| PeerClient::with_interceptor(channel, Addressed::to_anyone()));
        let others = shared.other_members().into_iter().map(|(_, client)| client);
        for mut client in others.chain(contact) {
            let Ok(Ok(reply)) = timeout(FETCH_TIMEOUT, client.fetch_fold(FoldRequest {})).await
            else {
                continue;
            };
            let Ok(newer) = Fold::try_from(&reply.into_inner()) else {
                continue;
            };
            if replace_fold_if_newer(shared, newer) {
                log::info!("store: took the state over from a peer.");
                return true;
            }
        }
        false
    }
}

/// Takes a fold over where it is newer.
fn replace_fold_if_newer(shared: &Arc<Shared>, newer: Fold) -> bool {
    let mut log_state = shared.log_state.write().expect("no holder of the fold panics");
    let replaced = log_state.fold.replace_if_newer(newer);
    drop(log_state);
    if replaced {
        // Which entries have gone meanwhile is not known.
        quotas::extend_hold(shared);
        update_from_fold(shared);
    }
    replaced
}

/// Folds records that begin at an offset, and returns the next one.
fn apply_records(shared: &Arc<Shared>, from: Offset, records: &[Bytes]) -> Offset {
    if records.is_empty() {
        return from;
    }
    let mut has_removal = false;
    let mut log_state = shared.log_state.write().expect("no holder of the fold panics");
    for (offset, record) in (from.get()..).zip(records) {
        let record = decode_record(record);
        let outcome = log_state.fold.apply(Offset::new(offset), &record);
        let is_removal = matches!(&record.body, Some(Body::Leave(leave)) if !leave.drained);
        has_removal |= is_removal && outcome == ApplyOutcome::Applied;
        if outcome != ApplyOutcome::AlreadyApplied {
            log_state.record_outcome(&record.append_id, outcome);
        }
    }
    let next = log_state.fold.next_offset();
    // What was read at the start is known to the peers, who tell how long to hold.
    let was_at_tail = log_state.tail_read_at.is_some();
    drop(log_state);
    if has_removal && was_at_tail {
        quotas::extend_hold(shared);
    }
    update_from_fold(shared);
    next
}

fn on_tail_reached(shared: &Arc<Shared>, requested_at: std::time::Instant) {
    let version = shared.with_fold(|fold| fold.membership().version());
    let is_first = {
        let mut log_state = shared.log_state.write().expect("no holder of the fold panics");
        log_state.tail_read_at.replace(requested_at).is_none()
    };
    if is_first && shared.other_members().is_empty() {
        // Nobody can tell whether entries that are gone have tasks running.
        quotas::extend_hold(shared);
    }
    lock(&shared.lease_voter).on_log_read(requested_at, version);
    let owned = shared.owned_ranges();
    let mut leases = lock(&shared.leases);
    for (range, epoch) in owned {
        leases.extend(range, epoch, requested_at);
    }
    drop(leases);
    shared.fold_changed.notify_waiters();
    shared.dispatch_wakeup.notify_one();
}

/// Brings the parts in line with the fold.
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
        owners.map(|(range, found)| (range, found.epoch, found.owner == shared.id)).collect()
    });
    for (range, epoch, is_own) in owners {
        // An older epoch is confirmed no more, whoever asks.
        lock(&shared.lease_voter).promise(range, epoch);
        let lost = shared.shard(range).set_owner(epoch, is_own);
        for open in lost {
            on_owner_changed(shared, range, open);
        }
    }
}

fn on_owner_changed(shared: &Shared, range: RangeId, open: OpenJob) {
    jobs::remove_from_queue(shared, range, &open);
    jobs::count_closed(shared, open.job.id());
    for waiter in open.waiters {
        // A caller that is gone needs no reply.
        let _ = waiter.send(Reply::OwnerChanged);
    }
}

/// Appends a record without waiting for its outcome to matter.
pub(crate) async fn append_or_warn(shared: &shared::Shared, what: &str, body: Body) -> bool {
    match append(shared, body).await {
        Ok(_) => true,
        Err(error) => {
            log::warn!("store: {what} was not recorded: {error}.");
            false
        }
    }
}
