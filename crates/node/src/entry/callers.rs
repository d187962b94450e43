//! Serves callers' requests and the platform's readiness probes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cowslipwing_dispatch::{Answer, JobSpec, RequestId, StepSpec};
use cowslipwing_platform::{
    CallerRequest, Reply, RequestError, RequestHead, check_head, check_task_size, decode_request,
    encode_answer, encode_error,
};
use cowslipwing_server::{BodyError, ClientConnection, Held, Listener, Refusal, Stage, read_body};
use cowslipwing_types::ByteSize;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::{Instrument, info_span};

use super::peer_cancels::cancel_at_peers;
use super::shared::Shared;
use crate::http::Body;

/// Serves callers' requests until the entry is closing.
pub(super) async fn serve(shared: Arc<Shared>, listener: Listener, stage: watch::Receiver<Stage>) {
    let handle = move |req| {
        let in_flight = InFlightGuard::new(shared.requests_in_flight.clone());
        let served = serve_request(shared.clone(), req);
        async move {
            let response = served.await;
            drop(in_flight);
            response
        }
    };
    listener.serve_http1(stage, handle).await;
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard {
    requests_in_flight: Arc<AtomicUsize>,
}

impl InFlightGuard {
    fn new(requests_in_flight: Arc<AtomicUsize>) -> Self {
        requests_in_flight.fetch_add(1, Ordering::Relaxed);
        Self { requests_in_flight }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves readiness probes until the process ends.
pub(super) async fn serve_ready(
    shared: Arc<Shared>,
    listener: Listener,
    stage: watch::Receiver<Stage>,
) {
    // Probes must be answered while the entry is closing too.
    let always_serving = watch::Sender::new(Stage::Serving);
    let handle = move |_req: Request<Incoming>| {
        let ready = is_ready(&shared, *stage.borrow());
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        async move { empty_response(status) }
    };
    listener.serve_http1(always_serving.subscribe(), handle).await;
}

/// Returns whether the load balancer should send requests to this entry.
fn is_ready(shared: &Shared, stage: Stage) -> bool {
    let is_configured = shared.route_table().version() > 0;
    let usable_endpoints = shared.scheduler().usable_endpoints(shared.now());
    stage == Stage::Serving && is_configured && usable_endpoints > 0
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}

async fn serve_request(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let arrived_at = shared.now();
    let reply = match read_request(&shared, req).await {
        // A job counts as held until its answer.
        Ok((request, _held)) => {
            let span = info_span!("serve");
            handle_request(&shared, request, arrived_at).instrument(span).await
        }
        Err(error) => {
            shared.metrics.count("request_rejected");
            // The listener reports how many requests it refused in each interval.
            if !matches!(error, RequestError::NoRoom | RequestError::BodyTimedOut) {
                let version = shared.route_table().version();
                log::info!("entry: event=rejected version={version} error=\"{error}\"");
            }
            encode_error(&error)
        }
    };
    to_response(reply)
}

/// Reads and decodes a request. A request that its head decides is answered without its body.
async fn read_request(
    shared: &Shared,
    req: Request<Incoming>,
) -> Result<(CallerRequest, Option<Held>), RequestError> {
    let (parts, body) = req.into_parts();
    let head =
        RequestHead { method: &parts.method, path: parts.uri.path(), headers: &parts.headers };
    let table = shared.route_table();
    let Some(caller_timeout) = check_head(&table, head)? else {
        return Ok((decode_request(&table, head, &[])?, None));
    };
    let connection = parts.extensions.get::<Arc<ClientConnection>>();
    let connection = connection.expect("the listener adds the connection to each request");
    let read = read_body(connection, body, table.max_body_bytes());
    // Nobody waits for the answer to a body that arrives later.
    let read = timeout(caller_timeout, read).await.map_err(|_| RequestError::BodyTimedOut)?;
    let body = read.map_err(body_error)?;
    let request = decode_request(&shared.route_table(), head, body.bytes())?;
    let CallerRequest::Submit(spec) = &request else {
        return Ok((request, None));
    };
    check_task_size(spec, shared.caller_limits.task_size())?;
    let held = body.into_held(job_memory(spec)).ok_or(RequestError::NoRoom)?;
    Ok((request, Some(held)))
}

/// Returns the memory that an open job takes up, which grows with its tasks.
fn job_memory(spec: &JobSpec) -> ByteSize {
    /// Memory of a task in the scheduler, in its order and in the records of its run.
    const TASK_BYTES: usize = 512;
    let steps: usize = spec.steps.iter().map(step_bytes).sum();
    ByteSize::new((spec.payload.len() + steps + spec.tasks() * TASK_BYTES) as u64)
}

fn step_bytes(step: &StepSpec) -> usize {
    let names = [&step.required_label, &step.data_rack];
    let names: usize = names.into_iter().flatten().map(|name| name.len()).sum();
    size_of::<StepSpec>() + size_of_val(step.depends_on.as_slice()) + names
}

fn body_error(error: BodyError) -> RequestError {
    match error {
        BodyError::TooLarge { max_bytes } => RequestError::BodyTooLarge { max_bytes },
        BodyError::Incomplete => RequestError::BodyIncomplete,
        BodyError::Refused { refusal: Refusal::NoRoom } => RequestError::NoRoom,
        BodyError::Refused { refusal: Refusal::TimedOut } => RequestError::BodyTimedOut,
    }
}

async fn handle_request(
    shared: &Arc<Shared>,
    request: CallerRequest,
    arrived_at: Duration,
) -> Reply {
    match request {
        CallerRequest::Submit(spec) => submit(shared, spec, arrived_at).await,
        CallerRequest::GetState(id) if shared.scheduler().is_open(&id) => Reply::running(),
        CallerRequest::GetState(_) => Reply::unknown_job(),
        CallerRequest::Cancel(id) => {
            if cancel(shared, &id).await {
                Reply::cancelled()
            } else {
                Reply::unknown_job()
            }
        }
        CallerRequest::CountPending(queue) => {
            Reply::pending(shared.scheduler().unstarted_jobs(&queue))
        }
    }
}

/// Cancels a job, here or at another entry; returns whether an entry knows it as open or cancelled.
async fn cancel(shared: &Shared, id: &RequestId) -> bool {
    // The reply to an earlier request of the caller may have been lost.
    let ended = shared.answer_of_ended(id);
    if shared.cancel(id) {
        shared.cancel_notices.add(id.clone());
        return true;
    }
    match ended {
        Some(answer) => answer == Answer::Cancelled,
        None => {
            let is_found = cancel_at_peers(shared, std::slice::from_ref(id)).await;
            shared.metrics.count("cancel_passed_on");
            log::info!("entry: event=cancel-passed-on job={id} found={is_found}");
            is_found
        }
    }
}

/// A guard that reports a disconnected caller if the request is dropped before the answer. The job
/// is cancelled if no other caller waits for it.
struct CancelOnDisconnect {
    shared: Arc<Shared>,
    id: Option<RequestId>,
}

impl Drop for CancelOnDisconnect {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.shared.on_caller_left(&id);
        }
    }
}

async fn submit(shared: &Arc<Shared>, spec: JobSpec, arrived_at: Duration) -> Reply {
    let id = spec.id.clone();
    if let Some(answer) = shared.answer_of_ended(&id) {
        shared.metrics.count("request_copy");
        log::info!("entry: event=copy-answered job={id} answer={answer:?}");
        return encode_answer(&answer);
    }
    let queue = spec.queue.clone();
    let version = shared.route_table().version();
    let (rx, is_new) = shared.register_waiter(&id);
    let mut guard = CancelOnDisconnect { shared: shared.clone(), id: Some(id.clone()) };
    let mut rx = std::pin::pin!(rx);
    if is_new {
        shared.with_scheduler(|scheduler, now| scheduler.submit(now, spec));
    }
    let Ok(answer) = rx.as_mut().await else {
        // The sender was dropped without an answer, which is reported as a cancelled job.
        guard.id = None;
        return Reply::cancelled();
    };
    guard.id = None;
    let elapsed = shared.now().saturating_sub(arrived_at);
    shared.metrics.observe(metric_name(&answer), elapsed);
    log::info!(
        "entry: event=answered job={id} queue={queue} version={version} answer={answer:?} ms={}",
        elapsed.as_millis()
    );
    encode_answer(&answer)
}

fn metric_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Completed => "job_completed",
        Answer::Failed => "job_failed",
        Answer::Cancelled => "job_cancelled",
        Answer::Refused { .. } => "job_refused",
        Answer::GaveUp { .. } => "job_given_up",
    }
}

fn to_response(reply: Reply) -> Response<Body> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    if let Some(seconds) = reply.retry_after_s {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    response
}
