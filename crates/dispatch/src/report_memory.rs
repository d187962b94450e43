//! The endpoint reports that an entry remembers for agents that restart.
//!
//! A restarted agent loads the report that its predecessor saved in the store. If the endpoint's
//! capacity shrank while the store was down, that report is out of date, and the agent would start
//! tasks beyond the capacity until the endpoint's next announcement.

use compact_str::CompactString;
use cowslipwing_types::SortedMap;

use crate::executor::EndpointReport;

/// Maximum number of VMs whose reports are kept; several times the agents that attach to one entry.
const MAX_REPORTS: usize = 1024;

/// The latest endpoint report of each VM.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::{EndpointReport, ReportMemory, Resources};
///
/// let report = |sequence, cpu_millis| EndpointReport {
///     id: "i-1".into(),
///     incarnation: 1700,
///     service: "desk".into(),
///     capacity: Resources { cpu_millis, memory_mb: 4096, gpus: 0 },
///     kind: "a".into(),
///     rack: "r1".into(),
///     draining: false,
///     cold_remaining: Duration::ZERO,
///     sequence,
/// };
/// let mut memory = ReportMemory::default();
/// memory.insert("side-1", report(2, 4000));
/// memory.insert("side-1", report(1, 8000));
/// assert_eq!(memory.get("side-1").unwrap().capacity.cpu_millis, 4000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportMemory {
    reports: SortedMap<CompactString, EndpointReport>,
}

impl ReportMemory {
    /// Remembers a report unless a later one of the VM's endpoint is known.
    pub fn insert(&mut self, vm: &str, report: EndpointReport) {
        let version = |report: &EndpointReport| (report.incarnation, report.sequence);
        let known = self.get(vm);
        if known.is_none() && self.reports.len() >= MAX_REPORTS {
            return;
        }
        if known.is_none_or(|known| version(known) <= version(&report)) {
            self.reports.insert(vm.into(), report);
        }
    }

    /// Returns the latest known report of the endpoint of a VM.
    pub fn get(&self, vm: &str) -> Option<&EndpointReport> {
        self.reports.get(&vm.into())
    }
}
