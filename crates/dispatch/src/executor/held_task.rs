//! A task that an agent holds for an entry.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::{EntryId, TaskName, TaskRun};
use crate::resources::Resources;
use crate::samples::EndpointCondition;
use crate::scheduler::{CrashRole, RunStatus, TaskOrder};

use super::progress::Progress;

/// Lower bound of the remaining run time of a started task.
const MIN_REMAINING: Duration = Duration::from_millis(5);
/// Lower bound of the expected work used as a divisor, in seconds.
const MIN_WORK_SECS: f64 = 0.001;
/// Slowness relative to the baseline from which a task at a disturbed endpoint is reported as slow.
const DISTURBED_SLOWNESS_RATIO: f64 = 1.8;
/// Slowness relative to the baseline from which a task is reported as slow while its endpoint is not
/// known to be disturbed. Wrong declared run times rarely explain this factor.
const STALLED_SLOWNESS_RATIO: f64 = 5.0;
/// Run time relative to the expected one above which a task counts as stalled rather than large. The
/// largest tasks of a queue are about seven times the usual ones.
const MAX_WORK_RATIO: f64 = 10.0;
/// Upper bound of a projected remaining run time, in seconds.
const MAX_PROJECTED_SECS: f64 = 600.0;

/// The stage of a held task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The task waits at the agent.
    Queued,
    /// A start was sent and is not confirmed.
    Starting,
    /// The endpoint has confirmed the start.
    Running,
}

/// The way in which an incarnation of the endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum IncarnationEnd {
    /// It ended without notice.
    Crashed {
        /// Whether the task was among the last that were started before.
        is_suspect: bool,
    },
    /// It had announced that it would leave.
    Left,
}

/// A task that an agent holds for an entry.
#[derive(Clone, Debug)]
pub(super) struct HeldTask {
    pub(super) entry: EntryId,
    pub(super) run_number: u32,
    pub(super) payload: Arc<str>,
    pub(super) resources: Resources,
    /// Expected work: the run time on an endpoint of slowness 1.
    pub(super) expected_work: Duration,
    /// Whether the objective was already missed when the order arrived.
    pub(super) objective_missed: bool,
    /// Latest start that still meets the objective.
    pub(super) latest_start: Duration,
    /// Time from which the task is not started any more.
    pub(super) abandon_at: Duration,
    /// Time by which the task must end for the answer to reach the caller in time.
    caller_deadline: Duration,
    pub(super) max_per_endpoint: u32,
    /// Label that the endpoint must have as its kind or its rack.
    pub(super) required_label: Option<CompactString>,
    /// Priority of the queue; 0 is the most urgent.
    pub(super) priority: u32,
    pub(super) phase: Phase,
    /// Time at which the start was first sent; the arrival of the order while the task is queued.
    pub(super) started_at: Duration,
    /// Time at which the start was last sent; the arrival of the order while the task is queued.
    pub(super) sent_at: Duration,
    /// Number of times that the start was sent.
    pub(super) sends: u32,
    /// Time at which the endpoint confirmed the start or listed the run.
    pub(super) confirmed_at: Option<Duration>,
    /// Latest time to carry out the start, in milliseconds on the endpoint's clock.
    pub(super) deadline_ms: u64,
    pub(super) stop_sent_at: Option<Duration>,
    pub(super) stop_confirmed_at: Option<Duration>,
    /// How the incarnation ended that the start was first sent to; `None` while it is not known to
    /// have ended.
    pub(super) incarnation_end: Option<IncarnationEnd>,
    /// Progress of the run since its start was first sent; `None` until it is listed.
    progress: Option<Progress>,
    /// Time at which the run was last reported to its entry as slow or overrunning.
    pub(super) reported_at: Option<Duration>,
}

