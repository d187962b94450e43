//! Messages, records and settings, generated from `schema/`.
//!
//! Change the schema and run `cargo run -p cowslipwing-schema-gen`; never edit `generated`.

pub mod json;

#[allow(missing_docs, clippy::all)]
#[path = "generated/cowslipwing.v1.rs"]
#[rustfmt::skip]
mod generated;

pub use generated::*;
pub use prost::Message;
