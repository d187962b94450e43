//! Jobs, the contract terms that apply to them, and their answers.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::RequestId;
use crate::resources::Resources;

/// The terms of a queue's contract.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContractTerms {
    /// Number of failed runs of a task after which its job fails; 0 counts as 1.
    pub max_attempts: u32,
    /// Promised response time, as a multiple of the work on the longest chain of dependent steps.
    pub stretch: f64,
    /// Constant part of the promised response time, added to the multiple.
    pub target_latency: Duration,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
}

/// A step of a job: a number of tasks with equal requirements.
#[derive(Clone, Debug, PartialEq)]
pub struct StepSpec {
    /// Number of tasks in the step.
    pub count: u32,
    /// Resources that each task requires.
    pub resources: Resources,
    /// Run time of a task that the caller declared.
    pub declared_run_time: Duration,
    /// Indices of the earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Kind or rack that the endpoint must have, if any.
    pub required_label: Option<CompactString>,
    /// Rack that holds the data, if the caller named one.
    pub data_rack: Option<CompactString>,
    /// Maximum number of tasks of the step at one endpoint; 0 means no limit.
    pub max_per_endpoint: u32,
}

/// A validated job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Id chosen by the caller.
    pub id: RequestId,
    /// Queue that the request was routed to.
    pub queue: CompactString,
    /// Service whose endpoints may run the job.
    pub service: CompactString,
    /// Description of the work, passed to endpoints as it is.
    pub payload: Arc<str>,
    /// Steps of the job; later steps can depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Terms of the queue's contract.
    pub terms: ContractTerms,
    /// Time for which the caller waits for the answer.
    pub caller_timeout: Duration,
    /// Where that time is stated.
    pub timeout_source: TimeoutSource,
}

/// Where the time for which a caller waits is stated.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::TimeoutSource;
///
/// assert_eq!(TimeoutSource::Caller.to_string(), "caller");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeoutSource {
    /// In the request.
    Caller,
    /// In the route of the queue.
    Route,
    /// Nowhere; a default applies.
    Default,
}

impl fmt::Display for TimeoutSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Caller => "caller",
            Self::Route => "route",
            Self::Default => "default",
        })
    }
}

impl JobSpec {
    /// Returns the declared run time of the longest chain of dependent steps.
    pub fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependency_ends =
                step.depends_on.iter().filter_map(|index| ends.get(usize::from(*index)));
            let start = dependency_ends.max().copied().unwrap_or_default();
            ends.push(start + step.declared_run_time);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the number of tasks in all steps.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }
}

/// The reason for which a job was refused; none of its tasks has started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The load is too high for the job to end in time.
    Load,
    /// The job is expected to run for longer than its caller waits, at any load.
    Deadline,
    /// No suitable endpoint is reachable.
    NoEndpoint,
    /// No endpoint of the service has enough resources.
    TooLarge,
    /// The entry stops before the job would end.
    Stopping,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Load => "load",
            Self::Deadline => "deadline",
            Self::NoEndpoint => "no-endpoint",
            Self::TooLarge => "too-large",
            Self::Stopping => "stopping",
        })
    }
}

/// The reason for which a job was given up after it may have run in part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// The caller's timeout has expired, or the rest of the job cannot be done before it does.
    Deadline,
    /// A job with the same id is still open.
    StillOpen,
    /// Several endpoints crashed that had or may have had one of the job's tasks.
    Crashes,
    /// The entry stops before the job has ended.
    Stopping,
}

/// The final answer to a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks completed.
    Completed,
    /// A task failed in as many runs as the contract allows, or endpoints crashed under it.
    Failed,
    /// A caller has cancelled the job. Some of its tasks may have run.
    Cancelled,
    /// No task has started, and none will.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The job ended early, and some of its tasks may have run.
    GaveUp {
        /// Reason for giving up.
        reason: GiveUpReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
