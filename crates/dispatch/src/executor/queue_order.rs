//! Orders the tasks that wait at an agent.
//!
//! More urgent queues go first, since their tasks are short and their objectives near. Long tasks of
//! less urgent queues could then wait for as long as urgent ones keep coming, so their wait is
//! bounded.

use std::time::Duration;

use crate::id::TaskName;

use super::Executor;
use super::held_task::{HeldTask, Phase};

/// Time for which a task waits behind more urgent ones. It is about half of the time that the
/// objectives of long tasks leave for a wait.
const MAX_YIELD_TIME: Duration = Duration::from_millis(250);

/// Position of a task in the queue; lower starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    /// Whether the task can only be late.
    is_late: bool,
    /// Whether the task has not yet waited for [`MAX_YIELD_TIME`] behind more urgent ones.
    must_yield: bool,
    priority: u32,
    latest_start: Duration,
}

impl Rank {
    fn of(now: Duration, held: &HeldTask, most_urgent: u32) -> Self {
        let has_yielded = held.priority > most_urgent && now >= held.started_at + MAX_YIELD_TIME;
        Self {
            is_late: held.objective_missed,
            must_yield: !has_yielded,
            priority: held.priority,
            latest_start: held.latest_start,
        }
    }
}

impl Executor {
    /// Returns the queued tasks in the order in which they start.
    pub(super) fn queue_order(&self, now: Duration) -> Vec<TaskName> {
        let queued = || self.held.iter().filter(|(_, held)| held.phase == Phase::Queued);
        let most_urgent = queued().map(|(_, held)| held.priority).min().unwrap_or_default();
        let mut ranked: Vec<(Rank, TaskName)> =
            queued().map(|(name, held)| (Rank::of(now, held, most_urgent), name.clone())).collect();
        ranked.sort();
        ranked.into_iter().map(|(_, name)| name).collect()
    }
}
