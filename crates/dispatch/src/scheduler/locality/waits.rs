//! The tasks that wait at the entry for the rack of their data.

use std::time::Duration;

use compact_str::CompactString;

use crate::id::{AgentId, RequestId, TaskName};
use crate::placement::PlacementRequest;

use super::super::selection::is_step_limit_reached;
use super::super::task::{Job, Task};
use super::super::{Action, Decision, Scheduler};
use super::{RackChoice, RackDecision, RackSurvey};

/// Maximum number of tasks that wait. It bounds the time of a review; further tasks do not wait.
const MAX_WAITS: usize = 256;

/// A waiting task.
struct NearWait {
    rack: CompactString,
    task: TaskName,
    cpu_millis: u32,
    /// Value lost by a run far away.
    far_loss: f64,
    /// Time after which the task waits no longer.
    until: Duration,
}

/// The tasks that wait for the rack of their data.
#[derive(Default)]
pub(in crate::scheduler) struct NearWaits {
    /// Sorted by the loss of a run far away, largest first.
    waits: Vec<NearWait>,
    /// Time of the last review.
    reviewed_at: Duration,
}

/// The state of a task's wait for the rack of its data.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::scheduler) struct TaskWait {
    since: Duration,
    /// Bound of all waits of the task, set by the first.
    until: Duration,
    pub(in crate::scheduler) is_active: bool,
    /// Whether the end of the wait was recorded.
    is_recorded: bool,
}

impl NearWaits {
    fn insert(&mut self, wait: NearWait) {
        let position = self.waits.partition_point(|other| other.far_loss >= wait.far_loss);
        self.waits.insert(position, wait);
    }

    fn remove(&mut self, task: &TaskName) {
        self.waits.retain(|wait| wait.task != *task);
    }

    /// Returns the processor time requested by the waiting tasks of a rack that come before a task
    /// with this loss. Among equals, the first to wait comes first.
    fn ahead_millis(&self, rack: &str, far_loss: f64, task: &TaskName) -> f64 {
        let position = self.waits.iter().position(|wait| wait.task == *task);
        let position = position
            .unwrap_or_else(|| self.waits.partition_point(|wait| wait.far_loss >= far_loss));
        let ahead = self.waits[..position].iter().filter(|wait| wait.rack == rack);
        ahead.map(|wait| f64::from(wait.cpu_millis)).sum()
    }

    fn racks(&self) -> Vec<CompactString> {
        let mut racks: Vec<CompactString> =
            self.waits.iter().map(|wait| wait.rack.clone()).collect();
        racks.sort();
        racks.dedup();
        racks
    }

    /// Returns the first and the last waiting task of a rack.
    fn ends_of(&self, rack: &str) -> Option<(TaskName, TaskName)> {
        let mut of_rack = self.waits.iter().filter(|wait| wait.rack == rack);
        let first = of_rack.next()?;
        let last = of_rack.next_back().unwrap_or(first);
        Some((first.task.clone(), last.task.clone()))
    }
}

impl Scheduler {
    /// Decides whether a task goes near its data, far away or waits. Called only for tasks that
    /// name the rack of their data.
    pub(in crate::scheduler) fn choose_rack(
        &self,
        now: Duration,
        job: &Job,
        index: usize,
        rack: &str,
    ) -> RackDecision {
        let task = &job.tasks[index];
        let request = self.rack_request(now, job, task);
        let survey = self.survey_racks(now, job, task, rack, &request);
        let ratio = self.settings.remote_run_time_ratio;
        let alone = survey.choose(ratio, 0.0, &request);
        let ahead = self.near_waits.ahead_millis(rack, alone.far_loss, &task.name);
        if ahead == 0.0 { alone } else { survey.choose(ratio, ahead, &request) }
    }

    fn rack_request(&self, now: Duration, job: &Job, task: &Task) -> PlacementRequest {
        let spec = &job.spec;
        let step = &spec.steps[usize::from(task.name.step)];
        PlacementRequest {
            resources: step.resources,
            work: self.predictor.predict_work(&spec.queue, step.declared_run_time),
            other_steps: spec.longest_chain().saturating_sub(step.declared_run_time),
            terms: spec.terms,
            elapsed: now.saturating_sub(job.sent_at),
            caller_time_left: job.deadline.saturating_sub(now),
        }
    }

