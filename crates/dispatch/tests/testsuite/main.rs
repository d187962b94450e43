//! Tests of scheduling decisions under the loads and faults that they are designed for.

mod attachment;
mod connection_budget;
mod connections;
mod crash_records;
mod crashes;
mod deferral;
mod ended_jobs;
mod evacuation;
mod executor;
mod fleet;
mod locality;
mod outbox;
mod overload;
mod placement;
mod reattach;
mod reply_tracker;
mod scheduler;
mod simulation;
mod stop;
mod support;
mod withdrawal;
