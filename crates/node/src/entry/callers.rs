//! Serves callers, and the platform's questions whether the entry is ready.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use cowslipwing_dispatch::{Answer, JobSpec, RequestId};
use cowslipwing_platform::{
    CallerRequest, Reply, RequestError, RequestHead, decode_request, encode_answer, encode_error,
};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::{Instrument, info_span};

use super::shared::Shared;
use crate::http::{self, Body, Stage};

/// Serves callers until the entry is closing.
pub(super) async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
) {
    let requests = shared.requests.clone();
    let handle = move |req| serve_request(shared.clone(), req);
    http::serve(listener, stage, requests, handle).await;
}

/// Answers whether the entry is ready, until the process ends.
pub(super) async fn serve_ready(
    shared: Arc<Shared>,
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
) {
    // Answers must go on while the entry is closing.
    let always = watch::Sender::new(Stage::Serving);
    let handle = move |_req: Request<Incoming>| {
        let ready = is_ready(&shared, *stage.borrow());
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        async move { empty(status) }
    };
    http::serve(listener, always.subscribe(), Arc::new(AtomicUsize::new(0)), handle).await;
}

fn is_ready(shared: &Shared, stage: Stage) -> bool {
    let configured = shared.table().version() > 0;
    let endpoints = shared.scheduler().usable_endpoints(shared.now());
    stage == Stage::Serving && configured && endpoints > 0
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}

async fn serve_request(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let arrived = shared.now();
    let reply = match read_call(&shared, req).await {
        Ok(call) => {
            let span = info_span!("serve");
            serve_call(&shared, call, arrived).instrument(span).await
        }
        Err(error) => {
            shared.metrics.count("request_rejected");
            let version = shared.table().version();
            log::info!("entry: event=rejected version={version} error=\"{error}\"");
            encode_error(&error)
        }
    };
    response_of(reply)
}

async fn read_call(shared: &Shared, req: Request<Incoming>) -> Result<CallerRequest, RequestError> {
    let (parts, body) = req.into_parts();
    let max_bytes = shared.table().max_body_bytes();
    let body =
        http::read_body(body, max_bytes).await.ok_or(RequestError::BodyTooLarge { max_bytes })?;
    let head =
        RequestHead { method: &parts.method, path: parts.uri.path(), headers: &parts.headers };
    decode_request(&shared.table(), head, &body)
}

async fn serve_call(shared: &Arc<Shared>, call: CallerRequest, arrived: Duration) -> Reply {
    match call {
        CallerRequest::Submit(spec) => submit(shared, spec, arrived).await,
        CallerRequest::GetState(id) if shared.scheduler().is_open(&id) => Reply::running(),
        CallerRequest::GetState(_) => Reply::unknown_job(),
        CallerRequest::Cancel(id) => {
            let open = shared.decide(|scheduler, _| scheduler.cancel(&id));
            if open { Reply::cancelled() } else { Reply::unknown_job() }
        }
        CallerRequest::CountPending(queue) => {
            Reply::pending(shared.scheduler().unstarted_jobs(&queue))
        }
    }
}

/// Ends a job whose caller leaves before the answer.
struct Waiting {
    shared: Arc<Shared>,
    id: Option<RequestId>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.shared.on_left(&id);
        }
    }
}

async fn submit(shared: &Arc<Shared>, spec: JobSpec, arrived: Duration) -> Reply {
    let id = spec.id.clone();
    let queue = spec.queue.clone();
    let version = shared.table().version();
    let (rx, is_new) = shared.wait_for(&id);
    let mut waiting = Waiting { shared: shared.clone(), id: Some(id.clone()) };
    let mut rx = std::pin::pin!(rx);
    if is_new {
        shared.decide(|scheduler, now| scheduler.submit(now, spec));
    }
    let Ok(answer) = rx.as_mut().await else {
        // The job was cancelled by another request.
        waiting.id = None;
        return Reply::cancelled();
    };
    waiting.id = None;
    let took = shared.now().saturating_sub(arrived);
    shared.metrics.observe(metric_of(&answer), took);
    log::info!(
        "entry: event=answered job={id} queue={queue} version={version} answer={answer:?} ms={}",
        took.as_millis()
    );
    encode_answer(&answer)
}

fn metric_of(answer: &Answer) -> &'static str {
    match answer {
        Answer::Completed => "job_completed",
        Answer::Failed => "job_failed",
        Answer::Refused { .. } => "job_refused",
        Answer::GaveUp { .. } => "job_given_up",
    }
}

fn response_of(reply: Reply) -> Response<Body> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    if let Some(seconds) = reply.retry_after_s {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    response
}