    fn survey_racks(
        &self,
        now: Duration,
        job: &Job,
        task: &Task,
        rack: &str,
        request: &PlacementRequest,
    ) -> RackSurvey {
        let step = &job.spec.steps[usize::from(task.name.step)];
        let suspect_after = self.settings.suspect_after;
        let tasks_per_agent = job.tasks_per_agent(task.name.step);
        let is_excluded = |agent: &AgentId| {
            task.avoid.as_ref() == Some(agent)
                || task.excluded_vms.iter().any(|vm| vm == agent.vm_name())
                || is_step_limit_reached(step, agent, &tasks_per_agent)
        };
        // Tasks of a contained queue wait only for places in its area, so that they do not crash
        // endpoints outside it for the sake of a near rack.
        let label = step.required_label.as_deref();
        let is_vm_usable = |vm: &str| self.has_usable_endpoint(now, vm);
        let area = self.containment.area(&job.spec.queue, label, is_vm_usable);
        let mut survey = RackSurvey::default();
        for (agent, endpoint) in self.endpoints.iter() {
            if endpoint.is_usable(now, suspect_after)
                && endpoint.can_run(&job.spec.service, step)
                && area.as_ref().is_none_or(|area| area.contains(agent))
                && !is_excluded(agent)
            {
                let is_near = endpoint.status.rack == rack;
                survey.add(is_near, &endpoint.status, endpoint.free(), request);
            }
        }
        survey
    }

    /// Lets a task wait if it may, and returns the choice that remains otherwise.
    pub(in crate::scheduler) fn wait_or_choose_rack(
        &mut self,
        now: Duration,
        id: &RequestId,
        index: usize,
    ) -> RackChoice {
        let Some(job) = self.jobs.get(id) else {
            return RackChoice::Any;
        };
        let task = &job.tasks[index];
        let step = &job.spec.steps[usize::from(task.name.step)];
        let Some(rack) = step.data_rack.clone() else {
            return RackChoice::Any;
        };
        let previous = task.near_wait;
        let decision = self.choose_rack(now, job, index, &rack);
        let RackChoice::Wait { expected, within } = decision.choice else {
            return decision.choice;
        };
        let until = previous.map_or(now + within, |wait| wait.until).min(job.deadline);
        if now >= until || self.near_waits.waits.len() >= MAX_WAITS {
            return RackChoice::Any;
        }
        let (name, cpu_millis) = (task.name.clone(), step.resources.cpu_millis);
        if previous.is_none() {
            self.actions.push(Action::Record(Decision::NearWaitBegun {
                task: name.clone(),
                rack: rack.clone(),
                expected,
                within,
            }));
        }
        let far_loss = decision.far_loss;
        self.near_waits.insert(NearWait { rack, task: name, cpu_millis, far_loss, until });
        if let Some(job) = self.jobs.get_mut(id) {
            let since = previous.map_or(now, |wait| wait.since);
            job.tasks[index].near_wait =
                Some(TaskWait { since, until, is_active: true, is_recorded: false });
        }
        decision.choice
    }

    /// Reviews all waits: ends those that have expired, whose rack is lost, or that have a place, and
    /// those that no longer pay.
    pub(in crate::scheduler) fn review_near_waits(&mut self, now: Duration) {
        self.near_waits.reviewed_at = now;
        if self.near_waits.waits.is_empty() {
            return;
        }
        self.end_expired_waits(now);
        for rack in self.near_waits.racks() {
            self.review_rack(now, &rack);
        }
    }

    /// Reviews the waits for the rack of an endpoint whose status has changed.
    pub(in crate::scheduler) fn review_near_waits_at(&mut self, now: Duration, agent: &AgentId) {
        if self.near_waits.waits.is_empty() {
            return;
        }
        if let Some(endpoint) = self.endpoints.get(agent) {
            let rack = endpoint.status.rack.clone();
            self.review_rack(now, &rack);
        }
    }

