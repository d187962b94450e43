//! Tests of scheduling decisions under the loads and faults that they are designed for.

mod attachment;
mod crash_records;
mod crashes;
mod deferral;
mod executor;
mod fleet;
mod placement;
mod reply_tracker;
mod scheduler;
mod simulation;
mod support;
