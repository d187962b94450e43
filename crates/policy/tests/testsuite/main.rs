//! Tests of the policy.

mod credits;
mod dispatcher;
mod quotas;
