//! Predicts how a task would perform at an endpoint, and what it would cost to place it there.
//!
//! Short and long tasks share endpoints of unequal speed. The cost combines the risk of missing the
//! objective with the load of the endpoint, so that tasks with time to spare leave fast endpoints
//! to the tasks that need them.

use std::time::Duration;

use compact_str::CompactString;

use crate::job::ContractTerms;
use crate::predictor::WorkEstimate;
use crate::priority::CpuByPriority;
use crate::resources::{FreeResources, Resources};

/// Time from sending an order until the endpoint starts the task, plus the time for the answer to
/// return.
pub(crate) const TRANSFER_TIME: Duration = Duration::from_millis(12);
/// Standard deviation of the transfer time, in seconds.
pub(crate) const TRANSFER_STD_DEV: f64 = 0.008;
/// Weight of the squared load of an endpoint, relative to the risk of missing the objective.
const LOAD_WEIGHT: f64 = 0.25;
/// Weight of the failure rate of an endpoint, relative to the risk of missing the objective.
const FAILURE_WEIGHT: f64 = 1.0;
/// Scale at which the logistic function approximates the normal distribution.
const LOGISTIC_SCALE: f64 = 1.702;
/// Value of a late answer, relative to one in time.
pub(crate) const LATE_ANSWER_VALUE: f64 = 0.2;
/// Standard deviation of an endpoint's slowness, relative to the slowness.
pub(crate) const SLOWNESS_REL_STD_DEV: f64 = 0.15;
/// Standard deviation of a predicted wait, relative to the wait.
pub(crate) const WAIT_REL_STD_DEV: f64 = 0.4;
/// Minimum standard deviation, in seconds.
const MIN_STD_DEV: f64 = 0.001;
/// Lower bound of the slowness used in predictions.
const MIN_SLOWNESS: f64 = 0.1;
/// Lower bound of the missing share of the capacity. It applies if a task waits for memory or
/// accelerators while enough processor time is free.
const MIN_SHORTAGE: f64 = 0.05;
/// Run time with the data on another rack, relative to the same rack, unless the settings state it.
pub const DEFAULT_REMOTE_RUN_TIME_RATIO: f64 = 1.5;

/// The status of an endpoint, reported by its agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointStatus {
    /// Whether the endpoint accepts new tasks.
    pub usable: bool,
    /// Service that the endpoint belongs to.
    pub service: CompactString,
    /// Kind of the endpoint.
    pub kind: CompactString,
    /// Rack of the endpoint.
    pub rack: CompactString,
    /// Data centre of the endpoint; empty if it is not known.
    pub site: CompactString,
    /// Total resources of the endpoint.
    pub capacity: Resources,
    /// Resources that are not reserved for started tasks.
    pub free: FreeResources,
    /// Processor time that queued tasks require.
    pub queued: QueuedCpu,
    /// Mean remaining run time of the started tasks.
    pub mean_remaining: Duration,
    /// Run times relative to the expected work; lower is faster.
    pub slowness: f64,
    /// Share of the recent tasks that failed.
    pub failure_rate: f64,
    /// Number of orders that the agent had received on its stream when it sent the status.
    pub orders_seen: u64,
    /// Processor time reserved for started tasks, by the priority of their queue; zero if the agent
    /// does not report it.
    pub started_cpu: CpuByPriority,
    /// Processor time that queued tasks require, by the priority of their queue; zero if the agent
    /// does not report it.
    pub queued_cpu: CpuByPriority,
}

/// Upper bounds of the slack classes in [`QueuedCpu`]; the last class has none.
const SLACK_BOUNDS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(150), Duration::from_millis(500)];

