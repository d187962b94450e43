//! Sets up logs, metrics and traces.

use std::fmt::Debug;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;

use cowslipwing_settings::{Telemetry, Traces};
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record};
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SdkTracerProvider, SpanData, SpanExporter as Exporter};
use snafu::{ResultExt, Snafu};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::metrics::Metrics;

/// Logs, metrics or traces that cannot be set up.
#[derive(Debug, Snafu)]
pub enum TelemetryError {
    /// The log cannot be set up.
    #[snafu(display("telemetry.log: {source}; give a level such as info"))]
    BadLog {
        /// What the logger reported.
        source: FlexiLoggerError,
    },
    /// The file for spans cannot be opened.
    #[snafu(display("telemetry.traces: cannot write {}: {source}; check the path", path.display()))]
    BadFile {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The collector cannot be used.
    #[snafu(display("telemetry.traces: {detail}; check the address of the collector"))]
    BadCollector {
        /// What the exporter reported.
        detail: String,
    },
    /// Metrics cannot be sent.
    #[snafu(display("telemetry.metrics: {source}; check the address of the statsd server"))]
    BadMetrics {
        /// What the system reported.
        source: std::io::Error,
    },
}

/// Keeps logs and traces going; dropping it flushes them.
pub struct TelemetryGuard {
    /// Where metrics go.
    pub metrics: Metrics,
    _log: LoggerHandle,
    traces: Option<SdkTracerProvider>,
}

impl TelemetryGuard {
    /// Sets up logs, metrics and traces for the whole process.
    ///
    /// # Errors
    ///
    /// Fails where a target cannot be opened.
    pub fn start(telemetry: &Telemetry) -> Result<Self, TelemetryError> {
        let log = Logger::try_with_str(&telemetry.log)
            .and_then(|logger| logger.format(write_line).log_to_stderr().start())
            .context(BadLogSnafu)?;
        let metrics = match telemetry.metrics {
            Some(server) => Metrics::statsd(server).context(BadMetricsSnafu)?,
            None => Metrics::disabled(),
        };
        let traces = start_traces(&telemetry.traces)?;
        Ok(Self { metrics, _log: log, traces })
    }
}

impl Drop for TelemetryGuard {
    fn drop(&mut self) {
        if let Some(traces) = &self.traces {
            let _ = traces.shutdown();
        }
    }
}

fn write_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format_rfc3339();
    write!(out, "{time} {:5} {}", record.level(), record.args())
}

fn start_traces(target: &Traces) -> Result<Option<SdkTracerProvider>, TelemetryError> {
    let builder = SdkTracerProvider::builder();
    let provider = match target {
        Traces::Off => return Ok(None),
        Traces::Stdout => {
            builder.with_simple_exporter(LineExporter::new(std::io::stdout())).build()
        }
        Traces::File(path) => {
            let file = File::options().create(true).append(true).open(path);
            let file = file.context(BadFileSnafu { path })?;
            builder.with_simple_exporter(LineExporter::new(file)).build()
        }
        Traces::Otlp(address) => {
            let exporter = SpanExporter::builder()
                .with_tonic()
                .with_endpoint(format!("http://{address}"))
                .build()
                .map_err(|error| BadCollectorSnafu { detail: error.to_string() }.build())?;
            builder.with_batch_exporter(exporter).build()
        }
    };
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("cowslipwing"));
    let spans_of_ours = tracing_subscriber::filter::Targets::new()
        .with_target("cowslipwing_daemon", tracing::Level::INFO);
    // A second daemon in the same process shares the first one's traces.
    let _ = tracing_subscriber::registry()
        .with(tracing_subscriber::Layer::with_filter(layer, spans_of_ours))
        .try_init();
    Ok(Some(provider))
}

/// Writes each span as one line.
#[derive(Debug)]
struct LineExporter<W> {
    out: Mutex<W>,
}

impl<W> LineExporter<W> {
    fn new(out: W) -> Self {
        Self { out: Mutex::new(out) }
    }
}

impl<W> Exporter for LineExporter<W>
where
    W: Write + Send + Debug,
{
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut out = self.out.lock().expect("no holder of the output panics");
        for span in batch {
            let took = span.end_time.duration_since(span.start_time).unwrap_or_default();
            // A span that cannot be written is lost, and nothing else.
            let _ = writeln!(
                out,
                "trace={} span={} parent={} name={} micros={}",
                span.span_context.trace_id(),
                span.span_context.span_id(),
                span.parent_span_id,
                span.name,
                took.as_micros(),
            );
        }
        Ok(())
    }
}
