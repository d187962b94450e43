//! Golden sessions: what callers and operators send, and what they are answered.

mod bad_input;
mod contracts;
mod jobs;
mod limits;
mod session;
mod tool;
mod traces;
