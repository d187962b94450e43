//! Generates the code in `crates/proto/src/generated` from the files in `schema/`.
//!
//! Run it with `cargo run -p cowslipwing-schema-gen` after each change of the schema. The first
//! argument, if given, replaces the output directory.

use std::path::{Path, PathBuf};

use snafu::{ResultExt, Whatever};

const SCHEMA_FILES: [&str; 5] =
    ["records.proto", "api.proto", "peers.proto", "settings.proto", "dispatch.proto"];

/// Messages that callers and operators write as JSON or YAML; unknown fields are errors.
const INPUT_MESSAGES: [&str; 10] = [
    "Contract",
    "Task",
    "JobSubmission",
    "Settings",
    "EntrySettings",
    "AgentSettings",
    "LimitSettings",
    "LeaseSettings",
    "TelemetrySettings",
    "PlatformSettings",
];

/// Messages that only answers contain, as JSON. Clients ignore unknown fields.
const OUTPUT_MESSAGES: [&str; 8] = [
    "TaskAnswer",
    "JobAnswer",
    "Problem",
    "EndpointView",
    "EndpointList",
    "ContractInForce",
    "ContractList",
    "StatusView",
];

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out: PathBuf = match std::env::args_os().nth(1) {
        Some(dir) => dir.into(),
        None => root.join("crates/proto/src/generated"),
    };
    generate(&root.join("schema"), &out)
}

fn generate(schema: &Path, out: &Path) -> Result<(), Whatever> {
    let descriptors = protox::compile(SCHEMA_FILES, [schema])
        .whatever_context("the schema could not be compiled")?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(out)
        .build_transport(true)
        .type_attribute("cowslipwing.v1", "#[allow(missing_docs)]");
    for name in INPUT_MESSAGES {
        builder = builder.type_attribute(
            format!("cowslipwing.v1.{name}"),
            "#[derive(serde::Serialize, serde::Deserialize)] #[serde(default, deny_unknown_fields)]",
        );
    }
    for name in OUTPUT_MESSAGES {
        builder = builder.type_attribute(
            format!("cowslipwing.v1.{name}"),
            "#[derive(serde::Serialize, serde::Deserialize)] #[serde(default)]",
        );
    }
    builder
        .field_attribute(
            "cowslipwing.v1.JobAnswer.state",
            "#[serde(with = \"crate::json::job_state\")]",
        )
        .field_attribute(
            "cowslipwing.v1.TaskAnswer.outcome",
            "#[serde(with = \"crate::json::task_outcome\")]",
        )
        .compile_fds(descriptors)
        .whatever_context("the generated code could not be written")
}
