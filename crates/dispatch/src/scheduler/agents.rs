//! Handles the connections to agents and what they mean for the runs sent there.

use std::time::Duration;

use crate::id::{AgentId, TaskRun};
use crate::placement::EndpointStatus;

use super::endpoint::Endpoint;
use super::task::TaskState;
use super::{Action, Decision, RunStatus, Scheduler, TaskEvent, evacuation};

impl Scheduler {
    /// Handles the first frame of an agent's stream, with the `events` that it could not send before
    /// and the runs `held` of this entry.
    ///
    /// The end of the previous stream may not have been noticed yet. No task is sent to the agent
    /// before the runs are compared, since it could not be among those held.
    pub fn on_hello(
        &mut self,
        now: Duration,
        agent: &AgentId,
        events: &[TaskEvent],
        held: &[TaskRun],
    ) {
        self.on_detached(now, agent);
        for event in events {
            self.on_task_event(now, agent, event);
        }
        self.on_attached(now, agent, held);
    }

    /// Handles an agent that has connected and holds the runs `held` of this entry.
    ///
    /// Runs that were sent to the agent and that it does not hold were never received. Runs that it
    /// holds and that no open job needs are cancelled, because an earlier cancellation may have been
    /// lost with the previous stream.
    pub fn on_attached(&mut self, now: Duration, agent: &AgentId, held: &[TaskRun]) {
        let settings = self.settings;
        self.warm_up.on_attached(now);
        self.endpoints.get_or_insert_with(agent.clone(), || Endpoint::new(now)).on_attached(now);
        let unneeded: Vec<&TaskRun> =
            held.iter().filter(|run| !self.is_needed(agent, run)).collect();
        for run in unneeded {
            let (agent, run) = (agent.clone(), run.clone());
            let decision = Decision::HeldRunCancelled { run: run.clone(), agent: agent.clone() };
            self.actions.push(Action::Record(decision));
            self.actions.push(Action::Cancel(agent, run));
        }
        self.ending_runs.retain_at(agent, |run| held.contains(run));
        let unreceived = self.runs_sent_to(agent, |run| !held.contains(run));
        for run in unreceived {
            self.on_task_event(now, agent, &TaskEvent { run, status: RunStatus::Stopped });
        }
        // Agents that have been disconnected for this long do not come back.
        self.endpoints.retain(|_, endpoint| !endpoint.is_removable(now, settings.lease_bound()));
    }

    /// Returns whether an open job has sent a run to an agent and has not cancelled it.
    fn is_needed(&self, agent: &AgentId, run: &TaskRun) -> bool {
        self.find_sent(&run.task, agent, run.number).is_some_and(|index| {
            let state = self.jobs.get(&run.task.request).map(|job| &job.tasks[index].state);
            matches!(state, Some(TaskState::Sent { cancelled: false, .. }))
        })
    }

    /// Returns whether a run that was sent to an agent is not known to have ended.
    pub fn has_runs_at(&self, agent: &AgentId) -> bool {
        let mut tasks = self.jobs.values().flat_map(|job| &job.tasks);
        tasks.any(|task| task.is_sent_to(agent))
    }

    /// Returns the runs sent to an agent for which `predicate` holds.
    pub(super) fn runs_sent_to<F>(&self, agent: &AgentId, predicate: F) -> Vec<TaskRun>
    where
        F: Fn(&TaskRun) -> bool,
    {
        let mut runs = Vec::new();
        for task in self.jobs.values().flat_map(|job| &job.tasks) {
            if !task.is_sent_to(agent) {
                continue;
            }
            let run = TaskRun { task: task.name.clone(), number: task.last_run };
            if predicate(&run) {
                runs.push(run);
            }
        }
        runs
    }

    /// Handles the end of an agent's stream.
    pub fn on_detached(&mut self, now: Duration, agent: &AgentId) {
        if let Some(endpoint) = self.endpoints.get_mut(agent) {
            endpoint.on_detached(now);
        }
    }

    /// Handles the replacement of `agent` by another incarnation, which has stopped the runs of
    /// `agent`.
    pub fn on_replaced(&mut self, now: Duration, agent: &AgentId) {
        for run in self.runs_sent_to(agent, |_| true) {
            self.on_task_event(now, agent, &TaskEvent { run, status: RunStatus::Stopped });
        }
        self.ending_runs.retain_at(agent, |_| false);
        self.endpoints.remove(agent);
    }

    /// Returns the known incarnations of an agent's VM that started before `agent`. Frames of an
    /// agent that has ended may be late, and must not end the runs of its successor.
    pub fn previous_incarnations(&self, agent: &AgentId) -> Vec<AgentId> {
        let is_previous = |other: &&AgentId| {
            other.vm_name() == agent.vm_name() && other.started_ms() < agent.started_ms()
        };
        self.endpoints.keys().filter(is_previous).cloned().collect()
    }

    /// Records contact with an agent.
    pub fn on_heartbeat(&mut self, now: Duration, agent: &AgentId) {
        if let Some(endpoint) = self.endpoints.get_mut(agent) {
            endpoint.heard_at = now;
        }
    }

    /// Records the status of an agent's endpoint.
    pub fn on_status(&mut self, now: Duration, agent: &AgentId, status: EndpointStatus) {
        let Some(endpoint) = self.endpoints.get_mut(agent) else {
            return;
        };
        endpoint.heard_at = now;
        endpoint.on_status(status);
        endpoint.evacuated =
            evacuation::is_evacuated(&self.evacuated_sites, endpoint.status.site.as_str());
        self.retry_deferred(now);
        self.review_near_waits_at(now, agent);
        self.place_waiting(now);
    }
}
