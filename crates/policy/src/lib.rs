//! Admission control, weighted fair queueing, credit-based flow control and task placement.
//!
//! An agent grants credits to entries; each credit permits the holder to send the agent one task.
//! Tasks wait in a fair queue at the entry that owns their job until a credit is available. Agents
//! therefore never reject a task for lack of room, and few tasks are queued at a slow worker.

mod admission;
mod credit;
mod credit_requests;
mod dispatcher;
mod estimate;
mod failure_attribution;
mod fair_queue;
mod placement;
mod quota;

pub use admission::{AdmissionCheck, JobLimits, Refusal};
pub use credit::CreditIssuer;
pub use credit_requests::{CreditCandidate, CreditRequests};
pub use dispatcher::{Dispatcher, QueuedJob, TaskResult};
pub use estimate::Estimates;
pub use failure_attribution::FailureAttribution;
pub use fair_queue::FairQueue;
pub use placement::{Capacity, Observation, Placement, Requirements};
pub use quota::{Loan, Quota, quota_of_rank};
