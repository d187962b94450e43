//! Errors that an entry returns to callers, with their HTTP status and remedy.

use std::time::Duration;

use cowslipwing_policy::Refusal;
use cowslipwing_proto::Problem;
use cowslipwing_types::{
    ByteSize, CustomerName, JobId, KeyError, NameError, QuantityError, Version,
};
use snafu::Snafu;

/// An error that rejects a request. No task was started unless the message says otherwise.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ApiError {
    /// The body cannot be parsed.
    #[snafu(display("the body is not a valid request: {detail}"))]
    Malformed {
        /// The parser's error message.
        detail: String,
    },
    /// The body is larger than the limit.
    #[snafu(display("the body has more than {limit}"))]
    BodyTooLarge {
        /// Largest accepted size.
        limit: ByteSize,
    },
    /// Too many requests are in flight.
    #[snafu(display("{limit} requests are in flight at this entry"))]
    TooManyConnections {
        /// Maximum number of requests in flight at the entry.
        limit: u32,
    },
    /// The requests of others take up the memory or the connections of the entry.
    #[snafu(display("the requests of others take up the memory of this entry"))]
    NoRoom,
    /// The request has not arrived in time.
    #[snafu(display("the request did not arrive in time"))]
    RequestTimedOut,
    /// A name is invalid.
    #[snafu(display("{field}: {source}"))]
    BadName {
        /// Name of the request's field.
        field: &'static str,
        /// The rule that the name breaks.
        source: NameError,
    },
    /// The idempotency key is invalid.
    #[snafu(display("{source}"), context(false))]
    BadKey {
        /// The rule that the key breaks.
        source: KeyError,
    },
    /// A duration, size or percentage is invalid.
    #[snafu(display("{field}: {source}"))]
    BadQuantity {
        /// Name of the request's field.
        field: &'static str,
        /// Why the value is invalid.
        source: QuantityError,
    },
    /// The deadline is not an RFC 3339 time.
    #[snafu(display("the deadline {given:?} is not a time such as 2026-01-31T12:00:00Z"))]
    BadDeadline {
        /// The deadline as given in the request.
        given: String,
    },
    /// The deadline has passed.
    #[snafu(display("the deadline {given} has passed"))]
    DeadlinePassed {
        /// The deadline as given in the request.
        given: String,
    },
    /// The customer has no contract.
    #[snafu(display("the customer {customer} has no contract"))]
    UnknownCustomer {
        /// Customer named in the request.
        customer: CustomerName,
    },
    /// The entry knows no contract of the customer, and the store, which may hold one, did not
    /// answer.
    #[snafu(display("it is not known whether {customer} has a contract; no task was started"))]
    UnresolvedCustomer {
        /// Customer named in the request.
        customer: CustomerName,
    },
    /// The job's batch was withdrawn.
    #[snafu(display("the batch {batch} of {customer} was withdrawn"))]
    BatchWithdrawn {
        /// Customer named in the request.
        customer: CustomerName,
        /// Name of the withdrawn batch.
        batch: String,
    },
    /// The key was used before for a different submission.
    #[snafu(display("the key {job} was used for another submission"))]
    KeyReused {
        /// Job that the key identifies.
        job: JobId,
    },
    /// The key is older than the retention, so its job may have run and been forgotten.
    #[snafu(display("the key {job} is older than what is remembered; it may have run"))]
    KeyTooOld {
        /// Job that the key identifies.
        job: JobId,
    },
    /// The key's creation time lies further in the future than the clock skew allows.
    #[snafu(display("the key {job} was made in the future"))]
    KeyFromFuture {
        /// Job that the key identifies.
        job: JobId,
    },
    /// The entry holds no job with the key.
    #[snafu(display("no job {job} is remembered"))]
    UnknownJob {
        /// Job that the key identifies.
        job: JobId,
    },
    /// Admission control refuses the job.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Why the job is refused.
        refusal: Refusal,
    },
    /// No entry currently serves the key's range.
    #[snafu(display("no entry currently serves the key {job}; no task was started"))]
    NoOwner {
        /// Job that the key identifies.
        job: JobId,
    },
    /// The request was forwarded to the owner of the key's range, which did not answer.
    #[snafu(display("the owner of the key {job} did not answer; the job may have run"))]
    OwnerLost {
        /// Job that the key identifies.
        job: JobId,
    },
    /// The contract change is based on a version that is no longer in force.
    #[snafu(display("the change is based on version {base}, and version {in_force} is in force"))]
    StaleBase {
        /// The version given in the request.
        base: Version,
        /// The version in force.
        in_force: Version,
    },
    /// The contract is invalid.
    #[snafu(display("the contract cannot be used: {detail}"))]
    BadContract {
        /// Why the contract is invalid.
        detail: String,
    },
    /// The platform's store did not answer.
    #[snafu(display("the platform's store did not answer; the change may still come into force"))]
    LogUnavailable,
}

/// Retry delay if an entry or an owner temporarily cannot serve the request.
const ENTRY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay if the platform's store did not answer.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(5);

impl From<cowslipwing_server::Refusal> for ApiError {
    fn from(refusal: cowslipwing_server::Refusal) -> Self {
        match refusal {
            cowslipwing_server::Refusal::NoRoom => Self::NoRoom,
            cowslipwing_server::Refusal::TimedOut => Self::RequestTimedOut,
        }
    }
}

