//! Tests of the policy.

mod allotments;
mod credits;
mod dispatcher;
