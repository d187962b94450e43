//! Log lines on standard output, written by one thread that never holds up the others.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record};
use snafu::{ResultExt, Snafu};

/// Lines that may wait to be written; at 200 bytes a line they take 400 KB.
const MAX_WAITING: usize = 2048;

/// A log that cannot be set up.
#[derive(Debug, Snafu)]
pub enum StdoutLogError {
    /// The logger refused its settings.
    #[snafu(display("telemetry.log: {source}; give a level such as info"))]
    InvalidLevel {
        /// What the logger reported.
        source: FlexiLoggerError,
    },
    /// The writing thread cannot be started.
    #[snafu(display("the log's thread cannot be started: {source}; allow one more thread"))]
    ThreadNotStarted {
        /// What the system reported.
        source: std::io::Error,
    },
}

/// The log of a process; lines that find no place are dropped and counted.
pub struct StdoutLog {
    _handle: LoggerHandle,
}

impl StdoutLog {
    /// Sets up the log, where `level` names the least severity written.
    ///
    /// # Errors
    ///
    /// Fails where the level is not known or no thread can be had.
    pub fn start(level: &str) -> Result<Self, StdoutLogError> {
        let dropped = Arc::new(AtomicU64::new(0));
        let (tx, rx) = sync_channel(MAX_WAITING);
        let counted = dropped.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&rx, &counted))
            .context(ThreadNotStartedSnafu)?;
        let writer = Queue { tx, dropped };
        let handle = Logger::try_with_str(level)
            .and_then(|logger| logger.log_to_writer(Box::new(writer)).start())
            .context(InvalidLevelSnafu)?;
        Ok(Self { _handle: handle })
    }
}

struct Queue {
    tx: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

/// Time at which the first line was formatted, so that lines carry the time within the process too.
static STARTED: OnceLock<std::time::Instant> = OnceLock::new();

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let started = STARTED.get_or_init(std::time::Instant::now);
        let mut line = String::with_capacity(160);
        // Writing into a string does not fail.
        let _ = writeln!(
            line,
            "ts={} up_ms={} level={} {}",
            now.format("%H:%M:%S%.3f"),
            started.elapsed().as_millis(),
            record.level(),
            record.args()
        );
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(mut text) = rx.recv() {
        for line in rx.try_iter() {
            text.push_str(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(text, "level=WARN log: event=dropped lines={lost}");
        }
        // There is nowhere to report that standard output is gone.
        let _ = out.write_all(text.as_bytes());
    }
}
