//! Keys of jobs and ids of their tasks.

use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

use compact_str::CompactString;
use snafu::Snafu;
use uuid::{NoContext, Timestamp, Uuid};

use crate::clock::from_millis;
use crate::hash::stable_hash;
use crate::id::{CustomerName, NameError, check_name};
use crate::number::{RANGES, RangeId, TaskIndex};

/// A key that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum KeyError {
    /// The key is not a usable name.
    #[snafu(display("the idempotency key cannot be used: {source}"))]
    BadName {
        /// What is wrong with it.
        source: NameError,
    },
}

/// The key of a job, chosen by the caller or by the entry.
///
/// # Examples
///
/// ```
/// use cowslipwing_types::JobKey;
///
/// let key: JobKey = "018f0000-0000-7000-8000-000000000000".parse().unwrap();
/// assert!(key.made_at().is_some());
/// let plain: JobKey = "order-17".parse().unwrap();
/// assert!(plain.made_at().is_none());
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobKey(CompactString);

impl JobKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Makes a key that shows when it was made.
    pub fn generate(made_at: SystemTime) -> Self {
        let since = made_at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let time = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
        Self(Uuid::new_v7(time).to_string().into())
    }

    /// Returns when the key was made, where a UUID of version 7 shows it.
    pub fn made_at(&self) -> Option<SystemTime> {
        let uuid = Uuid::parse_str(&self.0).ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
        Some(from_millis(seconds * 1000 + u64::from(nanos / 1_000_000)))
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for JobKey {
    type Err = KeyError;

    fn from_str(key: &str) -> Result<Self, Self::Err> {
        check_name(key).map_err(|source| KeyError::BadName { source })?;
        Ok(Self(key.into()))
    }
}

/// A job: a key within its customer's name space.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId {
    /// The customer that owns the key.
    pub customer: CustomerName,
    /// The key.
    pub key: JobKey,
}

impl JobId {
    /// Returns the range that the job belongs to.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_types::{JobId, RANGES};
    ///
    /// let job = JobId { customer: "gym".parse().unwrap(), key: "hold-1".parse().unwrap() };
    /// assert!(job.range().get() < RANGES);
    /// ```
    pub fn range(&self) -> RangeId {
        let text = self.customer.as_str().bytes().chain([0]).chain(self.key.as_str().bytes());
        RangeId::new((stable_hash(text) % u64::from(RANGES)) as u32)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.customer, self.key)
    }
}

/// One task of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's place in the submission.
    pub index: TaskIndex,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{}]", self.job, self.index)
    }
}
