//! Identifiers of requests, tasks, agents and entries.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use cowslipwing_types::text_id;
use snafu::Snafu;

/// Maximum length of an id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// The reason for which an identifier is rejected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum IdError {
    /// The id is empty, too long, or has a character that is not allowed.
    #[snafu(display(
        "the id {id:?} is not valid; use 1 to {MAX_ID_BYTES} letters, digits or -_:@"
    ))]
    InvalidId {
        /// The rejected id.
        id: CompactString,
    },
    /// The name of a task is incomplete or malformed.
    #[snafu(display("the task name {name:?} is not valid; use REQUEST.STEP.INDEX"))]
    InvalidTaskName {
        /// The rejected name.
        name: CompactString,
    },
}

fn validate(id: &str) -> Result<CompactString, IdError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_:@".contains(c);
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.chars().all(is_allowed) {
        return InvalidIdSnafu { id }.fail();
    }
    Ok(id.into())
}

text_id!(
    /// Identifies a request and the job that it submits; chosen by the caller.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_dispatch::RequestId;
    ///
    /// let id: RequestId = "5c0e7a21d94b36f8".parse().unwrap();
    /// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
    /// assert!("5c0e 7a21".parse::<RequestId>().is_err());
    /// ```
    RequestId, IdError, validate
);
text_id!(
    /// Identifies one incarnation of an agent.
    AgentId, IdError, validate
);
text_id!(
    /// Identifies one incarnation of an entry.
    EntryId, IdError, validate
);

impl AgentId {
    /// Returns the name of the VM, which all incarnations share: the part before the last `@`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_dispatch::AgentId;
    ///
    /// let agent: AgentId = "side-1@1700".parse().unwrap();
    /// assert_eq!(agent.vm_name(), "side-1");
    /// ```
    pub fn vm_name(&self) -> &str {
        self.0.rsplit_once('@').map_or(self.as_str(), |(vm_name, _)| vm_name)
    }

    /// Returns the start time in milliseconds since 1970: the number after the last `@`. An id
    /// without one counts as the earliest.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_dispatch::AgentId;
    ///
    /// let agent: AgentId = "side-1@1700".parse().unwrap();
    /// assert_eq!(agent.started_ms(), Some(1700));
    /// ```
    pub fn started_ms(&self) -> Option<u64> {
        self.0.rsplit_once('@')?.1.parse().ok()
    }
}

/// Identifies a task of a job.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::TaskName;
///
/// let name: TaskName = "5c0e7a21d94b36f8.0.17".parse().unwrap();
/// assert_eq!((name.step, name.index), (0, 17));
/// assert_eq!(name.to_string(), "5c0e7a21d94b36f8.0.17");
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskName {
    /// Request that submitted the job.
    pub request: RequestId,
    /// Index of the step within the job, from 0.
    pub step: u16,
    /// Index of the task within its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.request, self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = IdError;

    fn from_str(name: &str) -> Result<Self, IdError> {
        let invalid = || InvalidTaskNameSnafu { name }.build();
        let mut parts = name.split('.');
        let request = parts.next().ok_or_else(invalid)?.parse()?;
        let step = parts.next().and_then(|part| part.parse().ok()).ok_or_else(invalid)?;
        let index = parts.next().and_then(|part| part.parse().ok()).ok_or_else(invalid)?;
        match parts.next() {
            None => Ok(Self { request, step, index }),
            Some(_) => Err(invalid()),
        }
    }
}

/// Identifies one run of a task; later runs have higher numbers.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskRun {
    /// The task that runs.
    pub task: TaskName,
    /// Number of the run, from 1.
    pub number: u32,
}

impl fmt::Display for TaskRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.task, self.number)
    }
}
