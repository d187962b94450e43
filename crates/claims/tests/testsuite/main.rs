//! Exhaustive searches of small models, which run the real decision code, and tests of handovers.

mod handover;
mod members;
mod model;
mod search;
