//! Routes requests about jobs to the owner of the job's range.

use std::time::{Duration, SystemTime};

use cowslipwing_proto::{
    ForwardReply, ForwardRequest, JobAction, JobAnswer, NotOwner, Problem, forward_reply::Body,
};
use cowslipwing_types::{EntryId, JobId, from_millis, to_millis};
use tokio::sync::oneshot;
use tracing::{Instrument, Span, info_span};

use super::jobs::{self, RequestOutcome};
use super::log_follower;
use super::shard::Reply;
use super::shared::Shared;
use super::submission::{self, CheckedSubmission};
use crate::api_error::ApiError;
use crate::trace;

/// Time between attempts to reach the owner.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Time after the job's deadline during which the owner's answer is still awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Timeout of a request to show or withdraw a job.
const SHORT_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A request about one job.
#[derive(Clone, Debug)]
pub(crate) enum JobRequest {
    /// Submits the job.
    Submit(Box<CheckedSubmission>),
    /// Returns the job's current answer.
    Show(JobId),
    /// Withdraws the job.
    Withdraw(JobId),
}

/// The outcome of a request at this entry.
enum LocalOutcome {
    Answer(JobAnswer),
    /// The receiver gets the final answer.
    Pending(oneshot::Receiver<Reply>),
    /// This entry does not serve the range, or accepts no new jobs in it.
    NotServed,
}

/// The outcome of one attempt to have a request served.
enum Attempt {
    Answer(JobAnswer),
    Problem(Problem),
    /// No owner could be asked, or the asked entry does not serve the range or accepts no new jobs
    /// in it. The request had no effect.
    NotServed,
    /// The owner did not answer, or lost the range before the final answer. It may have accepted
    /// the job.
    OwnerLost,
}

impl JobRequest {
    fn job(&self) -> &JobId {
        match self {
            Self::Submit(checked) => &checked.job,
            Self::Show(job) | Self::Withdraw(job) => job,
        }
    }

    /// Returns the time after which the request is not attempted again.
    fn deadline(&self, wall: SystemTime) -> SystemTime {
        match self {
            Self::Submit(checked) => checked.deadline + ANSWER_GRACE,
            Self::Show(_) | Self::Withdraw(_) => wall + SHORT_REQUEST_TIMEOUT,
        }
    }

    fn handle_locally(&self, shared: &Shared) -> Result<LocalOutcome, ApiError> {
        let outcome = match self {
            Self::Submit(checked) => jobs::submit(shared, checked)?,
            Self::Withdraw(job) => jobs::withdraw(shared, job)?,
            Self::Show(job) => {
                return match jobs::show(shared, job) {
                    Some(answer) => Ok(LocalOutcome::Answer(answer?)),
                    None => Ok(LocalOutcome::NotServed),
                };
            }
        };
        Ok(match outcome {
            RequestOutcome::Pending(rx) => LocalOutcome::Pending(rx),
            RequestOutcome::NotServed => LocalOutcome::NotServed,
        })
    }

    fn to_message(&self, traceparent: String) -> ForwardRequest {
        let (action, submission, deadline_ms, made_at) = match self {
            Self::Submit(c) => {
                (JobAction::Submit, Some((*c.submission).clone()), to_millis(c.deadline), c.made_at)
            }
            Self::Show(_) => (JobAction::Show, None, 0, None),
            Self::Withdraw(_) => (JobAction::Withdraw, None, 0, None),
        };
        ForwardRequest {
            action: action as i32,
            customer: self.job().customer.to_string(),
            key: self.job().key.to_string(),
            key_made_ms: made_at.map_or(0, to_millis),
            submission,
            deadline_ms,
            traceparent,
        }
    }
}

