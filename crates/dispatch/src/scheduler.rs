//! An entry's decisions: admission, placement, retry, rescue and the answer.

mod admission;
mod decision;
mod endpoint;
mod message;
mod migration;
mod selection;
mod task;

use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::id::{AgentId, RequestId, TaskName, TaskRun};
use crate::job::{Answer, GiveUpReason, JobSpec, RefusalReason};
use crate::placement::EndpointStatus;
use crate::predictor::Predictor;

use admission::Refused;
use endpoint::Endpoint;
use selection::Ask;
use task::{Job, Task, TaskState};

pub use decision::Decision;
pub use message::{Action, Fate, TaskEvent, TaskOrder};

/// Time between the caller's first attempt and the arrival of the request here, and back.
const CALLER_TRANSFER: Duration = Duration::from_millis(8);
/// Risk that the caller gives up first from which a job is refused at any load.
const HOPELESS_RISK: f64 = 0.95;
/// Time left to a caller below which a start is of no use.
const LEAST_TIME: Duration = Duration::from_millis(15);
/// Step between run numbers where an endpoint has seen a higher one, from an earlier attempt of the
/// caller at another entry.
const STALE_STEP: u32 = 16;

/// Settings of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Time for which an agent keeps tasks of an entry that it does not hear from.
    pub entry_lease: Duration,
    /// Time for which an endpoint keeps tasks after its agent has fallen silent.
    pub endpoint_lease: Duration,
    /// Silence after which an agent gets no new tasks.
    pub suspect_after: Duration,
}

