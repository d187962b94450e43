//! The streams to the agents: commands go to the agent, credits and reports come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cowslipwing_policy::Capacity;
use cowslipwing_proto::agent_client::AgentClient;
use cowslipwing_proto::{Announcement, FromAgent, StartTask, TaskId, ToAgent};
use cowslipwing_types::{EndpointName, Epoch, Incarnation, Site};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use super::dispatch::start_message;
use super::reports;
use super::shared::{Shared, lock, name_of};
use crate::convert::task_id_to_proto;
use crate::net;

/// Time between attempts to reach an agent.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of commands in one batch.
const MAX_COMMANDS_PER_BATCH: usize = 256;
/// Number of batches that may wait for the transport.
const BATCH_QUEUE_LENGTH: usize = 16;

/// A command to an agent.
#[derive(Clone, Debug)]
pub(crate) enum AgentCommand {
    /// Starts a task.
    Start(Box<StartTask>),
    /// Takes a task back, if it has not started.
    TakeBack(TaskId),
    /// Asks for this number of credits.
    RequestCredits(u32),
    /// Returns this number of credits.
    ReturnCredits(u32),
}

/// The link to one incarnation of an agent. Dropping it closes the stream.
pub(crate) struct AgentLink {
    tx: mpsc::UnboundedSender<AgentCommand>,
    task: JoinHandle<()>,
    pub(crate) announcement: Announcement,
    last_announced_at: Instant,
}

impl Drop for AgentLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends a command to an agent. The command is dropped if there is no link to the agent.
pub(crate) fn send(shared: &Shared, agent: &Incarnation, command: AgentCommand) {
    if let Some(link) = lock(&shared.links).get(agent) {
        // A broken link drops its commands; the next stream sends the unconfirmed ones again.
        let _ = link.tx.send(command);
    }
}

/// Handles an announcement: updates the agent's capacity, and opens a link to a new incarnation.
///
/// A new incarnation supersedes those of the same endpoint whose history begins earlier.
pub(crate) fn on_announcement(shared: &Arc<Shared>, announcement: &Announcement) {
    let Ok(incarnation) = announcement.incarnation.parse::<Incarnation>() else {
        return;
    };
    set_capacity(shared, &incarnation, announcement);
    let superseded = {
        let mut links = lock(&shared.links);
        if let Some(link) = links.get_mut(&incarnation) {
            link.announcement = announcement.clone();
            link.last_announced_at = shared.now();
            return;
        }
        let is_older = |link: &AgentLink| {
            link.announcement.endpoint == announcement.endpoint
                && link.announcement.history_from_ms < announcement.history_from_ms
        };
        let older: Vec<Incarnation> =
            links.iter().filter(|(_, link)| is_older(link)).map(|(id, _)| id.clone()).collect();
        let (tx, rx) = mpsc::unbounded_channel();
        let connection = run(shared.clone(), incarnation.clone(), announcement.address.clone(), rx);
        let announcement = announcement.clone();
        let link = AgentLink {
            tx,
            task: tokio::spawn(connection),
            announcement,
            last_announced_at: shared.now(),
        };
        links.insert(incarnation.clone(), link);
        older
    };
    for old in superseded {
        log::info!("agents: {incarnation} replaces {old}.");
        remove_agent(shared, &old);
    }
}

/// Removes agents that have been silent for as long as agents remember the tasks of keys without a
/// creation time.
pub(crate) fn remove_silent_agents(shared: &Shared) {
    let ages = shared.lease.ages;
    let limit = ages.ageless_retention + ages.skew * 2;
    let now = shared.now();
    let silent: Vec<Incarnation> = {
        let links = lock(&shared.links);
        let is_silent = |link: &AgentLink| now >= link.last_announced_at + limit;
        links.iter().filter(|(_, link)| is_silent(link)).map(|(id, _)| id.clone()).collect()
    };
    for id in silent {
        remove_agent(shared, &id);
    }
}

/// Closes the link to an agent; the tasks that were sent to it may have run.
fn remove_agent(shared: &Shared, id: &Incarnation) {
    lock(&shared.links).remove(id);
    lock(&shared.dispatch).dispatcher.remove_agent(id);
    reports::on_agent_lost(shared, id);
}

/// Updates which agents are leaving, after endpoints or data centres were withdrawn or returned.
pub(crate) fn update_withdrawals(shared: &Arc<Shared>) {
    let announcements: Vec<_> = lock(&shared.links)
        .iter()
        .map(|(id, link)| (id.clone(), link.announcement.clone()))
        .collect();
    for (id, announcement) in announcements {
        set_capacity(shared, &id, &announcement);
    }
}

