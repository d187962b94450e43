//! Where a task goes.
//!
//! Answers a load in which short and long tasks mix on endpoints of unequal speed: an endpoint is
//! chosen by the risk of missing the objective there, and by how full it is, so that tasks with time
//! to spare leave the fast endpoints to those that need them.

use std::time::Duration;

use compact_str::CompactString;

use crate::job::ContractTerms;
use crate::predictor::WorkEstimate;
use crate::resources::{FreeResources, Resources};

/// Time from sending an order until the endpoint starts, and back to the caller.
const TRANSFER: Duration = Duration::from_millis(12);
/// Standard deviation of the transfer time, in seconds.
const TRANSFER_SPREAD: f64 = 0.008;
/// Weight of an endpoint's load beside the risk of missing the objective.
const LOAD_WEIGHT: f64 = 0.25;
/// Weight of the probability that a task fails at an endpoint.
const FAILURE_WEIGHT: f64 = 1.0;
/// Steepness that makes a logistic curve follow the normal distribution.
const LOGISTIC: f64 = 1.702;
/// Worth of a late answer relative to one in time.
const LATE_WORTH: f64 = 0.2;
/// Standard deviation of an endpoint's speed, relative to it.
const SPEED_SPREAD: f64 = 0.15;
/// Standard deviation of a predicted wait, relative to it.
const WAIT_SPREAD: f64 = 0.4;
/// Least standard deviation, in seconds.
const LEAST_SPREAD: f64 = 0.001;
/// Slowness of the fastest endpoints told apart.
const LEAST_SLOWNESS: f64 = 0.1;
/// Part of an endpoint's size that is taken to be missing where something else than processors is.
const LEAST_SHORTAGE: f64 = 0.05;
/// Run time on a rack far from the data, relative to that on the same rack.
const FAR_RATIO: f64 = 1.5;

/// What an agent tells of its endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointStatus {
    /// It takes new tasks.
    pub usable: bool,
    /// Its service.
    pub service: CompactString,
    /// Its kind.
    pub kind: CompactString,
    /// Its rack.
    pub rack: CompactString,
    /// Its size.
    pub capacity: Resources,
    /// Resources that no started task takes.
    pub free: FreeResources,
    /// Processors that queued tasks ask for.
    pub queued: QueuedCpu,
    /// Mean time until a running task ends.
    pub mean_remaining: Duration,
    /// Run times relative to the work.
    pub slowness: f64,
    /// Share of the latest tasks that failed.
    pub failure_rate: f64,
    /// Orders received when this was told.
    pub orders_seen: u64,
}

/// Slack below which queued tasks are counted apart, for each class but the last.
const SLACK_BOUNDS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(150), Duration::from_millis(500)];

/// Thousandths of a core that queued tasks ask for, by the time until their latest useful start.
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
    /// By class of slack, the most urgent first; the last holds the rest and what is late already.
    pub classes: [u32; 4],
}

impl QueuedCpu {
    /// Counts a queued task; one without slack can only be late.
    pub fn add(&mut self, slack: Option<Duration>, cpu_millis: u32) {
        self.classes[class_of(slack)] += cpu_millis;
    }

    /// Returns what tasks ask for that start before one with this slack.
    pub fn ahead_of(&self, slack: Duration) -> u32 {
        self.classes[..=class_of(Some(slack))].iter().sum()
    }

    /// Returns what all queued tasks ask for.
    pub fn total(&self) -> u32 {
        self.classes.iter().sum()
    }
}

fn class_of(slack: Option<Duration>) -> usize {
    let Some(slack) = slack else {
        return SLACK_BOUNDS.len();
    };
    SLACK_BOUNDS.iter().position(|bound| slack < *bound).unwrap_or(SLACK_BOUNDS.len())
}

/// An endpoint considered for a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What its agent has told.
    pub status: &'a EndpointStatus,
    /// Resources left, less what orders on their way will take.
    pub free: FreeResources,
    /// Whether the data is on another rack.
    pub data_is_remote: bool,
}

