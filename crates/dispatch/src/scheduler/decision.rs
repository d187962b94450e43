//! Scheduling decisions and their log format.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

use crate::crash_log::CrashRecord;
use crate::id::{AgentId, RequestId, TaskName, TaskRun};
use crate::job::{RefusalReason, TimeoutSource};

use super::RunStatus;

/// A scheduling decision with its inputs, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A job was admitted.
    Admitted {
        /// Id of the job.
        id: RequestId,
        /// Queue of the job.
        queue: CompactString,
        /// Number of tasks in the job.
        tasks: usize,
        /// Share of the service's processors in use or requested by queued tasks.
        load: f64,
        /// Time until the objective of the job.
        objective: Duration,
        /// Time until the caller times out.
        deadline: Duration,
        /// Where the time for which the caller waits is stated.
        timeout_source: TimeoutSource,
    },
    /// A job was refused.
    Refused {
        /// Id of the job.
        id: RequestId,
        /// Queue of the job.
        queue: CompactString,
        /// Priority of the queue; 0 is the most urgent.
        priority: u32,
        /// Priority class that the capacity is left to, if the job was refused for its sake.
        yields_to: Option<usize>,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Share of the service's processors in use or requested by queued tasks.
        load: f64,
        /// Number of endpoints that accept tasks.
        endpoints: usize,
        /// Predicted time until the answer would reach the caller.
        response_time: Duration,
        /// Time until the objective of the job.
        objective: Duration,
        /// Time until the caller times out.
        deadline: Duration,
        /// Where the time for which the caller waits is stated.
        timeout_source: TimeoutSource,
    },
    /// The tasks of a job that could no longer be served were taken back from agents.
    Withdrawn {
        /// Id of the job.
        id: RequestId,
        /// Queue of the job.
        queue: CompactString,
        /// Number of tasks in the job.
        tasks: usize,
        /// Number of tasks whose agents have not answered.
        unconfirmed: usize,
        /// Whether all tasks are confirmed as not started.
        not_started: bool,
        /// Time from the cancellation of the tasks to the answer.
        held_for: Duration,
    },
    /// A task was sent to an agent.
    Sent {
        /// The run that was sent.
        run: TaskRun,
        /// Agent that received it.
        agent: AgentId,
        /// Predicted time until the task starts.
        wait: Duration,
        /// Predicted run time.
        run_time: Duration,
        /// Predicted probability of missing the objective.
        late_probability: f64,
        /// Age of the endpoint status used for the prediction.
        status_age: Duration,
    },
    /// A run ended without completing its task. Its agent reported this, or the entry concluded it
    /// because the agent is lost, was replaced or never received the run.
    Returned {
        /// The run that ended.
        run: TaskRun,
        /// Agent that it was sent to.
        agent: AgentId,
        /// Status of the run.
        status: RunStatus,
    },
    /// An agent that has attached again holds a run that no open job needs, so the run is cancelled.
    HeldRunCancelled {
        /// The run that is cancelled.
        run: TaskRun,
        /// Agent that holds it.
        agent: AgentId,
    },
    /// A slow task is stopped so that it can run elsewhere.
    Moved {
        /// The run that is stopped.
        run: TaskRun,
        /// Agent at which it runs.
        agent: AgentId,
        /// Remaining run time at its current endpoint.
        remaining_here: Duration,
        /// Time until the answer from another endpoint.
        time_elsewhere: Duration,
    },
    /// The job of a task is given up, because the task is projected to end after the caller has timed
    /// out.
    Overrun {
        /// The run.
        run: TaskRun,
        /// Agent at which it runs.
        agent: AgentId,
        /// Remaining run time at its current endpoint.
        remaining_here: Duration,
        /// Time until the caller times out.
        deadline: Duration,
    },
    /// The job of a task is given up, because endpoints crashed under the task.
    CrashLimitReached {
        /// The task.
        task: TaskName,
        /// Number of endpoints that crashed after they had confirmed a start of the task.
        confirmed: u32,
        /// Number of endpoints that crashed after a start of the task was sent.
        possible: u32,
    },
    /// A submitted job is answered at once, because endpoints crashed under one of its tasks in
    /// earlier attempts of its caller.
    CrashLimitKnown {
        /// The task.
        task: TaskName,
        /// Number of endpoints that crashed after they had confirmed a start of the task.
        confirmed: u32,
        /// Number of endpoints that crashed after a start of the task was sent.
        possible: u32,
    },
    /// A crash record that was not known has arrived.
    CrashLearned {
        /// The record.
        record: CrashRecord,
        /// Agent that sent it.
        source: AgentId,
    },
    /// A queue whose tasks crash endpoints is confined to some of the endpoints.
    QueueContained {
        /// Name of the queue.
        queue: CompactString,
        /// Number of endpoints that its tasks may use.
        endpoints: usize,
    },
    /// A job of a contained queue is given up, because a task of it is suspected of a crash.
    SuspectGivenUp {
        /// The task.
        task: TaskName,
        /// Name of the queue.
        queue: CompactString,
    },
    /// A task waits for a place on the rack of its data.
    NearWaitBegun {
        /// Name of the task.
        task: TaskName,
        /// Rack of its data.
        rack: CompactString,
        /// Expected time until a place is free.
        expected: Duration,
        /// Longest time for which the task waits.
        within: Duration,
    },
    /// A task that has waited for the rack of its data was sent there.
    NearWaitPaidOff {
        /// Name of the task.
        task: TaskName,
        /// Time for which it has waited.
        waited: Duration,
    },
    /// A task that has waited for the rack of its data was sent elsewhere, or its job has ended.
    NearWaitLost {
        /// Name of the task.
        task: TaskName,
        /// Time for which it has waited.
        waited: Duration,
    },
    /// A task was sent to an endpoint on another rack than that of its data.
    FarFromData {
        /// Name of the task.
        task: TaskName,
        /// Rack of its data.
        rack: CompactString,
        /// Agent that it was sent to.
        agent: AgentId,
    },
    /// An agent was silent until all leases expired, so that none of its tasks can still run.
    AgentLost {
        /// The agent.
        agent: AgentId,
        /// Time since the last contact with the agent.
        silence: Duration,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admitted { id, queue, tasks, load, objective, deadline, timeout_source } => {
                write!(
                    f,
                    "event=admitted job={id} queue={queue} tasks={tasks} load={load:.2} \
                     objective_ms={} deadline_ms={} deadline_by={timeout_source}",
                    objective.as_millis(),
                    deadline.as_millis()
                )
            }
            Self::Refused {
                id,
                queue,
                priority,
                yields_to,
                reason,
                load,
                endpoints,
                response_time,
                objective,
                deadline,
                timeout_source,
            } => {
                write!(
                    f,
                    "event=refused job={id} queue={queue} reason={reason} load={load:.2} \
                     endpoints={endpoints} end_ms={} objective_ms={} priority={priority} \
                     deadline_ms={} deadline_by={timeout_source}",
                    response_time.as_millis(),
                    objective.as_millis(),
                    deadline.as_millis()
                )?;
                match yields_to {
                    Some(class) => write!(f, " yields_to={class}"),
                    None => Ok(()),
                }
            }
            Self::Withdrawn { id, queue, tasks, unconfirmed, not_started, held_for } => write!(
                f,
                "event=withdrawn job={id} queue={queue} tasks={tasks} unconfirmed={unconfirmed} \
                 not_started={not_started} ms={}",
                held_for.as_millis()
            ),
            Self::Sent { run, agent, wait, run_time, late_probability, status_age } => write!(
                f,
                "event=sent task={run} agent={agent} wait_ms={} takes_ms={} \
                 risk={late_probability:.2} status_age_ms={}",
                wait.as_millis(),
                run_time.as_millis(),
                status_age.as_millis()
            ),
            Self::Returned { run, agent, status } => {
                write!(f, "event=back task={run} agent={agent} fate={status:?}")
            }
            Self::HeldRunCancelled { run, agent } => {
                write!(f, "event=held-run-cancelled task={run} agent={agent}")
            }
            Self::Moved { run, agent, remaining_here, time_elsewhere } => write!(
                f,
                "event=moved task={run} agent={agent} here_ms={} there_ms={}",
                remaining_here.as_millis(),
                time_elsewhere.as_millis()
            ),
            Self::Overrun { run, agent, remaining_here, deadline } => write!(
                f,
                "event=overrun task={run} agent={agent} here_ms={} deadline_ms={}",
                remaining_here.as_millis(),
                deadline.as_millis()
            ),
            Self::CrashLimitReached { task, confirmed, possible } => {
                write!(f, "event=crash-limit task={task} crashes={confirmed} possible={possible}")
            }
            Self::CrashLimitKnown { task, confirmed, possible } => write!(
                f,
                "event=crash-limit-known task={task} crashes={confirmed} possible={possible}"
            ),
            Self::CrashLearned { record: CrashRecord { run, vm, role }, source } => {
                write!(f, "event=crash-record task={run} vm={vm} role={role:?} source={source}")
            }
            Self::QueueContained { queue, endpoints } => {
                write!(f, "event=contained queue={queue} endpoints={endpoints}")
            }
            Self::SuspectGivenUp { task, queue } => {
                write!(f, "event=suspect-given-up task={task} queue={queue}")
            }
            Self::NearWaitBegun { task, rack, expected, within } => write!(
                f,
                "event=near-wait task={task} rack={rack} expected_ms={} within_ms={}",
                expected.as_millis(),
                within.as_millis()
            ),
            Self::NearWaitPaidOff { task, waited } => {
                write!(f, "event=near-wait-paid task={task} waited_ms={}", waited.as_millis())
            }
            Self::NearWaitLost { task, waited } => {
                write!(f, "event=near-wait-lost task={task} waited_ms={}", waited.as_millis())
            }
            Self::FarFromData { task, rack, agent } => {
                write!(f, "event=far task={task} rack={rack} agent={agent}")
            }
            Self::AgentLost { agent, silence } => {
                write!(f, "event=lost agent={agent} silence_ms={}", silence.as_millis())
            }
        }
    }
}
