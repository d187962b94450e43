//! An owner's dispatch decisions: which task to send to which agent, and which agents to ask for
//! credits.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use cowslipwing_types::{CustomerName, Incarnation, SortedMap};

use crate::credit_requests::CreditRequests;
use crate::estimate::Estimates;
use crate::failure_attribution::FailureAttribution;
use crate::fair_queue::FairQueue;
use crate::placement::{Observation, Placement, Requirements};

/// Time for which unused credits are kept while no queued task may run.
const IDLE_CREDIT_HOLD: Duration = Duration::from_millis(50);

/// A job with tasks in the dispatcher's queue.
pub trait QueuedJob: Clone + Eq {
    /// Returns the resources that each task of the job requires.
    fn requirements(&self) -> Requirements;
}

/// The result of a task, as reported by its agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskResult {
    /// The task ran for the given time and succeeded.
    Succeeded(Duration),
    /// The task ran and failed, or its result is unknown.
    Failed,
    /// The task was not started.
    NotStarted,
}

/// A task that was sent to an agent and has not ended.
#[derive(Clone, Debug)]
struct SentTask {
    customer: CustomerName,
    kind: CompactString,
    /// Run time that was estimated when the task was sent.
    expected: Duration,
}

/// Queues an owner's tasks and assigns them to agents.
///
/// `J` is a job in the queue; `T` identifies a task that was sent.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_policy::{Capacity, Dispatcher, QueuedJob, Requirements};
///
/// #[derive(Clone, Debug, Eq, PartialEq)]
/// struct Job(u32);
///
/// impl QueuedJob for Job {
///     fn requirements(&self) -> Requirements {
///         Requirements::default()
///     }
/// }
///
/// let (now, gym) = (Instant::now(), "gym".parse().unwrap());
/// let agent = "agent-1".parse().unwrap();
/// let mut dispatcher: Dispatcher<Job, (u32, u32)> = Dispatcher::default();
/// let capacity = Capacity { cores: 4, memory_mb: 1024, slots: 4 };
/// dispatcher.placement.set_agent(&agent, capacity, false);
/// dispatcher.placement.set_connected(&agent, true);
/// dispatcher.queue.set_terms(&gym, 1, 10);
/// dispatcher.queue.push(&gym, Job(1), 1, Duration::from_millis(50));
/// assert_eq!(dispatcher.plan_credit_requests(now, 0), vec![(agent.clone(), 1)]);
/// dispatcher.on_credits(&agent, 1);
/// let assigned = dispatcher.assign_next(now, |_| true, |_, _| true);
/// assert_eq!(assigned, Some((gym, Job(1), agent)));
/// ```
pub struct Dispatcher<J, T> {
    /// Tasks that have not been sent to an agent.
    pub queue: FairQueue<J>,
    /// Known agents, with the credits that this owner holds from each.
    pub placement: Placement,
    /// Run times learned from completed tasks.
    pub estimates: Estimates,
    failure_attribution: FailureAttribution,
    credit_requests: CreditRequests,
    sent: SortedMap<Incarnation, SortedMap<T, SentTask>>,
    /// Since when credits have been held without a queued task that may run; `None` if that is not
    /// the case now.
    idle_since: Option<Instant>,
}

impl<J, T> Default for Dispatcher<J, T> {
    fn default() -> Self {
        Self {
            queue: FairQueue::default(),
            placement: Placement::default(),
            estimates: Estimates::default(),
            failure_attribution: FailureAttribution::default(),
            credit_requests: CreditRequests::default(),
            sent: SortedMap::new(),
            idle_since: None,
        }
    }
}

