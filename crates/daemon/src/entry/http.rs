//! The HTTP interface for callers and operators.

use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use cowslipwing_proto::{Contract, JobAnswer, JobState, JobSubmission, Problem};
use cowslipwing_server::{BodyError, ClientConnection, HeldBody, Listener, Stage, read_body};
use cowslipwing_types::{ByteSize, JobId, JobKey, Version, from_millis, to_millis};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tracing::{Instrument, Span, info_span};
use volo::net::Address;
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::http::{HeaderMap, StatusCode, Uri};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};
use volo_http::utils::Extension;

use super::forward::{JobRequest, route};
use super::shared::Shared;
use super::submission;
use super::{admin, log_follower};
use crate::api_error::ApiError;
use crate::trace;

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const IDEMPOTENCY_KEY_CREATED: &str = "idempotency-key-created";
const TRACEPARENT: &str = "traceparent";
/// Stands for the address of a caller.
const UNKNOWN_CALLER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// Maximum number of attempts to generate a key in a range that this entry serves.
const MAX_KEY_ATTEMPTS: u32 = 4096;

type State = Extension<Arc<Shared>>;
type ProblemResult<T> = Result<T, Problem>;

/// Serves requests until the entry stops.
pub(crate) async fn serve(shared: Arc<Shared>, listener: Listener, stage: watch::Receiver<Stage>) {
    let router = Router::<Body, Infallible>::new()
        .route("/v1/jobs", post(submit))
        .route("/v1/jobs/{customer}/{key}", get(show).delete(withdraw))
        .route("/v1/contracts", get(list_contracts))
        .route("/v1/contracts/{customer}", get(show_contract).put(change_contract))
        .route("/v1/endpoints", get(list_endpoints))
        .route("/v1/endpoints/{endpoint}/withdraw", post(withdraw_endpoint))
        .route("/v1/endpoints/{endpoint}/return", post(return_endpoint))
        .route("/v1/sites/{site}/evacuate", post(evacuate_site))
        .route("/v1/sites/{site}/return", post(return_site))
        .route("/v1/batches/{customer}/{batch}/withdraw", post(withdraw_batch))
        .route("/v1/status", get(status))
        .route("/health", get(health))
        .route("/ready", get(ready))
        .layer(Extension(shared));
    let router = Arc::new(router);
    let handle = move |req: hyper::Request<Incoming>| {
        let router = router.clone();
        async move {
            // Handlers do not use the caller's address.
            let mut cx = ServerContext::new(Address::from(UNKNOWN_CALLER));
            router.call(&mut cx, req.map(Body::from_incoming)).await.into_response()
        }
    };
    listener.serve_http1(stage, handle).await;
}

async fn submit(Extension(shared): State, req: Request) -> Response {
    let span = info_span!("submit");
    let headers = req.headers().clone();
    trace::set_remote_parent(&span, header(&headers, TRACEPARENT).unwrap_or_default());
    let served = async {
        // A submission that is still arriving does not count as in flight.
        let read = read_json::<JobSubmission>(shared.limits.body, req).await;
        let (submission, _body) = read.map_err(|error| error.problem())?;
        let _in_flight = shared.begin_limited_request().map_err(|error| error.problem())?;
        let checked = check_submission(&shared, &headers, submission).await;
        let checked = checked.map_err(|error| error.problem())?;
        route(&shared, JobRequest::Submit(Box::new(checked))).await
    };
    let answer = served.instrument(span).await;
    shared.metrics.count("entry.submissions", 1);
    job_response(answer)
}

/// Checks a submission and its idempotency key, which is generated if the caller sends none.
async fn check_submission(
    shared: &Shared,
    headers: &HeaderMap,
    submission: JobSubmission,
) -> Result<submission::CheckedSubmission, ApiError> {
    let customer = admin::parse_customer(&submission.customer)?;
    let key = match header(headers, IDEMPOTENCY_KEY) {
        Some(text) => text.parse()?,
        None => generate_key(shared, &customer),
    };
    let made_at = match header(headers, IDEMPOTENCY_KEY_CREATED) {
        Some(text) => Some(
            humantime::parse_rfc3339(text)
                .map_err(|_| ApiError::BadDeadline { given: text.to_owned() })?,
        ),
        None => None,
    };
    log_follower::resolve_customer(shared, &customer).await?;
    let traceparent = trace::traceparent_of(&Span::current());
    submission::check(shared, JobId { customer, key }, made_at, submission, traceparent)
}

/// Generates a key, if possible in a range in which this entry accepts new jobs, so that the job is
/// not forwarded.
fn generate_key(shared: &Shared, customer: &cowslipwing_types::CustomerName) -> JobKey {
    let generate = || JobKey::generate(from_millis(to_millis(shared.clock.wall())));
    let is_served = |key: &JobKey| {
        let job = JobId { customer: customer.clone(), key: key.clone() };
        let shard = shared.shard(job.range());
        shard.is_serving() && shard.handover.accepts_jobs()
    };
    (0..MAX_KEY_ATTEMPTS).map(|_| generate()).find(is_served).unwrap_or_else(generate)
}

