//! Propagation of the trace context between processes, as a W3C `traceparent` value.

use std::collections::HashMap;

use opentelemetry::Context;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

const TRACEPARENT: &str = "traceparent";

/// Makes the remote span that `traceparent` identifies the parent of `span`.
///
/// Does nothing if `traceparent` is empty.
pub(crate) fn set_remote_parent(span: &Span, traceparent: &str) {
    if traceparent.is_empty() {
        return;
    }
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
    let parent: Context = TraceContextPropagator::new().extract(&carrier);
    // Fails only if the span is not recorded; such a span needs no parent.
    let _ = span.set_parent(parent);
}

/// Returns the `traceparent` value of a span, or an empty string if the span is not recorded.
pub(crate) fn traceparent_of(span: &Span) -> String {
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_default()
}
