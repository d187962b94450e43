//! Exhaustive searches of small models, which run the real decision code.

mod members;
mod model;
mod search;
