//! Golden tests of sessions: the requests of callers and operators, and the replies to them.

mod bad_input;
mod cli;
mod contracts;
mod jobs;
mod limits;
mod odd_records;
mod session;
mod traces;
