//! The VM of a process under test: what the process may use, and what it uses.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard};

/// Memory of the VM in the tests. The smallest one on the platform has 120 MB.
pub const MEMORY_MIB: u64 = 64;
/// Descriptors that the process may open.
pub const DESCRIPTORS: u64 = 1024;
/// Descriptors where the crowd has more connections than that.
pub const FEW_DESCRIPTORS: u64 = 256;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const KIB: u64 = 1024;
const MIB: u64 = 1 << 20;

/// One crowd runs at a time, so that it does not disturb others.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Waits until no other crowd runs.
pub async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// Watches a process, and the bytes that it has not read yet, until it is dropped.
pub struct Watch {
    pid: u32,
    descriptors: u64,
    peak_memory: Arc<AtomicU64>,
    peak_descriptors: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
}

impl Watch {
    /// Starts to watch a process that listens at `ip` and may open a number of descriptors.
    pub fn start(pid: u32, ip: IpAddr, descriptors: u64) -> Self {
        let watch = Self {
            pid,
            descriptors,
            peak_memory: Arc::default(),
            peak_descriptors: Arc::default(),
            ended: Arc::default(),
        };
        let (memory, open, ended) =
            (watch.peak_memory.clone(), watch.peak_descriptors.clone(), watch.ended.clone());
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let held = status_kib(pid, "VmRSS:").unwrap_or(0) * KIB + unread_bytes(ip);
                memory.fetch_max(held, Ordering::Relaxed);
                open.fetch_max(open_descriptors(pid), Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        watch
    }

    /// Checks that the process lives, and has stayed within its memory and its descriptors.
    pub fn check(&self) {
        let peak = status_kib(self.pid, "VmHWM:").expect("the process lives");
        let memory = self.peak_memory.load(Ordering::Relaxed).max(peak * KIB);
        let descriptors = self.peak_descriptors.load(Ordering::Relaxed);
        println!("memory={} descriptors={descriptors}", memory / MIB);
        assert!(memory <= MEMORY_MIB * MIB, "{} of {MEMORY_MIB} MiB were held", memory / MIB);
        assert!(
            descriptors <= self.descriptors,
            "{descriptors} of {} descriptors were open",
            self.descriptors
        );
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Returns a size from the status of a live process, in KiB.
fn status_kib(pid: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn open_descriptors(pid: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |entries| entries.count() as u64)
}

/// Returns the bytes that the kernel holds for the connections of `ip` and that were not read yet.
fn unread_bytes(ip: IpAddr) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().skip(1).filter_map(|line| unread_bytes_of_line(line, ip)).sum()
}

/// Reads a line of `/proc/net/tcp`: number, local address, remote address, state, and the lengths of
/// both queues, in hexadecimal digits. The address is in the byte order of the machine.
fn unread_bytes_of_line(line: &str, ip: IpAddr) -> Option<u64> {
    const ESTABLISHED: &str = "01";
    const CLOSE_WAIT: &str = "08";
    let fields: Vec<&str> = line.split_whitespace().collect();
    let local = u32::from_str_radix(fields.get(1)?.split(':').next()?, 16).ok()?;
    let is_open = [ESTABLISHED, CLOSE_WAIT].contains(fields.get(3)?);
    let unread = fields.get(4)?.split(':').nth(1)?;
    (is_open && IpAddr::from(local.to_ne_bytes()) == ip)
        .then(|| u64::from_str_radix(unread, 16).ok())
        .flatten()
}

/// Returns the settings of the VM, as lines of YAML.
pub fn settings(descriptors: u64) -> String {
    format!("limits:\n  memory: {MEMORY_MIB}MiB\n  descriptors: {descriptors}\n")
}

/// Returns an address of a listener of the process under test.
pub fn at(ip: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(ip, port)
}