impl HeldTask {
    pub(super) fn new(now: Duration, entry: EntryId, order: TaskOrder) -> Self {
        Self {
            entry,
            run_number: order.run.number,
            payload: order.payload,
            resources: order.resources,
            expected_work: order.expected_work,
            objective_missed: order.start_within.is_zero(),
            latest_start: now + order.start_within,
            abandon_at: now + order.abandon_after,
            caller_deadline: now + order.end_within,
            max_per_endpoint: order.max_per_endpoint,
            required_label: order.required_label,
            priority: order.priority,
            phase: Phase::Queued,
            started_at: now,
            sent_at: now,
            sends: 0,
            confirmed_at: None,
            deadline_ms: 0,
            stop_sent_at: None,
            stop_confirmed_at: None,
            incarnation_end: None,
            progress: None,
            reported_at: None,
        }
    }

    /// Returns the run of this task, which is held under `name`.
    pub(super) fn run_of(&self, name: &TaskName) -> TaskRun {
        TaskRun { task: name.clone(), number: self.run_number }
    }

    /// Returns the status of the run after its loss with the endpoint or its lease.
    pub(super) fn lost_status(&self) -> RunStatus {
        match self.incarnation_end {
            Some(IncarnationEnd::Crashed { .. }) if self.confirmed_at.is_none() => {
                RunStatus::Crashed(CrashRole::Unconfirmed)
            }
            Some(IncarnationEnd::Crashed { is_suspect: true }) => {
                RunStatus::Crashed(CrashRole::Suspect)
            }
            Some(IncarnationEnd::Crashed { is_suspect: false }) => {
                RunStatus::Crashed(CrashRole::Bystander)
            }
            Some(IncarnationEnd::Left) | None => RunStatus::Stopped,
        }
    }

    /// Returns whether it is too late to start the task here.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        now >= self.abandon_at || (!self.objective_missed && now > self.latest_start)
    }

    /// Records the progress of the task.
    pub(super) fn on_progress(&mut self, now: Duration, percent: u32) {
        let started_at = self.started_at;
        self.progress.get_or_insert_with(|| Progress::new(started_at)).record(now, percent);
    }

    /// Returns the projected run time relative to the expected work, if progress was sampled.
    pub(super) fn projected_slowness(&self) -> Option<f64> {
        Some(self.progress.as_ref()?.recent_secs()? / self.expected_secs())
    }

    fn expected_secs(&self) -> f64 {
        self.expected_work.as_secs_f64().max(MIN_WORK_SECS)
    }

    /// Returns the remaining run time if the task cannot end before its caller's deadline.
    pub(super) fn remaining_if_overrun(&self, now: Duration) -> Option<Duration> {
        self.progress.as_ref()?.remaining_if_late(now, self.caller_deadline)
    }

    /// Returns the remaining run time if the task is slow because its endpoint is disturbed or the
    /// task has stalled.
    pub(super) fn remaining_if_slow(
        &self,
        now: Duration,
        baseline: f64,
        condition: EndpointCondition,
    ) -> Option<Duration> {
        let progress = self.progress.as_ref()?;
        let projected_slowness = self.projected_slowness()?;
        let limit = match condition {
            EndpointCondition::Disturbed => DISTURBED_SLOWNESS_RATIO,
            EndpointCondition::Normal | EndpointCondition::Unknown => STALLED_SLOWNESS_RATIO,
        };
        if projected_slowness < limit * baseline {
            return None;
        }
        // At an endpoint where other jobs run as usual, a steady task is large and not slow.
        let max_secs = MAX_WORK_RATIO * baseline * self.expected_secs();
        let is_large = condition == EndpointCondition::Normal
            && !progress.has_slowed_down(now)
            && progress.min_run_time(now).as_secs_f64() <= max_secs;
        if is_large {
            return None;
        }
        let left = progress.undone() * progress.recent_secs()?;
        Some(Duration::from_secs_f64(left.min(MAX_PROJECTED_SECS)))
    }

    /// Returns the expected remaining run time of a started task.
    pub(super) fn expected_remaining(&self, now: Duration, slowness: f64) -> Duration {
        let elapsed = now.saturating_sub(self.started_at);
        self.expected_work.mul_f64(slowness).saturating_sub(elapsed).max(MIN_REMAINING)
    }
}
