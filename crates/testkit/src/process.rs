//! Starts programs of the workspace and signals them by their process id.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{IoSnafu, NoListenAddressSnafu, ProgramNotBuiltSnafu, TestkitError};

/// A process that the test has started. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Addresses on the first line of the process's output, in order.
    addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a program of the workspace and waits until it prints its addresses. Its standard
    /// error is appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program has not been built, cannot be started or prints no address.
    pub fn start(program: &str, args: &[&str], log: &Path) -> Result<Self, TestkitError> {
        let path = program_path(program);
        ensure!(path.exists(), ProgramNotBuiltSnafu { path });
        let stderr = std::fs::File::options().create(true).append(true).open(log);
        let stderr = stderr.context(IoSnafu { what: "open the log of a process" })?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .context(IoSnafu { what: "start a process" })?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        read.context(IoSnafu { what: "read the addresses of a process" })?;
        let fields = line.split([' ', '=', '\n']);
        let addresses: Vec<SocketAddr> = fields.filter_map(|field| field.parse().ok()).collect();
        let process = Self { child, addresses };
        process.addresses.first().context(NoListenAddressSnafu { name: program })?;
        Ok(process)
    }

    /// Returns the addresses that the process listens on, in the order in which it printed them.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        // Waiting for a killed child process does not fail.
        let _ = self.child.wait();
    }

    /// Suspends the process with `SIGSTOP` until [`thaw`](Self::thaw) resumes it.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful stop of the process with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits into an i32");
        // An error only means that the process has exited already.
        let _ = kill(Pid::from_raw(pid), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.has_exited() {
            self.kill();
        }
    }
}

/// Returns the path of a program of the workspace in the build profile of the running test.
pub fn program_path(program: &str) -> PathBuf {
    let test_program = std::env::current_exe().unwrap_or_default();
    let deps_dir =
        test_program.ancestors().find(|dir| dir.file_name().is_some_and(|name| name == "deps"));
    deps_dir.and_then(Path::parent).unwrap_or(Path::new(".")).join(program)
}
