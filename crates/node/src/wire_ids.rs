//! Conversion of task runs from and to messages between agents and entries.

use cowslipwing_dispatch::{TaskName, TaskRun};
use cowslipwing_proto as proto;

/// Converts a run from its message; returns `None` if its job id or step is invalid.
pub(crate) fn run_from_proto(wire: &proto::TaskRun) -> Option<TaskRun> {
    let request = wire.job.parse().ok()?;
    let step = u16::try_from(wire.step).ok()?;
    Some(TaskRun { task: TaskName { request, step, index: wire.index }, number: wire.run })
}

/// Converts a run to its message.
pub(crate) fn run_to_proto(run: &TaskRun) -> proto::TaskRun {
    proto::TaskRun {
        job: run.task.request.to_string(),
        step: u32::from(run.task.step),
        index: run.task.index,
        run: run.number,
    }
}