impl<J, T> Dispatcher<J, T>
where
    J: QueuedJob,
    T: Clone + Ord,
{
    /// Takes the next task from the queue, chooses its agent and uses one of the agent's credits.
    ///
    /// Considers only jobs for which `may_start` returns `true`, and for each job only the agents
    /// for which `may_use` returns `true`. Returns `None` if there is no such task and agent.
    pub fn assign_next<S, U>(
        &mut self,
        now: Instant,
        may_start: S,
        may_use: U,
    ) -> Option<(CustomerName, J, Incarnation)>
    where
        S: Fn(&J) -> bool,
        U: Fn(&J, &Incarnation) -> bool,
    {
        let placement = &self.placement;
        let fits = |job: &J| {
            may_start(job)
                && placement.can_place(now, job.requirements(), |agent| may_use(job, agent))
        };
        let (customer, job) = self.queue.pop(fits)?;
        match self.placement.choose(now, job.requirements(), |agent| may_use(&job, agent)) {
            Some(agent) => Some((customer, job, agent)),
            None => {
                self.queue.on_end(&customer);
                None
            }
        }
    }

    /// Returns the credit used by [`Dispatcher::assign_next`] and no longer counts the task as
    /// running, because the task was not sent.
    ///
    /// Does not put the task back into the queue.
    pub fn cancel_assignment(&mut self, customer: &CustomerName, agent: &Incarnation) {
        self.placement.cancel_choice(agent);
        self.queue.on_end(customer);
    }

    /// Records that a task was sent to an agent.
    pub fn on_sent(
        &mut self,
        agent: &Incarnation,
        customer: &CustomerName,
        task: T,
        kind: &str,
        declared: Option<Duration>,
    ) {
        let expected = self.estimates.get(customer, kind, declared);
        let sent = SentTask { customer: customer.clone(), kind: kind.into(), expected };
        self.sent.get_or_insert_with(agent.clone(), SortedMap::new).insert(task, sent);
    }

    /// Counts an adopted task, which a previous owner sent to the agent, as running.
    pub fn on_adopted(&mut self, agent: &Incarnation, customer: &CustomerName) {
        self.queue.on_adopted(customer);
        self.placement.on_adopted(agent);
    }

    /// Handles the end of a task at an agent, and updates the estimates and the agent's health.
    ///
    /// Ignores tasks that are not recorded as sent to the agent.
    pub fn on_ended(&mut self, now: Instant, agent: &Incarnation, task: &T, result: TaskResult) {
        let Some(sent) = self.sent.get_mut(agent).and_then(|tasks| tasks.remove(task)) else {
            return;
        };
        self.queue.on_end(&sent.customer);
        match result {
            TaskResult::Succeeded(run_time) => {
                self.estimates.observe(&sent.customer, &sent.kind, run_time);
                self.failure_attribution.on_success(&sent.customer, &sent.kind, agent);
                let observation = Observation::Succeeded { expected: sent.expected, run_time };
                self.placement.on_end(now, agent, observation);
            }
            TaskResult::Failed => {
                let at_fault =
                    self.failure_attribution.is_endpoint_fault(&sent.customer, &sent.kind, agent);
                let observation = if at_fault {
                    Observation::EndpointFault
                } else {
                    Observation::UnattributedFailure
                };
                self.placement.on_end(now, agent, observation);
            }
            TaskResult::NotStarted => self.placement.on_not_started(agent),
        }
    }

    /// Adds credits that an agent has granted.
    pub fn on_credits(&mut self, agent: &Incarnation, credits: u32) {
        self.placement.on_credits(agent, credits);
        self.credit_requests.on_credits(agent, credits);
    }

    /// Removes an agent that is gone, and counts the tasks sent to it as ended.
    pub fn remove_agent(&mut self, agent: &Incarnation) {
        for sent in self.sent.remove(agent).unwrap_or_default().values() {
            self.queue.on_end(&sent.customer);
        }
        self.placement.remove(agent);
        self.credit_requests.remove_agent(agent);
    }

    /// Returns the estimated time until the last task of a new job of the customer would start.
    ///
    /// `work` is the total run time of the job's tasks. The estimate is the queued work and `work`,
    /// divided by the slots.
    ///
    /// Assumes that `entries` owners share the agents evenly. Other customers' queued work counts
    /// only as far as their shares allow it to delay this customer. Returns zero if every agent is
    /// disconnected or leaving.
    pub fn queue_delay(&self, customer: &CustomerName, work: Duration, entries: u32) -> Duration {
        let slots = self.placement.slots();
        if slots == 0 {
            return Duration::ZERO;
        }
        let total = self.queue.queued_work() + work;
        let own = self.queue.queued_work_of(customer) + work;
        let by_share = own.div_f64(self.queue.capacity_fraction(customer));
        total.min(by_share) * entries.max(1) / slots
    }

    /// Returns whether every task that this owner sent has ended.
    pub fn is_drained(&self) -> bool {
        self.sent.values().all(SortedMap::is_empty)
    }

    /// Returns the agents to ask for credits, with the number of credits to ask each for.
    ///
    /// `start` is a random number that selects the agent at which the search begins.
    pub fn plan_credit_requests(&mut self, now: Instant, start: usize) -> Vec<(Incarnation, u32)> {
        let requirements = self.queued_requirements();
        // Credits from agents that cannot run any of the queued tasks do not count. If they did, no
        // credits would be requested for these tasks and they would never be sent.
        let usable = self.placement.usable_credits(now, &requirements);
        let missing = self.queue.demand().saturating_sub(usable);
        if missing == 0 {
            return Vec::new();
        }
        self.credit_requests.plan(
            now,
            missing,
            &self.placement.credit_candidates(now, &requirements),
            start,
        )
    }

    /// Returns the distinct requirements of the jobs that are within their customers' limits.
    fn queued_requirements(&self) -> Vec<Requirements> {
        let mut distinct = Vec::new();
        for requirements in self.queue.runnable_jobs().map(QueuedJob::requirements) {
            if !distinct.contains(&requirements) {
                distinct.push(requirements);
            }
        }
        distinct
    }

    /// Takes all credits, to be returned to their agents, if they have been held for 50 ms without
    /// a queued task that may run.
    pub fn take_idle_credits(&mut self, now: Instant) -> Vec<(Incarnation, u32)> {
        let is_idle = self.queue.demand() == 0 && self.placement.credits() > 0;
        if !is_idle {
            self.idle_since = None;
            return Vec::new();
        }
        let since = *self.idle_since.get_or_insert(now);
        if now < since + IDLE_CREDIT_HOLD {
            return Vec::new();
        }
        self.idle_since = None;
        self.placement.take_all_credits()
    }
}
