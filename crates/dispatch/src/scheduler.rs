//! Decides for an entry about admission, placement, retries, migration and the answer.

mod admission;
mod agents;
mod containment;
mod crashes;
mod decision;
mod deferral;
mod ending_runs;
mod endpoint;
mod evacuation;
mod events;
mod locality;
mod message;
mod migration;
mod overload;
mod retry_after;
mod selection;
mod stop;
mod task;
mod usage;
mod withdrawal;

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::{Site, SortedMap};

use crate::crash_log::CrashLog;
use crate::id::{AgentId, RequestId, TaskRun};
use crate::job::{Answer, GiveUpReason, JobSpec, RefusalReason};
use crate::predictor::Predictor;

use admission::AdmissionRefusal;
use containment::Containment;
use deferral::{DeferredJob, WarmUp};
use ending_runs::EndingRuns;
use endpoint::Endpoint;
use locality::NearWaits;
use overload::Overload;
use selection::EndpointQuery;
use task::{Job, Task, TaskState};
use withdrawal::MAX_HOLD_TIME;

pub use decision::Decision;
pub use locality::{RackChoice, RackDecision, RackSurvey};
pub use message::{Action, CrashRole, RunStatus, TaskEvent, TaskOrder};

/// Network delay between the caller's first attempt and the arrival of the request, and likewise
/// for the answer.
const CALLER_NETWORK_DELAY: Duration = Duration::from_millis(8);
/// Probability of a timeout of the caller above which a job is refused, or ended if it was already
/// admitted, whatever the load is.
const MAX_TIMEOUT_PROBABILITY: f64 = 0.95;
/// Minimum time left to the caller for a start to be useful.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);
/// Shortest run time to expect, relative to the predicted one. It determines the latest useful
/// start.
const MIN_RUN_TIME_RATIO: f64 = 0.7;
/// Lower bound of a work or run time used as a divisor, in seconds.
const MIN_WORK_SECS: f64 = 0.001;
/// Lower bound of a slowness used as a divisor.
const MIN_SLOWNESS: f64 = 0.01;
/// Increment of the run number after an endpoint refused a run because it has seen the same or a
/// higher number. That number stems from an earlier attempt of the caller at another entry.
const STALE_RUN_INCREMENT: u32 = 16;

/// Timing settings of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Time for which an agent keeps the tasks of an entry after the last contact with it.
    pub entry_lease: Duration,
    /// Time for which an endpoint keeps its tasks after the last contact with its agent.
    pub endpoint_lease: Duration,
    /// Silence of an agent after which it gets no new tasks.
    pub suspect_after: Duration,
    /// Run time of a task whose data is on another rack, relative to the same rack.
    pub remote_run_time_ratio: f64,
}

