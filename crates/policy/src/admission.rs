//! Admission control for submitted jobs.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_fold::Terms;
use cowslipwing_types::ByteSize;
use snafu::Snafu;

/// Shortest retry interval given to callers whose job is refused for lack of capacity.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Job limits of one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobLimits {
    /// Maximum number of tasks in one job.
    pub tasks_per_job: u32,
    /// Maximum number of jobs open at the same time, over all customers.
    pub open_jobs: u32,
    /// Maximum memory of the submissions of all open jobs.
    pub open_memory: ByteSize,
}

/// The reason why a job is refused. None of the job's tasks has been started.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// The job contains no task.
    #[snafu(display("the job has no task; give at least one"))]
    NoTasks,
    /// The job contains more tasks than the entry allows per job.
    #[snafu(display("the job has {given} tasks; split it into jobs of at most {limit}"))]
    TooManyTasks {
        /// Number of tasks in the job.
        given: u32,
        /// Maximum number of tasks per job.
        limit: u32,
    },
    /// The entry has reached its limit of open jobs.
    #[snafu(display(
        "this entry has reached its limit of {limit} open jobs; retry in {retry_after:?}"
    ))]
    TooManyOpenJobs {
        /// Maximum number of open jobs at the entry.
        limit: u32,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// The open jobs of the entry and this one would hold too much memory.
    #[snafu(display(
        "the open jobs of this entry hold {held} of {limit}; retry in {retry_after:?}"
    ))]
    OpenJobsTooLarge {
        /// Memory that the open jobs hold.
        held: ByteSize,
        /// Maximum memory that they may hold.
        limit: ByteSize,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// The customer has reached its contract's limit of open jobs.
    #[snafu(display(
        "the contract allows {limit} open jobs; come back in {retry_after:?} or amend it"
    ))]
    ContractExhausted {
        /// Maximum number of open jobs at one entry under the contract.
        limit: u32,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// A task requires more cores or memory than any endpoint has.
    #[snafu(display(
        "task {index} of kind {kind:?} needs more than any endpoint has; lower its cores or memory"
    ))]
    NeverFits {
        /// Index of the task within its job, from 0.
        index: u32,
        /// Kind of the task, as submitted.
        kind: CompactString,
    },
    /// The job is not expected to complete before its deadline.
    #[snafu(display(
        "the queued work takes {queue_delay:?}, so the job would miss its deadline; retry in {retry_after:?}"
    ))]
    DeadlineOutOfReach {
        /// Estimated time until the job's last task would start.
        queue_delay: Duration,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Returns the time to wait before a retry, or `None` if a retry does not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::TooManyOpenJobs { retry_after, .. }
            | Self::OpenJobsTooLarge { retry_after, .. }
            | Self::ContractExhausted { retry_after, .. }
            | Self::DeadlineOutOfReach { retry_after, .. } => Some(*retry_after),
            Self::NoTasks | Self::TooManyTasks { .. } | Self::NeverFits { .. } => None,
        }
    }
}

/// Factor on the estimated queue delay that allows for errors in the estimate.
const QUEUE_DELAY_MARGIN: f64 = 2.0;

/// The state of the entry and the estimates that decide whether a job is admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCheck {
    /// Number of jobs open at this entry.
    pub open_jobs: u32,
    /// Memory of the submissions of these jobs.
    pub open_memory: ByteSize,
    /// Memory of this job's submission.
    pub job_memory: ByteSize,
    /// Number of the customer's jobs open at this entry.
    pub customer_open_jobs: u32,
    /// Estimated time until the job's last task would start.
    ///
    /// Returned by [`Dispatcher::queue_delay`](crate::Dispatcher::queue_delay).
    pub queue_delay: Duration,
    /// Estimated run time of the job's longest task.
    pub longest_task: Duration,
    /// Time from now to the job's deadline.
    pub time_left: Duration,
}

impl AdmissionCheck {
    /// Checks whether a job with the given number of tasks can be admitted.
    ///
    /// Does not check whether the tasks fit an endpoint; for that, see
    /// [`Placement::fits_any`](crate::Placement::fits_any).
    ///
    /// # Errors
    ///
    /// Returns the reason if the job is refused.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cowslipwing_fold::Terms;
    /// use cowslipwing_policy::{AdmissionCheck, JobLimits, Refusal};
    /// use cowslipwing_types::ByteSize;
    ///
    /// let terms = Terms {
    ///     share: 1,
    ///     concurrency: 10,
    ///     deadline: Duration::from_secs(5),
    ///     refusals: "5%".parse().unwrap(),
    ///     open_jobs: 10,
    /// };
    /// let open_memory = ByteSize::new(1 << 20);
    /// let limits = JobLimits { tasks_per_job: 1000, open_jobs: 100, open_memory };
    /// let admission = AdmissionCheck {
    ///     open_jobs: 0,
    ///     open_memory: ByteSize::new(0),
    ///     job_memory: ByteSize::new(1000),
    ///     customer_open_jobs: 0,
    ///     queue_delay: Duration::ZERO,
    ///     longest_task: Duration::from_millis(50),
    ///     time_left: Duration::from_secs(5),
    /// };
    /// assert_eq!(admission.check(1, &terms, &limits), Ok(()));
    /// assert_eq!(admission.check(0, &terms, &limits), Err(Refusal::NoTasks));
    /// let beside_large_jobs = AdmissionCheck { open_memory, ..admission };
    /// let refused = beside_large_jobs.check(1, &terms, &limits);
    /// assert!(matches!(refused, Err(Refusal::OpenJobsTooLarge { .. })));
    /// ```
    pub fn check(&self, tasks: u32, terms: &Terms, limits: &JobLimits) -> Result<(), Refusal> {
        if tasks == 0 {
            return NoTasksSnafu.fail();
        }
        if tasks > limits.tasks_per_job {
            return TooManyTasksSnafu { given: tasks, limit: limits.tasks_per_job }.fail();
        }
        if self.open_jobs >= limits.open_jobs {
            let retry_after = MIN_RETRY_AFTER;
            return TooManyOpenJobsSnafu { limit: limits.open_jobs, retry_after }.fail();
        }
        let memory = self.open_memory.bytes().saturating_add(self.job_memory.bytes());
        if memory > limits.open_memory.bytes() {
            let (held, limit, retry_after) =
                (self.open_memory, limits.open_memory, MIN_RETRY_AFTER);
            return OpenJobsTooLargeSnafu { held, limit, retry_after }.fail();
        }
        if self.customer_open_jobs >= terms.open_jobs {
            let retry_after = MIN_RETRY_AFTER;
            return ContractExhaustedSnafu { limit: terms.open_jobs, retry_after }.fail();
        }
        let completion_time = self.queue_delay.mul_f64(QUEUE_DELAY_MARGIN) + self.longest_task;
        if completion_time > self.time_left {
            let retry_after = (completion_time - self.time_left).max(MIN_RETRY_AFTER);
            return DeadlineOutOfReachSnafu { queue_delay: self.queue_delay, retry_after }.fail();
        }
        Ok(())
    }
}
