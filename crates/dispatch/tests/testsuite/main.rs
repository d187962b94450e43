//! Decisions, replayed against the loads and faults that they answer.

mod answers;
mod executor;
mod placement;
mod scheduler;
mod support;
mod world;
