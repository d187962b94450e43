//! Bodies of job submissions, as callers of the platform send them.

use bytes::Bytes;
use serde_json::json;

/// Returns the body of a best-effort job with a single step of `tasks` tasks. A
/// [`PlatformEndpoint`](super::PlatformEndpoint) runs each of them for `ms` milliseconds on `cpu`
/// thousandths of a core.
pub fn job_body(tasks: u32, ms: u64, cpu: u32) -> Bytes {
    body(&format!("ms={ms} cpu={cpu}"), tasks, ms, cpu)
}

/// Returns the body of a job with a single task that crashes each endpoint that starts it.
pub fn deadly_job_body(ms: u64, cpu: u32) -> Bytes {
    body(&format!("ms={ms} cpu={cpu} deadly"), 1, ms, cpu)
}

fn body(spec: &str, tasks: u32, ms: u64, cpu: u32) -> Bytes {
    let step = json!({"count": tasks, "cpu": cpu, "memoryLimitMb": 16, "estimatedRuntimeMs": ms});
    let body = json!({"bestEffort": true, "taskSpec": spec, "steps": [step]});
    body.to_string().into()
}
