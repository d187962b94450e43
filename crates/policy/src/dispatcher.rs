//! An owner's decisions on what to send where, and whom to ask for credits.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use cowslipwing_types::{CustomerName, Incarnation, SortedMap};

use crate::credit_requests::CreditRequests;
use crate::estimate::Estimates;
use crate::failure_attribution::FailureAttribution;
use crate::fair_queue::FairQueue;
use crate::placement::{Observation, Placement, Requirements};

/// Time for which unused credits are kept.
const CREDIT_HOLD: Duration = Duration::from_millis(50);

/// A job whose tasks wait, as the dispatcher sees it.
pub trait QueuedJob: Clone + Eq {
    /// Returns what each task of the job needs.
    fn requirements(&self) -> Requirements;
}

/// How a task has left an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskResult {
    /// It ran and succeeded.
    Succeeded(Duration),
    /// It ran and failed, or nothing is known of it.
    Failed,
    /// It never started.
    NotStarted,
}

/// A task that an agent has.
#[derive(Clone, Debug)]
struct Sent {
    customer: CustomerName,
    kind: CompactString,
    expected: Duration,
}

/// Tasks that wait, and the agents they may go to.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_policy::{Capacity, Dispatcher, Requirements, QueuedJob};
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
/// let sent = dispatcher.assign_next(now, |_| true, |_, _| true);
/// assert_eq!(sent, Some((gym, Job(1), agent)));
/// ```
pub struct Dispatcher<J, T> {
    /// Tasks that wait.
    pub queue: FairQueue<J>,
    /// Agents and their credits.
    pub placement: Placement,
    /// Learned run times.
    pub estimates: Estimates,
    failure_attribution: FailureAttribution,
    credit_requests: CreditRequests,
    sent: SortedMap<Incarnation, SortedMap<T, Sent>>,
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
    /// Chooses the next task and its agent, and uses one of the agent's credits.
    ///
    /// Only jobs that `may_start` are considered, and only agents that `may_use` allows for them.
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

    /// Gives back what [`Dispatcher::assign_next`] chose where the task is not sent after all.
    pub fn cancel_assignment(&mut self, customer: &CustomerName, agent: &Incarnation) {
        self.placement.cancel_choice(agent);
        self.queue.on_end(customer);
    }

    /// Notes that an agent has a task.
    pub fn on_sent(
        &mut self,
        agent: &Incarnation,
        customer: &CustomerName,
        task: T,
        kind: &str,
        declared: Option<Duration>,
    ) {
        let expected = self.estimates.get(customer, kind, declared);
        let sent = Sent { customer: customer.clone(), kind: kind.into(), expected };
        self.sent.get_or_insert_with(agent.clone(), SortedMap::new).insert(task, sent);
    }

    /// Counts a task that an earlier owner has sent.
    pub fn on_adopted(&mut self, agent: &Incarnation, customer: &CustomerName) {
        self.queue.on_adopted(customer);
        self.placement.on_adopted(agent);
    }

    /// Takes in that an agent has a task no more, and learns from it.
    pub fn on_ended(&mut self, now: Instant, agent: &Incarnation, task: &T, ending: TaskResult) {
        let Some(sent) = self.sent.get_mut(agent).and_then(|tasks| tasks.remove(task)) else {
            return;
        };
        self.queue.on_end(&sent.customer);
        match ending {
            TaskResult::Succeeded(run_time) => {
                self.estimates.observe(&sent.customer, &sent.kind, run_time);
                self.failure_attribution.on_success(&sent.customer, &sent.kind, agent);
                let observation = Observation::Succeeded { expected: sent.expected, run_time };
                self.placement.on_end(now, agent, observation);
            }
            TaskResult::Failed => {
                let blamed =
                    self.failure_attribution.is_endpoint_fault(&sent.customer, &sent.kind, agent);
                let observation = if blamed {
                    Observation::EndpointFault
                } else {
                    Observation::UnattributedFailure
                };
                self.placement.on_end(now, agent, observation);
            }
            TaskResult::NotStarted => self.placement.on_not_started(agent),
        }
    }

    /// Takes in credits from an agent.
    pub fn on_credits(&mut self, agent: &Incarnation, credits: u32) {
        self.placement.on_credits(agent, credits);
        self.credit_requests.on_credits(agent, credits);
    }

    /// Forgets an agent that is gone, with the tasks it had.
    pub fn remove_agent(&mut self, agent: &Incarnation) {
        for sent in self.sent.remove(agent).unwrap_or_default().values() {
            self.queue.on_end(&sent.customer);
        }
        self.placement.remove(agent);
        self.credit_requests.remove_agent(agent);
    }

    /// Returns the time until new work of a customer would be done, where as many owners as there are
    /// `entries` share the agents evenly; 0 while no agent can be reached.
    ///
    /// What other customers have waiting delays it no further than their shares allow.
    pub fn queue_delay(&self, customer: &CustomerName, work: Duration, entries: u32) -> Duration {
        let slots = self.placement.slots();
        if slots == 0 {
            return Duration::ZERO;
        }
        let of_all = self.queue.queued_work() + work;
        let of_own = self.queue.queued_work_of(customer) + work;
        let by_share = of_own.div_f64(self.queue.capacity_fraction(customer));
        of_all.min(by_share) * entries.max(1) / slots
    }

    /// Tells whether no agent has a task of this owner.
    pub fn is_drained(&self) -> bool {
        self.sent.values().all(SortedMap::is_empty)
    }

    /// Returns whom to ask for how many credits.
    ///
    /// The walk over the agents begins at `start`, a random number.
    pub fn plan_credit_requests(&mut self, now: Instant, start: usize) -> Vec<(Incarnation, u32)> {
        let needs = self.needs();
        // Credits of agents that no waiting task can go to would otherwise keep it from being sent.
        let usable = self.placement.usable_credits(now, &needs);
        let want = self.queue.demand().saturating_sub(usable);
        if want == 0 {
            return Vec::new();
        }
        self.credit_requests.plan(now, want, &self.placement.credit_candidates(now, &needs), start)
    }

    /// Returns what the tasks that wait need, each kind once.
    fn needs(&self) -> Vec<Requirements> {
        let mut needs = Vec::new();
        for need in self.queue.runnable_jobs().map(QueuedJob::requirements) {
            if !needs.contains(&need) {
                needs.push(need);
            }
        }
        needs
    }

    /// Returns the credits to give back once nothing has waited for a while.
    pub fn take_idle_credits(&mut self, now: Instant) -> Vec<(Incarnation, u32)> {
        let is_idle = self.queue.demand() == 0 && self.placement.credits() > 0;
        if !is_idle {
            self.idle_since = None;
            return Vec::new();
        }
        let since = *self.idle_since.get_or_insert(now);
        if now < since + CREDIT_HOLD {
            return Vec::new();
        }
        self.idle_since = None;
        self.placement.take_all_credits()
    }
}
