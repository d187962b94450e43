//! Tests of what clients of a listener see.

mod refusals;
