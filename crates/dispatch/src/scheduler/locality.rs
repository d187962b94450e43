//! Decides whether a task waits for a place on the rack of its data.
//!
//! A task far from its data runs longer. This may cost the caller the objective, and takes capacity
//! from other tasks when the endpoints are full. A wait costs time, and pays only if a place on the
//! near rack becomes free soon. If more tasks want a rack than it can serve, those that lose most
//! far away get its places, and the others start far away at once.

mod waits;

use std::time::Duration;

use crate::placement::{
    EndpointStatus, LATE_ANSWER_VALUE, PlacementRequest, SLOWNESS_REL_STD_DEV, TRANSFER_STD_DEV,
    TRANSFER_TIME, WAIT_REL_STD_DEV, exceedance_probability,
};
use crate::resources::FreeResources;

pub(super) use waits::{NearWaits, TaskWait};

/// Load of the endpoints from which longer runs begin to displace other tasks.
const DISPLACEMENT_LOAD: f64 = 0.7;
/// Minimum gain from a wait, in units of the value of an answer in time. It covers the error of the
/// expected start.
const MIN_GAIN: f64 = 0.05;
/// Minimum share of the capacity that a task waits for if it does not fit anywhere now.
const MIN_SHORTAGE: f64 = 0.05;
/// Time until an entry learns that a place is free.
const STATUS_DELAY_SECS: f64 = 0.01;
/// Number of standard deviations of the run time by which the wait ends before the latest start.
const START_MARGIN_DEVIATIONS: f64 = 1.0;
/// Lower bound of slownesses and run times used in predictions.
const MIN_POSITIVE: f64 = 0.001;

/// The endpoints on one side of the choice, near the data or far from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Places {
    endpoints: u32,
    capacity_millis: f64,
    /// Processor time that is neither reserved nor requested by queued tasks.
    unclaimed_millis: f64,
    /// Sum of the mean remaining run times in seconds, weighted by the capacity.
    weighted_remaining: f64,
    /// Sum of the slownesses, weighted by the capacity.
    weighted_slowness: f64,
    /// Least slowness of the endpoints at which the task can start now.
    least_free_slowness: Option<f64>,
}

impl Places {
    fn add(&mut self, status: &EndpointStatus, free: FreeResources, request: &PlacementRequest) {
        let capacity_millis = f64::from(status.capacity.cpu_millis);
        let mut unclaimed = free;
        unclaimed.cpu_millis = unclaimed.cpu_millis.saturating_sub_unsigned(status.queued.total());
        self.endpoints += 1;
        self.capacity_millis += capacity_millis;
        self.unclaimed_millis += f64::from(unclaimed.cpu_millis);
        self.weighted_remaining += capacity_millis * status.mean_remaining.as_secs_f64();
        self.weighted_slowness += capacity_millis * status.slowness;
        if unclaimed.fits(request.resources) {
            let least = self.least_free_slowness.unwrap_or(f64::INFINITY);
            self.least_free_slowness = Some(least.min(status.slowness));
        }
    }

    /// Returns the time in seconds until a task can start, after tasks that request `ahead_millis`.
    ///
    /// The resources of the running tasks become free evenly over twice their mean remaining time.
    fn start_secs(&self, ahead_millis: f64, request: &PlacementRequest) -> f64 {
        let needed = ahead_millis + f64::from(request.resources.cpu_millis);
        let shortage = needed - self.unclaimed_millis;
        if self.least_free_slowness.is_some() && shortage <= 0.0 {
            return 0.0;
        }
        let share = (shortage / self.capacity_millis.max(1.0)).max(MIN_SHORTAGE);
        let mean_remaining = self.weighted_remaining / self.capacity_millis.max(1.0);
        2.0 * share * mean_remaining + STATUS_DELAY_SECS
    }

    fn run_secs(&self, distance_ratio: f64, request: &PlacementRequest) -> f64 {
        let mean = self.weighted_slowness / self.capacity_millis.max(1.0);
        let slowness = self.least_free_slowness.unwrap_or(mean);
        (slowness * distance_ratio * request.work.median.as_secs_f64()).max(MIN_POSITIVE)
    }
}

