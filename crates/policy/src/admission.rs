//! Whether a job is taken on at all.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_fold::Terms;
use snafu::Snafu;

/// Time after which an overloaded entry is worth another try.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(500);

/// JobLimits of one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobLimits {
    /// Tasks of one job.
    pub tasks_per_job: u32,
    /// Jobs open at once.
    pub open_jobs: u32,
}

/// A job that is not taken on. Nothing of it was started.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// The job has no task.
    #[snafu(display("the job has no task; give at least one"))]
    NoTasks,
    /// The job has too many tasks.
    #[snafu(display("the job has {given} tasks; split it into jobs of at most {limit}"))]
    TooManyTasks {
        /// Tasks given.
        given: u32,
        /// Tasks allowed.
        limit: u32,
    },
    /// The entry holds as many jobs as it may.
    #[snafu(display("{limit} jobs are open at this entry; come back in {retry_after:?}"))]
    TooManyOpenJobs {
        /// Jobs allowed.
        limit: u32,
        /// When coming back helps.
        retry_after: Duration,
    },
    /// The customer holds as many jobs as its contract allows.
    #[snafu(display(
        "the contract allows {limit} open jobs; come back in {retry_after:?} or amend it"
    ))]
    ContractExhausted {
        /// Jobs allowed.
        limit: u32,
        /// When coming back helps.
        retry_after: Duration,
    },
    /// No endpoint is large enough for a task.
    #[snafu(display(
        "task {index} of kind {kind:?} needs more than any endpoint has; lower its cores or memory"
    ))]
    NeverFits {
        /// The task's place.
        index: u32,
        /// The task's kind.
        kind: CompactString,
    },
    /// The deadline cannot be met.
    #[snafu(display(
        "the work ahead takes {queue_delay:?}, past the deadline; come back in {retry_after:?}"
    ))]
    DeadlineOutOfReach {
        /// Estimated time until the job would end.
        queue_delay: Duration,
        /// When coming back helps.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Returns after what time coming back helps, where it does.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::TooManyOpenJobs { retry_after, .. }
            | Self::ContractExhausted { retry_after, .. }
            | Self::DeadlineOutOfReach { retry_after, .. } => Some(*retry_after),
            Self::NoTasks | Self::TooManyTasks { .. } | Self::NeverFits { .. } => None,
        }
    }
}

/// Factor on the estimated time ahead, since estimates err.
const SAFETY_FACTOR: f64 = 2.0;

/// What is known when a job is judged.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCheck {
    /// Jobs open at this entry.
    pub open_jobs: u32,
    /// Jobs of the customer open at this entry.
    pub customer_open_jobs: u32,
    /// Estimated time until the job's last task would start.
    pub queue_delay: Duration,
    /// Estimated run time of the job's longest task.
    pub longest_task: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
}

impl AdmissionCheck {
    /// Judges a job of a number of tasks.
    ///
    /// # Errors
    ///
    /// Returns why the job is not taken on.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cowslipwing_fold::Terms;
    /// use cowslipwing_policy::{AdmissionCheck, JobLimits, Refusal};
    ///
    /// let terms = Terms {
    ///     share: 1,
    ///     concurrency: 10,
    ///     deadline: Duration::from_secs(5),
    ///     refusals: "5%".parse().unwrap(),
    ///     open_jobs: 10,
    /// };
    /// let limits = JobLimits { tasks_per_job: 1000, open_jobs: 100 };
    /// let now = AdmissionCheck {
    ///     open_jobs: 0,
    ///     customer_open_jobs: 0,
    ///     queue_delay: Duration::ZERO,
    ///     longest_task: Duration::from_millis(50),
    ///     time_left: Duration::from_secs(5),
    /// };
    /// assert_eq!(now.check(1, &terms, &limits), Ok(()));
    /// assert_eq!(now.check(0, &terms, &limits), Err(Refusal::NoTasks));
    /// ```
    pub fn check(&self, tasks: u32, terms: &Terms, limits: &JobLimits) -> Result<(), Refusal> {
        if tasks == 0 {
            return NoTasksSnafu.fail();
        }
        if tasks > limits.tasks_per_job {
            return TooManyTasksSnafu { given: tasks, limit: limits.tasks_per_job }.fail();
        }
        if self.open_jobs >= limits.open_jobs {
            let retry_after = RETRY_WHEN_FULL;
            return TooManyOpenJobsSnafu { limit: limits.open_jobs, retry_after }.fail();
        }
        if self.customer_open_jobs >= terms.open_jobs {
            let retry_after = RETRY_WHEN_FULL;
            return ContractExhaustedSnafu { limit: terms.open_jobs, retry_after }.fail();
        }
        let promised = self.queue_delay.mul_f64(SAFETY_FACTOR) + self.longest_task;
        if promised > self.time_left {
            let retry_after = (promised - self.time_left).max(RETRY_WHEN_FULL);
            return DeadlineOutOfReachSnafu { queue_delay: self.queue_delay, retry_after }.fail();
        }
        Ok(())
    }
}
