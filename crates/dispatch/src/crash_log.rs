//! Records of endpoints that crashed under tasks, which agents and entries share.
//!
//! A caller may resubmit a job at any entry, so that each entry and each agent must know of the
//! crashes that the job's tasks caused elsewhere. Records travel from the agent of the crashed
//! endpoint over entries and other agents. Retention is bounded in number and time.

use std::time::Duration;

use compact_str::CompactString;

use crate::id::{RequestId, TaskName, TaskRun};
use crate::scheduler::CrashRole;

/// Maximum number of records that are kept.
const MAX_RECORDS: usize = 256;
/// Time from a crash for which its records are kept. Callers resubmit a job within seconds.
const RETENTION: Duration = Duration::from_secs(60);

/// Number of crashes soon after the start of a task from which its job is failed.
const MAX_SUSPECTED: u32 = 2;
/// Number of crashes at any time of a task's runs, with or without a confirmed start, from which a job
/// is given up.
const MAX_POSSIBLE: u32 = 3;

/// The crash of an endpoint under a run. Run and VM identify the record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRecord {
    /// The run that was lost.
    pub run: TaskRun,
    /// Name of the VM of the endpoint.
    pub vm: CompactString,
    /// Part that the run had in the crash.
    pub role: CrashRole,
}

impl CrashRecord {
    fn is_same_crash(&self, other: &Self) -> bool {
        self.run == other.run && self.vm == other.vm
    }
}

/// Number of endpoints that crashed under a task, by the part that the task had.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashCount {
    suspect: u32,
    bystander: u32,
    unconfirmed: u32,
}

impl CrashCount {
    /// Counts a crash.
    pub fn add(&mut self, role: CrashRole) {
        match role {
            CrashRole::Suspect => self.suspect += 1,
            CrashRole::Bystander => self.bystander += 1,
            CrashRole::Unconfirmed => self.unconfirmed += 1,
        }
    }

    /// Returns the number of crashes of endpoints that had confirmed the start.
    pub fn confirmed(self) -> u32 {
        self.suspect + self.bystander
    }

    /// Returns the number of crashes, with or without a confirmed start.
    pub fn possible(self) -> u32 {
        self.confirmed() + self.unconfirmed
    }

    /// Returns whether the task is the likely cause of as many crashes as it may have. A task that runs
    /// for seconds beside deadly ones loses several endpoints without having crashed any.
    pub fn is_failed(self) -> bool {
        self.suspect >= MAX_SUSPECTED
    }

    /// Returns whether the task may have crashed as many endpoints as it may, so that it must not
    /// start again.
    pub fn is_at_limit(self) -> bool {
        self.is_failed() || self.possible() >= MAX_POSSIBLE
    }
}

/// The crash records that an agent or an entry remembers.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::{CrashLog, CrashRecord, CrashRole, TaskRun};
/// use std::time::Duration;
///
/// let run = TaskRun { task: "5c0e7a21.0.0".parse().unwrap(), number: 1 };
/// let record = CrashRecord { run, vm: "side-1".into(), role: CrashRole::Suspect };
/// let mut log = CrashLog::default();
/// let now = Duration::from_secs(100);
/// assert!(log.insert(now, record.clone(), Duration::ZERO));
/// // The same record counts once.
/// assert!(!log.insert(now, record.clone(), Duration::from_secs(1)));
/// assert_eq!(log.count(now, &record.run.task).possible(), 1);
/// assert_eq!(log.count(now + Duration::from_secs(60), &record.run.task).possible(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    /// Records with the times of their crashes, by ascending time.
    records: Vec<(Duration, CrashRecord)>,
}

impl CrashLog {
    /// Adds the record of a crash that happened `age` before `now`. Returns `false` if the record
    /// is known, too old, or older than those kept.
    pub fn insert(&mut self, now: Duration, record: CrashRecord, age: Duration) -> bool {
        self.expire(now);
        let is_known = self.records.iter().any(|(_, known)| known.is_same_crash(&record));
        if is_known || age >= RETENTION {
            return false;
        }
        let crashed_at = now.saturating_sub(age);
        let position = self.records.partition_point(|(at, _)| *at <= crashed_at);
        self.records.insert(position, (crashed_at, record));
        self.records.len() <= MAX_RECORDS || self.evict() != position
    }

    /// Removes the oldest record of a task that was no suspect, or else the oldest; returns its
    /// position. Two suspected crashes end a job, three of the others are needed.
    fn evict(&mut self) -> usize {
        let is_no_suspect =
            |(_, record): &(Duration, CrashRecord)| record.role != CrashRole::Suspect;
        let position = self.records.iter().position(is_no_suspect).unwrap_or_default();
        self.records.remove(position);
        position
    }

    fn expire(&mut self, now: Duration) {
        self.records.retain(|(at, _)| now < *at + RETENTION);
    }

    /// Returns the records and the time since each crash, oldest first.
    pub fn records(&self, now: Duration) -> impl Iterator<Item = (&CrashRecord, Duration)> {
        let kept = self.records.iter().filter(move |(at, _)| now < *at + RETENTION);
        kept.map(move |(at, record)| (record, now.saturating_sub(*at)))
    }

    /// Returns the records of the tasks of a request.
    pub fn of_request(
        &self,
        now: Duration,
        request: &RequestId,
    ) -> impl Iterator<Item = &CrashRecord> {
        let records = self.records(now).map(|(record, _)| record);
        records.filter(move |record| record.run.task.request == *request)
    }

    /// Returns the number of crashes under a task.
    pub fn count(&self, now: Duration, task: &TaskName) -> CrashCount {
        let mut count = CrashCount::default();
        for record in self.of_request(now, &task.request).filter(|record| record.run.task == *task)
        {
            count.add(record.role);
        }
        count
    }

    /// Returns whether a task is suspected of a crash of the endpoint of a VM.
    pub fn is_suspect_at(&self, now: Duration, task: &TaskName, vm: &str) -> bool {
        let is_suspect = |record: &CrashRecord| {
            record.run.task == *task && record.vm == vm && record.role == CrashRole::Suspect
        };
        self.of_request(now, &task.request).any(is_suspect)
    }
}
