//! Weighted fair queueing of jobs by customer.
//!
//! Implements start-time fair queueing: each customer has a virtual start time, the customer with
//! the earliest one is served next, and each task moves it on by the task's cost divided by the
//! customer's share.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipwing_types::{CustomerName, SortedMap};

/// The queue of one customer.
#[derive(Clone, Debug)]
struct CustomerQueue<J> {
    jobs: VecDeque<QueuedTasks<J>>,
    /// Virtual start time of the customer's next task.
    start_time: f64,
    share: u32,
    running: u32,
    /// Maximum number of the customer's tasks that may run at the same time.
    limit: u32,
}

/// The queued tasks of one job.
#[derive(Clone, Debug)]
struct QueuedTasks<J> {
    job: J,
    tasks: u32,
    /// Estimated run time of each task, in seconds.
    cost: f64,
}

/// Orders queued tasks so that customers get their shares of the estimated work.
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
    customers: SortedMap<CustomerName, CustomerQueue<J>>,
    /// Largest virtual start time of any task taken from the queue so far.
    virtual_time: f64,
    /// Number of queued tasks of all customers.
    tasks: u32,
    /// Estimated run time of all queued tasks, in seconds.
    total_cost: f64,
}

impl<J> Default for FairQueue<J> {
    fn default() -> Self {
        Self { customers: SortedMap::new(), virtual_time: 0.0, tasks: 0, total_cost: 0.0 }
    }
}

