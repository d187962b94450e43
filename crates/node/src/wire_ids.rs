//! Ids in messages between the system's own processes.

use cowslipwing_dispatch::{TaskName, TaskRun};
use cowslipwing_proto as proto;

/// Reads a run; none where its job's id is not valid.
pub(crate) fn run_of(wire: &proto::TaskRun) -> Option<TaskRun> {
    let request = wire.job.parse().ok()?;
    let step = u16::try_from(wire.step).ok()?;
    Some(TaskRun { task: TaskName { request, step, index: wire.index }, run: wire.run })
}

/// Writes a run.
pub(crate) fn run_to(run: &TaskRun) -> proto::TaskRun {
    proto::TaskRun {
        job: run.task.request.to_string(),
        step: u32::from(run.task.step),
        index: run.task.index,
        run: run.run,
    }
}
