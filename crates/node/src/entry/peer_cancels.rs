//! Passes cancellations of jobs on to the other entries.
//!
//! Retries of a caller reach other entries than its job. An entry that does not know a job asks the
//! others before it answers that there is none. An entry that has cancelled a job tells the others, so
//! that a late copy of the job's request does not run there.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cowslipwing_dispatch::RequestId;
use cowslipwing_proto::CancelRequest;
use cowslipwing_proto::dispatch_client::DispatchClient;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;
use tonic::transport::Endpoint;

use super::shared::{Shared, lock};

/// Timeout of a request to another entry. The caller's answer waits for the slowest one if none has the
/// job.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which cancelled jobs are collected before the other entries are told. Late copies of their
/// requests arrive seconds later.
const COLLECTION_TIME: Duration = Duration::from_millis(250);

/// Cancelled jobs of which the other entries have not been told.
#[derive(Default)]
pub(super) struct CancelNotices {
    jobs: Mutex<Vec<RequestId>>,
    added: Notify,
}

impl CancelNotices {
    pub(super) fn add(&self, id: RequestId) {
        lock(&self.jobs).push(id);
        self.added.notify_one();
    }
}

/// Tells the other entries of cancelled jobs until the entry stops.
pub(super) async fn send_notices(shared: Arc<Shared>) {
    loop {
        shared.cancel_notices.added.notified().await;
        tokio::time::sleep(COLLECTION_TIME).await;
        let jobs = std::mem::take(&mut *lock(&shared.cancel_notices.jobs));
        if !jobs.is_empty() {
            cancel_at_peers(&shared, &jobs).await;
        }
    }
}

/// Cancels jobs at all other entries. Returns whether one of them knows any of the jobs. Entries that
/// do not answer in time count as those that do not.
pub(super) async fn cancel_at_peers(shared: &Shared, jobs: &[RequestId]) -> bool {
    let request = CancelRequest { jobs: jobs.iter().map(ToString::to_string).collect() };
    let (tx, mut rx) = mpsc::unbounded_channel();
    for peer in shared.members.list().into_iter().filter(|peer| *peer != shared.address) {
        let (request, tx) = (request.clone(), tx.clone());
        tokio::spawn(async move {
            let reply = timeout(PEER_TIMEOUT, cancel_at(peer, request)).await;
            // The receiver is gone once another entry has answered that it knows the job.
            let _ = tx.send(reply.ok().flatten().unwrap_or(false));
        });
    }
    drop(tx);
    while let Some(is_found) = rx.recv().await {
        if is_found {
            return true;
        }
    }
    false
}

async fn cancel_at(peer: SocketAddr, request: CancelRequest) -> Option<bool> {
    let endpoint = Endpoint::try_from(format!("http://{peer}")).ok()?;
    let channel = endpoint.connect_timeout(PEER_TIMEOUT).connect().await.ok()?;
    let reply = DispatchClient::new(channel).cancel(request).await.ok()?;
    Some(reply.into_inner().found)
}
