//! An owner's decisions on what to send where, and whom to ask for credits.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use cowslipwing_types::{CustomerName, Incarnation, SortedMap};

use crate::asks::Asks;
use crate::blame::Blame;
use crate::estimate::Estimates;
use crate::fair_queue::FairQueue;
use crate::placement::{Need, Placement, Service};

/// Time for which unused credits are kept.
const CREDIT_HOLD: Duration = Duration::from_millis(50);

/// A job whose tasks wait, as the dispatcher sees it.
pub trait Waiting: Clone + Eq {
    /// Returns what each task of the job needs.
    fn need(&self) -> Need;
}

/// How a task has left an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
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
/// use cowslipwing_policy::{Capacity, Dispatcher, Need, Waiting};
///
/// #[derive(Clone, Debug, Eq, PartialEq)]
/// struct Job(u32);
///
/// impl Waiting for Job {
///     fn need(&self) -> Need {
///         Need::default()
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
/// assert_eq!(dispatcher.asks(now, 0), vec![(agent.clone(), 1)]);
/// dispatcher.on_credits(&agent, 1);
/// let sent = dispatcher.next(now, |_| true, |_, _| true);
/// assert_eq!(sent, Some((gym, Job(1), agent)));
/// ```
pub struct Dispatcher<J, T> {
    /// Tasks that wait.
    pub queue: FairQueue<J>,
    /// Agents and their credits.
    pub placement: Placement,
    /// Learned run times.
    pub estimates: Estimates,
    blame: Blame,
    asks: Asks,
    sent: SortedMap<Incarnation, SortedMap<T, Sent>>,
    idle_since: Option<Instant>,
}

impl<J, T> Default for Dispatcher<J, T> {
    fn default() -> Self {
        Self {
            queue: FairQueue::default(),
            placement: Placement::default(),
            estimates: Estimates::default(),
            blame: Blame::default(),
            asks: Asks::default(),
            sent: SortedMap::new(),
            idle_since: None,
        }
    }
}

impl<J, T> Dispatcher<J, T>
where
    J: Waiting,
    T: Clone + Ord,
{
    /// Chooses the next task and its agent, and uses one of the agent's credits.
    ///
    /// Only jobs that `may_start` are considered, and only agents that `may_use` allows for them.
    pub fn next<S, U>(
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
            may_start(job) && placement.can_take(now, job.need(), |agent| may_use(job, agent))
        };
        let (customer, job) = self.queue.pop(fits)?;
        match self.placement.choose(now, job.need(), |agent| may_use(&job, agent)) {
            Some(agent) => Some((customer, job, agent)),
            None => {
                self.queue.on_end(&customer);
                None
            }
        }
    }

    /// Gives back what [`Dispatcher::next`] chose where the task is not sent after all.
    pub fn on_unused(&mut self, customer: &CustomerName, agent: &Incarnation) {
        self.placement.on_unused(agent);
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
    pub fn on_ended(&mut self, now: Instant, agent: &Incarnation, task: &T, ending: Ending) {
        let Some(sent) = self.sent.get_mut(agent).and_then(|tasks| tasks.remove(task)) else {
            return;
        };
        self.queue.on_end(&sent.customer);
        match ending {
            Ending::Succeeded(run_time) => {
                self.estimates.observe(&sent.customer, &sent.kind, run_time);
                self.blame.on_success(&sent.customer, &sent.kind, agent);
                let service = Service::Succeeded { expected: sent.expected, run_time };
                self.placement.on_end(now, agent, service);
            }
            Ending::Failed => {
                let blamed = self.blame.speaks_against(&sent.customer, &sent.kind, agent);
                let service = if blamed { Service::Failed } else { Service::FailedAsElsewhere };
                self.placement.on_end(now, agent, service);
            }
            Ending::NotStarted => self.placement.on_returned(agent),
        }
    }

    /// Takes in credits from an agent.
    pub fn on_credits(&mut self, agent: &Incarnation, credits: u32) {
        self.placement.on_credits(agent, credits);
        self.asks.on_credits(agent, credits);
    }

    /// Forgets an agent that is gone, with the tasks it had.
    pub fn forget_agent(&mut self, agent: &Incarnation) {
        for sent in self.sent.remove(agent).unwrap_or_default().values() {
            self.queue.on_end(&sent.customer);
        }
        self.placement.remove(agent);
        self.asks.forget(agent);
    }

    /// Returns the time until new work of a customer would be done, where as many owners as there are
    /// `entries` share the agents evenly; 0 while no agent can be reached.
    ///
    /// What other customers have waiting delays it no further than their shares allow.
    pub fn ahead(&self, customer: &CustomerName, work: Duration, entries: u32) -> Duration {
        let slots = self.placement.slots();
        if slots == 0 {
            return Duration::ZERO;
        }
        let of_all = self.queue.work() + work;
        let of_own = self.queue.work_of(customer) + work;
        let by_share = of_own.div_f64(self.queue.part_of(customer));
        of_all.min(by_share) * entries.max(1) / slots
    }

    /// Tells whether no agent has a task of this owner.
    pub fn is_drained(&self) -> bool {
        self.sent.values().all(SortedMap::is_empty)
    }

    /// Returns whom to ask for how many credits.
    ///
    /// The walk over the agents begins at `start`, a random number.
    pub fn asks(&mut self, now: Instant, start: usize) -> Vec<(Incarnation, u32)> {
        let needs = self.needs();
        // Credits of agents that no waiting task can go to would otherwise keep it from being sent.
        let usable = self.placement.usable_credits(now, &needs);
        let want = self.queue.demand().saturating_sub(usable);
        if want == 0 {
            return Vec::new();
        }
        self.asks.plan(now, want, &self.placement.askable(now, &needs), start)
    }

    /// Returns what the tasks that wait need, each kind once.
    fn needs(&self) -> Vec<Need> {
        let mut needs = Vec::new();
        for need in self.queue.runnable().map(Waiting::need) {
            if !needs.contains(&need) {
                needs.push(need);
            }
        }
        needs
    }

    /// Returns the credits to give back once nothing has waited for a while.
    pub fn returns(&mut self, now: Instant) -> Vec<(Incarnation, u32)> {
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
