//! The memory that open jobs take up.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cowslipwing_proto::{JobSubmission, Message};
use cowslipwing_types::ByteSize;

/// Memory of a task beside its text.
const TASK_BYTES: usize = 512;

/// The memory of an open job, counted until this is dropped.
pub(crate) struct JobMemory {
    total: Arc<AtomicU64>,
    /// Memory of the jobs that were open before.
    pub(crate) others: ByteSize,
    /// Memory of the job.
    pub(crate) own: ByteSize,
}

impl JobMemory {
    /// Adds the memory of a submission to the total.
    pub(crate) fn new(total: &Arc<AtomicU64>, submission: &JobSubmission) -> Self {
        let bytes = (submission.encoded_len() + submission.tasks.len() * TASK_BYTES) as u64;
        let others = ByteSize::new(total.fetch_add(bytes, Ordering::Relaxed));
        Self { total: total.clone(), others, own: ByteSize::new(bytes) }
    }
}

impl Drop for JobMemory {
    fn drop(&mut self) {
        self.total.fetch_sub(self.own.bytes(), Ordering::Relaxed);
    }
}
