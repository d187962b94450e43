//! The progress of a run, and what it tells of the run's size and of its endpoint.
//!
//! A run that takes far longer than expected is either more work than expected or slowed down by its
//! endpoint. Only in the second case does a move to another endpoint help.

use std::time::Duration;

/// Progress assumed between two samples if none is visible, in percent.
const MIN_PROGRESS_PERCENT: f64 = 0.5;
/// Minimum time between two progress samples, because progress is listed in whole percents.
const PROGRESS_SAMPLE_INTERVAL: Duration = Duration::from_millis(35);
/// Time between the sending of a start and the first progress. It keeps the lower bound of the run
/// time of short tasks correct.
const MAX_START_DELAY: Duration = Duration::from_millis(12);
/// Progress from which the lower bound of the run time is used, in percent. Progress is listed in
/// whole percents, so that the bound is up to a fifth too low there.
const MIN_BOUND_PERCENT: u32 = 4;
/// Progress that the mean rate of a run must predict since its latest advance for the run to count
/// as stopped, in percent.
const STOPPED_PERCENT: f64 = 5.0;
/// Ratio of the projected run time by the latest samples to that by the whole run from which the
/// rate of the run counts as fallen.
const FALLEN_RATE_RATIO: f64 = 3.0;

/// The progress of a run.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    started_at: Duration,
    percent: u32,
    /// Time at which the listed percentage last rose; the start of the run before that.
    advanced_at: Duration,
    /// Time and progress in percent of the latest sample.
    last_sample: (Duration, u32),
    /// Run time of the whole task, projected from the latest two samples, in seconds.
    recent_secs: Option<f64>,
}

impl Progress {
    pub(super) fn new(started_at: Duration) -> Self {
        Self {
            started_at,
            percent: 0,
            advanced_at: started_at,
            last_sample: (started_at, 0),
            recent_secs: None,
        }
    }

    /// Records the percentage in a listing.
    pub(super) fn record(&mut self, now: Duration, percent: u32) {
        if percent > self.percent {
            self.advanced_at = now;
        }
        self.percent = percent;
        let (sampled_at, from_percent) = self.last_sample;
        let elapsed = now.saturating_sub(sampled_at);
        if elapsed < PROGRESS_SAMPLE_INTERVAL {
            return;
        }
        let done = f64::from(percent.saturating_sub(from_percent)).max(MIN_PROGRESS_PERCENT);
        self.recent_secs = Some(elapsed.as_secs_f64() * 100.0 / done);
        self.last_sample = (now, percent);
    }

    /// Returns the run time of the whole task, projected from the latest samples, in seconds.
    pub(super) fn recent_secs(&self) -> Option<f64> {
        self.recent_secs
    }

    /// Returns the share of the work that is not done.
    pub(super) fn undone(&self) -> f64 {
        f64::from(100u32.saturating_sub(self.percent)) / 100.0
    }

    /// Returns a lower bound of the run time of the whole task. Almost one percent more than listed
    /// may be done.
    pub(super) fn min_run_time(&self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.started_at + MAX_START_DELAY);
        elapsed.mul_f64(100.0 / f64::from(self.percent + 1))
    }

    /// Returns the remaining run time if the run cannot end by `deadline` here.
    pub(super) fn remaining_if_late(&self, now: Duration, deadline: Duration) -> Option<Duration> {
        if self.percent < MIN_BOUND_PERCENT {
            return None;
        }
        let elapsed = now.saturating_sub(self.started_at + MAX_START_DELAY);
        let left = self.min_run_time(now).saturating_sub(elapsed);
        (now + left > deadline).then_some(left)
    }

    /// Returns whether the run has stopped or has become much slower than it was.
    pub(super) fn has_slowed_down(&self, now: Duration) -> bool {
        let running = self.advanced_at.saturating_sub(self.started_at).as_secs_f64();
        if self.percent == 0 || running <= 0.0 {
            return false;
        }
        let rate = f64::from(self.percent) / running;
        let since_advance = now.saturating_sub(self.advanced_at).as_secs_f64();
        let has_stopped = since_advance * rate >= STOPPED_PERCENT;
        let mean_secs = 100.0 / rate;
        has_stopped || self.recent_secs.is_some_and(|secs| secs >= FALLEN_RATE_RATIO * mean_secs)
    }
}
