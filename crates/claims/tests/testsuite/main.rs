//! Tests of the claims: an exhaustive search of a small world, and focused cases.

mod members;
mod search;
mod world;
