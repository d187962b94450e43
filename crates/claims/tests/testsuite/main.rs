//! Tests of the claims: an exhaustive search of a small world, and focused cases.

mod search;
mod world;
