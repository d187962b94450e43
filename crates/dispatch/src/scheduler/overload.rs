//! Decides which jobs are refused while the endpoints of a service are full.
//!
//! A burst of long tasks fills all endpoints. The forecast then refuses the jobs with the shortest
//! objectives first, however urgent their queue is. While a service is overloaded, less urgent
//! classes therefore leave the capacity to more urgent ones that these have recently needed, except
//! for a share that each class keeps.
//!
//! Usage is the sum of what agents report, so that the limits hold over all entries. The demand of
//! refused jobs is known for this entry only, and is scaled by the ratio of the usage of all entries
//! to the work admitted here.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::SortedMap;

use crate::priority::PRIORITY_CLASSES;

/// Time constant of the means of usage and demand. Long tasks take about one second.
const MEAN_PERIOD: Duration = Duration::from_secs(1);
/// Need of all classes relative to the capacity from which the service is overloaded.
const OVERLOAD_NEED: f64 = 0.9;
/// Share of the capacity in use or requested, with the job, up to which no job is refused for another
/// one.
const FULL_SHARE: f64 = 0.95;
/// Capacity kept for more urgent classes, relative to their need. Short tasks arrive in jobs of
/// several, so that their usage varies.
const RESERVE_FACTOR: f64 = 1.1;
/// Share of the capacity that each class keeps as far as it needs it.
const GUARANTEED_SHARE: f64 = 0.1;
/// Need below which a class counts as unused, as a share of the capacity.
const MIN_NEED_SHARE: f64 = 0.005;
/// Upper bound of the ratio of the usage of all entries to the work admitted here.
const MAX_ENTRY_RATIO: f64 = 16.0;
/// Maximum number of services to keep means for.
const MAX_SERVICES: usize = 256;

/// Processor time in use or requested at the endpoints of a service, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceUsage {
    /// Capacity of the usable endpoints.
    pub(super) capacity: f64,
    /// Amount of started and queued tasks and of orders in flight, by priority class.
    pub(super) used: [f64; PRIORITY_CLASSES],
    /// Mean remaining run time of the started tasks.
    pub(super) mean_remaining: Duration,
}

impl ServiceUsage {
    /// Returns the time in which the capacity that `cpu_millis` lacks becomes free.
    pub(super) fn time_until_free(&self, cpu_millis: f64) -> Duration {
        let lacking = self.used.iter().sum::<f64>() + cpu_millis - self.capacity;
        // The tasks that run now end evenly over twice their mean remaining run time.
        self.mean_remaining.mul_f64(2.0 * (lacking / self.capacity.max(1.0)).max(0.0))
    }
}

/// What a job asks of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct JobDemand {
    /// Priority class of the queue.
    pub(super) class: usize,
    /// Processor time of the tasks that start first, in thousandths of a core.
    pub(super) cpu_millis: f64,
    /// Declared work of all tasks, in thousandths of a core times seconds.
    pub(super) work: f64,
}

/// The recent usage and demand of a service, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceDemand {
    updated_at: Duration,
    /// Whether any usage was sampled.
    is_sampled: bool,
    /// Mean usage of all entries.
    used: [f64; PRIORITY_CLASSES],
    /// Mean demand of the jobs admitted here.
    admitted: [f64; PRIORITY_CLASSES],
    /// Mean demand of the jobs refused here for load.
    refused: [f64; PRIORITY_CLASSES],
}

impl ServiceDemand {
    fn sample(&mut self, now: Duration, usage: &ServiceUsage) {
        let elapsed = now.saturating_sub(self.updated_at);
        let keep = (-elapsed.as_secs_f64() / MEAN_PERIOD.as_secs_f64()).exp();
        self.decay(keep);
        let keep = if self.is_sampled { keep } else { 0.0 };
        for (mean, used) in self.used.iter_mut().zip(usage.used) {
            *mean = keep * *mean + (1.0 - keep) * used;
        }
        self.updated_at = now;
        self.is_sampled = true;
    }

    fn decay(&mut self, keep: f64) {
        for demand in self.admitted.iter_mut().chain(&mut self.refused) {
            *demand *= keep;
        }
    }

