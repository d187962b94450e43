//! What callers hand in and what they are answered.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::RequestId;
use crate::resources::Resources;

/// What a queue's contract says of its jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContractTerms {
    /// Runs of a task that may fail.
    pub max_attempts: u32,
    /// Response time promised, relative to the longest chain of work.
    pub stretch: f64,
    /// Response time promised beyond that.
    pub target_latency: Duration,
    /// Urgency; 0 comes first.
    pub priority: u32,
}

/// Some equal tasks of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each needs.
    pub resources: Resources,
    /// Run time that the caller declares.
    pub declared_run_time: Duration,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Kind or rack that the endpoint must have.
    pub required_label: Option<CompactString>,
    /// Rack of the data.
    pub data_rack: Option<CompactString>,
    /// Most tasks of the step at one endpoint; 0 for no limit.
    pub max_per_endpoint: u32,
}

/// A job, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The caller's id.
    pub id: RequestId,
    /// Its queue.
    pub queue: CompactString,
    /// Endpoints that may run it.
    pub service: CompactString,
    /// What endpoints are handed.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// What the contract says.
    pub terms: ContractTerms,
    /// Time for which the caller waits.
    pub caller_timeout: Duration,
}

impl JobSpec {
    /// Returns the declared time of the longest chain of dependent steps.
    pub fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().filter_map(|at| ends.get(usize::from(*at)));
            let start = before.max().copied().unwrap_or_default();
            ends.push(start + step.declared_run_time);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the number of tasks.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }
}

/// Why a job was refused; none of its tasks has started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The work ahead would use up its time.
    Load,
    /// No endpoint can be reached.
    NoEndpoint,
    /// No endpoint is large enough.
    TooLarge,
    /// A request with the same id is being served.
    Duplicate,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Load => "load",
            Self::NoEndpoint => "no-endpoint",
            Self::TooLarge => "too-large",
            Self::Duplicate => "duplicate",
        })
    }
}

/// Why a job that may have run in part was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// The caller's time is over, or what is left cannot be done within it.
    Deadline,
}

/// The final answer to a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Nothing has started, and nothing will.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Some tasks may have run.
    GaveUp {
        /// Why.
        reason: GiveUpReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}
