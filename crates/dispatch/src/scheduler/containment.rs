//! Confines queues whose tasks crash endpoints to a part of the endpoints.
//!
//! If a share of a queue's tasks crashes the endpoints that start them, the limit for each task does
//! not keep the others safe: with enough such tasks all endpoints are down most of the time, for the
//! callers of all queues. A queue is contained once one of its tasks has been given up for crashes
//! while several of the endpoints are down. It then prefers a quarter of the endpoints, its area, which
//! the other queues avoid. Tasks that the area cannot serve in time leave it while most endpoints are
//! up. Tasks that are suspected of a crash are not started again meanwhile, which makes up for the
//! crashes outside the area. The area grows as runs of the queue complete, and shrinks with each
//! suspected crash. Containment ends some seconds after the last of these.

use std::cmp::Reverse;
use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::{SortedMap, insert_sorted, stable_hash};

use crate::id::{AgentId, RequestId};
use crate::job::{Answer, GiveUpReason};

use super::endpoint::Endpoint;
use super::{Action, Decision, Scheduler};

/// Time without a suspected crash after which a queue is no longer contained.
const CONTAINMENT_PERIOD: Duration = Duration::from_secs(5);
/// Share of a service's endpoints that must be down for a queue to be contained. Below it, crashes are
/// too rare to affect other queues.
const MIN_DOWN_SHARE: f64 = 0.1;
/// Share of a service's endpoints that may be down for tasks of a contained queue to leave its area. It
/// is a little above an area that is down as a whole: at 0.25, five times as many jobs went unserved in
/// the replay `a_contained_queue_is_served_without_more_crashes`, with as many crashes.
const MAX_DOWN_SHARE_TO_LEAVE: f64 = 0.3;
/// Divisor of the number of endpoints that gives the number in the area of a contained queue at first.
const CONTAINED_ENDPOINTS_DIVISOR: usize = 4;
/// Number of completed runs for each endpoint of an area after which the area grows by one.
const RUNS_PER_ENDPOINT_TO_GROW: usize = 4;

/// An endpoint of the service of a contained queue.
struct RankedEndpoint {
    vm: CompactString,
    kind: CompactString,
    rack: CompactString,
}

/// A queue whose tasks are confined.
struct ContainedQueue {
    until: Duration,
    service: CompactString,
    /// Endpoints of the service, in the order in which they join the area.
    ranked: Vec<RankedEndpoint>,
    /// Number of endpoints in the area beyond the first quarter.
    grown: usize,
    /// Number of completed runs since the last change of `grown`.
    completed: usize,
}

/// The endpoints that a contained queue prefers: names of VMs, sorted.
pub(super) struct Area(Vec<CompactString>);

impl Area {
    pub(super) fn contains(&self, agent: &AgentId) -> bool {
        self.0.binary_search_by(|vm| vm.as_str().cmp(agent.vm_name())).is_ok()
    }
}

/// The queues whose tasks are confined to a part of the endpoints.
#[derive(Default)]
pub(super) struct Containment {
    queues: SortedMap<CompactString, ContainedQueue>,
}

impl Containment {
    /// Returns whether a queue is contained.
    pub(super) fn is_contained(&self, queue: &CompactString) -> bool {
        self.queues.contains(queue)
    }

    /// Returns the area of a queue, or `None` if the queue is not contained. For tasks that require a
    /// label, it contains one of the endpoints with the label that `is_usable` selects, if there is
    /// any.
    pub(super) fn area<F>(
        &self,
        queue: &CompactString,
        label: Option<&str>,
        is_usable: F,
    ) -> Option<Area>
    where
        F: Fn(&str) -> bool,
    {
        let contained = self.queues.get(queue)?;
        let mut area = contained.area(label);
        if label.is_some() && !area.0.iter().any(|vm| is_usable(vm)) {
            let mut labelled = contained.labelled(label);
            let usable = labelled.find(|endpoint| is_usable(&endpoint.vm));
            if let Some(endpoint) = usable {
                insert_sorted(&mut area.0, endpoint.vm.clone());
            }
        }
        Some(area)
    }

    /// Returns the endpoints that contained queues other than `queue` use.
    pub(super) fn areas_of_others(&self, queue: &CompactString) -> Vec<Area> {
        let others = self.queues.iter().filter(|(other, _)| *other != queue);
        others.map(|(_, contained)| contained.area(None)).collect()
    }

    /// Ends the containment of queues that have caused no crash for some seconds.
    pub(super) fn expire(&mut self, now: Duration) {
        self.queues.retain(|_, contained| now < contained.until);
    }

    /// Records that a run of a queue has completed. The area of the queue grows with such runs.
    pub(super) fn on_completed(&mut self, queue: &CompactString) {
        if let Some(contained) = self.queues.get_mut(queue) {
            contained.on_completed();
        }
    }
}

impl ContainedQueue {
    /// Returns the endpoints with a label, or all.
    fn labelled(&self, label: Option<&str>) -> impl Iterator<Item = &RankedEndpoint> {
        let has_label = move |endpoint: &&RankedEndpoint| {
            label.is_none_or(|label| endpoint.kind == label || endpoint.rack == label)
        };
        self.ranked.iter().filter(has_label)
    }

