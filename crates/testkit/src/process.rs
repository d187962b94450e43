//! Starts processes of ours and signals them by their id.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{IoSnafu, NoListenAddressSnafu, ProgramNotBuiltSnafu, TestkitError};

/// A process that this test started; dropping it ends it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The addresses that it printed, in their order.
    addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a program of this workspace, with its log in a file, and reads its addresses.
    ///
    /// # Errors
    ///
    /// Fails where the program is not built or ends at once.
    pub fn start(program: &str, args: &[&str], log: &Path) -> Result<Self, TestkitError> {
        let path = program_path(program);
        ensure!(path.exists(), ProgramNotBuiltSnafu { path });
        let stderr = std::fs::File::options().create(true).append(true).open(log);
        let stderr = stderr.context(IoSnafu { what: "open a log" })?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .context(IoSnafu { what: "start a process" })?;
        let stdout = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        read.context(IoSnafu { what: "read an address" })?;
        let words = line.split([' ', '=', '\n']);
        let addresses: Vec<SocketAddr> = words.filter_map(|word| word.parse().ok()).collect();
        let process = Self { child, addresses };
        process.addresses.first().context(NoListenAddressSnafu { name: program })?;
        Ok(process)
    }

    /// Returns the addresses that the process listens on.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        // A process that was killed can always be waited for.
        let _ = self.child.wait();
    }

    /// Stops the process from running until it is thawed.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets the process run again.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id is a small number");
        // A process that has ended needs no signal.
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

/// Returns the path of a program of this workspace, beside the running test.
pub fn program_path(program: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap_or_default();
    let profile = test.ancestors().find(|dir| dir.file_name().is_some_and(|name| name == "deps"));
    profile.and_then(Path::parent).unwrap_or(Path::new(".")).join(program)
}
