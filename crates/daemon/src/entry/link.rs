//! The stream to an agent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cowslipwing_policy::Capacity;
use cowslipwing_proto::agent_client::AgentClient;
use cowslipwing_proto::{Announcement, FromAgent, StartTask, TaskId, ToAgent};
use cowslipwing_types::{EndpointName, Epoch, Incarnation};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use super::dispatch::start_message;
use super::reports;
use super::shared::{Shared, lock, name_of};
use crate::convert::task_id_to_proto;
use crate::net;

/// Time between two attempts to reach an agent.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Orders sent in one batch.
const BATCH_ORDERS: usize = 256;
/// Batches that may wait in the transport.
const BATCHES_AHEAD: usize = 16;

/// An order for an agent.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Start a task.
    Start(Box<StartTask>),
    /// Give a task back.
    TakeBack(TaskId),
    /// Hand out credits.
    Demand(u32),
    /// Take credits back.
    Return(u32),
}

/// The link to one incarnation of an agent.
pub(crate) struct Link {
    tx: mpsc::UnboundedSender<Message>,
    task: JoinHandle<()>,
    pub(crate) announcement: Announcement,
    learned_at: Instant,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends an order to an agent; it is lost where no link exists.
pub(crate) fn send(shared: &Shared, agent: &Incarnation, message: Message) {
    if let Some(link) = lock(&shared.links).get(agent) {
        // A link that is closing drops its orders; the next one sends them anew.
        let _ = link.tx.send(message);
    }
}

/// Takes in an announcement, and links up with an incarnation that is new.
pub(crate) fn learn(shared: &Arc<Shared>, announcement: &Announcement) {
    let Ok(incarnation) = announcement.incarnation.parse::<Incarnation>() else {
        return;
    };
    set_capacity(shared, &incarnation, announcement);
    let replaced = {
        let mut links = lock(&shared.links);
        if let Some(link) = links.get_mut(&incarnation) {
            link.announcement = announcement.clone();
            link.learned_at = shared.now();
            return;
        }
        let is_older = |link: &Link| {
            link.announcement.endpoint == announcement.endpoint
                && link.announcement.history_from_ms < announcement.history_from_ms
        };
        let older: Vec<Incarnation> =
            links.iter().filter(|(_, link)| is_older(link)).map(|(id, _)| id.clone()).collect();
        let (tx, rx) = mpsc::unbounded_channel();
        let runs = run(shared.clone(), incarnation.clone(), announcement.address.clone(), rx);
        let announcement = announcement.clone();
        let link = Link { tx, task: tokio::spawn(runs), announcement, learned_at: shared.now() };
        links.insert(incarnation.clone(), link);
        older
    };
    for old in replaced {
        log::info!("agents: {incarnation} replaces {old}.");
        forget(shared, &old);
    }
}

/// Forgets agents that have been silent for as long as tasks are remembered.
pub(crate) fn forget_silent(shared: &Shared) {
    let ages = shared.lease.ages;
    let limit = ages.ageless_retention + ages.skew * 2;
    let now = shared.now();
    let silent: Vec<Incarnation> = {
        let links = lock(&shared.links);
        let is_silent = |link: &Link| now >= link.learned_at + limit;
        links.iter().filter(|(_, link)| is_silent(link)).map(|(id, _)| id.clone()).collect()
    };
    for id in silent {
        forget(shared, &id);
    }
}

fn forget(shared: &Shared, id: &Incarnation) {
    lock(&shared.links).remove(id);
    lock(&shared.dispatch).dispatcher.remove_agent(id);
    reports::on_agent_lost(shared, id);
}

/// Stops sending to endpoints that the log names as withdrawn.
pub(crate) fn follow_withdrawals(shared: &Arc<Shared>) {
    let known: Vec<_> = lock(&shared.links)
        .iter()
        .map(|(id, link)| (id.clone(), link.announcement.clone()))
        .collect();
    for (id, announcement) in known {
        set_capacity(shared, &id, &announcement);
    }
}

/// Tells whether an endpoint is withdrawn.
pub(crate) fn is_withdrawn(shared: &Shared, endpoint: &str) -> bool {
    let name = endpoint.parse::<EndpointName>();
    name.is_ok_and(|name| shared.read(|fold| fold.is_endpoint_withdrawn(&name)))
}

fn set_capacity(shared: &Shared, id: &Incarnation, announcement: &Announcement) {
    let capacity = Capacity {
        cores: announcement.cores,
        memory_mb: announcement.memory_mb,
        slots: announcement.slots,
    };
    let leaving = announcement.leaving || is_withdrawn(shared, name_of(id.as_str()));
    lock(&shared.dispatch).dispatcher.placement.set_agent(id, capacity, leaving);
}

async fn run(
    shared: Arc<Shared>,
    id: Incarnation,
    address: String,
    mut rx: mpsc::UnboundedReceiver<Message>,
) {
    let Some(channel) = net::channel(&address, shared.source) else {
        log::warn!("agents: {id} announced the unusable address {address:?}.");
        return;
    };
    let mut client = AgentClient::new(channel).max_decoding_message_size(net::MAX_MESSAGE_BYTES);
    loop {
        let (out, batches) = mpsc::channel(BATCHES_AHEAD);
        let hello = ToAgent { entry: shared.id.to_string(), ..empty_batch(&id) };
        // The receiver is still here.
        let _ = out.send(hello).await;
        let opened = client.dispatch(ReceiverStream::new(batches)).await;
        if let Ok(stream) = opened {
            // Orders that waited for the link are among those in doubt.
            while rx.try_recv().is_ok() {}
            let doubts = orders_in_doubt(&shared, &id);
            if doubts.is_empty() || forward_batch(&out, &id, doubts).await {
                lock(&shared.dispatch).dispatcher.placement.set_connected(&id, true);
                exchange(&shared, &id, &mut rx, out, stream.into_inner()).await;
                lock(&shared.dispatch).dispatcher.placement.set_connected(&id, false);
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Passes orders and reports on until the stream breaks.
async fn exchange(
    shared: &Arc<Shared>,
    id: &Incarnation,
    rx: &mut mpsc::UnboundedReceiver<Message>,
    out: mpsc::Sender<ToAgent>,
    mut stream: Streaming<FromAgent>,
) {
    let mut orders = Vec::new();
    loop {
        tokio::select! {
            count = rx.recv_many(&mut orders, BATCH_ORDERS) => {
                if count == 0 || !forward_batch(&out, id, std::mem::take(&mut orders)).await {
                    return;
                }
            }
            batch = stream.message() => match batch {
                Ok(Some(batch)) => reports::take_in(shared, id, &batch),
                Ok(None) | Err(_) => return,
            },
        }
    }
}

async fn forward_batch(
    out: &mpsc::Sender<ToAgent>,
    id: &Incarnation,
    orders: Vec<Message>,
) -> bool {
    let mut batch = empty_batch(id);
    for order in orders {
        match order {
            Message::Start(start) => batch.starts.push(*start),
            Message::TakeBack(task) => {
                batch.take_backs.push(cowslipwing_proto::TakeBack { task: Some(task) })
            }
            Message::Demand(credits) => batch.demand += credits,
            Message::Return(credits) => batch.returned_credits += credits,
        }
    }
    out.send(batch).await.is_ok()
}

fn empty_batch(id: &Incarnation) -> ToAgent {
    ToAgent { incarnation: id.to_string(), ..ToAgent::default() }
}

/// Returns the orders whose effect is unknown after a break; the agent takes each only once.
fn orders_in_doubt(shared: &Shared, id: &Incarnation) -> Vec<Message> {
    let mut orders = Vec::new();
    for range in shared.ranges() {
        let shard = shared.shard(range);
        let epoch: Epoch = shard.epoch;
        for (job, open) in shard.open.iter() {
            for index in open.job.sent_to(id) {
                let task = cowslipwing_types::TaskId { job: job.clone(), index };
                orders.push(if open.taken_back {
                    Message::TakeBack(task_id_to_proto(&task))
                } else {
                    Message::Start(Box::new(start_message(open, job, index, epoch.get())))
                });
            }
        }
    }
    orders
}
