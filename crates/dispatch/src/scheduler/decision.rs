//! Decisions as the log shows them.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::{AgentId, RequestId, TaskRun};
use crate::job::RefusalReason;

use super::Fate;

/// A decision with the inputs that led to it, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A job was admitted.
    Admitted {
        /// The job.
        id: RequestId,
        /// Its queue.
        queue: CompactString,
        /// Number of its tasks.
        tasks: usize,
        /// Share of the processors in use or asked for.
        load: f64,
        /// Time until its objective.
        objective: Duration,
        /// Time until its caller gives up.
        deadline: Duration,
    },
    /// A job was refused.
    Refused {
        /// The job.
        id: RequestId,
        /// Its queue.
        queue: CompactString,
        /// Why.
        reason: RefusalReason,
        /// Share of the processors in use or asked for.
        load: f64,
        /// Number of endpoints that take tasks.
        endpoints: usize,
        /// When its last task would have ended.
        response_time: Duration,
        /// Time until its objective.
        objective: Duration,
    },
    /// A task was sent.
    Sent {
        /// The run.
        run: TaskRun,
        /// Where to.
        agent: AgentId,
        /// Time until it starts.
        wait: Duration,
        /// Time it then takes.
        run_time: Duration,
        /// Probability of missing the objective.
        late_probability: f64,
        /// Age of what is known of the endpoint.
        status_age: Duration,
    },
    /// A task came back without being done.
    Returned {
        /// The run.
        run: TaskRun,
        /// Where from.
        agent: AgentId,
        /// How it fared.
        fate: Fate,
    },
    /// A slow task is stopped, to run elsewhere.
    Moved {
        /// The run.
        run: TaskRun,
        /// Where it runs.
        agent: AgentId,
        /// Time it would need there.
        remaining_here: Duration,
        /// Time it needs elsewhere.
        time_elsewhere: Duration,
    },
    /// Nothing that an agent was sent can run any more.
    AgentLost {
        /// The agent.
        agent: AgentId,
        /// Time since it was heard from.
        silence: Duration,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admitted { id, queue, tasks, load, objective, deadline } => write!(
                f,
                "event=admitted job={id} queue={queue} tasks={tasks} load={load:.2} \
                 objective_ms={} deadline_ms={}",
                objective.as_millis(),
                deadline.as_millis()
            ),
            Self::Refused { id, queue, reason, load, endpoints, response_time, objective } => {
                write!(
                    f,
                    "event=refused job={id} queue={queue} reason={reason} load={load:.2} \
                 endpoints={endpoints} end_ms={} objective_ms={}",
                    response_time.as_millis(),
                    objective.as_millis()
                )
            }
            Self::Sent { run, agent, wait, run_time, late_probability, status_age } => write!(
                f,
                "event=sent task={run} agent={agent} wait_ms={} takes_ms={} risk={late_probability:.2} \
                 status_age_ms={}",
                wait.as_millis(),
                run_time.as_millis(),
                status_age.as_millis()
            ),
            Self::Returned { run, agent, fate } => {
                write!(f, "event=back task={run} agent={agent} fate={fate:?}")
            }
            Self::Moved { run, agent, remaining_here, time_elsewhere } => write!(
                f,
                "event=moved task={run} agent={agent} here_ms={} there_ms={}",
                remaining_here.as_millis(),
                time_elsewhere.as_millis()
            ),
            Self::AgentLost { agent, silence } => {
                write!(f, "event=lost agent={agent} silence_ms={}", silence.as_millis())
            }
        }
    }
}