/// A task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// What it needs.
    pub resources: Resources,
    /// How much work it is.
    pub work: WorkEstimate,
    /// Work of the other steps of its chain.
    pub other_steps: Duration,
    /// What its contract says.
    pub terms: ContractTerms,
    /// Time since its request was sent.
    pub elapsed: Duration,
    /// Time until its caller gives up.
    pub caller_time_left: Duration,
}

/// How a task would fare at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time until it starts.
    pub wait: Duration,
    /// Time it then takes.
    pub run_time: Duration,
    /// Time for which it may wait and still be in time; zero where it would be late at once.
    pub slack: Duration,
    /// Probability of missing the objective.
    pub late_probability: f64,
    /// Probability that the caller gives up first.
    pub timeout_probability: f64,
}

impl Forecast {
    /// Returns the time until the caller has the answer.
    pub fn response_time(&self) -> Duration {
        TRANSFER + self.wait + self.run_time
    }
}

impl Candidate<'_> {
    /// Forecasts a task.
    ///
    /// The objective grows with the work as the run time does, so that an endpoint that is faster than
    /// the stretch stays in time however far off the declared time is.
    pub fn forecast(&self, demand: &PlacementRequest) -> Forecast {
        let distance_ratio = if self.data_is_remote { FAR_RATIO } else { 1.0 };
        let speed = self.status.slowness.max(LEAST_SLOWNESS) * distance_ratio;
        let work = demand.work.median.as_secs_f64();
        let run = speed * work;
        let terms = demand.terms;
        let promised = terms.stretch * (work + demand.other_steps.as_secs_f64());
        let used = demand.elapsed + TRANSFER;
        let slack = promised + terms.target_latency.as_secs_f64() - used.as_secs_f64() - run;
        let wait = self.wait(demand.resources, Duration::from_secs_f64(slack.max(0.0)));
        let waits = wait.as_secs_f64();
        let unsure = [
            (terms.stretch - speed) * demand.work.log_std_dev * work,
            SPEED_SPREAD * run,
            WAIT_SPREAD * waits,
            TRANSFER_SPREAD,
        ];
        let late_probability = exceedance_probability(slack - waits, &unsure);
        let left = demand.caller_time_left.as_secs_f64() - TRANSFER.as_secs_f64() - waits - run;
        let unsure = [demand.work.log_std_dev * run, SPEED_SPREAD * run, WAIT_SPREAD * waits];
        let timeout_probability = exceedance_probability(left, &unsure);
        Forecast {
            wait,
            run_time: Duration::from_secs_f64(run),
            slack: Duration::from_secs_f64(slack.max(0.0)),
            late_probability: late_probability.max(timeout_probability),
            timeout_probability,
        }
    }

    /// Returns the time until room is free for a task that can wait for `slack`.
    ///
    /// Where running tasks have `turnover` left on average, the room of all of them comes free evenly
    /// over twice that time.
    fn wait(&self, need: Resources, slack: Duration) -> Duration {
        let ahead = self.status.queued.ahead_of(slack);
        let mut free = self.free;
        free.reserve(Resources { cpu_millis: ahead, ..Resources::default() });
        if free.fits(need) {
            return Duration::ZERO;
        }
        let left = f64::from(free.cpu_millis) - f64::from(need.cpu_millis);
        let size = f64::from(self.status.capacity.cpu_millis.max(1));
        self.status.mean_remaining.mul_f64(2.0 * (-left / size).max(LEAST_SHORTAGE))
    }

    /// Returns the cost of a task here, in parts of what it is worth: lower is better.
    pub fn cost(&self, need: Resources, forecast: &Forecast) -> f64 {
        let size = f64::from(self.status.capacity.cpu_millis.max(1));
        let free = f64::from(self.free.cpu_millis) - f64::from(self.status.queued.total());
        let load = ((size - free + f64::from(need.cpu_millis)) / size).max(0.0);
        let lost = (1.0 - LATE_WORTH) * forecast.late_probability
            + LATE_WORTH * forecast.timeout_probability;
        lost + LOAD_WEIGHT * load * load + FAILURE_WEIGHT * self.status.failure_rate
    }
}

/// Returns the probability that something with these standard deviations, added up, exceedance_probability `margin`.
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
    1.0 / (1.0 + (LOGISTIC * margin / variance.sqrt().max(LEAST_SPREAD)).exp())
}
