//! Decisions, replayed against the loads and faults that they answer.

mod executor;
mod placement;
mod scheduler;
mod support;
mod world;
