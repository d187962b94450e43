//! Messages, log records and settings, generated from the files in `schema/`.
//!
//! Do not edit `generated`; change the schema and run `cargo run -p cowslipwing-schema-gen`.

pub mod json;

#[allow(missing_docs, clippy::all)]
#[path = "generated/cowslipwing.v1.rs"]
#[rustfmt::skip]
mod generated;

pub use generated::*;
pub use prost::Message;