/// Returns whether an operator has withdrawn an endpoint or evacuated its data centre.
pub(crate) fn is_withdrawn(shared: &Shared, endpoint: &str, site: &str) -> bool {
    let (name, site) = (endpoint.parse::<EndpointName>(), site.parse::<Site>());
    shared.with_fold(|fold| {
        name.is_ok_and(|name| fold.is_endpoint_withdrawn(&name))
            || site.is_ok_and(|site| fold.is_site_evacuated(&site))
    })
}

/// Updates an agent's capacity and whether it is leaving.
fn set_capacity(shared: &Shared, id: &Incarnation, announcement: &Announcement) {
    let capacity = Capacity {
        cores: announcement.cores,
        memory_mb: announcement.memory_mb,
        slots: announcement.slots,
    };
    let leaving =
        announcement.leaving || is_withdrawn(shared, name_of(id.as_str()), &announcement.site);
    lock(&shared.dispatch).dispatcher.placement.set_agent(id, capacity, leaving);
}

/// Connects to an agent, and reconnects whenever the stream breaks.
async fn run(
    shared: Arc<Shared>,
    id: Incarnation,
    address: String,
    mut rx: mpsc::UnboundedReceiver<AgentCommand>,
) {
    let Some(channel) = net::channel(&address, shared.source_ip) else {
        log::warn!("agents: {id} announced the invalid address {address:?}; no link is opened.");
        return;
    };
    let mut client = AgentClient::new(channel).max_decoding_message_size(net::MAX_MESSAGE_BYTES);
    loop {
        let (out, batches) = mpsc::channel(BATCH_QUEUE_LENGTH);
        let hello = ToAgent { entry: shared.id.to_string(), ..empty_batch(&id) };
        // The receiver is still in scope.
        let _ = out.send(hello).await;
        let response = client.dispatch(ReceiverStream::new(batches)).await;
        if let Ok(stream) = response {
            // Drop the commands that waited for the stream. Starts and take-backs are among the
            // unconfirmed ones; credits are valid only for the stream that granted them, and the
            // dispatch loop repeats unmet requests for them.
            while rx.try_recv().is_ok() {}
            let unconfirmed = unconfirmed_commands(&shared, &id);
            if unconfirmed.is_empty() || send_batch(&out, &id, unconfirmed).await {
                lock(&shared.dispatch).dispatcher.placement.set_connected(&id, true);
                exchange(&shared, &id, &mut rx, out, stream.into_inner()).await;
                lock(&shared.dispatch).dispatcher.placement.set_connected(&id, false);
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends commands and handles reports until the stream breaks.
async fn exchange(
    shared: &Arc<Shared>,
    id: &Incarnation,
    rx: &mut mpsc::UnboundedReceiver<AgentCommand>,
    out: mpsc::Sender<ToAgent>,
    mut stream: Streaming<FromAgent>,
) {
    let mut commands = Vec::new();
    loop {
        tokio::select! {
            count = rx.recv_many(&mut commands, MAX_COMMANDS_PER_BATCH) => {
                if count == 0 || !send_batch(&out, id, std::mem::take(&mut commands)).await {
                    return;
                }
            }
            batch = stream.message() => match batch {
                Ok(Some(batch)) => reports::on_batch(shared, id, &batch),
                Ok(None) | Err(_) => return,
            },
        }
    }
}

/// Sends commands as one batch, and returns whether the stream is still open.
async fn send_batch(
    out: &mpsc::Sender<ToAgent>,
    id: &Incarnation,
    commands: Vec<AgentCommand>,
) -> bool {
    let mut batch = empty_batch(id);
    for command in commands {
        match command {
            AgentCommand::Start(start) => batch.starts.push(*start),
            AgentCommand::TakeBack(task) => {
                batch.take_backs.push(cowslipwing_proto::TakeBack { task: Some(task) })
            }
            AgentCommand::RequestCredits(credits) => batch.demand += credits,
            AgentCommand::ReturnCredits(credits) => batch.returned_credits += credits,
        }
    }
    out.send(batch).await.is_ok()
}

fn empty_batch(id: &Incarnation) -> ToAgent {
    ToAgent { incarnation: id.to_string(), ..ToAgent::default() }
}

/// Returns start and take-back commands for the tasks that were sent to an agent and have not
/// ended.
///
/// After the stream broke, it is unknown whether the agent received these commands. Sending them
/// again is safe, because the agent applies each only once.
fn unconfirmed_commands(shared: &Shared, id: &Incarnation) -> Vec<AgentCommand> {
    let mut commands = Vec::new();
    for range in shared.ranges() {
        let shard = shared.shard(range);
        let epoch: Epoch = shard.epoch;
        for (job, open) in shard.open_jobs.iter() {
            for index in open.job.sent_to(id) {
                let task = cowslipwing_types::TaskId { job: job.clone(), index };
                commands.push(if open.take_back_sent {
                    AgentCommand::TakeBack(task_id_to_proto(&task))
                } else {
                    AgentCommand::Start(Box::new(start_message(open, job, index, epoch.get())))
                });
            }
        }
    }
    commands
}
