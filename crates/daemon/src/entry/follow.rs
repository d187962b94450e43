//! Follows the platform's log.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_fold::{Fold, Outcome};
use cowslipwing_log::Page;
use cowslipwing_proto::peer_client::PeerClient;
use cowslipwing_proto::{self as proto, FoldRequest, record::Body};
use cowslipwing_types::{CustomerName, Offset, RangeId};
use tokio::time::timeout;

use super::append::append;
use super::shard::{OpenJob, Reply};
use super::shared::{Shared, lock};
use super::{jobs, link, loans, shared};
use crate::net::{self, Addressed};

/// Time between two readings of the log.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a peer must send its fold.
const FETCH_LIMIT: Duration = Duration::from_secs(1);
/// Time in which the log must tell of a customer.
const LEARN_LIMIT: Duration = Duration::from_millis(500);
/// Records read at once.
const PAGE_RECORDS: u32 = 1000;
/// Records after which a new snapshot is appended.
const SNAPSHOT_RECORDS: u64 = 256;

/// Follows the log until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut follower = Follower { is_down: false, last_snapshot: Offset::default() };
    loop {
        follower.read_to_tail(&shared).await;
        let _ = timeout(READ_INTERVAL, shared.read_log.notified()).await;
    }
}

/// Lets the log tell of a customer that this entry does not know yet.
pub(crate) async fn learn_customer(shared: &Shared, customer: &CustomerName) {
    if shared.read(|fold| fold.contracts().get(customer).is_none()) {
        catch_up(shared, LEARN_LIMIT).await;
    }
}

/// Waits until the log was read to the tail it has now; false where it does not answer in time.
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

struct Follower {
    is_down: bool,
    /// Offset of the last snapshot on the log.
    last_snapshot: Offset,
}

impl Follower {
    async fn read_to_tail(&mut self, shared: &Arc<Shared>) {
        let mut from = shared.read(Fold::next_offset);
        loop {
            let asked_at = shared.now();
            let page = match shared.log.read(from, PAGE_RECORDS).await {
                Ok(page) => page,
                Err(error) => {
                    self.on_down(shared, &error.to_string()).await;
                    return;
                }
            };
            self.on_up();
            let next = self.fold_page(shared, &page);
            if next >= page.tail {
                on_tail(shared, asked_at);
                self.append_snapshot(shared, &page).await;
                return;
            }
            let scanned = page.records.last().map_or(page.tail, |(offset, _)| offset.next());
            let has_gap = next < page.first;
            if has_gap && scanned >= page.tail {
                self.fetch_fold(shared).await;
                return;
            }
            from = if has_gap { scanned } else { next };
        }
    }

    fn fold_page(&mut self, shared: &Arc<Shared>, page: &Page) -> Offset {
        if page.records.is_empty() {
            return shared.read(Fold::next_offset);
        }
        let mut has_gone = false;
        let mut followed = shared.followed.write().expect("no holder of the fold panics");
        for (offset, record) in &page.records {
            let outcome = followed.fold.apply(*offset, record);
            let was_folded = *offset < followed.fold.next_offset();
            let is_death = matches!(&record.body, Some(Body::Leave(leave)) if !leave.drained);
            has_gone |= is_death && outcome == Outcome::Applied;
            if was_folded && outcome != Outcome::Repeated {
                followed.note_outcome(&record.append_id, outcome);
            }
            if matches!(record.body, Some(Body::Snapshot(_))) {
                self.last_snapshot = self.last_snapshot.max(*offset);
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

    async fn append_snapshot(&mut self, shared: &Arc<Shared>, page: &Page) {
        let since = page.tail.get().saturating_sub(self.last_snapshot.get());
        let forgotten = page.first > Offset::default() && self.last_snapshot <= page.first;
        if (since < SNAPSHOT_RECORDS && !forgotten) || !super::membership::leads(shared) {
            return;
        }
        let state = shared.read(|fold| proto::FoldState::from(fold));
        let body = Body::Snapshot(proto::Snapshot { state: Some(state) });
        let record = proto::Record {
            append_id: uuid::Uuid::new_v4().simple().to_string(),
            body: Some(body),
        };
        match shared.log.append(&record).await {
            Ok(offset) => self.last_snapshot = offset,
            Err(error) => log::warn!("log: no snapshot was appended: {error}."),
        }
    }

    fn on_up(&mut self) {
        if std::mem::take(&mut self.is_down) {
            log::info!("log: it answers again.");
        }
    }

    async fn on_down(&mut self, shared: &Arc<Shared>, error: &str) {
        if !std::mem::replace(&mut self.is_down, true) {
            log::warn!("log: {error}.");
        }
        self.fetch_fold(shared).await;
    }

    /// Asks a peer for what it has folded.
    async fn fetch_fold(&self, shared: &Arc<Shared>) {
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
            let mut followed = shared.followed.write().expect("no holder of the fold panics");
            let adopted = followed.fold.adopt(newer);
            drop(followed);
            if adopted {
                log::info!("log: took the state over from a peer.");
                loans::on_gone(shared);
                sync(shared);
                return;
            }
        }
    }
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
            log::warn!("log: {what} was not recorded: {error}.");
            false
        }
    }
}