async fn show(
    Extension(shared): State,
    PathParams((customer, key)): PathParams<(String, String)>,
) -> Response {
    match parse_job(&customer, &key) {
        Ok(job) => job_response(route(&shared, JobRequest::Show(job)).await),
        Err(error) => problem_response(&error.problem()),
    }
}

async fn withdraw(
    Extension(shared): State,
    PathParams((customer, key)): PathParams<(String, String)>,
) -> Response {
    match parse_job(&customer, &key) {
        Ok(job) => job_response(route(&shared, JobRequest::Withdraw(job)).await),
        Err(error) => problem_response(&error.problem()),
    }
}

async fn list_contracts(Extension(shared): State) -> Response {
    json_response(StatusCode::OK, &admin::list_contracts(&shared))
}

async fn show_contract(
    Extension(shared): State,
    PathParams(customer): PathParams<String>,
) -> Response {
    result_response(admin::show_contract(&shared, &customer))
}

async fn change_contract(
    Extension(shared): State,
    PathParams(customer): PathParams<String>,
    uri: Uri,
    req: Request,
) -> Response {
    let contract: Contract = match read_json(shared.limits.body, req).await {
        Ok((contract, _body)) => contract,
        Err(error) => return problem_response(&error.problem()),
    };
    let base = uri.query().and_then(|query| query.strip_prefix("base=")).unwrap_or("0");
    let Ok(base) = base.parse::<Version>() else {
        let detail = format!("base={base}: give the version in force as a number");
        return problem_response(&ApiError::Malformed { detail }.problem());
    };
    result_response(admin::change_contract(&shared, &customer, base, contract).await)
}

async fn list_endpoints(Extension(shared): State) -> Response {
    json_response(StatusCode::OK, &admin::list_endpoints(&shared))
}

async fn withdraw_endpoint(
    Extension(shared): State,
    PathParams(endpoint): PathParams<String>,
) -> Response {
    result_response(admin::change_endpoint(&shared, &endpoint, true).await)
}

async fn return_endpoint(
    Extension(shared): State,
    PathParams(endpoint): PathParams<String>,
) -> Response {
    result_response(admin::change_endpoint(&shared, &endpoint, false).await)
}

async fn evacuate_site(Extension(shared): State, PathParams(site): PathParams<String>) -> Response {
    result_response(admin::change_site(&shared, &site, true).await)
}

async fn return_site(Extension(shared): State, PathParams(site): PathParams<String>) -> Response {
    result_response(admin::change_site(&shared, &site, false).await)
}

async fn withdraw_batch(
    Extension(shared): State,
    PathParams((customer, batch)): PathParams<(String, String)>,
) -> Response {
    result_response(admin::withdraw_batch(&shared, &customer, &batch).await)
}

async fn status(Extension(shared): State) -> Response {
    json_response(StatusCode::OK, &admin::status(&shared))
}

async fn health() -> &'static str {
    "ok\n"
}

async fn ready(Extension(shared): State) -> (StatusCode, &'static str) {
    if shared.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn parse_job(customer: &str, key: &str) -> Result<JobId, ApiError> {
    Ok(JobId { customer: admin::parse_customer(customer)?, key: key.parse()? })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads and parses a JSON body of at most `limit` bytes. The body counts as held until it is dropped,
/// for what was parsed from it.
async fn read_json<T>(limit: ByteSize, req: Request) -> Result<(T, HeldBody), ApiError>
where
    T: DeserializeOwned,
{
    let (parts, body) = req.into_parts();
    let connection = parts.extensions.get::<Arc<ClientConnection>>();
    let connection = connection.expect("the listener adds the connection to each request");
    let max_bytes = usize::try_from(limit.bytes()).unwrap_or(usize::MAX);
    let body = read_body(connection, body, max_bytes).await.map_err(|error| match error {
        BodyError::TooLarge { .. } => ApiError::BodyTooLarge { limit },
        BodyError::Incomplete => ApiError::Malformed { detail: error.to_string() },
        BodyError::Refused { refusal } => refusal.into(),
    })?;
    let parsed = serde_json::from_slice(body.bytes())
        .map_err(|error| ApiError::Malformed { detail: error.to_string() })?;
    Ok((parsed, body))
}

fn job_response(answer: ProblemResult<JobAnswer>) -> Response {
    match answer {
        Ok(answer) => json_response(answer_status(&answer), &answer),
        Err(problem) => problem_response(&problem),
    }
}

fn answer_status(answer: &JobAnswer) -> StatusCode {
    match answer.state() {
        JobState::Complete => StatusCode::OK,
        JobState::Running => StatusCode::ACCEPTED,
        JobState::Failed => StatusCode::BAD_GATEWAY,
    }
}

fn result_response<T>(result: Result<T, ApiError>) -> Response
where
    T: Serialize,
{
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(error) => problem_response(&error.problem()),
    }
}

fn problem_response(problem: &Problem) -> Response {
    const MILLIS_PER_SECOND: u64 = 1000;
    let status = u16::try_from(problem.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = json_response(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), problem);
    if problem.retry_after_ms > 0 {
        let seconds = problem.retry_after_ms.div_ceil(MILLIS_PER_SECOND);
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}

fn json_response<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let bytes =
        serde_json::to_vec(value).expect("messages have no map keys that JSON cannot represent");
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let json = volo_http::http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}
