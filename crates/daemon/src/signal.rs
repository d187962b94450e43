//! Orderly stops.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Tells the parts of a process that it is to stop.
///
/// # Examples
///
/// ```
/// use cowslipwing_daemon::StopSignal;
///
/// let stop = StopSignal::new();
/// assert!(!stop.is_set());
/// stop.set();
/// assert!(stop.is_set());
/// ```
#[derive(Clone, Debug)]
pub struct StopSignal {
    tx: watch::Sender<bool>,
}

impl StopSignal {
    /// Returns a stop that is not set.
    pub fn new() -> Self {
        Self { tx: watch::Sender::new(false) }
    }

    /// Asks the process to stop.
    pub fn set(&self) {
        self.tx.send_replace(true);
    }

    /// Tells whether the process is to stop.
    pub fn is_set(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the process is to stop.
    pub async fn wait(&self) {
        let mut rx = self.tx.subscribe();
        // The sender lives as long as this value, so the wait cannot fail.
        let _ = rx.wait_for(|set| *set).await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for a signal that asks the process to stop.
///
/// # Errors
///
/// Fails where the signals cannot be watched.
pub async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
