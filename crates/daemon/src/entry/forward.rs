//! Brings a request to the owner of its key.

use std::time::{Duration, SystemTime};

use cowslipwing_proto::{
    ForwardReply, ForwardRequest, JobAction, JobAnswer, NotOwner, Problem, forward_reply::Body,
};
use cowslipwing_types::{EntryId, JobId, from_millis, to_millis};
use tokio::sync::oneshot;
use tracing::{Instrument, Span, info_span};

use super::follow;
use super::jobs::{self, Submitted};
use super::shard::Reply;
use super::shared::Shared;
use super::submission::{self, Checked};
use crate::api_error::ApiError;
use crate::trace;

/// Pause before another try to find the owner.
const TRY_AGAIN: Duration = Duration::from_millis(25);
/// Time past the deadline in which an owner's answer may still come in.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time in which a job is shown or withdrawn.
const SHORT_CALL: Duration = Duration::from_secs(3);

/// A request about one job.
#[derive(Clone, Debug)]
pub(crate) enum JobRequest {
    /// Run the job.
    Submit(Box<Checked>),
    /// Tell how far it has come.
    Show(JobId),
    /// Withdraw it.
    Withdraw(JobId),
}

/// What this entry can do with a request.
enum Local {
    Answer(JobAnswer),
    Waits(oneshot::Receiver<Reply>),
    Elsewhere,
}

/// What a try has brought.
enum Try {
    Answer(JobAnswer),
    Problem(Problem),
    /// Nothing has happened there.
    Elsewhere,
    /// The job may have been taken on there.
    Lost,
}

impl JobRequest {
    fn job(&self) -> &JobId {
        match self {
            Self::Submit(checked) => &checked.job,
            Self::Show(job) | Self::Withdraw(job) => job,
        }
    }

    fn deadline(&self, wall: SystemTime) -> SystemTime {
        match self {
            Self::Submit(checked) => checked.deadline + ANSWER_GRACE,
            Self::Show(_) | Self::Withdraw(_) => wall + SHORT_CALL,
        }
    }

    fn local(&self, shared: &Shared) -> Result<Local, ApiError> {
        let submitted = match self {
            Self::Submit(checked) => jobs::submit(shared, checked)?,
            Self::Withdraw(job) => jobs::withdraw(shared, job)?,
            Self::Show(job) => {
                return match jobs::show(shared, job) {
                    Some(answer) => Ok(Local::Answer(answer?)),
                    None => Ok(Local::Elsewhere),
                };
            }
        };
        Ok(match submitted {
            Submitted::Waits(rx) => Local::Waits(rx),
            Submitted::Elsewhere => Local::Elsewhere,
        })
    }

    fn message(&self, traceparent: String) -> ForwardRequest {
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

/// Serves a request here or at the owner of its key, whoever that comes to be.
///
/// Once an owner may have taken the job on without telling what became of it, a later refusal no
/// longer says that nothing was started.
pub(crate) async fn route(shared: &Shared, req: JobRequest) -> Result<JobAnswer, Problem> {
    let limit = req.deadline(shared.clock.wall());
    let mut may_have_run = false;
    loop {
        let tried = match owner_of(shared, req.job()) {
            Some(owner) if owner == shared.id => serve_here(shared, &req).await,
            Some(owner) => ask_owner(shared, &owner, &req, limit).await,
            None => Try::Elsewhere,
        };
        match tried {
            Try::Answer(answer) => return Ok(answer),
            Try::Problem(problem) if !may_have_run || !says_not_run(&problem) => {
                return Err(problem);
            }
            Try::Problem(_) => return Err(lost(&req).problem()),
            Try::Elsewhere => {}
            Try::Lost => may_have_run = matches!(req, JobRequest::Submit(_)),
        }
        if shared.clock.wall() >= limit {
            let error = if may_have_run {
                lost(&req)
            } else {
                ApiError::NoOwner { job: req.job().clone() }
            };
            return Err(error.problem());
        }
        tokio::time::sleep(TRY_AGAIN).await;
    }
}

/// Tells whether a refusal says that nothing of the job was started.
fn says_not_run(problem: &Problem) -> bool {
    const MAY_HAVE_RUN: [&str; 3] = ["key_reused", "key_too_old", "owner_lost"];
    !MAY_HAVE_RUN.contains(&problem.kind.as_str())
}

/// Serves a request that another entry has passed on.
pub(crate) async fn answer(shared: &Shared, message: ForwardRequest) -> ForwardReply {
    let span = info_span!("owner", customer = message.customer, key = message.key);
    trace::set_remote_parent(&span, &message.traceparent);
    let _in_flight = shared.begin_request();
    let served = async {
        if let Ok(customer) = message.customer.parse()
            && let Err(error) = follow::learn_customer(shared, &customer).await
        {
            return Try::Problem(error.problem());
        }
        match read(shared, message) {
            Ok(req) => serve_here(shared, &req).await,
            Err(error) => Try::Problem(error.problem()),
        }
    };
    let body = match served.instrument(span).await {
        Try::Answer(answer) => Body::Answer(answer),
        Try::Problem(problem) => Body::Problem(problem),
        Try::Elsewhere => Body::NotOwner(NotOwner { may_have_run: false }),
        Try::Lost => Body::NotOwner(NotOwner { may_have_run: true }),
    };
    ForwardReply { body: Some(body) }
}

fn read(shared: &Shared, message: ForwardRequest) -> Result<JobRequest, ApiError> {
    let named = |source| ApiError::BadName { field: "customer", source };
    let customer = message.customer.parse().map_err(named)?;
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
    shared.read(|fold| fold.range_owners().get(job.range()).map(|found| found.owner.clone()))
}

fn lost(req: &JobRequest) -> ApiError {
    ApiError::OwnerLost { job: req.job().clone() }
}

async fn serve_here(shared: &Shared, req: &JobRequest) -> Try {
    match req.local(shared) {
        Ok(Local::Answer(answer)) => Try::Answer(answer),
        Ok(Local::Elsewhere) => Try::Elsewhere,
        Ok(Local::Waits(rx)) => match rx.await {
            Ok(Reply::Answer(answer)) => Try::Answer((*answer).clone()),
            Ok(Reply::Moved) | Err(_) => Try::Lost,
        },
        Err(error) => {
            shared.metrics.count(&format!("entry.refused.{}", error.kind()), 1);
            Try::Problem(error.problem())
        }
    }
}

async fn ask_owner(shared: &Shared, owner: &EntryId, req: &JobRequest, limit: SystemTime) -> Try {
    let Some(mut client) = shared.peer(owner) else {
        return Try::Elsewhere;
    };
    let span = info_span!("forward", owner = %owner);
    let message = req.message(trace::traceparent_of(&span));
    let left = limit.duration_since(shared.clock.wall()).unwrap_or_default();
    let call = tokio::time::timeout(left, client.forward(message)).instrument(span);
    let Ok(Ok(reply)) = call.await else {
        return Try::Lost;
    };
    match reply.into_inner().body {
        Some(Body::Answer(answer)) => Try::Answer(answer),
        Some(Body::Problem(problem)) => Try::Problem(problem),
        Some(Body::NotOwner(NotOwner { may_have_run: false })) => Try::Elsewhere,
        Some(Body::NotOwner(_)) | None => Try::Lost,
    }
}
