//! Follows the decisions on the platform's store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cowslipwing_fold::{Fold, Outcome};
use cowslipwing_platform::{ReadResult, StoreError};
use cowslipwing_proto::peer_client::PeerClient;
use cowslipwing_proto::{self as proto, FoldRequest, record::Body};
use cowslipwing_types::{CustomerName, Offset, RangeId};
use tokio::time::timeout;

use super::append::append;
use super::decisions::{Snapshot, decode};
use super::shard::{OpenJob, Reply};
use super::shared::{Shared, lock};
use super::{jobs, link, loans, shared};
use crate::api_error::ApiError;
use crate::net::{self, Addressed};

/// Time between two readings of the store.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a peer must send its fold.
const FETCH_LIMIT: Duration = Duration::from_secs(1);
/// Time in which the store must tell of a customer.
const LEARN_LIMIT: Duration = Duration::from_millis(500);
/// Time between two snapshots; a quarter of the history that stores of the platform keep.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the decisions until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut follower = Follower::default();
    loop {
        follower.read_to_tail(&shared).await;
        let _ = timeout(READ_INTERVAL, shared.read_log.notified()).await;
    }
}

/// Lets the store tell of a customer that this entry does not know yet.
///
/// # Errors
///
/// Fails where the store does not answer in time, so that the customer may have a contract.
pub(crate) async fn learn_customer(
    shared: &Shared,
    customer: &CustomerName,
) -> Result<(), ApiError> {
    let is_known = || shared.read(|fold| fold.contracts().get(customer).is_some());
    if is_known() || catch_up(shared, LEARN_LIMIT).await || is_known() {
        return Ok(());
    }
    Err(ApiError::UnresolvedCustomer { customer: customer.clone() })
}

/// Waits until the store was read to the tail it has now; false where it does not answer in time.
async fn catch_up(shared: &Shared, limit: Duration) -> bool {
    let asked_at = shared.now();
    let caught_up = async {
        loop {
            let folded = shared.folded.notified();
            tokio::pin!(folded);
            folded.as_mut().enable();
            let read_at = {
                let followed = shared.followed.read().expect("no holder of the fold panics");
                followed.tail_read_at
            };
            if read_at.is_some_and(|at| at >= asked_at) {
                return;
            }
            shared.read_log.notify_one();
            folded.await;
        }
    };
    timeout(limit, caught_up).await.is_ok()
}

#[derive(Default)]
struct Follower {
    is_down: bool,
    snapshots: Snapshots,
}

/// What is known of the snapshots on the store.
#[derive(Default)]
struct Snapshots {
    /// Where their topic ends, once it was read.
    topic_end: Option<u64>,
    /// Next offset of the newest one.
    covered: Offset,
    /// When this entry last put one.
    put_at: Option<Instant>,
}