    fn end_expired_waits(&mut self, now: Duration) {
        let expired = self.near_waits.waits.iter().filter(|wait| now >= wait.until);
        let expired: Vec<TaskName> = expired.map(|wait| wait.task.clone()).collect();
        for task in expired {
            self.resume(now, &task);
        }
    }

    /// Resumes the first tasks of a rack until one has to wait on, and then the last one if it is
    /// better off far away. The tasks between them cannot start before the first one, so their
    /// review is left out, which bounds the work of an event.
    fn review_rack(&mut self, now: Duration, rack: &str) {
        let mut budget = self.near_waits.waits.len();
        while let Some((first, last)) = self.near_waits.ends_of(rack).filter(|_| budget > 0) {
            budget -= 1;
            if self.resume_unless_waiting(now, &first, rack) {
                continue;
            }
            if first != last {
                self.resume_unless_waiting(now, &last, rack);
            }
            return;
        }
    }

    /// Resumes a task unless the decision is still to wait; returns whether it was resumed.
    fn resume_unless_waiting(&mut self, now: Duration, name: &TaskName, rack: &str) -> bool {
        let found = self.jobs.get(&name.request).and_then(|job| Some((job, job.index_of(name)?)));
        let Some((job, index)) = found else {
            self.near_waits.remove(name);
            return true;
        };
        if let RackChoice::Wait { .. } = self.choose_rack(now, job, index, rack).choice {
            return false;
        }
        self.resume(now, name);
        true
    }

    /// Ends the wait of a task and places it.
    fn resume(&mut self, now: Duration, name: &TaskName) {
        self.near_waits.remove(name);
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let Some(index) = job.index_of(name) else {
            return;
        };
        if let Some(wait) = &mut job.tasks[index].near_wait {
            wait.is_active = false;
        }
        self.place_task(now, &name.request, index);
    }

    /// Records where a task that names a rack was sent, and whether its wait has paid off.
    pub(in crate::scheduler) fn record_rack(
        &mut self,
        now: Duration,
        id: &RequestId,
        index: usize,
        agent: &AgentId,
    ) {
        let Some(endpoint) = self.endpoints.get(agent) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let task = &mut job.tasks[index];
        let Some(rack) = &job.spec.steps[usize::from(task.name.step)].data_rack else {
            return;
        };
        let is_near = endpoint.status.rack == *rack;
        self.actions.extend(task.end_near_wait(now, is_near).map(Action::Record));
        if !is_near {
            let (task, rack, agent) = (task.name.clone(), rack.clone(), agent.clone());
            self.actions.push(Action::Record(Decision::FarFromData { task, rack, agent }));
        }
    }

    /// Removes the waits of a job that has ended.
    pub(in crate::scheduler) fn drop_near_waits(&mut self, job: &mut Job) {
        if self.near_waits.waits.is_empty() {
            return;
        }
        for task in job.tasks.iter_mut().filter(|task| task.is_waiting_for_rack()) {
            self.near_waits.remove(&task.name);
            let ended = task.end_near_wait(self.near_waits.reviewed_at, false);
            self.actions.extend(ended.map(Action::Record));
        }
    }
}

impl Task {
    /// Returns whether the task waits at the entry for the rack of its data.
    pub(in crate::scheduler) fn is_waiting_for_rack(&self) -> bool {
        self.near_wait.is_some_and(|wait| wait.is_active)
    }

    /// Ends the wait and returns its outcome unless it was returned before.
    fn end_near_wait(&mut self, now: Duration, is_near: bool) -> Option<Decision> {
        let wait = self.near_wait.as_mut().filter(|wait| !wait.is_recorded)?;
        wait.is_active = false;
        wait.is_recorded = true;
        let waited = now.saturating_sub(wait.since);
        let task = self.name.clone();
        Some(if is_near {
            Decision::NearWaitPaidOff { task, waited }
        } else {
            Decision::NearWaitLost { task, waited }
        })
    }
}