/// The endpoints that a task may use, near its data and far from it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::{
///     ContractTerms, EndpointStatus, FreeResources, PlacementRequest, RackChoice, RackSurvey,
///     Resources, WorkEstimate,
/// };
///
/// let resources = Resources { cpu_millis: 1000, memory_mb: 64, gpus: 0 };
/// let request = PlacementRequest {
///     resources,
///     work: WorkEstimate::of_one_size(Duration::from_millis(200), 0.1),
///     other_steps: Duration::ZERO,
///     terms: ContractTerms {
///         max_attempts: 3,
///         stretch: 1.6,
///         target_latency: Duration::from_millis(60),
///         priority: 0,
///     },
///     elapsed: Duration::ZERO,
///     caller_time_left: Duration::from_millis(1500),
/// };
/// let capacity = Resources { cpu_millis: 4000, memory_mb: 1024, gpus: 0 };
/// let idle = EndpointStatus { capacity, slowness: 1.0, ..EndpointStatus::default() };
/// let mut survey = RackSurvey::default();
/// survey.add(true, &idle, FreeResources::from_capacity(capacity), &request);
/// survey.add(false, &idle, FreeResources::from_capacity(capacity), &request);
/// assert_eq!(survey.choose(2.0, 0.0, &request).choice, RackChoice::Near);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RackSurvey {
    near: Places,
    far: Places,
}

/// Where a task goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RackChoice {
    /// The endpoint of least cost on any rack.
    Any,
    /// An endpoint on the rack of the data.
    Near,
    /// An endpoint on another rack.
    Far,
    /// The task waits for the near rack.
    Wait {
        /// Expected time until a place there is free.
        expected: Duration,
        /// Time after which the task waits no longer.
        within: Duration,
    },
}

impl RackChoice {
    /// Returns whether the choice excludes an endpoint that is near the data or far from it.
    pub(super) fn excludes(self, is_near: bool) -> bool {
        match self {
            Self::Any | Self::Wait { .. } => false,
            Self::Near => !is_near,
            Self::Far => is_near,
        }
    }
}

/// A choice and what depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RackDecision {
    /// Where the task goes.
    pub choice: RackChoice,
    /// Value lost by a run far away now instead of near, in units of the value of an answer in time.
    /// Larger jobs are worth more in proportion to the places they take, so the losses of tasks of
    /// different sizes compare as they are.
    pub far_loss: f64,
}

impl RackSurvey {
    /// Adds an endpoint that can run the task.
    pub fn add(
        &mut self,
        is_near: bool,
        status: &EndpointStatus,
        free: FreeResources,
        request: &PlacementRequest,
    ) {
        let places = if is_near { &mut self.near } else { &mut self.far };
        places.add(status, free, request);
    }

    /// Returns whether no endpoint near the data can run the task.
    pub fn is_near_lost(&self) -> bool {
        self.near.endpoints == 0
    }

    /// Returns the share of all processors that is in use or requested by queued tasks.
    fn load(&self) -> f64 {
        let capacity = self.near.capacity_millis + self.far.capacity_millis;
        1.0 - (self.near.unclaimed_millis + self.far.unclaimed_millis) / capacity.max(1.0)
    }

    /// Chooses the side for a task, given the run time far away relative to near and the processor
    /// time requested by other tasks that wait for the near rack and come first.
    pub fn choose(
        &self,
        remote_run_time_ratio: f64,
        ahead_millis: f64,
        request: &PlacementRequest,
    ) -> RackDecision {
        if self.is_near_lost() {
            return RackDecision { choice: RackChoice::Any, far_loss: 0.0 };
        }
        let near_run = self.near.run_secs(1.0, request);
        if self.far.endpoints == 0 {
            return self.choose_without_far(near_run, ahead_millis, request);
        }
        let far_run = self.far.run_secs(remote_run_time_ratio, request);
        let displaced = self.displacement() * (far_run / near_run - 1.0).max(0.0);
        let far_start = self.far.start_secs(0.0, request);
        let far_now = request.lost_value(far_start, far_run) + displaced;
        let far_loss = far_now - request.lost_value(0.0, near_run);
        let near_start = self.near.start_secs(ahead_millis, request);
        let near_loss = request.lost_value(near_start, near_run);
        let choice = if near_start == 0.0 {
            if near_loss <= far_now { RackChoice::Near } else { RackChoice::Any }
        } else {
            let within = request.latest_wait(near_run, far_run);
            let in_time =
                1.0 - exceedance_probability(within - near_start, &[WAIT_REL_STD_DEV * near_start]);
            let far_later = request.lost_value(within + far_start, far_run) + displaced;
            let wait_loss = in_time * near_loss + (1.0 - in_time) * far_later;
            if within > 0.0 && wait_loss + MIN_GAIN < far_now {
                RackChoice::Wait { expected: duration(near_start), within: duration(within) }
            } else {
                RackChoice::Far
            }
        };
        RackDecision { choice, far_loss }
    }