    /// Returns the demand that all entries refuse, by class.
    fn refused_by_all(&self, usage: &ServiceUsage) -> [f64; PRIORITY_CLASSES] {
        let admitted_here: f64 = self.admitted.iter().sum();
        let used: f64 = self.used.iter().sum();
        let entry_ratio = (used / admitted_here.max(1.0)).clamp(1.0, MAX_ENTRY_RATIO);
        let mut refused = self.refused;
        for (demand, used) in refused.iter_mut().zip(self.used) {
            // Refused jobs are sent again, so that their demand counts several times.
            let limit = used.max(GUARANTEED_SHARE * usage.capacity);
            *demand = (*demand * entry_ratio).min(limit);
        }
        refused
    }

    /// Returns the capacity that each class needs, whether admitted or refused.
    fn needs(&self, usage: &ServiceUsage) -> [f64; PRIORITY_CLASSES] {
        let mut needs = self.refused_by_all(usage);
        for (need, used) in needs.iter_mut().zip(self.used) {
            *need += used;
            if *need < MIN_NEED_SHARE * usage.capacity {
                *need = 0.0;
            }
        }
        needs
    }

    /// Returns the class that a job must leave capacity to, if it must be refused for another one.
    fn yields_to(&self, usage: &ServiceUsage, job: JobDemand) -> Option<usize> {
        let needs = self.needs(usage);
        if needs.iter().sum::<f64>() <= OVERLOAD_NEED * usage.capacity {
            return None;
        }
        // While capacity is free the job takes nothing from others: queues at agents start urgent
        // tasks first, and short ones release their capacity soon.
        let used: f64 = usage.used.iter().sum();
        if used + job.cpu_millis <= FULL_SHARE * usage.capacity {
            return None;
        }
        let class = job.class;
        let urgent_need: f64 = needs[..class].iter().sum();
        // The job itself does not count, so that a class with jobs larger than its share is served.
        let has_share = usage.used[class] >= GUARANTEED_SHARE * usage.capacity;
        let used = usage.used[class] + job.cpu_millis;
        let is_kept_for_urgent = used + RESERVE_FACTOR * urgent_need > usage.capacity;
        if urgent_need > 0.0 && has_share && is_kept_for_urgent {
            return (0..class).max_by(|a, b| needs[*a].total_cmp(&needs[*b]));
        }
        self.starved_class(usage, job)
    }

    /// Returns a less urgent class that lacks a part of its share and would get it without the job.
    fn starved_class(&self, usage: &ServiceUsage, job: JobDemand) -> Option<usize> {
        let share = GUARANTEED_SHARE * usage.capacity;
        let refused = self.refused_by_all(usage);
        let lacking = |class: usize| refused[class].min((share - usage.used[class]).max(0.0));
        let less_urgent = job.class + 1..PRIORITY_CLASSES;
        let total: f64 = less_urgent.clone().map(lacking).sum();
        let used: f64 = usage.used[..=job.class].iter().sum();
        if total < MIN_NEED_SHARE * usage.capacity
            || used + job.cpu_millis <= usage.capacity - total
        {
            return None;
        }
        less_urgent.max_by(|a, b| lacking(*a).total_cmp(&lacking(*b)))
    }
}

/// The recent demand of all services.
#[derive(Debug, Default)]
pub(super) struct Overload {
    services: SortedMap<CompactString, ServiceDemand>,
}

impl Overload {
    /// Records the usage of a service, which is done at each tick.
    pub(super) fn sample(&mut self, now: Duration, service: &CompactString, usage: &ServiceUsage) {
        if self.services.len() >= MAX_SERVICES && !self.services.contains(service) {
            return;
        }
        self.services
            .get_or_insert_with(service.clone(), ServiceDemand::default)
            .sample(now, usage);
    }

    /// Records a job that was admitted, or refused for load.
    pub(super) fn record(&mut self, service: &CompactString, job: JobDemand, is_admitted: bool) {
        if let Some(demand) = self.services.get_mut(service) {
            let by_class = if is_admitted { &mut demand.admitted } else { &mut demand.refused };
            by_class[job.class] += job.work / MEAN_PERIOD.as_secs_f64();
        }
    }

    /// Returns the class for whose sake a job must be refused, if there is one.
    pub(super) fn yields_to(
        &self,
        service: &CompactString,
        usage: &ServiceUsage,
        job: JobDemand,
    ) -> Option<usize> {
        self.services.get(service)?.yields_to(usage, job)
    }

    /// Returns whether queues of several classes use a service.
    pub(super) fn has_several_classes(
        &self,
        service: &CompactString,
        usage: &ServiceUsage,
    ) -> bool {
        let needs = self.services.get(service).map(|demand| demand.needs(usage));
        needs.is_some_and(|needs| needs.iter().filter(|need| **need > 0.0).count() > 1)
    }
}