impl Follower {
    async fn read_to_tail(&mut self, shared: &Arc<Shared>) {
        loop {
            let from = shared.read(Fold::next_offset);
            let asked_at = shared.now();
            let read = shared.decisions.read(from).await;
            let (records, end) = match read {
                Ok(ReadResult::Records { records, end, .. }) => (records, end),
                Ok(ReadResult::Truncated) => {
                    self.on_up();
                    if self.bridge_gap(shared, from).await {
                        continue;
                    }
                    return;
                }
                Err(error) => {
                    self.on_down(shared, &error.to_string()).await;
                    return;
                }
            };
            self.on_up();
            let next = fold_records(shared, from, &records);
            if next.get() >= end {
                on_tail(shared, asked_at);
                self.keep_snapshot(shared).await;
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
    async fn bridge_gap(&mut self, shared: &Arc<Shared>, from: Offset) -> bool {
        log::info!("store: the history from offset {from} is gone.");
        match shared.decisions.snapshot().await {
            Ok(Snapshot { fold: Some(fold), .. }) => {
                if adopt(shared, fold) {
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
    async fn keep_snapshot(&mut self, shared: &Arc<Shared>) {
        let is_due = self.snapshots.put_at.is_none_or(|at| shared.now() >= at + SNAPSHOT_INTERVAL);
        let next = shared.read(Fold::next_offset);
        if next <= self.snapshots.covered || !is_due || !super::membership::leads(shared) {
            return;
        }
        let state = shared.read(|fold| proto::FoldState::from(fold));
        match self.put_snapshot(shared, &state).await {
            Ok(()) => {}
            Err(StoreError::Conflict { .. }) => self.snapshots.topic_end = None,
            Err(error) => {
                self.snapshots.topic_end = None;
                log::warn!("store: no snapshot was put: {error}.");
            }
        }
    }

    async fn put_snapshot(
        &mut self,
        shared: &Arc<Shared>,
        state: &proto::FoldState,
    ) -> Result<(), StoreError> {
        let topic_end = match self.snapshots.topic_end {
            Some(end) => end,
            None => {
                let newest = shared.decisions.snapshot().await?;
                let covered = newest.fold.map_or(Offset::default(), |fold| fold.next_offset());
                self.snapshots.covered = covered;
                self.snapshots.topic_end = Some(newest.topic_end);
                newest.topic_end
            }
        };
        if state.next_offset > self.snapshots.covered.get() {
            let end = shared.decisions.put_snapshot(state, topic_end).await?;
            self.snapshots.topic_end = Some(end);
            self.snapshots.covered = Offset::new(state.next_offset);
            self.snapshots.put_at = Some(shared.now());
        }
        Ok(())
    }

    fn on_up(&mut self) {
        if std::mem::take(&mut self.is_down) {
            log::info!("store: it answers again.");
        }
    }

    async fn on_down(&mut self, shared: &Arc<Shared>, error: &str) {
        if !std::mem::replace(&mut self.is_down, true) {
            log::warn!("store: {error}.");
        }
        self.fetch_fold(shared).await;
    }

    /// Asks a peer for what it has folded; false where no peer has anything newer.
    async fn fetch_fold(&self, shared: &Arc<Shared>) -> bool {
        let contact =
            shared.contact.and_then(|address| net::channel(&address.to_string(), shared.source));
        let contact =
            contact.map(|channel| PeerClient::with_interceptor(channel, Addressed::to_anyone()));
        let others = shared.other_members().into_iter().map(|(_, client)| client);
        for mut client in others.chain(contact) {
            let Ok(Ok(reply)) = timeout(FETCH_LIMIT, client.fetch_fold(FoldRequest {})).await
            else {
                continue;
            };
            let Ok(newer) = Fold::try_from(&reply.into_inner()) else {
                continue;
            };
            if adopt(shared, newer) {
                log::info!("store: took the state over from a peer.");
                return true;
            }
        }
        false
    }
}

/// Takes a fold over where it is newer.
fn adopt(shared: &Arc<Shared>, newer: Fold) -> bool {
    let mut followed = shared.followed.write().expect("no holder of the fold panics");
    let adopted = followed.fold.adopt(newer);
    drop(followed);
    if adopted {
        // Which entries have gone meanwhile is not known.
        loans::on_gone(shared);
        sync(shared);
    }
    adopted
}

/// Folds records that begin at an offset, and returns the next one.
fn fold_records(shared: &Arc<Shared>, from: Offset, records: &[Bytes]) -> Offset {
    if records.is_empty() {
        return from;
    }
    let mut has_gone = false;
    let mut followed = shared.followed.write().expect("no holder of the fold panics");
    for (offset, record) in (from.get()..).zip(records) {
        let record = decode(record);
        let outcome = followed.fold.apply(Offset::new(offset), &record);
        let is_death = matches!(&record.body, Some(Body::Leave(leave)) if !leave.drained);
        has_gone |= is_death && outcome == Outcome::Applied;
        if outcome != Outcome::Repeated {
            followed.note_outcome(&record.append_id, outcome);
        }
    }
    let next = followed.fold.next_offset();
    // What was read at the start is known to the peers, who tell how long to hold.
    let is_news = followed.tail_read_at.is_some();
    drop(followed);
    if has_gone && is_news {
        loans::on_gone(shared);
    }
    sync(shared);
    next
}

fn on_tail(shared: &Arc<Shared>, asked_at: std::time::Instant) {
    let version = shared.read(|fold| fold.members().version());
    let is_first = {
        let mut followed = shared.followed.write().expect("no holder of the fold panics");
        followed.tail_read_at.replace(asked_at).is_none()
    };
    if is_first && shared.other_members().is_empty() {
        // Nobody can tell whether entries that are gone have tasks running.
        loans::on_gone(shared);
    }
    lock(&shared.votes).read_tail(asked_at, version);
    let owned = shared.owned();
    let mut leases = lock(&shared.leases);
    for (range, epoch) in owned {
        leases.extend(range, epoch, asked_at);
    }
    drop(leases);
    shared.folded.notify_waiters();
    shared.work.notify_one();
}

/// Brings the parts in line with the fold.
fn sync(shared: &Arc<Shared>) {
    follow_members(shared);
    follow_ranges(shared);
    loans::follow_contracts(shared);
    link::follow_withdrawals(shared);
    jobs::withdraw_batches(shared);
    shared.folded.notify_waiters();
}

fn follow_members(shared: &Shared) {
    let members = shared.members();
    let version = shared.read(|fold| fold.members().version());
    lock(&shared.votes).follow(version);
    for id in members.iter().map(|(id, _)| id).filter(|id| **id != shared.id) {
        shared.peer(id);
    }
    lock(&shared.peers).retain(|id, _| members.contains(id));
}

fn follow_ranges(shared: &Shared) {
    let owners: Vec<_> = shared.read(|fold| {
        let owners = fold.ranges().iter();
        owners.map(|(range, found)| (range, found.epoch, found.owner == shared.id)).collect()
    });
    for (range, epoch, is_mine) in owners {
        // An older epoch is confirmed no more, whoever asks.
        lock(&shared.votes).promise(range, epoch);
        let lost = shared.shard(range).follow(epoch, is_mine);
        for open in lost {
            on_moved(shared, range, open);
        }
    }
}

fn on_moved(shared: &Shared, range: RangeId, open: OpenJob) {
    jobs::forget_queued(shared, range, &open);
    jobs::count_closed(shared, open.job.id());
    for waiter in open.waiters {
        // A caller that is gone needs no reply.
        let _ = waiter.send(Reply::Moved);
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