/// Thousandths of a core that queued tasks require, by the time until their latest useful start.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::QueuedCpu;
///
/// let mut queued = QueuedCpu::default();
/// queued.add(Some(Duration::from_millis(20)), 3000);
/// queued.add(None, 2000);
/// assert_eq!(queued.ahead_of(Duration::from_millis(100)), 3000);
/// assert_eq!(queued.total(), 5000);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueuedCpu {
    /// Amount for each class of slack, most urgent first. The last class also holds tasks that are
    /// already late.
    pub classes: [u32; 4],
}

impl QueuedCpu {
    /// Adds a queued task. Without slack the task is already late.
    pub fn add(&mut self, slack: Option<Duration>, cpu_millis: u32) {
        let class = &mut self.classes[slack_class(slack)];
        *class = class.saturating_add(cpu_millis);
    }

    /// Returns the amount for the tasks of the same or a more urgent class, which are assumed to
    /// start before a task with this slack.
    pub fn ahead_of(&self, slack: Duration) -> u32 {
        saturating_sum(&self.classes[..=slack_class(Some(slack))])
    }

    /// Returns the amount for all queued tasks.
    pub fn total(&self) -> u32 {
        saturating_sum(&self.classes)
    }
}

/// Returns the sum of amounts that an agent has reported, which may be out of range.
fn saturating_sum(amounts: &[u32]) -> u32 {
    amounts.iter().fold(0, |sum, amount| sum.saturating_add(*amount))
}

fn slack_class(slack: Option<Duration>) -> usize {
    let Some(slack) = slack else {
        return SLACK_BOUNDS.len();
    };
    SLACK_BOUNDS.iter().position(|bound| slack < *bound).unwrap_or(SLACK_BOUNDS.len())
}

/// An endpoint considered for a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Most recent status that its agent reported.
    pub status: &'a EndpointStatus,
    /// Resources left after the orders in flight have arrived.
    pub free: FreeResources,
    /// Run time here relative to an endpoint on the rack of the task's data; 1 if the task names no
    /// rack or the endpoint is on it.
    pub distance_ratio: f64,
}

/// A task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Resources that the task requires.
    pub resources: Resources,
    /// Predicted work of the task.
    pub work: WorkEstimate,
    /// Declared run time of the other steps on the job's longest chain.
    pub other_steps: Duration,
    /// Terms of the queue's contract.
    pub terms: ContractTerms,
    /// Time since the caller sent the request.
    pub elapsed: Duration,
    /// Time until the caller times out.
    pub caller_time_left: Duration,
}

/// The predicted performance of a task at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time until the task starts.
    pub wait: Duration,
    /// Run time after the start.
    pub run_time: Duration,
    /// Time for which the task may wait and still meet its objective; zero if it cannot meet it.
    pub slack: Duration,
    /// Probability of missing the objective, at least `timeout_probability`.
    pub late_probability: f64,
    /// Probability that the caller times out first.
    pub timeout_probability: f64,
}

impl Forecast {
    /// Returns the time until the answer reaches the caller.
    pub fn response_time(&self) -> Duration {
        TRANSFER_TIME + self.wait + self.run_time
    }
}

impl PlacementRequest {
    /// Returns the probability that the caller times out before a task that waits and runs for
    /// these times ends.
    fn timeout_probability(&self, wait_secs: f64, run_secs: f64) -> f64 {
        let used_secs = TRANSFER_TIME.as_secs_f64() + wait_secs + run_secs;
        let deviations = [
            self.work.log_std_dev * run_secs,
            SLOWNESS_REL_STD_DEV * run_secs,
            WAIT_REL_STD_DEV * wait_secs,
        ];
        exceedance_probability(self.caller_time_left.as_secs_f64() - used_secs, &deviations)
    }
}

