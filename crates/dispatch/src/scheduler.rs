//! An entry's decisions: admission, placement, retry, rescue and the answer.

mod endpoint;
mod task;

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::SortedMap;

use crate::id::{AgentId, RequestId, TaskName, TaskRun};
use crate::job::{Answer, GiveUp, JobSpec, RefusalReason, StepSpec};
use crate::place::{Candidate, Demand, EndpointStatus, Forecast};
use crate::predict::{Predictor, Work};
use crate::room::Room;

use endpoint::Endpoint;
use task::{Job, Task, TaskState};

/// Time between the caller's first attempt and the arrival of the request here, and back.
const CALLER_TRANSFER: Duration = Duration::from_millis(8);
/// Time to stop a task at one endpoint and to start it at another.
const MOVE_TIME: Duration = Duration::from_millis(40);
/// Time past the deadline by which a task must be projected to end for its job to be given up; progress
/// is listed in whole percents.
const OVERRUN: Duration = Duration::from_millis(60);
/// Standard deviation of the logarithm of work that its progress has shown.
const SEEN_SPREAD: f64 = 0.05;
/// Endpoints considered for a task, where there are more.
const MAX_CANDIDATES: usize = 96;
/// Risk that the caller gives up first from which a job is refused at any load.
const HOPELESS_RISK: f64 = 0.95;
/// Risk of missing the objective from which a job is refused while the endpoints are busy.
const LATE_RISK: f64 = 0.7;
/// Load of the endpoints from which late jobs are refused, so that others stay in time.
const BUSY_LOAD: f64 = 0.9;
/// Least time after which a refused caller may come back; load changes within it.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time left to a caller below which a start is of no use.
const LEAST_TIME: Duration = Duration::from_millis(15);
/// Step between run numbers where an endpoint has seen a higher one, from an earlier attempt of the
/// caller at another entry.
const STALE_STEP: u32 = 16;
/// Share of failed tasks from which an endpoint is avoided.
const SICK_SHARE: f64 = 0.3;

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

/// How a task has fared at an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It has not run, and will not under this number.
    NotStarted,
    /// It has not run; the endpoint has seen a number as high or higher.
    StaleRun,
    /// It ran to its end, for so long.
    Done(Duration),
    /// It ran and failed.
    Failed,
    /// It was stopped or lost.
    Stopped,
    /// It runs at an endpoint that is far slower than usual, and needs about so much longer.
    Slow(Duration),
    /// It is more work than expected and cannot end in time, since it needs about so much longer.
    Overrun(Duration),
}

/// What an agent tells of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskEvent {
    /// The run.
    pub run: TaskRun,
    /// How it fared.
    pub fate: Fate,
}

/// An order to run a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskOrder {
    /// The run.
    pub run: TaskRun,
    /// What the endpoint is handed.
    pub work: std::sync::Arc<str>,
    /// What the task needs.
    pub need: Room,
    /// Work expected: the run time on an endpoint of speed 1.
    pub work_time: Duration,
    /// Time within which a start serves the objective; zero where it is missed already.
    pub start_within: Duration,
    /// Time after which a start is of no use.
    pub give_up: Duration,
    /// Time by which the task must end for its caller to get the answer.
    pub end_within: Duration,
    /// Most tasks of the step at this endpoint; 0 for no limit.
    pub most_here: u32,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order to an agent.
    Order(AgentId, TaskOrder),
    /// Take a task back from an agent, or stop it.
    Recall(AgentId, TaskRun),
    /// Answer the caller.
    Answer(RequestId, Answer),
    /// Record a decision.
    Record(Decision),
}

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
        end: Duration,
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
        takes: Duration,
        /// Probability of missing the objective.
        risk: f64,
        /// Age of what is known of the endpoint.
        age: Duration,
    },
    /// A task came back without being done.
    Back {
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
        here: Duration,
        /// Time it needs elsewhere.
        there: Duration,
    },
    /// Nothing that an agent was sent can run any more.
    Lost {
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
            Self::Refused { id, queue, reason, load, endpoints, end, objective } => write!(
                f,
                "event=refused job={id} queue={queue} reason={reason} load={load:.2} \
                 endpoints={endpoints} end_ms={} objective_ms={}",
                end.as_millis(),
                objective.as_millis()
            ),
            Self::Sent { run, agent, wait, takes, risk, age } => write!(
                f,
                "event=sent task={run} agent={agent} wait_ms={} takes_ms={} risk={risk:.2} \
                 status_age_ms={}",
                wait.as_millis(),
                takes.as_millis(),
                age.as_millis()
            ),
            Self::Back { run, agent, fate } => {
                write!(f, "event=back task={run} agent={agent} fate={fate:?}")
            }
            Self::Moved { run, agent, here, there } => write!(
                f,
                "event=moved task={run} agent={agent} here_ms={} there_ms={}",
                here.as_millis(),
                there.as_millis()
            ),
            Self::Lost { agent, silence } => {
                write!(f, "event=lost agent={agent} silence_ms={}", silence.as_millis())
            }
        }
    }
}

