//! Integration tests of the dispatch policy.

mod credits;
mod dispatcher;
mod quotas;