impl ApiError {
    /// Returns the error code, by which programs distinguish errors.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Malformed { .. } => "malformed",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::TooManyConnections { .. } => "too_many_connections",
            Self::NoRoom => "no_room",
            Self::RequestTimedOut => "request_timed_out",
            Self::BadName { .. } => "bad_name",
            Self::BadKey { .. } => "bad_key",
            Self::BadQuantity { .. } => "bad_quantity",
            Self::BadDeadline { .. } => "bad_deadline",
            Self::DeadlinePassed { .. } => "deadline_passed",
            Self::UnknownCustomer { .. } => "unknown_customer",
            Self::UnresolvedCustomer { .. } => "unresolved_customer",
            Self::BatchWithdrawn { .. } => "batch_withdrawn",
            Self::KeyReused { .. } => "key_reused",
            Self::KeyTooOld { .. } => "key_too_old",
            Self::KeyFromFuture { .. } => "key_from_future",
            Self::UnknownJob { .. } => "unknown_job",
            Self::Refused { refusal } => refusal_kind(refusal),
            Self::NoOwner { .. } => "no_owner",
            Self::OwnerLost { .. } => "owner_lost",
            Self::StaleBase { .. } => "stale_base",
            Self::BadContract { .. } => "bad_contract",
            Self::LogUnavailable => "log_unavailable",
        }
    }

    /// Returns the HTTP status code of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::Malformed { .. }
            | Self::BadName { .. }
            | Self::BadKey { .. }
            | Self::BadQuantity { .. }
            | Self::BadDeadline { .. }
            | Self::KeyFromFuture { .. }
            | Self::BadContract { .. } => 400,
            Self::UnknownCustomer { .. } => 403,
            Self::UnknownJob { .. } => 404,
            Self::KeyReused { .. } | Self::KeyTooOld { .. } | Self::StaleBase { .. } => 409,
            Self::BatchWithdrawn { .. } => 410,
            Self::BodyTooLarge { .. } => 413,
            Self::DeadlinePassed { .. } => 422,
            Self::Refused { refusal } => refusal_status(refusal),
            Self::RequestTimedOut => 408,
            Self::TooManyConnections { .. }
            | Self::NoRoom
            | Self::UnresolvedCustomer { .. }
            | Self::NoOwner { .. }
            | Self::LogUnavailable => 503,
            Self::OwnerLost { .. } => 504,
        }
    }

    /// Returns advice for the caller on how to resolve the error.
    pub fn remedy(&self) -> &'static str {
        match self {
            Self::Malformed { .. } => "send a JSON body as the submission reference shows",
            Self::BodyTooLarge { .. } => "split the job or raise limits.body",
            Self::RequestTimedOut => "send it again without pauses",
            Self::TooManyConnections { .. }
            | Self::NoRoom
            | Self::UnresolvedCustomer { .. }
            | Self::NoOwner { .. } => "come back after Retry-After with the same key",
            Self::BadName { .. } | Self::BadKey { .. } | Self::BadQuantity { .. } => {
                "correct the field and send again"
            }
            Self::BadDeadline { .. } => "write it as RFC 3339 in UTC",
            Self::DeadlinePassed { .. } => "give a deadline in the future",
            Self::UnknownCustomer { .. } => "publish a contract for the customer first",
            Self::BatchWithdrawn { .. } => "submit under another batch",
            Self::KeyReused { .. } => "use a new key for another submission",
            Self::KeyTooOld { .. } => "check the effect, then use a new key",
            Self::KeyFromFuture { .. } => "set the clock of the machine that makes the keys",
            Self::UnknownJob { .. } => "submit it again with the same key",
            Self::Refused { refusal } if refusal.retry_after().is_some() => {
                "come back after Retry-After with the same key"
            }
            Self::Refused { .. } => "change the job and send it again",
            Self::OwnerLost { .. } => "send it again with the same key to learn its outcome",
            Self::StaleBase { .. } => "read the version in force and base the change on it",
            Self::BadContract { .. } => "correct the contract and send it again",
            Self::LogUnavailable => "read the contract in force before trying again",
        }
    }

    /// Returns the time after which the caller should retry, or `None` if a retry does not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { refusal } => refusal.retry_after(),
            Self::TooManyConnections { .. }
            | Self::NoRoom
            | Self::UnresolvedCustomer { .. }
            | Self::NoOwner { .. }
            | Self::OwnerLost { .. } => Some(ENTRY_RETRY_DELAY),
            Self::LogUnavailable => Some(STORE_RETRY_DELAY),
            _ => None,
        }
    }

    /// Converts the error to the message for the caller.
    pub fn problem(&self) -> Problem {
        let retry_after = self.retry_after().unwrap_or_default();
        Problem {
            kind: self.kind().to_owned(),
            message: self.to_string(),
            remedy: self.remedy().to_owned(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            status: u32::from(self.status()),
        }
    }
}

fn refusal_kind(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::NoTasks => "no_tasks",
        Refusal::TooManyTasks { .. } => "too_many_tasks",
        Refusal::TooManyOpenJobs { .. } => "too_many_open_jobs",
        Refusal::OpenJobsTooLarge { .. } => "open_jobs_too_large",
        Refusal::ContractExhausted { .. } => "contract_exhausted",
        Refusal::NeverFits { .. } => "never_fits",
        Refusal::DeadlineOutOfReach { .. } => "deadline_out_of_reach",
    }
}

fn refusal_status(refusal: &Refusal) -> u16 {
    match refusal {
        Refusal::NoTasks | Refusal::TooManyTasks { .. } => 400,
        Refusal::NeverFits { .. } => 422,
        Refusal::ContractExhausted { .. } => 429,
        Refusal::TooManyOpenJobs { .. }
        | Refusal::OpenJobsTooLarge { .. }
        | Refusal::DeadlineOutOfReach { .. } => 503,
    }
}
