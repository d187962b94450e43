//! Trace spans of a request on every hop.

use std::time::Duration;

use cowslipwing_testkit::Caller;
use volo_http::http::Method;

use crate::session::{Session, job};

#[tokio::test(flavor = "multi_thread")]
async fn each_hop_has_a_span_in_the_trace_of_the_caller() {
    const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
    let dir = tempfile::TempDir::new().unwrap();
    let path = dir.path().join("spans");
    let settings = format!("telemetry:\n  traces: file:{}\n", path.display());
    let session = Session::with_settings(&settings).await.with_contract("shop").await;
    let entry = session.cluster.entry_addresses()[0];
    let traceparent = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
    let headers = [("traceparent", traceparent.as_str())];
    let body = job("shop", 1, "hold");
    let reply = Caller::new().send(entry, Method::POST, "/v1/jobs", &headers, &body).await;
    assert_eq!(reply.unwrap().status, 200);
    let mut spans = String::new();
    for _ in 0..100 {
        spans = std::fs::read_to_string(&path).unwrap_or_default();
        if spans.contains("name=submit") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let trace_spans: Vec<&str> = spans.lines().filter(|line| line.contains(TRACE_ID)).collect();
    for name in ["name=submit", "name=dispatch"] {
        assert!(trace_spans.iter().any(|line| line.contains(name)), "{name} in {spans}");
    }
}
