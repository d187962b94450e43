//! Decisions, replayed against the loads and faults that they answer.

mod executor;
mod placement;
mod reply_tracker;
mod scheduler;
mod support;
mod world;