impl Candidate<'_> {
    /// Predicts how a task would perform at this endpoint.
    ///
    /// The objective grows with the actual work, as the run time does. An endpoint whose slowness
    /// is below the stretch therefore stays in time, however far off the declared run time is.
    pub fn forecast(&self, request: &PlacementRequest) -> Forecast {
        let slowness = self.status.slowness.max(MIN_SLOWNESS) * self.distance_ratio;
        let work = request.work.median.as_secs_f64();
        let run_secs = slowness * work;
        let terms = request.terms;
        let promised = terms.stretch * (work + request.other_steps.as_secs_f64());
        let time_used = request.elapsed + TRANSFER_TIME;
        let slack_secs =
            promised + terms.target_latency.as_secs_f64() - time_used.as_secs_f64() - run_secs;
        let wait =
            self.expected_wait(request.resources, Duration::from_secs_f64(slack_secs.max(0.0)));
        let wait_secs = wait.as_secs_f64();
        let deviations = [
            (terms.stretch - slowness) * request.work.log_std_dev * work,
            SLOWNESS_REL_STD_DEV * run_secs,
            WAIT_REL_STD_DEV * wait_secs,
            TRANSFER_STD_DEV,
        ];
        let late_probability = exceedance_probability(slack_secs - wait_secs, &deviations);
        let other_probability = request.work.other_probability;
        let other_run_secs = run_secs * request.work.other_ratio;
        let timeout_probability = (1.0 - other_probability)
            * request.timeout_probability(wait_secs, run_secs)
            + other_probability * request.timeout_probability(wait_secs, other_run_secs);
        Forecast {
            wait,
            run_time: Duration::from_secs_f64(run_secs),
            slack: Duration::from_secs_f64(slack_secs.max(0.0)),
            late_probability: late_probability.max(timeout_probability),
            timeout_probability,
        }
    }

    /// Returns the time until enough resources are free for a task with this slack.
    ///
    /// If running tasks have a mean remaining run time of `mean_remaining`, the resources of all of
    /// them become free evenly over twice that time.
    fn expected_wait(&self, resources: Resources, slack: Duration) -> Duration {
        let queued_ahead = self.status.queued.ahead_of(slack);
        let mut free = self.free;
        free.reserve(Resources { cpu_millis: queued_ahead, ..Resources::default() });
        if free.fits(resources) {
            return Duration::ZERO;
        }
        let surplus = f64::from(free.cpu_millis) - f64::from(resources.cpu_millis);
        let capacity_millis = f64::from(self.status.capacity.cpu_millis.max(1));
        self.status.mean_remaining.mul_f64(2.0 * (-surplus / capacity_millis).max(MIN_SHORTAGE))
    }

    /// Returns the cost of placing a task here, relative to the value of an answer in time. Lower
    /// is better.
    pub fn cost(&self, resources: Resources, forecast: &Forecast) -> f64 {
        let capacity_millis = f64::from(self.status.capacity.cpu_millis.max(1));
        let free_millis = f64::from(self.free.cpu_millis) - f64::from(self.status.queued.total());
        let load = ((capacity_millis - free_millis + f64::from(resources.cpu_millis))
            / capacity_millis)
            .max(0.0);
        let lost_value = (1.0 - LATE_ANSWER_VALUE) * forecast.late_probability
            + LATE_ANSWER_VALUE * forecast.timeout_probability;
        lost_value + LOAD_WEIGHT * load * load + FAILURE_WEIGHT * self.status.failure_rate
    }
}

/// Returns the approximate probability that a normally distributed error exceeds `margin`, given
/// the standard deviations of its independent parts.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::exceedance_probability;
///
/// assert!(exceedance_probability(0.2, &[0.03, 0.04]) < 0.01);
/// assert_eq!(exceedance_probability(0.0, &[0.05]), 0.5);
/// assert!(exceedance_probability(-0.2, &[0.05]) > 0.99);
/// ```
pub fn exceedance_probability(margin: f64, deviations: &[f64]) -> f64 {
    let variance: f64 = deviations.iter().map(|deviation| deviation * deviation).sum();
    1.0 / (1.0 + (LOGISTIC_SCALE * margin / variance.sqrt().max(MIN_STD_DEV)).exp())
}
