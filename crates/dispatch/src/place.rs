//! Where a task goes.
//!
//! Answers a load in which short and long tasks mix on endpoints of unequal speed: an endpoint is
//! chosen by the risk of missing the objective there, and by how full it is, so that tasks with time
//! to spare leave the fast endpoints to those that need them.

use std::time::Duration;

use compact_str::CompactString;

use crate::predict::Ratio;
use crate::room::{FreeRoom, Room};

/// Time from sending an order until the endpoint starts, and back to the caller.
const TRANSFER: Duration = Duration::from_millis(12);
/// Spread of the transfer time, in seconds.
const TRANSFER_SPREAD: f64 = 0.008;
/// Weight of an endpoint's load beside the risk of missing the objective.
const LOAD_WEIGHT: f64 = 0.25;
/// Weight of the probability that a task fails at an endpoint.
const FAILURE_WEIGHT: f64 = 1.0;
/// Steepness that makes a logistic curve follow the normal distribution, for mean deviations.
const LOGISTIC: f64 = 1.36;
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
    pub capacity: Room,
    /// Room that no started task takes.
    pub free: FreeRoom,
    /// Processors that queued tasks ask for.
    pub queued: QueuedCpu,
    /// Mean time until a running task ends.
    pub turnover: Duration,
    /// Run times relative to the declared ones.
    pub slowness: f64,
    /// Share of the latest tasks that failed.
    pub failing: f64,
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
/// assert_eq!(queued.before(Duration::from_millis(100)), 3000);
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
    pub fn before(&self, slack: Duration) -> u32 {
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
    /// Room left, less what orders on their way will take.
    pub free: FreeRoom,
    /// Learned run time of the queue's tasks on its kind.
    pub ratio: Ratio,
    /// Whether the data is on another rack.
    pub far: bool,
}

/// When a task would end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time until it starts.
    pub wait: Duration,
    /// Time it then takes.
    pub run: Duration,
    /// Mean absolute deviation of the end, in seconds.
    pub deviation: f64,
}

impl Forecast {
    /// Returns the time until the caller has the answer.
    pub fn end(&self) -> Duration {
        TRANSFER + self.wait + self.run
    }
}

impl Candidate<'_> {
    /// Forecasts a task that has `left` until its objective.
    pub fn forecast(&self, need: Room, declared: Duration, left: Duration) -> Forecast {
        let far = if self.far { FAR_RATIO } else { 1.0 };
        let slowness = self.status.slowness.max(0.1) * far;
        let run = declared.mul_f64(self.ratio.mean * slowness);
        let spread = declared.as_secs_f64() * self.ratio.deviation * slowness;
        let wait = self.wait(need, left.saturating_sub(TRANSFER + run));
        let deviation = spread + TRANSFER_SPREAD + wait.as_secs_f64() / 3.0;
        Forecast { wait, run, deviation }
    }

    /// Returns the time until room is free for a task that can wait for `slack`.
    ///
    /// Where running tasks have `turnover` left on average, the room of all of them comes free evenly
    /// over twice that time.
    fn wait(&self, need: Room, slack: Duration) -> Duration {
        let ahead = self.status.queued.before(slack);
        let mut free = self.free;
        free.take(Room { cpu_millis: ahead, ..Room::default() });
        if free.fits(need) {
            return Duration::ZERO;
        }
        let left = f64::from(free.cpu_millis) - f64::from(need.cpu_millis);
        let size = f64::from(self.status.capacity.cpu_millis.max(1));
        self.status.turnover.mul_f64(2.0 * (-left / size).max(LEAST_SHORTAGE))
    }

    /// Returns the cost of a task here: lower is better.
    pub fn cost(&self, need: Room, forecast: &Forecast, left: Duration) -> f64 {
        let size = f64::from(self.status.capacity.cpu_millis.max(1));
        let free = f64::from(self.free.cpu_millis) - f64::from(self.status.queued.total());
        let load = ((size - free + f64::from(need.cpu_millis)) / size).max(0.0);
        risk(forecast, left) + LOAD_WEIGHT * load * load + FAILURE_WEIGHT * self.status.failing
    }
}

/// Returns the probability that a task ends later than `left` from now.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::{Forecast, risk};
///
/// let run = Duration::from_millis(100);
/// let forecast = Forecast { wait: Duration::ZERO, run, deviation: 0.02 };
/// assert!(risk(&forecast, Duration::from_millis(300)) < 0.01);
/// assert!(risk(&forecast, Duration::from_millis(50)) > 0.9);
/// ```
pub fn risk(forecast: &Forecast, left: Duration) -> f64 {
    let slack = left.as_secs_f64() - forecast.end().as_secs_f64();
    1.0 / (1.0 + (LOGISTIC * slack / forecast.deviation.max(0.001)).exp())
}