/// The jobs of an entry and the endpoints it may use.
pub struct Scheduler {
    settings: SchedulerSettings,
    endpoints: SortedMap<AgentId, Endpoint>,
    jobs: SortedMap<RequestId, Job>,
    predictor: Predictor,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Returns a scheduler without jobs or endpoints.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            endpoints: SortedMap::new(),
            jobs: SortedMap::new(),
            predictor: Predictor::default(),
            actions: Vec::new(),
        }
    }

    /// Returns what is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of a queue's open jobs none of whose tasks was sent to an agent.
    pub fn unsent_jobs(&self, queue: &str) -> usize {
        let idle = |job: &&Job| job.spec.queue == queue && job.tasks.iter().all(Task::is_idle);
        self.jobs.values().filter(idle).count()
    }

    /// Tells whether a job is open.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.jobs.contains(id)
    }

    /// Returns the number of endpoints that take tasks.
    pub fn usable_endpoints(&self, now: Duration) -> usize {
        let suspect_after = self.settings.suspect_after;
        self.endpoints.values().filter(|known| known.is_usable(now, suspect_after)).count()
    }

    /// Takes in a job; it is admitted, or refused at once.
    pub fn submit(&mut self, now: Duration, spec: JobSpec) {
        let id = spec.id.clone();
        if self.jobs.contains(&id) {
            let retry_after = self.settings.entry_lease;
            let reason = RefusalReason::Duplicate;
            self.actions.push(Action::Answer(id, Answer::Refused { reason, retry_after }));
            return;
        }
        let job = Job::new(now, spec, CALLER_TRANSFER);
        match self.admit(now, &job) {
            Ok(()) => {
                self.record_admitted(now, &job);
                self.jobs.insert(id.clone(), job);
                self.place_ready(now, &id);
            }
            Err(refused) => self.refuse(now, &job, refused),
        }
    }

    fn record_admitted(&mut self, now: Duration, job: &Job) {
        let decision = Decision::Admitted {
            id: job.spec.id.clone(),
            queue: job.spec.queue.clone(),
            tasks: job.tasks.len(),
            load: self.load(&job.spec.service),
            objective: job.objective.saturating_sub(now),
            deadline: job.deadline.saturating_sub(now),
        };
        self.actions.push(Action::Record(decision));
    }

    fn refuse(&mut self, now: Duration, job: &Job, refused: Refused) {
        let Refused { reason, response_time, retry_after } = refused;
        let id = job.spec.id.clone();
        let decision = Decision::Refused {
            id: id.clone(),
            queue: job.spec.queue.clone(),
            reason,
            load: self.load(&job.spec.service),
            endpoints: self.usable_endpoints(now),
            response_time,
            objective: job.objective.saturating_sub(now),
        };
        self.actions.push(Action::Record(decision));
        self.actions.push(Action::Answer(id, Answer::Refused { reason, retry_after }));
    }

    /// Returns the share of the processors of a service that is in use or asked for.
    fn load(&self, service: &str) -> f64 {
        let mut size = 0.0;
        let mut free = 0.0;
        for known in self.endpoints.values().filter(|known| known.status.service == service) {
            size += f64::from(known.status.capacity.cpu_millis);
            free += f64::from(known.free().cpu_millis);
            free -= f64::from(known.status.queued.total());
        }
        if size > 0.0 { 1.0 - free / size } else { 1.0 }
    }

    /// Sends all tasks of a job whose turn has come.
    fn place_ready(&mut self, now: Duration, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for at in job.ready() {
            self.place(now, id, at);
            if !self.jobs.contains(id) {
                return;
            }
        }
    }

    /// Sends one task, or ends the job where that is of no use any more.
    fn place(&mut self, now: Duration, id: &RequestId, at: usize) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (spec, name) = (job.spec.clone(), job.tasks[at].name.clone());
        let used = job.used(name.step);
        let step = &spec.steps[usize::from(name.step)];
        let task = &job.tasks[at];
        let avoid = task.avoid.as_ref();
        let ask = Ask { avoid, used: &used, ..Ask::first(step, task.turn()) };
        let choice = self.choose(now, job, ask);
        let Some(choice) = choice else {
            self.wait_or_end(now, id, at);
            return;
        };
        let forecast = choice.forecast;
        if forecast.timeout_probability > HOPELESS_RISK {
            self.end_unserved(now, id);
            return;
        }
        let patience = job.deadline.saturating_sub(now);
        let give_up = patience.saturating_sub(forecast.run_time.mul_f64(0.7));
        let max_per_endpoint = step.max_per_endpoint;
        let resources = step.resources;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let run = job.tasks[at].send(now, &choice.agent, forecast.run_time, choice.work);
        let order = TaskOrder {
            run,
            payload: spec.payload.clone(),
            resources,
            expected_work: choice.work,
            start_within: forecast.slack,
            abandon_after: give_up.max(LEAST_TIME),
            end_within: patience,
            max_per_endpoint,
        };
        let Some(known) = self.endpoints.get_mut(&choice.agent) else {
            return;
        };
        known.on_sent(resources);
        let decision = Decision::Sent {
            run: order.run.clone(),
            agent: choice.agent.clone(),
            wait: forecast.wait,
            run_time: forecast.run_time,
            late_probability: forecast.late_probability,
            status_age: now.saturating_sub(known.heard_at),
        };
        self.actions.push(Action::Record(decision));
        self.actions.push(Action::Order(choice.agent, order));
    }

    /// Keeps a task for which there is no endpoint, as long as its job has time.
    fn wait_or_end(&mut self, now: Duration, id: &RequestId, at: usize) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.tasks[at].state = TaskState::Waiting;
        if now + LEAST_TIME > job.deadline || !job.has_started() {
            self.end_unserved(now, id);
        }
    }

    /// Ends a job that cannot be served any more.
    fn end_unserved(&mut self, now: Duration, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let retry_after = self.settings.entry_lease;
        let answer = if job.may_have_started() {
            Answer::GaveUp { reason: GiveUpReason::Deadline, retry_after }
        } else if self.usable_endpoints(now) == 0 {
            Answer::Refused { reason: RefusalReason::NoEndpoint, retry_after }
        } else {
            Answer::Refused { reason: RefusalReason::Load, retry_after }
        };
        self.end(id, Some(answer));
    }

    /// Ends a job and takes back what agents still have of it.
    fn end(&mut self, id: &RequestId, answer: Option<Answer>) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for task in &job.tasks {
            if let TaskState::Sent { agent, cancelled: false, .. } = &task.state {
                let run = TaskRun { task: task.name.clone(), run: task.runs };
                self.actions.push(Action::Cancel(agent.clone(), run));
            }
        }
        if let Some(answer) = answer {
            self.actions.push(Action::Answer(id.clone(), answer));
        }
    }

    /// Ends a job whose caller has left; returns whether it was open.
    pub fn cancel(&mut self, id: &RequestId) -> bool {
        let open = self.jobs.contains(id);
        self.end(id, None);
        open
    }

    /// Takes in that an agent has attached, with the runs of this entry that it holds.
    ///
    /// Runs that it was sent and does not hold were never received.
    pub fn on_attached(&mut self, now: Duration, agent: &AgentId, held: &[TaskRun]) {
        let settings = self.settings;
        self.endpoints.get_or_insert_with(agent.clone(), || Endpoint::new(now)).on_attached(now);
        let lost = self.runs_at(agent, |run| !held.contains(run));
        for run in lost {
            self.on_task_event(now, agent, &TaskEvent { run, fate: Fate::Stopped });
        }
        // Agents that are gone for good.
        self.endpoints.retain(|_, known| !known.is_forgotten(now, settings.bound()));
    }

    /// Returns the runs that an agent was sent and that pass.
    fn runs_at<F>(&self, agent: &AgentId, pass: F) -> Vec<TaskRun>
    where
        F: Fn(&TaskRun) -> bool,
    {
        let mut runs = Vec::new();
        for task in self.jobs.values().flat_map(|job| &job.tasks) {
            let sent = matches!(&task.state, TaskState::Sent { agent: at, .. } if at == agent);
            let run = TaskRun { task: task.name.clone(), run: task.runs };
            if sent && pass(&run) {
                runs.push(run);
            }
        }
        runs
    }

    /// Takes in that the stream of an agent has ended.
    pub fn on_detached(&mut self, now: Duration, agent: &AgentId) {
        if let Some(known) = self.endpoints.get_mut(agent) {
            known.on_detached(now);
        }
    }

    /// Takes in that another incarnation of an agent has taken the place of `agent`, and that nothing
    /// the former one started runs any more.
    pub fn on_replaced(&mut self, now: Duration, agent: &AgentId) {
        for run in self.runs_at(agent, |_| true) {
            self.on_task_event(now, agent, &TaskEvent { run, fate: Fate::Stopped });
        }
        self.endpoints.remove(agent);
    }

    /// Returns the earlier incarnations of an agent that are still known.
    pub fn previous_incarnations(&self, agent: &AgentId) -> Vec<AgentId> {
        let is_former = |other: &&AgentId| *other != agent && other.vm_name() == agent.vm_name();
        self.endpoints.keys().filter(is_former).cloned().collect()
    }

    /// Takes in a sign of life of an agent.
    pub fn on_heartbeat(&mut self, now: Duration, agent: &AgentId) {
        if let Some(known) = self.endpoints.get_mut(agent) {
            known.heard_at = now;
        }
    }

    /// Takes in the state of an endpoint.
    pub fn on_status(&mut self, now: Duration, agent: &AgentId, status: EndpointStatus) {
        let Some(known) = self.endpoints.get_mut(agent) else {
            return;
        };
        known.heard_at = now;
        known.on_status(status);
        self.retry_waiting(now);
    }

    fn retry_waiting(&mut self, now: Duration) {
        let waits = |job: &Job| job.has_waiting();
        let ids: Vec<RequestId> =
            self.jobs.iter().filter(|(_, job)| waits(job)).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.place_ready(now, &id);
        }
    }

    /// Takes in how a task has fared at an agent.
    pub fn on_task_event(&mut self, now: Duration, agent: &AgentId, event: &TaskEvent) {
        let name = &event.run.task;
        let Some(at) = self.find(name, agent, event.run.run) else {
            return;
        };
        if !matches!(event.fate, Fate::Done(_) | Fate::Slow(_) | Fate::Overrun(_)) {
            let (run, agent, fate) = (event.run.clone(), agent.clone(), event.fate);
            self.actions.push(Action::Record(Decision::Returned { run, agent, fate }));
        }
        match event.fate {
            Fate::Done(took) => self.on_done(now, name, at, took),
            Fate::Failed => self.on_failed(now, name, at, agent),
            Fate::NotStarted | Fate::StaleRun | Fate::Stopped => {
                if let Some(job) = self.jobs.get_mut(&name.request) {
                    job.tasks[at].on_back(event.fate, agent, STALE_STEP);
                }
                self.place(now, &name.request, at);
            }
            Fate::Slow(left) => self.consider_move(now, name, at, agent, left, None),
            Fate::Overrun(left) => {
                let work = self.work_seen(now, name, at, left);
                self.consider_move(now, name, at, agent, left, work);
            }
        }
    }

    fn find(&self, name: &TaskName, agent: &AgentId, run: u32) -> Option<usize> {
        let job = self.jobs.get(&name.request)?;
        let at = job.index_of(name)?;
        let task = &job.tasks[at];
        let matches = matches!(&task.state, TaskState::Sent { agent: at, .. } if at == agent);
        (matches && task.runs == run).then_some(at)
    }

    fn on_done(&mut self, now: Duration, name: &TaskName, at: usize, took: Duration) {
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let declared = job.spec.steps[usize::from(name.step)].declared_run_time;
        let former = std::mem::replace(&mut job.tasks[at].state, TaskState::Done);
        let TaskState::Sent { expected, work, .. } = former else {
            return;
        };
        // The speed of the endpoint is what was expected there for the work that was expected.
        let speed = expected.as_secs_f64() / work.as_secs_f64().max(0.001);
        let work = took.mul_f64(1.0 / speed.max(0.01));
        self.predictor.observe(&job.spec.queue, declared, work);
        if job.is_done() {
            self.end(&name.request, Some(Answer::Completed));
        } else {
            self.place_ready(now, &name.request);
        }
    }

    fn on_failed(&mut self, now: Duration, name: &TaskName, at: usize, agent: &AgentId) {
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        let task = &mut job.tasks[at];
        task.on_failed(agent);
        if task.failures >= job.spec.terms.max_attempts.max(1) {
            self.end(&name.request, Some(Answer::Failed));
        } else {
            self.place(now, &name.request, at);
        }
    }

    /// Takes in that time has passed.
    pub fn on_tick(&mut self, now: Duration) {
        let bound = self.settings.bound();
        let is_gone = |known: &Endpoint| known.is_gone(now, bound);
        let gone: Vec<AgentId> = self
            .endpoints
            .iter()
            .filter(|(_, known)| is_gone(known))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in gone {
            let runs = self.runs_at(&agent, |_| true);
            if let (false, Some(known)) = (runs.is_empty(), self.endpoints.get(&agent)) {
                let silence = now.saturating_sub(known.heard_at);
                let agent = agent.clone();
                self.actions.push(Action::Record(Decision::AgentLost { agent, silence }));
            }
            for run in runs {
                self.on_task_event(now, &agent, &TaskEvent { run, fate: Fate::Stopped });
            }
        }
        let late = |job: &Job| now >= job.deadline;
        let ids: Vec<RequestId> =
            self.jobs.iter().filter(|(_, job)| late(job)).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.end_unserved(now, &id);
        }
        self.retry_waiting(now);
    }
}

impl SchedulerSettings {
    /// Returns the time after an agent was last heard from for which its tasks may still run.
    fn bound(&self) -> Duration {
        self.entry_lease + self.endpoint_lease
    }
}
