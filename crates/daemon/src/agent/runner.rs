//! Runs queued tasks at the endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use cowslipwing_claims::{Report, Stage};
use cowslipwing_types::{from_millis, to_millis};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use tokio::time::timeout;
use tracing::{Instrument, info_span};
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};

use super::state::{QueuedTask, Shared};
use crate::trace;

/// Maximum time between checks of the queue, since deadlines and credits expire without a wakeup.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a task's deadline during which the endpoint's answer is still accepted.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(1);
/// Time after which an attempt to connect to the endpoint fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between removals of expired tasks from the ledger.
const LEDGER_EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Runs tasks until the agent stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let client = match build_client() {
        Ok(client) => client,
        Err(error) => {
            log::error!("agent: cannot create the HTTP client for the endpoint: {error}.");
            return;
        }
    };
    let mut last_expiry = shared.now();
    loop {
        start_queued_tasks(&shared, &client);
        let now = shared.now();
        if now >= last_expiry + LEDGER_EXPIRY_INTERVAL {
            last_expiry = now;
            shared.tasks().ledger.expire(now);
        }
        let _ = timeout(MAX_POLL_INTERVAL, shared.wakeup.notified()).await;
    }
}

fn build_client() -> volo_http::error::client::Result<Client> {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder.build()
}

/// Returns expired tasks to their entries, starts queued tasks in free slots and issues credits.
fn start_queued_tasks(shared: &Arc<Shared>, client: &Client) {
    let mut tasks = shared.tasks();
    let now = shared.now();
    tasks.return_expired(now, to_millis(shared.clock.wall()));
    while let Some(queued) = tasks.start_next(shared.slots) {
        tokio::spawn(run_task(shared.clone(), client.clone(), queued));
    }
    tasks.issue_credits(now);
}

/// Runs one task at the endpoint and records its final report.
async fn run_task(shared: Arc<Shared>, client: Client, queued: QueuedTask) {
    let span = info_span!("run", task = %queued.task);
    trace::set_remote_parent(&span, &queued.start.traceparent);
    let started_at = shared.now();
    let time_limit = answer_timeout(&shared, &queued);
    let call = call_endpoint(&shared, &client, &queued, trace::traceparent_of(&span));
    let result = timeout(time_limit, call).instrument(span).await;
    let (stage, output) =
        result.unwrap_or_else(|_| (Stage::Unknown, "the endpoint did not answer in time".into()));
    let now: Instant = shared.now();
    let run_time = now.duration_since(started_at);
    shared.metrics.count(counter_name(stage), 1);
    shared.metrics.time("agent.tasks.run", run_time);
    shared.tasks().finish(now, &queued.task, Report { stage, output, run_time });
    shared.wakeup.notify_one();
}

fn counter_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Succeeded => "agent.tasks.succeeded",
        Stage::Errored => "agent.tasks.errored",
        _ => "agent.tasks.unknown",
    }
}

/// Returns the time for which to wait for the endpoint's answer: the time until the task's deadline
/// plus the grace period for late answers.
fn answer_timeout(shared: &Shared, queued: &QueuedTask) -> Duration {
    let deadline = from_millis(queued.start.deadline_ms);
    deadline.duration_since(shared.clock.wall()).unwrap_or_default() + LATE_ANSWER_GRACE
}

/// Sends a task to the endpoint and returns its final stage with the endpoint's output.
///
/// If the endpoint does not answer completely, the task may or may not have run. The stage is then
/// [`Stage::Unknown`], and a description of the error takes the place of the output.
async fn call_endpoint(
    shared: &Shared,
    client: &Client,
    queued: &QueuedTask,
    traceparent: String,
) -> (Stage, CompactString) {
    let body = queued.start.work.as_ref().map(|work| work.body.clone()).unwrap_or_default();
    let result = client
        .post(format!("http://{}/run", shared.target))
        .address(Address::from(shared.target))
        .header("cowslipwing-task", queued.task.to_string())
        .header("traceparent", traceparent)
        .body(Body::from(body))
        .send()
        .await;
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            return (Stage::Unknown, format!("the endpoint did not answer: {error}").into());
        }
    };
    let succeeded = response.status().is_success();
    match read_answer(shared, response.into_body()).await {
        Ok(output) if succeeded => (Stage::Succeeded, output),
        Ok(output) => (Stage::Errored, output),
        Err(detail) => (Stage::Unknown, detail),
    }
}

/// Reads the endpoint's answer as text of limited size.
///
/// # Errors
///
/// Returns a description of the error if the answer is incomplete, too large or not UTF-8.
async fn read_answer(shared: &Shared, body: Body) -> Result<CompactString, CompactString> {
    let mut stream = BodyDataStream::new(body);
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk =
            chunk.map_err(|error| format!("the connection failed during the answer: {error}"))?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() as u64 > shared.answer_limit.bytes() {
            return Err(format!("the answer is larger than {}", shared.answer_limit).into());
        }
    }
    CompactString::from_utf8(bytes).map_err(|_| "the answer is not valid UTF-8".into())
}
