//! What callers send.

use bytes::Bytes;
use serde_json::json;

/// Returns the body of a best-effort job of one step, whose tasks the stand-in endpoints run for `ms`
/// milliseconds on `cpu` thousandths of a core.
pub fn job_body(tasks: u32, ms: u64, cpu: u32) -> Bytes {
    let text = format!("ms={ms} cpu={cpu}");
    let step = json!({"count": tasks, "cpu": cpu, "memoryLimitMb": 16, "estimatedRuntimeMs": ms});
    let body = json!({"bestEffort": true, "taskSpec": text, "steps": [step]});
    body.to_string().into()
}
