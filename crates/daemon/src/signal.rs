//! Signals that stop a process gracefully.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// A flag that tells all parts of a process to stop. Clones share the same flag.
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
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        Self { tx: watch::Sender::new(false) }
    }

    /// Sets the signal and wakes all tasks that wait for it. It cannot be reset.
    pub fn set(&self) {
        self.tx.send_replace(true);
    }

    /// Returns whether the signal is set.
    pub fn is_set(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        let mut rx = self.tx.subscribe();
        // `wait_for` fails only if the sender is dropped, and `self` holds the sender.
        let _ = rx.wait_for(|set| *set).await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