    /// Chooses for a task that only near endpoints can run. It does not wait at the entry, as the
    /// queue of an agent starts it without the delay of a status.
    fn choose_without_far(
        &self,
        near_run: f64,
        ahead_millis: f64,
        request: &PlacementRequest,
    ) -> RackDecision {
        let start = self.near.start_secs(ahead_millis, request);
        RackDecision {
            choice: RackChoice::Near,
            far_loss: 1.0 - request.lost_value(start, near_run),
        }
    }

    /// Returns the share of additional processor time that is taken from other tasks.
    fn displacement(&self) -> f64 {
        ((self.load() - DISPLACEMENT_LOAD) / (1.0 - DISPLACEMENT_LOAD)).clamp(0.0, 1.0)
    }
}

impl PlacementRequest {
    /// Returns the time in seconds until the objective and until the caller times out, both less
    /// the transfer.
    fn secs_left(&self) -> (f64, f64) {
        let work = self.work.median + self.other_steps;
        let promised = self.terms.stretch * work.as_secs_f64();
        let used = (self.elapsed + TRANSFER_TIME).as_secs_f64();
        let objective = promised + self.terms.target_latency.as_secs_f64() - used;
        let deadline = self.caller_time_left.as_secs_f64() - TRANSFER_TIME.as_secs_f64();
        (objective.min(deadline), deadline)
    }

    /// Returns the expected loss of value if the task starts and runs for these times.
    fn lost_value(&self, start_secs: f64, run_secs: f64) -> f64 {
        let (objective, deadline) = self.secs_left();
        let used = start_secs + run_secs;
        let deviations = [
            SLOWNESS_REL_STD_DEV * run_secs,
            WAIT_REL_STD_DEV * start_secs,
            TRANSFER_STD_DEV,
            self.work.log_std_dev * run_secs,
        ];
        let timeout = exceedance_probability(deadline - used, &deviations);
        // The objective grows with the actual work, so the error of the prediction does not count.
        let late = exceedance_probability(objective - used, &deviations[..3]).max(timeout);
        (1.0 - LATE_ANSWER_VALUE) * late + LATE_ANSWER_VALUE * timeout
    }

    /// Returns the time in seconds for which the task may wait.
    ///
    /// It ends with the latest start far away that keeps the objective. If the objective is lost far
    /// away, it ends with the latest start that keeps the objective near or the deadline far away,
    /// whichever is earlier, and if the deadline is lost far away too, with the latest one near.
    fn latest_wait(&self, near_run: f64, far_run: f64) -> f64 {
        let (objective, deadline) = self.secs_left();
        let error = SLOWNESS_REL_STD_DEV.hypot(self.work.log_std_dev);
        let latest = |end: f64, run: f64| end - run * (1.0 + START_MARGIN_DEVIATIONS * error);
        let keeps_far_objective = objective - far_run * (1.0 + SLOWNESS_REL_STD_DEV);
        if keeps_far_objective > 0.0 {
            return keeps_far_objective.min(latest(deadline, far_run).max(0.0));
        }
        let near_objective = objective - near_run * (1.0 + SLOWNESS_REL_STD_DEV);
        let far_deadline = latest(deadline, far_run);
        let bounds = [near_objective, far_deadline];
        let positive = bounds.into_iter().filter(|bound| *bound > 0.0);
        positive.reduce(f64::min).unwrap_or_else(|| latest(deadline, near_run)).max(0.0)
    }
}

fn duration(secs: f64) -> Duration {
    Duration::from_secs_f64(secs.max(0.0))
}
