//! Requests that are not accepted, and how they are told to the caller.

use std::time::Duration;

use cowslipwing_policy::Refusal;
use cowslipwing_proto::Problem;
use cowslipwing_types::{
    ByteSize, CustomerName, JobId, KeyError, NameError, QuantityError, Version,
};
use snafu::Snafu;

/// A request that is not accepted. Unless the message says otherwise, nothing was started.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ApiError {
    /// The body is not what was expected.
    #[snafu(display("the body is not a valid request: {detail}"))]
    Malformed {
        /// What the parser reported.
        detail: String,
    },
    /// The body is too large.
    #[snafu(display("the body has more than {limit}"))]
    BodyTooLarge {
        /// Size allowed.
        limit: ByteSize,
    },
    /// Too many requests are in flight.
    #[snafu(display("{limit} requests are in flight at this entry"))]
    TooManyConnections {
        /// Requests allowed.
        limit: u32,
    },
    /// A name cannot be used.
    #[snafu(display("{field}: {source}"))]
    BadName {
        /// The field.
        field: &'static str,
        /// What is wrong.
        source: NameError,
    },
    /// The key cannot be used.
    #[snafu(display("{source}"), context(false))]
    BadKey {
        /// What is wrong.
        source: KeyError,
    },
    /// A time or size cannot be read.
    #[snafu(display("{field}: {source}"))]
    BadQuantity {
        /// The field.
        field: &'static str,
        /// What is wrong.
        source: QuantityError,
    },
    /// The deadline cannot be read.
    #[snafu(display("the deadline {given:?} is not a time such as 2026-01-31T12:00:00Z"))]
    BadDeadline {
        /// The text as given.
        given: String,
    },
    /// The deadline has passed.
    #[snafu(display("the deadline {given} has passed"))]
    DeadlinePassed {
        /// The text as given.
        given: String,
    },
    /// The customer has no contract.
    #[snafu(display("the customer {customer} has no contract"))]
    UnknownCustomer {
        /// The customer.
        customer: CustomerName,
    },
    /// The customer is not known here, and the store does not tell whether it has a contract.
    #[snafu(display("whether {customer} has a contract is not known; nothing was started"))]
    UnresolvedCustomer {
        /// The customer.
        customer: CustomerName,
    },
    /// The job's batch was withdrawn.
    #[snafu(display("the batch {batch} of {customer} was withdrawn"))]
    BatchWithdrawn {
        /// The customer.
        customer: CustomerName,
        /// The batch.
        batch: String,
    },
    /// The key belongs to another submission.
    #[snafu(display("the key {job} was used for another submission"))]
    KeyReused {
        /// The job.
        job: JobId,
    },
    /// The key is too old to tell whether it has run.
    #[snafu(display("the key {job} is older than what is remembered; it may have run"))]
    KeyTooOld {
        /// The job.
        job: JobId,
    },
    /// The key's age lies in the future.
    #[snafu(display("the key {job} was made in the future"))]
    KeyFromFuture {
        /// The job.
        job: JobId,
    },
    /// No job has the key.
    #[snafu(display("no job {job} is remembered"))]
    UnknownJob {
        /// The job.
        job: JobId,
    },
    /// The job is not taken on.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// The key's range has no owner that serves now.
    #[snafu(display("no entry serves the key {job} now; nothing was started"))]
    NoOwner {
        /// The job.
        job: JobId,
    },
    /// The owner was asked and did not answer.
    #[snafu(display("the owner of the key {job} gave no answer; the job may have run"))]
    OwnerLost {
        /// The job.
        job: JobId,
    },
    /// The contract change was based on another version.
    #[snafu(display("the change is based on version {base}, and version {in_force} is in force"))]
    StaleBase {
        /// The version named.
        base: Version,
        /// The version in force.
        in_force: Version,
    },
    /// The contract cannot be honoured.
    #[snafu(display("the contract cannot be used: {detail}"))]
    BadContract {
        /// What is wrong.
        detail: String,
    },
    /// The store gave no answer.
    #[snafu(display("the platform's store gave no answer; the change may come into force"))]
    LogUnavailable,
}

/// Time after which an entry that has no capacity is worth another try.
const RETRY_SOON: Duration = Duration::from_millis(500);
/// Time after which the platform's store is worth another try.
const RETRY_LOG: Duration = Duration::from_secs(5);

impl ApiError {
    /// Returns the kind by which programs tell errors apart.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Malformed { .. } => "malformed",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::TooManyConnections { .. } => "too_many_connections",
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

    /// Returns the HTTP status.
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
            Self::TooManyConnections { .. }
            | Self::UnresolvedCustomer { .. }
            | Self::NoOwner { .. }
            | Self::LogUnavailable => 503,
            Self::OwnerLost { .. } => 504,
        }
    }

    /// Returns what the caller can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            Self::Malformed { .. } => "send a JSON body as the submission reference shows",
            Self::BodyTooLarge { .. } => "split the job or raise limits.body",
            Self::TooManyConnections { .. }
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
            Self::OwnerLost { .. } => "send it again with the same key to learn what became of it",
            Self::StaleBase { .. } => "read the version in force and base the change on it",
            Self::BadContract { .. } => "correct the contract and send it again",
            Self::LogUnavailable => "read the contract in force before another try",
        }
    }

    /// Returns when coming back helps, where it does.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { refusal } => refusal.retry_after(),
            Self::TooManyConnections { .. }
            | Self::UnresolvedCustomer { .. }
            | Self::NoOwner { .. }
            | Self::OwnerLost { .. } => Some(RETRY_SOON),
            Self::LogUnavailable => Some(RETRY_LOG),
            _ => None,
        }
    }

    /// Returns the message for the caller.
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
        Refusal::TooManyOpenJobs { .. } | Refusal::DeadlineOutOfReach { .. } => 503,
    }
}
