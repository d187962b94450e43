//! Checks submissions against the customer's contract.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cowslipwing_fold::Terms;
use cowslipwing_policy::Requirements;
use cowslipwing_proto::{JobSubmission, Message, Task};
use cowslipwing_types::{BatchName, CustomerName, JobId, parse_duration, stable_hash};
use snafu::ResultExt;

use super::shared::Shared;
use crate::api_error::{ApiError, BadNameSnafu, BadQuantitySnafu};

/// A submission that has passed the checks.
#[derive(Clone, Debug)]
pub(crate) struct CheckedSubmission {
    pub(crate) job: JobId,
    pub(crate) submission: Arc<JobSubmission>,
    /// Hash of the submission, which distinguishes a repeated submission from a different one.
    pub(crate) fingerprint: u64,
    pub(crate) deadline: SystemTime,
    /// When the key was created, as the key or else the caller states it; `None` if neither does.
    pub(crate) made_at: Option<SystemTime>,
    /// Trace context, as a `traceparent` header; empty if the submission is not traced.
    pub(crate) traceparent: String,
}

/// Checks a submission: its customer has a contract, its batch is not withdrawn, and its durations
/// and its deadline are valid.
///
/// # Errors
///
/// Returns an error if one of these does not hold.
pub(crate) fn check(
    shared: &Shared,
    job: JobId,
    made_at: Option<SystemTime>,
    submission: JobSubmission,
    traceparent: String,
) -> Result<CheckedSubmission, ApiError> {
    let terms = terms_of(shared, &job.customer)?;
    check_batch(shared, &job.customer, &submission.batch)?;
    for task in &submission.tasks {
        declared_run_time(task)?;
    }
    let deadline = parse_deadline(shared.clock.wall(), &submission.deadline, &terms)?;
    Ok(CheckedSubmission {
        fingerprint: fingerprint(&submission),
        made_at: job.key.made_at().or(made_at),
        job,
        submission: Arc::new(submission),
        deadline,
        traceparent,
    })
}

/// Returns the terms of a customer's contract.
///
/// # Errors
///
/// Returns an error if the customer has no contract.
pub(crate) fn terms_of(shared: &Shared, customer: &CustomerName) -> Result<Terms, ApiError> {
    let terms = shared
        .with_fold(|fold| fold.contracts().get(customer).map(|contract| contract.terms.clone()));
    terms.ok_or_else(|| ApiError::UnknownCustomer { customer: customer.clone() })
}

/// Returns the run time that a task declares as its estimate, `None` if it declares none.
///
/// # Errors
///
/// Returns an error if the estimate is not a duration.
pub(crate) fn declared_run_time(task: &Task) -> Result<Option<Duration>, ApiError> {
    if task.estimate.is_empty() {
        return Ok(None);
    }
    parse_duration(&task.estimate).map(Some).context(BadQuantitySnafu { field: "estimate" })
}

/// Returns the most cores and the most memory that any of the tasks requires.
pub(crate) fn max_requirements(tasks: &[Task]) -> Requirements {
    let cores = tasks.iter().map(|task| task.cores).max().unwrap_or(0);
    let memory_mb = tasks.iter().map(|task| task.memory_mb).max().unwrap_or(0);
    Requirements { cores, memory_mb }
}

/// Checks that a batch has a valid name and is not withdrawn.
fn check_batch(shared: &Shared, customer: &CustomerName, batch: &str) -> Result<(), ApiError> {
    if batch.is_empty() {
        return Ok(());
    }
    let name: BatchName = batch.parse().context(BadNameSnafu { field: "batch" })?;
    if shared.with_fold(|fold| fold.is_batch_withdrawn(customer, &name)) {
        return Err(ApiError::BatchWithdrawn {
            customer: customer.clone(),
            batch: name.to_string(),
        });
    }
    Ok(())
}

/// Returns the requested deadline, or the contract's if that is earlier or none is requested.
fn parse_deadline(wall: SystemTime, text: &str, terms: &Terms) -> Result<SystemTime, ApiError> {
    if text.is_empty() {
        return Ok(wall + terms.deadline);
    }
    let given = || text.to_owned();
    let deadline =
        humantime::parse_rfc3339(text).map_err(|_| ApiError::BadDeadline { given: given() })?;
    if deadline <= wall {
        return Err(ApiError::DeadlinePassed { given: given() });
    }
    Ok(deadline.min(wall + terms.deadline))
}

/// Returns the hash that distinguishes a repeated submission from a different one.
fn fingerprint(submission: &JobSubmission) -> u64 {
    stable_hash(submission.encode_to_vec())
}
