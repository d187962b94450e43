//! Keeps tasks away from the endpoints of evacuated data centres.
//!
//! These endpoints count neither as candidates nor as capacity, so that jobs are admitted by what
//! the other data centres can serve.

use std::time::Duration;

use cowslipwing_types::Site;

use super::Scheduler;
use super::endpoint::Endpoint;
use super::task::Job;

/// Returns whether the data centre with this name is among those evacuated.
pub(super) fn is_evacuated(evacuated_sites: &[Site], site: &str) -> bool {
    evacuated_sites.iter().any(|evacuated| evacuated.as_str() == site)
}

impl Scheduler {
    /// Sets the evacuated data centres. Tasks that their agents hold stay there until the agents
    /// return or complete them.
    pub fn set_evacuated_sites(&mut self, now: Duration, sites: Vec<Site>) {
        self.evacuated_sites = sites;
        for (_, endpoint) in self.endpoints.iter_mut() {
            endpoint.evacuated = is_evacuated(&self.evacuated_sites, endpoint.status.site.as_str());
        }
        self.update_contained_vms();
        self.retry_deferred(now);
        self.place_waiting(now);
    }

    /// Returns the data centres of the attached endpoints in ascending order.
    pub fn known_sites(&self) -> Vec<Site> {
        let mut sites: Vec<Site> = self
            .endpoints
            .values()
            .filter_map(|endpoint| endpoint.status.site.as_str().parse().ok())
            .collect();
        sites.sort();
        sites.dedup();
        sites
    }

    /// Returns whether endpoints can run a task, all of which are in evacuated data centres.
    pub(super) fn fits_only_evacuated(&self, job: &Job, index: usize) -> bool {
        let step = &job.spec.steps[usize::from(job.tasks[index].name.step)];
        let can_run = |endpoint: &&Endpoint| endpoint.can_run(&job.spec.service, step);
        let mut able = self.endpoints.values().filter(can_run).peekable();
        able.peek().is_some() && able.all(|endpoint| endpoint.evacuated)
    }
}
