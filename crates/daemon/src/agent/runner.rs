//! Runs tasks at the endpoint.

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

use super::state::{Shared, Waiting};
use crate::trace;

/// Time after which the runner looks again although nothing has woken it.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time past a task's deadline for which the endpoint may still answer.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// Time in which a connection to the endpoint must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two sweeps of what has been remembered for long enough.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs tasks until the agent stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let client = match build_client() {
        Ok(client) => client,
        Err(error) => {
            log::error!("agent: no client for the endpoint can be made: {error}.");
            return;
        }
    };
    let mut swept_at = shared.now();
    loop {
        start_due(&shared, &client);
        let now = shared.now();
        if now >= swept_at + SWEEP_INTERVAL {
            swept_at = now;
            shared.tasks().ledger.expire(now);
        }
        let _ = timeout(LOOK_INTERVAL, shared.work.notified()).await;
    }
}

fn build_client() -> volo_http::error::client::Result<Client> {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder.build()
}

fn start_due(shared: &Arc<Shared>, client: &Client) {
    let mut tasks = shared.tasks();
    let now = shared.now();
    tasks.drop_late(now, to_millis(shared.clock.wall()));
    while let Some(waiting) = tasks.next(shared.slots) {
        tokio::spawn(run_task(shared.clone(), client.clone(), waiting));
    }
    tasks.issue_credits(now);
}

async fn run_task(shared: Arc<Shared>, client: Client, waiting: Waiting) {
    let span = info_span!("run", task = %waiting.task);
    trace::set_remote_parent(&span, &waiting.start.traceparent);
    let started = shared.now();
    let left = time_left(&shared, &waiting);
    let call = call_endpoint(&shared, &client, &waiting, trace::traceparent_of(&span));
    let answered = timeout(left, call).instrument(span).await;
    let (stage, output) = answered.unwrap_or_else(|_| (Stage::Unknown, "no answer in time".into()));
    let now: Instant = shared.now();
    let run_time = now.duration_since(started);
    shared.metrics.count(counter_of(stage), 1);
    shared.metrics.time("agent.tasks.run", run_time);
    shared.tasks().finish(now, &waiting.task, Report { stage, output, run_time });
    shared.work.notify_one();
}

fn counter_of(stage: Stage) -> &'static str {
    match stage {
        Stage::Succeeded => "agent.tasks.succeeded",
        Stage::Errored => "agent.tasks.errored",
        _ => "agent.tasks.unknown",
    }
}

fn time_left(shared: &Shared, waiting: &Waiting) -> Duration {
    let deadline = from_millis(waiting.start.deadline_ms);
    deadline.duration_since(shared.clock.wall()).unwrap_or_default() + ANSWER_GRACE
}

/// Passes a task to the endpoint. Without an answer, whether it ran is unknown.
async fn call_endpoint(
    shared: &Shared,
    client: &Client,
    waiting: &Waiting,
    traceparent: String,
) -> (Stage, CompactString) {
    let body = waiting.start.work.as_ref().map(|work| work.body.clone()).unwrap_or_default();
    let sent = client
        .post(format!("http://{}/run", shared.target))
        .address(Address::from(shared.target))
        .header("cowslipwing-task", waiting.task.to_string())
        .header("traceparent", traceparent)
        .body(Body::from(body))
        .send()
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => return (Stage::Unknown, format!("no answer: {error}").into()),
    };
    let succeeded = response.status().is_success();
    match read_answer(shared, response.into_body()).await {
        Ok(output) if succeeded => (Stage::Succeeded, output),
        Ok(output) => (Stage::Errored, output),
        Err(detail) => (Stage::Unknown, detail),
    }
}

async fn read_answer(shared: &Shared, body: Body) -> Result<CompactString, CompactString> {
    let mut stream = BodyDataStream::new(body);
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|error| format!("the answer broke off: {error}"))?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() as u64 > shared.answer_limit.bytes() {
            return Err(format!("the answer has more than {}", shared.answer_limit).into());
        }
    }
    CompactString::from_utf8(bytes).map_err(|_| "the answer is not text".into())
}