impl<J> FairQueue<J>
where
    J: Clone + Eq,
{
    /// Sets a customer's share and the number of its tasks that may run at the same time.
    ///
    /// A share of zero counts as one.
    pub fn set_terms(&mut self, customer: &CustomerName, share: u32, limit: u32) {
        let queue = self.customer_queue(customer);
        queue.share = share.max(1);
        queue.limit = limit;
    }

    /// Sets the number of a customer's tasks that may run at the same time.
    pub fn set_limit(&mut self, customer: &CustomerName, limit: u32) {
        self.customer_queue(customer).limit = limit;
    }

    /// Returns the number of a customer's tasks that are running.
    pub fn running(&self, customer: &CustomerName) -> u32 {
        self.customers.get(customer).map_or(0, |queue| queue.running)
    }

    /// Returns the number of a customer's queued tasks that its limit allows to run now.
    pub fn demand_of(&self, customer: &CustomerName) -> u32 {
        self.customers.get(customer).map_or(0, CustomerQueue::demand)
    }

    /// Returns the customers that have queued tasks and have reached their limit, each with its
    /// number of queued tasks.
    pub fn blocked_by_limit(&self) -> Vec<(CustomerName, u32)> {
        let blocked = |queue: &CustomerQueue<J>| match queue.running >= queue.limit {
            true => queue.tasks(),
            false => 0,
        };
        let counts =
            self.customers.iter().map(|(customer, queue)| (customer.clone(), blocked(queue)));
        counts.filter(|(_, blocked)| *blocked > 0).collect()
    }

    /// Adds tasks of a job to its customer's queue; `cost` is the estimated run time of each task.
    pub fn push(&mut self, customer: &CustomerName, job: J, tasks: u32, cost: Duration) {
        if tasks == 0 {
            return;
        }
        let cost = cost.as_secs_f64();
        let virtual_time = self.virtual_time;
        let queue = self.customer_queue(customer);
        // A customer that was idle starts at the current virtual time. Otherwise it could claim the
        // capacity that it did not use while it was idle.
        if queue.jobs.is_empty() {
            queue.start_time = queue.start_time.max(virtual_time);
        }
        queue.jobs.push_back(QueuedTasks { job, tasks, cost });
        self.tasks += tasks;
        self.total_cost += cost * f64::from(tasks);
    }

    /// Removes the next task of a job for which `fits` returns `true`, and counts it as running.
    ///
    /// Skips customers that have reached their limit.
    pub fn pop<F>(&mut self, mut fits: F) -> Option<(CustomerName, J)>
    where
        F: FnMut(&J) -> bool,
    {
        let start_time = |queue: &CustomerQueue<J>| queue.start_time;
        let (customer, position) = self
            .customers
            .iter()
            .filter(|(_, queue)| queue.running < queue.limit)
            .filter_map(|(customer, queue)| {
                let position = queue.jobs.iter().position(|queued| fits(&queued.job))?;
                Some((customer, queue, position))
            })
            .min_by(|a, b| start_time(a.1).total_cmp(&start_time(b.1)))
            .map(|(customer, _, position)| (customer.clone(), position))?;
        let queue = self.customers.get_mut(&customer).expect("the customer was just found");
        let queued = &mut queue.jobs[position];
        queued.tasks -= 1;
        let (job, cost, was_last) = (queued.job.clone(), queued.cost, queued.tasks == 0);
        if was_last {
            queue.jobs.remove(position);
        }
        self.virtual_time = self.virtual_time.max(queue.start_time);
        queue.start_time += cost / f64::from(queue.share);
        queue.running += 1;
        self.tasks -= 1;
        self.total_cost -= cost;
        Some((customer, job))
    }

    /// Counts an adopted task of a customer, which a previous owner sent, as running.
    pub fn on_adopted(&mut self, customer: &CustomerName) {
        self.customer_queue(customer).running += 1;
    }

    /// Counts one of the customer's running tasks as ended.
    pub fn on_end(&mut self, customer: &CustomerName) {
        let queue = self.customer_queue(customer);
        queue.running = queue.running.saturating_sub(1);
    }

    /// Removes the queued tasks of a job.
    pub fn remove(&mut self, customer: &CustomerName, job: &J) {
        let Some(queue) = self.customers.get_mut(customer) else {
            return;
        };
        for queued in queue.jobs.iter().filter(|queued| queued.job == *job) {
            self.tasks -= queued.tasks;
            self.total_cost -= queued.cost * f64::from(queued.tasks);
        }
        queue.jobs.retain(|queued| queued.job != *job);
    }

    /// Returns the number of queued tasks.
    pub fn len(&self) -> u32 {
        self.tasks
    }

    /// Returns whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Returns the estimated run time of all queued tasks.
    pub fn queued_work(&self) -> Duration {
        Duration::from_secs_f64(self.total_cost.max(0.0))
    }

    /// Returns the estimated run time of a customer's queued tasks.
    pub fn queued_work_of(&self, customer: &CustomerName) -> Duration {
        let work = self.customers.get(customer).map_or(0.0, CustomerQueue::cost);
        Duration::from_secs_f64(work.max(0.0))
    }

    /// Returns the fraction of the capacity, from 0 to 1, that a customer's share amounts to among
    /// the customers with queued tasks.
    pub fn capacity_fraction(&self, customer: &CustomerName) -> f64 {
        let own = self.customers.get(customer).map_or(1, |queue| queue.share);
        let competes = |(name, queue): &(&CustomerName, &CustomerQueue<J>)| {
            *name != customer && !queue.jobs.is_empty()
        };
        let others: u32 =
            self.customers.iter().filter(competes).map(|(_, queue)| queue.share).sum();
        f64::from(own) / f64::from(own + others)
    }

    /// Returns the number of queued tasks that the customers' limits allow to run now.
    pub fn demand(&self) -> u32 {
        self.customers.values().map(CustomerQueue::demand).sum()
    }

    /// Iterates over the queued jobs of customers that have not reached their limit.
    pub fn runnable_jobs(&self) -> impl Iterator<Item = &J> {
        let below_limit = self.customers.values().filter(|queue| queue.running < queue.limit);
        below_limit.flat_map(|queue| queue.jobs.iter().map(|queued| &queued.job))
    }

    fn customer_queue(&mut self, customer: &CustomerName) -> &mut CustomerQueue<J> {
        let empty = || CustomerQueue {
            jobs: VecDeque::new(),
            start_time: 0.0,
            share: 1,
            running: 0,
            limit: 0,
        };
        self.customers.get_or_insert_with(customer.clone(), empty)
    }
}

impl<J> CustomerQueue<J> {
    /// Returns the estimated run time of all tasks in the queue, in seconds.
    fn cost(&self) -> f64 {
        self.jobs.iter().map(|queued| queued.cost * f64::from(queued.tasks)).sum()
    }

    fn tasks(&self) -> u32 {
        self.jobs.iter().map(|queued| queued.tasks).sum()
    }

    fn demand(&self) -> u32 {
        self.tasks().min(self.limit.saturating_sub(self.running))
    }
}
