//! Weighted fair queueing of jobs by customer.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipwing_types::{CustomerName, SortedMap};

/// The jobs of one customer that wait.
#[derive(Clone, Debug)]
struct Lane<J> {
    jobs: VecDeque<Waiting<J>>,
    /// Virtual time at which the customer's next task is due.
    due: f64,
    share: u32,
    running: u32,
    limit: u32,
}

#[derive(Clone, Debug)]
struct Waiting<J> {
    job: J,
    tasks: u32,
    cost: f64,
}

/// Orders waiting tasks so that customers get their shares of estimated work.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_policy::FairQueue;
///
/// let gym = "gym".parse().unwrap();
/// let mut queue = FairQueue::default();
/// queue.set_terms(&gym, 1, 10);
/// queue.push(&gym, "job-1", 1, Duration::from_millis(50));
/// assert_eq!(queue.pop(|_| true), Some((gym, "job-1")));
/// assert!(queue.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue<J> {
    lanes: SortedMap<CustomerName, Lane<J>>,
    virtual_time: f64,
    waiting: u32,
    waiting_cost: f64,
}

impl<J> Default for FairQueue<J> {
    fn default() -> Self {
        Self { lanes: SortedMap::new(), virtual_time: 0.0, waiting: 0, waiting_cost: 0.0 }
    }
}

impl<J> FairQueue<J>
where
    J: Clone + Eq,
{
    /// Sets a customer's share and the tasks it may run at once.
    pub fn set_terms(&mut self, customer: &CustomerName, share: u32, limit: u32) {
        let lane = self.lane(customer);
        lane.share = share.max(1);
        lane.limit = limit;
    }

    /// Sets the tasks that a customer may run at once.
    pub fn set_limit(&mut self, customer: &CustomerName, limit: u32) {
        self.lane(customer).limit = limit;
    }

    /// Returns the number of a customer's tasks that run.
    pub fn running(&self, customer: &CustomerName) -> u32 {
        self.lanes.get(customer).map_or(0, |lane| lane.running)
    }

    /// Returns the customer's tasks that wait and could run now within its limit.
    pub fn demand_of(&self, customer: &CustomerName) -> u32 {
        self.lanes.get(customer).map_or(0, Lane::demand)
    }

    /// Returns the customers whose tasks wait for nothing but their limit, and how many do.
    pub fn blocked_by_limit(&self) -> Vec<(CustomerName, u32)> {
        let missing = |lane: &Lane<J>| match lane.running >= lane.limit {
            true => lane.waiting(),
            false => 0,
        };
        let lanes = self.lanes.iter().map(|(customer, lane)| (customer.clone(), missing(lane)));
        lanes.filter(|(_, missing)| *missing > 0).collect()
    }

    /// Adds the waiting tasks of a job, each of an estimated cost.
    pub fn push(&mut self, customer: &CustomerName, job: J, tasks: u32, cost: Duration) {
        if tasks == 0 {
            return;
        }
        let cost = cost.as_secs_f64();
        let virtual_time = self.virtual_time;
        let lane = self.lane(customer);
        if lane.jobs.is_empty() {
            lane.due = lane.due.max(virtual_time);
        }
        lane.jobs.push_back(Waiting { job, tasks, cost });
        self.waiting += tasks;
        self.waiting_cost += cost * f64::from(tasks);
    }

    /// Takes the next task among the jobs that pass, and counts it as running.
    pub fn pop<F>(&mut self, mut fits: F) -> Option<(CustomerName, J)>
    where
        F: FnMut(&J) -> bool,
    {
        let due = |lane: &Lane<J>| lane.due;
        let (customer, at) = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.running < lane.limit)
            .filter_map(|(customer, lane)| {
                let at = lane.jobs.iter().position(|waiting| fits(&waiting.job))?;
                Some((customer, lane, at))
            })
            .min_by(|a, b| due(a.1).total_cmp(&due(b.1)))
            .map(|(customer, _, at)| (customer.clone(), at))?;
        let lane = self.lanes.get_mut(&customer).expect("the lane was just seen");
        let waiting = &mut lane.jobs[at];
        waiting.tasks -= 1;
        let (job, cost, spent) = (waiting.job.clone(), waiting.cost, waiting.tasks == 0);
        if spent {
            lane.jobs.remove(at);
        }
        self.virtual_time = self.virtual_time.max(lane.due);
        lane.due += cost / f64::from(lane.share);
        lane.running += 1;
        self.waiting -= 1;
        self.waiting_cost -= cost;
        Some((customer, job))
    }

    /// Counts a task of the customer as running that was not taken from this queue.
    pub fn on_adopted(&mut self, customer: &CustomerName) {
        self.lane(customer).running += 1;
    }

    /// Counts a task of the customer as ended.
    pub fn on_end(&mut self, customer: &CustomerName) {
        let lane = self.lane(customer);
        lane.running = lane.running.saturating_sub(1);
    }

    /// Removes the waiting tasks of a job.
    pub fn remove(&mut self, customer: &CustomerName, job: &J) {
        let Some(lane) = self.lanes.get_mut(customer) else {
            return;
        };
        for waiting in lane.jobs.iter().filter(|waiting| waiting.job == *job) {
            self.waiting -= waiting.tasks;
            self.waiting_cost -= waiting.cost * f64::from(waiting.tasks);
        }
        lane.jobs.retain(|waiting| waiting.job != *job);
    }

    /// Returns the number of tasks that wait.
    pub fn len(&self) -> u32 {
        self.waiting
    }

    /// Tells whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the estimated work that waits.
    pub fn queued_work(&self) -> Duration {
        Duration::from_secs_f64(self.waiting_cost.max(0.0))
    }

    /// Returns the estimated work of a customer that waits.
    pub fn queued_work_of(&self, customer: &CustomerName) -> Duration {
        let work = self.lanes.get(customer).map_or(0.0, Lane::work);
        Duration::from_secs_f64(work.max(0.0))
    }

    /// Returns the part of capacity that a customer has while the others that wait have theirs.
    pub fn capacity_fraction(&self, customer: &CustomerName) -> f64 {
        let own = self.lanes.get(customer).map_or(1, |lane| lane.share);
        let competes =
            |(name, lane): &(&CustomerName, &Lane<J>)| *name != customer && !lane.jobs.is_empty();
        let others: u32 = self.lanes.iter().filter(competes).map(|(_, lane)| lane.share).sum();
        f64::from(own) / f64::from(own + others)
    }

    /// Returns the tasks that wait and could run now within the customers' limits.
    pub fn demand(&self) -> u32 {
        self.lanes.values().map(Lane::demand).sum()
    }

    /// Walks the jobs of the customers that are within their limits.
    pub fn runnable_jobs(&self) -> impl Iterator<Item = &J> {
        let lanes = self.lanes.values().filter(|lane| lane.running < lane.limit);
        lanes.flat_map(|lane| lane.jobs.iter().map(|waiting| &waiting.job))
    }

    fn lane(&mut self, customer: &CustomerName) -> &mut Lane<J> {
        let empty = || Lane { jobs: VecDeque::new(), due: 0.0, share: 1, running: 0, limit: 0 };
        self.lanes.get_or_insert_with(customer.clone(), empty)
    }
}

impl<J> Lane<J> {
    fn work(&self) -> f64 {
        self.jobs.iter().map(|waiting| waiting.cost * f64::from(waiting.tasks)).sum()
    }

    fn waiting(&self) -> u32 {
        self.jobs.iter().map(|waiting| waiting.tasks).sum()
    }

    fn demand(&self) -> u32 {
        self.waiting().min(self.limit.saturating_sub(self.running))
    }
}
