//! Starts daemons as processes and signals them by their process id.

use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A daemon that can be restarted with the same settings. Dropping it kills the process.
pub(crate) struct Daemon {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Most memory that any process of the daemon has used, in KiB.
    peak_kib: u64,
    /// How a process has ended that was restarted since.
    ended: Option<ExitStatus>,
}

impl Daemon {
    /// Starts a daemon with the settings file `settings`; its output is appended to the file `log`.
    pub(crate) fn start(program: &Path, settings: PathBuf, log: PathBuf) -> std::io::Result<Self> {
        let mut daemon = Self {
            program: program.to_owned(),
            settings,
            log,
            child: None,
            peak_kib: 0,
            ended: None,
        };
        daemon.restart()?;
        Ok(daemon)
    }

    /// Starts the daemon again unless it is running.
    pub(crate) fn restart(&mut self) -> std::io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        self.end_without_signal();
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

    /// Returns how a process has ended that got no signal, if it has.
    pub(crate) fn end_without_signal(&mut self) -> Option<ExitStatus> {
        if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
            let is_killed = status.signal() == Some(Signal::SIGKILL as i32);
            self.ended = self.ended.or((!status.success() && !is_killed).then_some(status));
        }
        self.ended
    }

    /// Returns the most memory that any process of the daemon has used, in KiB.
    pub(crate) fn peak_kib(&self) -> u64 {
        self.peak_kib.max(self.current_peak_kib())
    }

    fn current_peak_kib(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
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
        self.peak_kib = self.peak_kib.max(self.current_peak_kib());
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
