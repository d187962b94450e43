//! Setup of logs, metrics and traces.

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

/// An error in setting up logs, metrics or traces.
#[derive(Debug, Snafu)]
pub enum TelemetryError {
    /// The logger cannot be started.
    #[snafu(display("telemetry.log: {source}; give a level such as info"))]
    LogSetup {
        /// The logger's error.
        source: FlexiLoggerError,
    },
    /// The trace file cannot be opened.
    #[snafu(display("telemetry.traces: cannot write {}: {source}; check the path", path.display()))]
    TraceFile {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The exporter for the OTLP collector cannot be created.
    #[snafu(display("telemetry.traces: {detail}; check the address of the collector"))]
    TraceCollector {
        /// The exporter's error message.
        detail: String,
    },
    /// The UDP socket for metrics cannot be opened.
    #[snafu(display("telemetry.metrics: {source}; check the address of the statsd server"))]
    MetricsSocket {
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// Keeps logging and tracing active; flushes both when dropped.
pub struct TelemetryGuard {
    /// Client for metrics; it discards them if the settings name no statsd server.
    pub metrics: Metrics,
    _log: LoggerHandle,
    traces: Option<SdkTracerProvider>,
}

impl TelemetryGuard {
    /// Sets up logs, metrics and traces for the whole process.
    ///
    /// # Errors
    ///
    /// Returns an error if the logger, the metrics socket or the trace exporter cannot be set up.
    pub fn start(telemetry: &Telemetry) -> Result<Self, TelemetryError> {
        let log = Logger::try_with_str(&telemetry.log)
            .and_then(|logger| logger.format(format_record).log_to_stderr().start())
            .context(LogSetupSnafu)?;
        let metrics = match telemetry.metrics {
            Some(server) => Metrics::statsd(server).context(MetricsSocketSnafu)?,
            None => Metrics::disabled(),
        };
        let traces = start_tracing(&telemetry.traces)?;
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

/// Formats a log record: time, level and message.
fn format_record(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format_rfc3339();
    write!(out, "{time} {:5} {}", record.level(), record.args())
}

/// Installs the exporter for spans. Returns `None` if tracing is off.
fn start_tracing(target: &Traces) -> Result<Option<SdkTracerProvider>, TelemetryError> {
    let builder = SdkTracerProvider::builder();
    let provider = match target {
        Traces::Off => return Ok(None),
        Traces::Stdout => {
            builder.with_simple_exporter(LineExporter::new(std::io::stdout())).build()
        }
        Traces::File(path) => {
            let file = File::options().create(true).append(true).open(path);
            let file = file.context(TraceFileSnafu { path })?;
            builder.with_simple_exporter(LineExporter::new(file)).build()
        }
        Traces::Otlp(address) => {
            let exporter = SpanExporter::builder()
                .with_tonic()
                .with_endpoint(format!("http://{address}"))
                .build()
                .map_err(|error| TraceCollectorSnafu { detail: error.to_string() }.build())?;
            builder.with_batch_exporter(exporter).build()
        }
    };
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("cowslipwing"));
    let daemon_spans = tracing_subscriber::filter::Targets::new()
        .with_target("cowslipwing_daemon", tracing::Level::INFO);
    // Fails if another daemon in the same process has already installed a subscriber; the two then
    // share the first one's traces.
    let _ = tracing_subscriber::registry()
        .with(tracing_subscriber::Layer::with_filter(layer, daemon_spans))
        .try_init();
    Ok(Some(provider))
}

/// Exports each span as one line of text.
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
        let mut out = self.out.lock().expect("the output mutex is not poisoned");
        for span in batch {
            let duration = span.end_time.duration_since(span.start_time).unwrap_or_default();
            // A failed write loses only this span.
            let _ = writeln!(
                out,
                "trace={} span={} parent={} name={} micros={}",
                span.span_context.trace_id(),
                span.span_context.span_id(),
                span.parent_span_id,
                span.name,
                duration.as_micros(),
            );
        }
        Ok(())
    }
}
