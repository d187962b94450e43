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
    /// Room left, less what queued tasks ask for.
    pub free: FreeRoom,
    /// Mean time until a running task ends.
    pub turnover: Duration,
    /// Run times relative to the expected ones.
    pub slowness: f64,
    /// Share of the latest tasks that failed.
    pub failing: f64,
    /// Orders received when this was told.
    pub orders_seen: u64,
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
    /// Forecasts a task.
    pub fn forecast(&self, need: Room, declared: Duration) -> Forecast {
        let slowness = self.status.slowness.max(0.1) * if self.far { FAR_RATIO } else { 1.0 };
        let run = declared.mul_f64(self.ratio.mean * slowness);
        let spread = declared.as_secs_f64() * self.ratio.deviation * slowness;
        let wait = self.wait(need);
        let deviation = spread + TRANSFER_SPREAD + wait.as_secs_f64() / 3.0;
        Forecast { wait, run, deviation }
    }

    /// Returns the time until room for a task is free.
    ///
    /// Where running tasks have `turnover` left on average, the room of all of them comes free evenly
    /// over twice that time.
    fn wait(&self, need: Room) -> Duration {
        let left = f64::from(self.free.cpu_millis) - f64::from(need.cpu_millis);
        let size = f64::from(self.status.capacity.cpu_millis.max(1));
        let short = (-left / size).max(0.0);
        let fits = self.free.fits(need);
        let floor = if fits { 0.0 } else { 0.1 };
        if fits { Duration::ZERO } else { self.status.turnover.mul_f64(2.0 * short.max(floor)) }
    }

    /// Returns the cost of a task here: lower is better.
    pub fn cost(&self, need: Room, forecast: &Forecast, left: Duration) -> f64 {
        let size = f64::from(self.status.capacity.cpu_millis.max(1));
        let used = size - f64::from(self.free.cpu_millis) + f64::from(need.cpu_millis);
        let load = (used / size).max(0.0);
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
