//! Bodies of job submissions, as callers of the platform send them.

use bytes::Bytes;
use serde_json::json;

/// Returns the body of a best-effort job with a single step of `tasks` tasks. A
/// [`PlatformEndpoint`](super::PlatformEndpoint) runs each of them for `ms` milliseconds on `cpu`
/// thousandths of a core.
pub fn job_body(tasks: u32, ms: u64, cpu: u32) -> Bytes {
    let spec = format!("ms={ms} cpu={cpu}");
    let step = json!({"count": tasks, "cpu": cpu, "memoryLimitMb": 16, "estimatedRuntimeMs": ms});
    let body = json!({"bestEffort": true, "taskSpec": spec, "steps": [step]});
    body.to_string().into()
}
