//! A logger to standard output that never blocks its callers: one thread writes all lines.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record};
use snafu::{ResultExt, Snafu};

/// Maximum number of lines that wait to be written; 2 MB with the longest lines.
const MAX_QUEUED_LINES: usize = 2048;
/// Maximum length of a line in bytes. Lines quote what clients send, such as a path.
const MAX_LINE_BYTES: usize = 1024;
/// Initial capacity of a line's buffer, which most lines fit into.
const LINE_CAPACITY_BYTES: usize = 160;

/// An error when setting up the log.
#[derive(Debug, Snafu)]
pub enum StdoutLogError {
    /// The setting `telemetry.log` holds no valid level.
    #[snafu(display("telemetry.log: {source}; use a level such as info"))]
    InvalidLevel {
        /// Error of the logger.
        source: FlexiLoggerError,
    },
    /// The thread that writes the lines cannot be started.
    #[snafu(display("cannot start the log thread: {source}; raise the limit on threads"))]
    ThreadNotStarted {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// The log of a process. Lines that do not fit into the queue are dropped and counted.
pub struct StdoutLog {
    _handle: LoggerHandle,
}

impl StdoutLog {
    /// Sets up the log; lines less severe than `level` are not written.
    ///
    /// # Errors
    ///
    /// Returns an error if the level is unknown or the writer thread cannot be started.
    pub fn start(level: &str) -> Result<Self, StdoutLogError> {
        let dropped = Arc::new(AtomicU64::new(0));
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped_lines = dropped.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&rx, &dropped_lines))
            .context(ThreadNotStartedSnafu)?;
        let writer = QueueWriter { tx, dropped };
        let handle = Logger::try_with_str(level)
            .and_then(|logger| logger.log_to_writer(Box::new(writer)).start())
            .context(InvalidLevelSnafu)?;
        Ok(Self { _handle: handle })
    }
}

struct QueueWriter {
    tx: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

/// Time at which the first line was formatted; lines also show the time since then as `up_ms`.
static FIRST_LINE_AT: OnceLock<std::time::Instant> = OnceLock::new();

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let first_line_at = FIRST_LINE_AT.get_or_init(std::time::Instant::now);
        let mut line = String::with_capacity(LINE_CAPACITY_BYTES);
        // Writing to a string does not fail.
        let _ = writeln!(
            line,
            "ts={} up_ms={} level={} {}",
            now.format("%H:%M:%S%.3f"),
            first_line_at.elapsed().as_millis(),
            record.level(),
            record.args()
        );
        if self.tx.try_send(bounded(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Cuts a line that is too long, and marks the cut.
fn bounded(mut line: String) -> String {
    const MARK: &str = " [cut]\n";
    if line.len() > MAX_LINE_BYTES {
        let end = (0..=MAX_LINE_BYTES - MARK.len()).rev().find(|end| line.is_char_boundary(*end));
        line.truncate(end.unwrap_or(0));
        line.push_str(MARK);
        line.shrink_to_fit();
    }
    line
}

fn write_lines(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(mut text) = rx.recv() {
        for line in rx.try_iter() {
            text.push_str(&line);
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let _ = writeln!(text, "level=WARN log: event=dropped lines={dropped_lines}");
        }
        // An error of standard output cannot be reported anywhere else.
        let _ = out.write_all(text.as_bytes());
    }
}

#[cfg(test)]
mod tests;
