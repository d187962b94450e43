//! The gRPC interface for entries.

use std::pin::Pin;
use std::sync::Arc;

use cowslipwing_proto::agent_server::{Agent, AgentServer};
use cowslipwing_proto::{FromAgent, SurveyReply, SurveyRequest, ToAgent};
use cowslipwing_server::Listener;
use cowslipwing_types::EntryId;
use futures::{Stream, StreamExt};
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::state::Shared;
use crate::convert::{held_task_to_proto, range_epochs_from_proto, task_id_from_proto};
use crate::net;

/// Maximum number of pending batches that are merged into one.
const MAX_MERGED_BATCHES: usize = 256;

/// Serves calls until the agent stops.
pub(crate) async fn serve(shared: Arc<Shared>, listener: Listener) {
    let service = AgentServer::new(AgentService { shared })
        .max_decoding_message_size(net::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(net::MAX_MESSAGE_BYTES);
    listener.serve_http2(service).await;
}

struct AgentService {
    shared: Arc<Shared>,
}

#[tonic::async_trait]
impl Agent for AgentService {
    type DispatchStream = Pin<Box<dyn Stream<Item = Result<FromAgent, Status>> + Send>>;

    /// Opens the stream of an entry. The first batch only names the entry and the agent
    /// incarnation that it addresses.
    async fn dispatch(
        &self,
        req: Request<Streaming<ToAgent>>,
    ) -> Result<Response<Self::DispatchStream>, Status> {
        let mut batches = req.into_inner();
        let first = batches
            .message()
            .await?
            .ok_or_else(|| Status::invalid_argument("the stream ended before its first batch"))?;
        if first.incarnation != self.shared.incarnation.as_str() {
            return Err(Status::failed_precondition(
                "the stream is addressed to another agent incarnation",
            ));
        }
        let entry: EntryId = first.entry.parse().map_err(|_| {
            Status::invalid_argument("the entry in the first batch is not a valid entry id")
        })?;
        let (tx, rx) = mpsc::unbounded_channel();
        let generation = self.shared.tasks().subscribe(&entry, tx);
        tokio::spawn(handle_stream(self.shared.clone(), entry, generation, batches));
        let merged =
            UnboundedReceiverStream::new(rx).ready_chunks(MAX_MERGED_BATCHES).map(merge_batches);
        Ok(Response::new(Box::pin(merged)))
    }

    /// Refuses older owners of the ranges from now on and returns the tasks held in the ranges.
    ///
    /// A range for which a newer owner is known is listed as fenced instead.
    async fn survey(&self, req: Request<SurveyRequest>) -> Result<Response<SurveyReply>, Status> {
        let req = req.into_inner();
        let mut reply = SurveyReply {
            incarnation: self.shared.incarnation.to_string(),
            history_from_ms: self.shared.announcement.history_from_ms,
            ..SurveyReply::default()
        };
        if req.incarnation != self.shared.incarnation.as_str() {
            return Ok(Response::new(reply));
        }
        let mut tasks = self.shared.tasks();
        for (range, epoch) in range_epochs_from_proto(&req.ranges) {
            match tasks.ledger.survey(range, epoch) {
                Ok(held) => {
                    reply.holdings.extend(held.map(|(task, held)| held_task_to_proto(task, held)))
                }
                Err(_) => reply.fenced.push(range.get()),
            }
        }
        Ok(Response::new(reply))
    }
}

/// Merges pending batches into one.
fn merge_batches(pending: Vec<FromAgent>) -> Result<FromAgent, Status> {
    let mut merged = FromAgent::default();
    for batch in pending {
        merged.incarnation = batch.incarnation;
        merged.credits += batch.credits;
        merged.reports.extend(batch.reports);
    }
    Ok(merged)
}

/// Handles the batches of an entry until the stream ends.
///
/// Batches that are addressed to another incarnation are ignored.
async fn handle_stream(
    shared: Arc<Shared>,
    entry: EntryId,
    generation: u64,
    mut batches: Streaming<ToAgent>,
) {
    while let Ok(Some(batch)) = batches.message().await {
        if batch.incarnation == shared.incarnation.as_str() {
            on_batch(&shared, &entry, batch);
        }
    }
    shared.tasks().unsubscribe(&entry, generation);
}

fn on_batch(shared: &Shared, entry: &EntryId, batch: ToAgent) {
    let now = shared.now();
    let mut tasks = shared.tasks();
    if batch.returned_credits > 0 {
        tasks.issuer.on_returned(entry, batch.returned_credits);
    }
    for start in batch.starts {
        if let Some(task) = start.task.as_ref().and_then(task_id_from_proto) {
            tasks.on_start(now, entry, task, start);
        }
    }
    for task in batch
        .take_backs
        .iter()
        .filter_map(|request| request.task.as_ref().and_then(task_id_from_proto))
    {
        tasks.on_take_back(now, entry, &task);
    }
    if batch.demand > 0 {
        tasks.issuer.set_demand(now, entry, batch.demand);
    }
    tasks.issue_credits(now);
    drop(tasks);
    shared.wakeup.notify_one();
}