/// The open jobs of an entry and the endpoints that they may use.
pub struct Scheduler {
    settings: SchedulerSettings,
    /// Data centre of the entry; empty if it is not known.
    site: CompactString,
    endpoints: SortedMap<AgentId, Endpoint>,
    jobs: SortedMap<RequestId, Job>,
    /// Runs of ended jobs that may go on.
    ending_runs: EndingRuns,
    /// Jobs that wait for the first endpoints, oldest first.
    deferred: Vec<DeferredJob>,
    warm_up: WarmUp,
    predictor: Predictor,
    containment: Containment,
    /// Crashes under tasks of this and other entries.
    crash_log: CrashLog,
    /// Evacuated data centres.
    evacuated_sites: Vec<Site>,
    overload: Overload,
    near_waits: NearWaits,
    /// Time at which the entry answers all open jobs, once it stops.
    stop_at: Option<Duration>,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler without jobs or endpoints.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            site: CompactString::default(),
            endpoints: SortedMap::new(),
            jobs: SortedMap::new(),
            ending_runs: EndingRuns::default(),
            deferred: Vec::new(),
            warm_up: WarmUp::default(),
            predictor: Predictor::default(),
            containment: Containment::default(),
            crash_log: CrashLog::default(),
            evacuated_sites: Vec::new(),
            overload: Overload::default(),
            near_waits: NearWaits::default(),
            stop_at: None,
            actions: Vec::new(),
        }
    }

    /// Sets the data centre of the entry, whose endpoints are preferred where others are equal.
    pub fn set_site(&mut self, site: &str) {
        self.site = site.into();
    }

    /// Returns the actions to carry out since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len() + self.deferred.len()
    }

    /// Returns the number of open jobs in a queue of which no task is at an agent or may have
    /// started.
    pub fn unstarted_jobs(&self, queue: &str) -> usize {
        let is_unstarted_in_queue =
            |job: &&Job| job.spec.queue == queue && job.tasks.iter().all(Task::is_unstarted);
        let deferred = self.deferred.iter().map(|deferred| &deferred.job);
        self.jobs.values().chain(deferred).filter(is_unstarted_in_queue).count()
    }

    /// Returns whether a job is open.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.jobs.contains(id) || self.is_deferred(id)
    }

    /// Returns the number of endpoints that accept tasks.
    pub fn usable_endpoints(&self, now: Duration) -> usize {
        let suspect_after = self.settings.suspect_after;
        self.endpoints.values().filter(|endpoint| endpoint.is_usable(now, suspect_after)).count()
    }

    /// Submits a job, which is admitted or refused at once. Only while the entry's first endpoints
    /// become known, a job may wait for one of them.
    pub fn submit(&mut self, now: Duration, spec: JobSpec) {
        let id = spec.id.clone();
        self.warm_up.on_event(now);
        if self.is_open(&id) || self.ending_runs.contains(&id) {
            let retry_after = self.settings.entry_lease;
            let reason = GiveUpReason::StillOpen;
            self.actions.push(Action::Answer(id, Answer::GaveUp { reason, retry_after }));
            return;
        }
        let mut job = Job::new(now, spec, CALLER_NETWORK_DELAY);
        self.count_earlier_crashes(now, &mut job);
        if self.answer_at_crash_limit(&job) {
            return;
        }
        match self.admit(now, &job) {
            Ok(()) => self.start(now, job),
            Err(refusal) => {
                if let Err(refused) = self.defer(now, job, refusal) {
                    let (job, refusal) = *refused;
                    self.refuse(now, &job, refusal);
                }
            }
        }
    }

    /// Places the first tasks of an admitted job.
    fn start(&mut self, now: Duration, job: Job) {
        let id = job.spec.id.clone();
        self.record_demand(&job.spec, true);
        self.record_admitted(now, &job);
        self.jobs.insert(id.clone(), job);
        self.place_ready(now, &id);
    }

    fn record_admitted(&mut self, now: Duration, job: &Job) {
        let decision = Decision::Admitted {
            id: job.spec.id.clone(),
            queue: job.spec.queue.clone(),
            tasks: job.tasks.len(),
            load: self.load(&job.spec.service),
            objective: job.objective.saturating_sub(now),
            deadline: job.deadline.saturating_sub(now),
            timeout_source: job.spec.timeout_source,
        };
        self.actions.push(Action::Record(decision));
    }

    fn refuse(&mut self, now: Duration, job: &Job, refusal: AdmissionRefusal) {
        let AdmissionRefusal { reason, response_time, yields_to, retry_after } = refusal;
        if matches!(reason, RefusalReason::Load | RefusalReason::Deadline) {
            self.record_demand(&job.spec, false);
        }
        let id = job.spec.id.clone();
        let decision = Decision::Refused {
            id: id.clone(),
            queue: job.spec.queue.clone(),
            priority: job.spec.terms.priority,
            yields_to,
            reason,
            load: self.load(&job.spec.service),
            endpoints: self.usable_endpoints(now),
            response_time,
            objective: job.objective.saturating_sub(now),
            deadline: job.deadline.saturating_sub(now),
            timeout_source: job.spec.timeout_source,
        };
        self.actions.push(Action::Record(decision));
        let answer = if job.is_known_to_have_started() {
            // An endpoint crashed under a run of an earlier attempt, so a refusal would be untrue.
            Answer::GaveUp { reason: GiveUpReason::Crashes, retry_after }
        } else {
            Answer::Refused { reason, retry_after }
        };
        self.actions.push(Action::Answer(id, answer));
    }

    /// Returns the share of a service's processors that is in use or requested by queued tasks.
    fn load(&self, service: &str) -> f64 {
        let mut capacity = 0.0;
        let mut free = 0.0;
        let is_counted =
            |endpoint: &&Endpoint| endpoint.status.service == service && !endpoint.evacuated;
        for endpoint in self.endpoints.values().filter(is_counted) {
            capacity += f64::from(endpoint.status.capacity.cpu_millis);
            free += f64::from(endpoint.free().cpu_millis);
            free -= f64::from(endpoint.status.queued.total());
        }
        if capacity > 0.0 { 1.0 - free / capacity } else { 1.0 }
    }

    /// Places all tasks of a job whose dependencies are done.
    fn place_ready(&mut self, now: Duration, id: &RequestId) {
        if self.is_withdrawn(id) {
            self.settle_withdrawal(now, id);
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for index in job.ready() {
            self.place_task(now, id, index);
            if !self.jobs.contains(id) || self.is_withdrawn(id) {
                return;
            }
        }
    }

    /// Sends a task to the best endpoint, or ends the job if the task can no longer succeed.
    fn place_task(&mut self, now: Duration, id: &RequestId, index: usize) {
        if self.is_withdrawn(id) {
            self.settle_withdrawal(now, id);
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.tasks[index].is_suspect() && self.containment.is_contained(&job.spec.queue) {
            self.give_up_suspect(id, index);
            return;
        }
        let (spec, name) = (job.spec.clone(), job.tasks[index].name.clone());
        let has_data_rack = spec.steps[usize::from(name.step)].data_rack.is_some();
        let (rack_choice, job) = if has_data_rack {
            let choice = self.wait_or_choose_rack(now, id, index);
            match (choice, self.jobs.get(id)) {
                (RackChoice::Wait { .. }, _) | (_, None) => return,
                (_, Some(job)) => (choice, job),
            }
        } else {
            (RackChoice::Any, job)
        };
        let tasks_per_agent = job.tasks_per_agent(name.step);
        let step = &spec.steps[usize::from(name.step)];
        let task = &job.tasks[index];
        let avoid = task.avoid.as_ref();
        let query = EndpointQuery {
            avoid,
            excluded_vms: &task.excluded_vms,
            tasks_per_agent: &tasks_per_agent,
            rack_choice,
            ..EndpointQuery::initial(step, task.rotation())
        };
        let selected = self.select_endpoint(now, job, query).or_else(|| {
            let query = EndpointQuery { rack_choice: RackChoice::Any, ..query };
            if has_data_rack { self.select_endpoint(now, job, query) } else { None }
        });
        let Some(selected) = selected else {
            self.keep_waiting_or_end(now, id, index);
            return;
        };
        let forecast = selected.forecast;
        // The task was admitted, and is not refused because of its wait for the rack of its data.
        let has_waited = task.near_wait.is_some() && task.last_run == 0;
        if forecast.timeout_probability > MAX_TIMEOUT_PROBABILITY && !has_waited {
            self.end_unserved(now, id);
            return;
        }
        let caller_time_left = job.deadline.saturating_sub(now);
        let abandon_after =
            caller_time_left.saturating_sub(forecast.run_time.mul_f64(MIN_RUN_TIME_RATIO));
        let max_per_endpoint = step.max_per_endpoint;
        let resources = step.resources;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let run = job.tasks[index].send(now, &selected.agent, forecast.run_time, selected.work);
        let order = TaskOrder {
            run,
            payload: spec.payload.clone(),
            resources,
            expected_work: selected.work,
            start_within: forecast.slack,
            abandon_after: abandon_after.max(MIN_TIME_LEFT),
            end_within: caller_time_left,
            max_per_endpoint,
            priority: spec.terms.priority,
            required_label: step.required_label.clone(),
        };
        let Some(endpoint) = self.endpoints.get_mut(&selected.agent) else {
            return;
        };
        endpoint.on_sent(resources, spec.terms.priority);
        let decision = Decision::Sent {
            run: order.run.clone(),
            agent: selected.agent.clone(),
            wait: forecast.wait,
            run_time: forecast.run_time,
            late_probability: forecast.late_probability,
            status_age: now.saturating_sub(endpoint.heard_at),
        };
        self.actions.push(Action::Record(decision));
        if has_data_rack {
            self.record_rack(now, id, index, &selected.agent);
        }
        self.actions.push(Action::Order(selected.agent, order));
    }

    /// Keeps a task waiting if no endpoint is available, or ends its job if none of it has started,
    /// too little time is left, or the task may use no endpoint at all.
    fn keep_waiting_or_end(&mut self, now: Duration, id: &RequestId, index: usize) {
        let has_endpoint = self.has_endpoint_for(id, index);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.tasks[index].state = TaskState::Waiting;
        let min_time_left = if job.has_sent_tasks() && !job.is_known_to_have_started() {
            MIN_TIME_LEFT + MAX_HOLD_TIME + CALLER_NETWORK_DELAY
        } else {
            MIN_TIME_LEFT
        };
        let may_wait = job.has_started() || job.tasks[index].near_wait.is_some();
        if now + min_time_left > job.deadline || !may_wait || !has_endpoint {
            self.end_unserved(now, id);
        }
    }

    /// Ends a job and cancels its tasks at agents.
    fn end_job(&mut self, id: &RequestId, answer: Option<Answer>) {
        let Some(mut job) = self.jobs.remove(id) else {
            return;
        };
        self.drop_near_waits(&mut job);
        let mut ending = Vec::new();
        for task in &job.tasks {
            if let TaskState::Sent { agent, cancelled, .. } = &task.state {
                let run = TaskRun { task: task.name.clone(), number: task.last_run };
                ending.push((agent.clone(), run.clone()));
                if !cancelled {
                    self.actions.push(Action::Cancel(agent.clone(), run));
                }
            }
        }
        self.ending_runs.add(id, ending);
        if let Some(answer) = answer {
            self.actions.push(Action::Answer(id.clone(), answer));
        }
    }

    /// Cancels a job at the request of a caller, and answers those that wait for it. Returns
    /// whether the job was open.
    pub fn cancel(&mut self, id: &RequestId) -> bool {
        self.close(id, Some(Answer::Cancelled))
    }

    /// Ends a job whose callers have all disconnected; returns whether the job was open.
    pub fn abandon(&mut self, id: &RequestId) -> bool {
        self.close(id, None)
    }

    fn close(&mut self, id: &RequestId, answer: Option<Answer>) -> bool {
        if self.remove_deferred(id) {
            self.actions.extend(answer.map(|answer| Action::Answer(id.clone(), answer)));
            return true;
        }
        let was_open = self.jobs.contains(id);
        self.end_job(id, answer);
        was_open
    }

    fn place_waiting(&mut self, now: Duration) {
        let has_waiting = |job: &Job| job.has_waiting();
        let ids: Vec<RequestId> = self
            .jobs
            .iter()
            .filter(|(_, job)| has_waiting(job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.place_ready(now, &id);
        }
    }

    /// Handles the passage of time: gives up the runs of agents whose leases have expired, ends
    /// jobs whose callers have timed out, and places waiting tasks.
    pub fn on_tick(&mut self, now: Duration) {
        self.warm_up.on_event(now);
        self.containment.expire(now);
        let lease_bound = self.settings.lease_bound();
        let has_expired = |endpoint: &Endpoint| endpoint.has_expired(now, lease_bound);
        let expired: Vec<AgentId> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| has_expired(endpoint))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in expired {
            let runs = self.runs_sent_to(&agent, |_| true);
            if let (false, Some(endpoint)) = (runs.is_empty(), self.endpoints.get(&agent)) {
                let silence = now.saturating_sub(endpoint.heard_at);
                let agent = agent.clone();
                self.actions.push(Action::Record(Decision::AgentLost { agent, silence }));
            }
            for run in runs {
                self.on_task_event(now, &agent, &TaskEvent { run, status: RunStatus::Stopped });
            }
        }
        self.ending_runs.expire(now, lease_bound);
        self.sample_usage(now);
        self.expire_withdrawals(now);
        let is_timed_out = |job: &Job| now >= job.deadline;
        let ids: Vec<RequestId> = self
            .jobs
            .iter()
            .filter(|(_, job)| is_timed_out(job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.end_unserved(now, &id);
        }
        self.end_at_stop(now);
        self.retry_deferred(now);
        self.review_near_waits(now);
        self.place_waiting(now);
    }
}

impl SchedulerSettings {
    /// Returns the time after the last contact with an agent for which its tasks may still run.
    fn lease_bound(&self) -> Duration {
        self.entry_lease + self.endpoint_lease
    }
}