    /// Returns the first endpoints among those with a label, at least one if there is any.
    fn area(&self, label: Option<&str>) -> Area {
        let count = self.labelled(label).count().div_ceil(CONTAINED_ENDPOINTS_DIVISOR) + self.grown;
        let mut vms: Vec<CompactString> =
            self.labelled(label).take(count).map(|endpoint| endpoint.vm.clone()).collect();
        vms.sort();
        Area(vms)
    }

    fn on_completed(&mut self) {
        self.completed += 1;
        let used = self.ranked.len().div_ceil(CONTAINED_ENDPOINTS_DIVISOR) + self.grown;
        if self.completed >= used * RUNS_PER_ENDPOINT_TO_GROW && used < self.ranked.len() {
            self.grown += 1;
            self.completed = 0;
        }
    }
}

impl Scheduler {
    /// Contains a queue after a crash that one of its tasks is suspected of, or keeps it contained.
    /// `is_proven` tells whether that task has been given up for its crashes.
    pub(super) fn contain_queue(
        &mut self,
        now: Duration,
        queue: &CompactString,
        service: &str,
        is_proven: bool,
    ) {
        self.containment.expire(now);
        let is_contained = self.containment.queues.contains(queue);
        let must_start = is_proven && self.down_share(now, service) >= MIN_DOWN_SHARE;
        if !is_contained && !must_start {
            return;
        }
        let ranked = self.rank_for_containment(queue, service);
        let until = now + CONTAINMENT_PERIOD;
        let contained =
            ContainedQueue { until, service: service.into(), ranked, grown: 0, completed: 0 };
        if !is_contained {
            let endpoints = contained.area(None).0.len();
            let decision = Decision::QueueContained { queue: queue.clone(), endpoints };
            self.actions.push(Action::Record(decision));
        }
        self.containment.queues.insert(queue.clone(), contained);
    }

    /// Ranks the endpoints of the contained queues again, after the evacuated data centres have
    /// changed.
    pub(super) fn update_contained_vms(&mut self) {
        let mut queues = std::mem::take(&mut self.containment.queues);
        for (queue, contained) in queues.iter_mut() {
            contained.ranked = self.rank_for_containment(queue, &contained.service);
        }
        self.containment.queues = queues;
    }

    /// Returns the share of a service's endpoints that take no tasks.
    fn down_share(&self, now: Duration, service: &str) -> f64 {
        let suspect_after = self.settings.suspect_after;
        let (mut down, mut known) = (0, 0);
        let is_counted =
            |endpoint: &&Endpoint| endpoint.status.service == service && !endpoint.evacuated;
        for endpoint in self.endpoints.values().filter(is_counted) {
            known += 1;
            down += u32::from(!endpoint.is_usable(now, suspect_after));
        }
        f64::from(down) / f64::from(known.max(1))
    }

    /// Returns whether a VM has an endpoint that accepts tasks.
    pub(super) fn has_usable_endpoint(&self, now: Duration, vm: &str) -> bool {
        let suspect_after = self.settings.suspect_after;
        let mut endpoints = self.endpoints.iter().filter(|(agent, _)| agent.vm_name() == vm);
        endpoints.any(|(_, endpoint)| endpoint.is_usable(now, suspect_after))
    }

    /// Returns whether tasks of a contained queue may use endpoints outside its area.
    pub(super) fn may_leave_area(&self, now: Duration, service: &str) -> bool {
        self.down_share(now, service) < MAX_DOWN_SHARE_TO_LEAVE
    }

    /// Ends the job of a task that is suspected of a crash while its queue is contained.
    pub(super) fn give_up_suspect(&mut self, id: &RequestId, index: usize) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let task = job.tasks[index].name.clone();
        let queue = job.spec.queue.clone();
        self.actions.push(Action::Record(Decision::SuspectGivenUp { task, queue }));
        let retry_after = self.settings.lease_bound();
        self.end_job(id, Some(Answer::GaveUp { reason: GiveUpReason::Crashes, retry_after }));
    }

    /// Returns the endpoints of a service in the order in which a contained queue may use them.
    /// Rendezvous hashing gives all entries similar orders, whichever endpoints are down.
    fn rank_for_containment(&self, queue: &str, service: &str) -> Vec<RankedEndpoint> {
        let in_service = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.status.service == service && !endpoint.evacuated);
        let mut ranked: Vec<RankedEndpoint> = in_service
            .map(|(agent, endpoint)| RankedEndpoint {
                vm: agent.vm_name().into(),
                kind: endpoint.status.kind.clone(),
                rack: endpoint.status.rack.clone(),
            })
            .collect();
        let weight = |vm: &str| stable_hash(queue.bytes().chain(vm.bytes()));
        ranked.sort_by_cached_key(|endpoint| (Reverse(weight(&endpoint.vm)), endpoint.vm.clone()));
        ranked.dedup_by(|next, previous| next.vm == previous.vm);
        ranked
    }
}
