//! Carries the trace context from hop to hop.

use std::collections::HashMap;

use opentelemetry::Context;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

const TRACEPARENT: &str = "traceparent";

/// Makes a span the child of the one that a message names.
pub(crate) fn set_remote_parent(span: &Span, traceparent: &str) {
    if traceparent.is_empty() {
        return;
    }
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
    let parent: Context = TraceContextPropagator::new().extract(&carrier);
    // A span that is not recorded has no parent to set.
    let _ = span.set_parent(parent);
}

/// Returns the name of a span for the next hop, empty where nothing is recorded.
pub(crate) fn traceparent_of(span: &Span) -> String {
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_default()
}