/// The jobs of an entry and the endpoints it may use.
pub struct Scheduler {
    settings: SchedulerSettings,
    endpoints: SortedMap<AgentId, Endpoint>,
    jobs: SortedMap<RequestId, Job>,
    predictor: Predictor,
    actions: Vec<Action>,
}

/// Why a job is not admitted.
struct Refused {
    reason: RefusalReason,
    /// When its last task would have ended.
    end: Duration,
    retry_after: Duration,
}

/// An endpoint chosen for a task.
struct Choice {
    agent: AgentId,
    forecast: Forecast,
    work: Duration,
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
    pub fn pending(&self, queue: &str) -> usize {
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
        let Refused { reason, end, retry_after } = refused;
        let id = job.spec.id.clone();
        let decision = Decision::Refused {
            id: id.clone(),
            queue: job.spec.queue.clone(),
            reason,
            load: self.load(&job.spec.service),
            endpoints: self.usable_endpoints(now),
            end,
            objective: job.objective.saturating_sub(now),
        };
        self.actions.push(Action::Record(decision));
        self.actions.push(Action::Answer(id, Answer::Refused { reason, retry_after }));
    }

    /// Judges a job before any task of it is sent.
    fn admit(&mut self, now: Duration, job: &Job) -> Result<(), Refused> {
        let mut longest: Option<Choice> = None;
        let mut taken: Vec<(AgentId, Room)> = Vec::new();
        let firsts = job.spec.steps.iter().filter(|step| step.after.is_empty());
        for step in firsts {
            for turn in 0..step.count {
                let choice = self.choose(now, job, step, turn as usize, None, None, &[]);
                let Some(choice) = choice else {
                    self.unplan(&taken);
                    return Err(self.no_place(now, &job.spec, step));
                };
                if let Some(known) = self.endpoints.get_mut(&choice.agent) {
                    known.planned.take(step.need);
                    taken.push((choice.agent.clone(), step.need));
                }
                if longest.as_ref().is_none_or(|known| choice.forecast.end() > known.forecast.end())
                {
                    longest = Some(choice);
                }
            }
        }
        self.unplan(&taken);
        let Some(longest) = longest else {
            return Ok(());
        };
        let forecast = longest.forecast;
        let is_hopeless = forecast.unanswered > HOPELESS_RISK;
        let is_late = forecast.late > LATE_RISK && self.load(&job.spec.service) > BUSY_LOAD;
        if is_hopeless || is_late {
            let retry_after = forecast.wait.max(LEAST_RETRY_AFTER);
            let end = forecast.end();
            return Err(Refused { reason: RefusalReason::Load, end, retry_after });
        }
        Ok(())
    }

    /// Gives back the room taken while a job was judged.
    fn unplan(&mut self, taken: &[(AgentId, Room)]) {
        for (agent, need) in taken {
            if let Some(known) = self.endpoints.get_mut(agent) {
                known.planned.give(*need);
            }
        }
    }

