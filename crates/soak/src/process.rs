//! Starts daemons as processes and signals them by their process id.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A daemon that can be restarted with the same settings. Dropping it kills the process.
pub(crate) struct Daemon {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Starts a daemon with the settings file `settings`; its output is appended to the file `log`.
    pub(crate) fn start(program: &Path, settings: PathBuf, log: PathBuf) -> std::io::Result<Self> {
        let mut daemon = Self { program: program.to_owned(), settings, log, child: None };
        daemon.restart()?;
        Ok(daemon)
    }

    /// Starts the daemon again unless it is running.
    pub(crate) fn restart(&mut self) -> std::io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns whether the process is running.
    pub(crate) fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        matches!(child.try_wait(), Ok(None))
    }

    /// Sends a signal to the process; has no effect if it has exited.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(child) = &self.child {
            let pid = i32::try_from(child.id()).expect("a process id fits into an i32");
            // An error only means that the process has exited since the check.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
        if let Some(child) = &mut self.child {
            // Waiting for a killed child process does not fail.
            let _ = child.wait();
        }
    }
}
