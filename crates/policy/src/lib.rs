//! Admission, fair shares, credits and placement.
//!
//! An agent hands out credits, each the permission to send it one task. Tasks wait at their owner in
//! a fair queue until a credit is there, so that none is bounced and little waits at a slow worker.

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