    fn no_place(&self, now: Duration, spec: &JobSpec, step: &StepSpec) -> Refused {
        let of_service = |known: &&Endpoint| known.status.service == spec.service;
        let mut sized = self.endpoints.values().filter(of_service).peekable();
        let any_usable = self.usable_endpoints(now) > 0;
        let too_large = any_usable
            && sized.peek().is_some()
            && !sized.any(|known| known.status.capacity.holds(step.need));
        let reason = if too_large { RefusalReason::TooLarge } else { RefusalReason::NoEndpoint };
        Refused { reason, end: Duration::ZERO, retry_after: self.settings.bound() }
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

    /// Chooses the endpoint for a task.
    ///
    /// Where there are many endpoints, a part of them is considered that changes with `turn`.
    fn choose(
        &self,
        now: Duration,
        job: &Job,
        step: &StepSpec,
        turn: usize,
        work_seen: Option<Duration>,
        avoid: Option<&AgentId>,
        used: &[(AgentId, u32)],
    ) -> Option<Choice> {
        let suspect_after = self.settings.suspect_after;
        let count = self.endpoints.len();
        let stride = count.div_ceil(MAX_CANDIDATES).max(1);
        let sick = self.sick_limit(now);
        let spec = &job.spec;
        let predicted = self.predictor.work(&spec.queue, step.declared);
        let work = match work_seen {
            Some(median) => Work { median, spread: SEEN_SPREAD },
            None => predicted,
        };
        let demand = Demand {
            need: step.need,
            work,
            others: spec.longest_chain().saturating_sub(step.declared),
            terms: spec.terms,
            elapsed: now.saturating_sub(job.sent_at),
            patience: job.deadline.saturating_sub(now),
        };
        let mut best: Option<(f64, &AgentId, Forecast)> = None;
        for (at, (agent, known)) in self.endpoints.iter().enumerate() {
            if at % stride != turn % stride || !known.is_usable(now, suspect_after) {
                continue;
            }
            if !known.suits(&spec.service, step) || is_full(step, agent, used) {
                continue;
            }
            let far = step.near.as_ref().is_some_and(|near| *near != known.status.rack);
            let candidate = Candidate { status: &known.status, free: known.free(), far };
            let forecast = candidate.forecast(&demand);
            let mut cost = candidate.cost(step.need, &forecast);
            if avoid == Some(agent) {
                cost += 2.0;
            }
            if known.status.failing > sick {
                cost += 4.0;
            }
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, agent, forecast));
            }
        }
        best.map(|(_, agent, forecast)| Choice {
            agent: agent.clone(),
            forecast,
            work: work.median,
        })
    }

    /// Returns the share of failures from which an endpoint counts as sick: where tasks fail
    /// everywhere, the tasks are to blame.
    fn sick_limit(&self, now: Duration) -> f64 {
        let suspect_after = self.settings.suspect_after;
        let usable = self.endpoints.values().filter(|known| known.is_usable(now, suspect_after));
        let shares = usable.map(|known| known.status.failing).collect();
        crate::samples::median(shares).map_or(SICK_SHARE, |mid| SICK_SHARE.max(3.0 * mid))
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
        let choice = self.choose(
            now,
            job,
            step,
            job.tasks[at].turn(),
            None,
            job.tasks[at].avoid.as_ref(),
            &used,
        );
        let Some(choice) = choice else {
            self.wait_or_end(now, id, at);
            return;
        };
        let forecast = choice.forecast;
        if forecast.unanswered > HOPELESS_RISK {
            self.end_unserved(now, id);
            return;
        }
        let patience = job.deadline.saturating_sub(now);
        let give_up = patience.saturating_sub(forecast.run.mul_f64(0.7));
        let most_here = step.most_per_endpoint;
        let need = step.need;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let run = job.tasks[at].send(now, &choice.agent, forecast.run, choice.work);
        let order = TaskOrder {
            run,
            work: spec.work.clone(),
            need,
            work_time: choice.work,
            start_within: forecast.slack,
            give_up: give_up.max(LEAST_TIME),
            end_within: patience,
            most_here,
        };
        let Some(known) = self.endpoints.get_mut(&choice.agent) else {
            return;
        };
        known.on_sent(need);
        let decision = Decision::Sent {
            run: order.run.clone(),
            agent: choice.agent.clone(),
            wait: forecast.wait,
            takes: forecast.run,
            risk: forecast.late,
            age: now.saturating_sub(known.heard_at),
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
            Answer::GaveUp { reason: GiveUp::Deadline, retry_after }
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
            if let TaskState::Sent { agent, recalled: false, .. } = &task.state {
                let run = TaskRun { task: task.name.clone(), run: task.runs };
                self.actions.push(Action::Recall(agent.clone(), run));
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
            self.on_task(now, agent, &TaskEvent { run, fate: Fate::Stopped });
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
            self.on_task(now, agent, &TaskEvent { run, fate: Fate::Stopped });
        }
        self.endpoints.remove(agent);
    }

    /// Returns the earlier incarnations of an agent that are still known.
    pub fn former_incarnations(&self, agent: &AgentId) -> Vec<AgentId> {
        let is_former = |other: &&AgentId| *other != agent && other.node() == agent.node();
        self.endpoints.keys().filter(is_former).cloned().collect()
    }

    /// Takes in a sign of life of an agent.
    pub fn on_heard(&mut self, now: Duration, agent: &AgentId) {
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
    pub fn on_task(&mut self, now: Duration, agent: &AgentId, event: &TaskEvent) {
        let name = &event.run.task;
        let Some(at) = self.find(name, agent, event.run.run) else {
            return;
        };
        if !matches!(event.fate, Fate::Done(_) | Fate::Slow(_) | Fate::Overrun(_)) {
            let (run, agent, fate) = (event.run.clone(), agent.clone(), event.fate);
            self.actions.push(Action::Record(Decision::Back { run, agent, fate }));
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
        let declared = job.spec.steps[usize::from(name.step)].declared;
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

    /// Returns how much work a running task is that needs `left` more.
    fn work_seen(
        &self,
        now: Duration,
        name: &TaskName,
        at: usize,
        left: Duration,
    ) -> Option<Duration> {
        let job = self.jobs.get(&name.request)?;
        let TaskState::Sent { sent_at, expected, work, .. } = &job.tasks[at].state else {
            return None;
        };
        let takes = now.saturating_sub(*sent_at) + left;
        Some(takes.mul_f64(work.as_secs_f64() / expected.as_secs_f64().max(0.001)))
    }

    /// Stops a slow task where it would end in time elsewhere, or much earlier.
    fn consider_move(
        &mut self,
        now: Duration,
        name: &TaskName,
        at: usize,
        agent: &AgentId,
        left: Duration,
        work: Option<Duration>,
    ) {
        let Some(job) = self.jobs.get(&name.request) else {
            return;
        };
        let step = &job.spec.steps[usize::from(name.step)];
        let deadline = job.deadline;
        let is_hopeless = now + left > deadline + OVERRUN;
        let choice = self.choose(now, job, step, job.tasks[at].turn(), work, Some(agent), &[]);
        let Some(choice) = choice.filter(|choice| choice.agent != *agent) else {
            if is_hopeless && work.is_some() {
                self.end_unserved(now, &name.request);
            }
            return;
        };
        let promised = choice.work.mul_f64(job.spec.terms.stretch) + job.spec.terms.target;
        let objective = (job.sent_at + promised).min(deadline);
        let there = now + MOVE_TIME + choice.forecast.end();
        let here = now + left;
        let saves_objective = here > objective && there <= objective;
        let saves_answer = here > deadline && there < deadline;
        let much_earlier = here > objective && (there - now) * 2 < left;
        if !(saves_objective || saves_answer || much_earlier) {
            if is_hopeless && work.is_some() {
                self.end_unserved(now, &name.request);
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(&name.request) else {
            return;
        };
        if let TaskState::Sent { recalled, .. } = &mut job.tasks[at].state {
            if !*recalled {
                *recalled = true;
                let run = TaskRun { task: name.clone(), run: job.tasks[at].runs };
                let decision = Decision::Moved {
                    run: run.clone(),
                    agent: agent.clone(),
                    here: left,
                    there: there - now,
                };
                self.actions.push(Action::Record(decision));
                self.actions.push(Action::Recall(agent.clone(), run));
            }
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
                self.actions.push(Action::Record(Decision::Lost { agent, silence }));
            }
            for run in runs {
                self.on_task(now, &agent, &TaskEvent { run, fate: Fate::Stopped });
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

/// Tells whether an endpoint already has as many tasks of the step as it may.
fn is_full(step: &StepSpec, agent: &AgentId, used: &[(AgentId, u32)]) -> bool {
    let most = step.most_per_endpoint;
    most > 0 && used.iter().any(|(known, count)| known == agent && *count >= most)
}