/// Serves a request at this entry or forwards it to the owner, and retries until an owner answers
/// or the time has run out.
///
/// A refusal normally means that no task was started. This is no longer certain after an attempt in
/// which an owner may have accepted the job, so the caller then gets [`ApiError::OwnerLost`]
/// instead.
pub(crate) async fn route(shared: &Shared, req: JobRequest) -> Result<JobAnswer, Problem> {
    let give_up_at = req.deadline(shared.clock.wall());
    let mut may_have_run = false;
    loop {
        let attempt = match owner_of(shared, req.job()) {
            Some(owner) if owner == shared.id => serve_locally(shared, &req).await,
            Some(owner) => forward_to_owner(shared, &owner, &req, give_up_at).await,
            None => Attempt::NotServed,
        };
        match attempt {
            Attempt::Answer(answer) => return Ok(answer),
            Attempt::Problem(problem) if !may_have_run || !guarantees_not_run(&problem) => {
                return Err(problem);
            }
            Attempt::Problem(_) => return Err(owner_lost(&req).problem()),
            Attempt::NotServed => {}
            Attempt::OwnerLost => may_have_run = matches!(req, JobRequest::Submit(_)),
        }
        if shared.clock.wall() >= give_up_at {
            let error = if may_have_run {
                owner_lost(&req)
            } else {
                ApiError::NoOwner { job: req.job().clone() }
            };
            return Err(error.problem());
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns whether a refusal means that no task of the job was started.
fn guarantees_not_run(problem: &Problem) -> bool {
    const MAY_HAVE_RUN: [&str; 3] = ["key_reused", "key_too_old", "owner_lost"];
    !MAY_HAVE_RUN.contains(&problem.kind.as_str())
}

/// Serves a request that another entry has forwarded.
pub(crate) async fn serve_forwarded(shared: &Shared, message: ForwardRequest) -> ForwardReply {
    let span = info_span!("owner", customer = message.customer, key = message.key);
    trace::set_remote_parent(&span, &message.traceparent);
    let _in_flight = shared.begin_request();
    let served = async {
        if let Ok(customer) = message.customer.parse()
            && let Err(error) = log_follower::resolve_customer(shared, &customer).await
        {
            return Attempt::Problem(error.problem());
        }
        match parse_request(shared, message) {
            Ok(req) => serve_locally(shared, &req).await,
            Err(error) => Attempt::Problem(error.problem()),
        }
    };
    let body = match served.instrument(span).await {
        Attempt::Answer(answer) => Body::Answer(answer),
        Attempt::Problem(problem) => Body::Problem(problem),
        Attempt::NotServed => Body::NotOwner(NotOwner { may_have_run: false }),
        Attempt::OwnerLost => Body::NotOwner(NotOwner { may_have_run: true }),
    };
    ForwardReply { body: Some(body) }
}

/// Parses and checks a forwarded request.
fn parse_request(shared: &Shared, message: ForwardRequest) -> Result<JobRequest, ApiError> {
    let bad_name = |source| ApiError::BadName { field: "customer", source };
    let customer = message.customer.parse().map_err(bad_name)?;
    let job = JobId { customer, key: message.key.parse()? };
    match message.action() {
        JobAction::Show => Ok(JobRequest::Show(job)),
        JobAction::Withdraw => Ok(JobRequest::Withdraw(job)),
        JobAction::Submit => {
            let submission = message.submission.unwrap_or_default();
            let made_at = (message.key_made_ms > 0).then(|| from_millis(message.key_made_ms));
            let traceparent = trace::traceparent_of(&Span::current());
            let mut checked = submission::check(shared, job, made_at, submission, traceparent)?;
            checked.deadline = from_millis(message.deadline_ms);
            Ok(JobRequest::Submit(Box::new(checked)))
        }
    }
}

fn owner_of(shared: &Shared, job: &JobId) -> Option<EntryId> {
    shared.with_fold(|fold| {
        fold.range_owners().get(job.range()).map(|ownership| ownership.owner.clone())
    })
}

fn owner_lost(req: &JobRequest) -> ApiError {
    ApiError::OwnerLost { job: req.job().clone() }
}

/// Serves a request at this entry, and waits for the job's final answer if it is still pending.
async fn serve_locally(shared: &Shared, req: &JobRequest) -> Attempt {
    match req.handle_locally(shared) {
        Ok(LocalOutcome::Answer(answer)) => Attempt::Answer(answer),
        Ok(LocalOutcome::NotServed) => Attempt::NotServed,
        Ok(LocalOutcome::Pending(rx)) => match rx.await {
            Ok(Reply::Answer(answer)) => Attempt::Answer((*answer).clone()),
            Ok(Reply::OwnerChanged) | Err(_) => Attempt::OwnerLost,
        },
        Err(error) => {
            shared.metrics.count(&format!("entry.refused.{}", error.kind()), 1);
            Attempt::Problem(error.problem())
        }
    }
}

/// Forwards a request to the owner, and waits for its reply until `give_up_at`.
async fn forward_to_owner(
    shared: &Shared,
    owner: &EntryId,
    req: &JobRequest,
    give_up_at: SystemTime,
) -> Attempt {
    let Some(mut client) = shared.peer(owner) else {
        return Attempt::NotServed;
    };
    let span = info_span!("forward", owner = %owner);
    let message = req.to_message(trace::traceparent_of(&span));
    let remaining = give_up_at.duration_since(shared.clock.wall()).unwrap_or_default();
    let call = tokio::time::timeout(remaining, client.forward(message)).instrument(span);
    let Ok(Ok(reply)) = call.await else {
        return Attempt::OwnerLost;
    };
    match reply.into_inner().body {
        Some(Body::Answer(answer)) => Attempt::Answer(answer),
        Some(Body::Problem(problem)) => Attempt::Problem(problem),
        Some(Body::NotOwner(NotOwner { may_have_run: false })) => Attempt::NotServed,
        Some(Body::NotOwner(_)) | None => Attempt::OwnerLost,
    }
}
