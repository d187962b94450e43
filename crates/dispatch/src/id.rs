//! Names of requests, tasks, agents and entries.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use cowslipwing_types::text_id;
use snafu::Snafu;

/// Longest id accepted, in bytes.
const MAX_ID_BYTES: usize = 128;

/// An id that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum IdError {
    /// The id has no or too many characters, or one that is not accepted.
    #[snafu(display(
        "the id {id:?} is not valid; use 1 to {MAX_ID_BYTES} letters, digits or -_:@"
    ))]
    InvalidId {
        /// The id as given.
        id: CompactString,
    },
    /// The name of a task lacks a part.
    #[snafu(display("{name:?} names no task; write REQUEST.STEP.INDEX"))]
    InvalidTaskName {
        /// The name as given.
        name: CompactString,
    },
}

fn check(id: &str) -> Result<CompactString, IdError> {
    let accepted = |c: char| c.is_ascii_alphanumeric() || "-_:@".contains(c);
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.chars().all(accepted) {
        return InvalidIdSnafu { id }.fail();
    }
    Ok(id.into())
}

text_id!(
    /// Names a request, as its caller chose.
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
    RequestId, IdError, check
);
text_id!(
    /// Names one incarnation of an agent.
    AgentId, IdError, check
);
text_id!(
    /// Names one incarnation of an entry.
    EntryName, IdError, check
);

impl AgentId {
    /// Returns the name of the VM, which all incarnations share: what stands before the last `@`.
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
        self.0.rsplit_once('@').map_or(self.as_str(), |(node, _)| node)
    }
}

/// Names a task of a job.
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
    /// The job's request.
    pub request: RequestId,
    /// Number of the step, from 0.
    pub step: u16,
    /// Number of the task within its step, from 0.
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
        let bad = || InvalidTaskNameSnafu { name }.build();
        let mut parts = name.split('.');
        let request = parts.next().ok_or_else(bad)?.parse()?;
        let step = parts.next().and_then(|part| part.parse().ok()).ok_or_else(bad)?;
        let index = parts.next().and_then(|part| part.parse().ok()).ok_or_else(bad)?;
        match parts.next() {
            None => Ok(Self { request, step, index }),
            Some(_) => Err(bad()),
        }
    }
}

/// Names one run of a task; a later run has a higher number.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskRun {
    /// The task.
    pub task: TaskName,
    /// Number of the run, from 1.
    pub run: u32,
}

impl fmt::Display for TaskRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.task, self.run)
    }
}
