//! Confines queues whose tasks crash endpoints to a part of the endpoints.
//!
//! If a share of a queue's tasks crashes the endpoints that start them, the limit for each task does
//! not keep the others safe: with enough such tasks all endpoints are down most of the time, for the
//! callers of all queues. A queue is contained once one of its tasks has been given up for crashes
//! while a large share of the endpoints is down. Its tasks then go to a quarter of the endpoints
//! only, which the other queues avoid, until it has caused no crash for some seconds.

use std::cmp::Reverse;
use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_types::{SortedMap, stable_hash};

use crate::id::AgentId;

use super::endpoint::Endpoint;
use super::{Action, Decision, Scheduler};

/// Time without a suspected crash after which a queue is no longer contained.
const CONTAINMENT_PERIOD: Duration = Duration::from_secs(5);
/// Share of a service's endpoints that must be down for a queue to be contained. Below it, the queue
/// would lose more by its containment than all queues lose by the crashes.
const MIN_DOWN_SHARE: f64 = 0.2;
/// Divisor of the number of endpoints that gives the number used by a contained queue.
const CONTAINED_ENDPOINTS_DIVISOR: usize = 4;

/// A queue whose tasks are confined.
struct ContainedQueue {
    until: Duration,
    service: CompactString,
    /// Names of the VMs that its tasks may use, sorted.
    vms: Vec<CompactString>,
}

/// The queues whose tasks are confined to a part of the endpoints.
#[derive(Default)]
pub(super) struct Containment {
    queues: SortedMap<CompactString, ContainedQueue>,
}

impl Containment {
    /// Returns whether a task of `queue` may go to an agent.
    pub(super) fn allows(&self, queue: &CompactString, agent: &AgentId) -> bool {
        self.queues.get(queue).is_none_or(|contained| contained.has_vm(agent))
    }

    /// Returns whether an agent is used by a contained queue other than `queue`.
    pub(super) fn is_used_by_other(&self, queue: &CompactString, agent: &AgentId) -> bool {
        let others = self.queues.iter().filter(|(other, _)| *other != queue);
        others.map(|(_, contained)| contained).any(|contained| contained.has_vm(agent))
    }

    /// Ends the containment of queues that have caused no crash for some seconds.
    pub(super) fn expire(&mut self, now: Duration) {
        self.queues.retain(|_, contained| now < contained.until);
    }
}

impl ContainedQueue {
    fn has_vm(&self, agent: &AgentId) -> bool {
        self.vms.binary_search_by(|vm| vm.as_str().cmp(agent.vm_name())).is_ok()
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
        let vms = self.vms_for_containment(queue, service);
        if !is_contained {
            let decision = Decision::QueueContained { queue: queue.clone(), endpoints: vms.len() };
            self.actions.push(Action::Record(decision));
        }
        let until = now + CONTAINMENT_PERIOD;
        self.containment
            .queues
            .insert(queue.clone(), ContainedQueue { until, service: service.into(), vms });
    }

    /// Chooses the endpoints of the contained queues again, after the evacuated data centres have
    /// changed.
    pub(super) fn update_contained_vms(&mut self) {
        let mut queues = std::mem::take(&mut self.containment.queues);
        for (queue, contained) in queues.iter_mut() {
            contained.vms = self.vms_for_containment(queue, &contained.service);
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

    /// Returns the names of the VMs for a contained queue. Rendezvous hashing gives all entries
    /// similar choices, whichever endpoints are down.
    fn vms_for_containment(&self, queue: &str, service: &str) -> Vec<CompactString> {
        let in_service = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.status.service == service && !endpoint.evacuated);
        let weight = |vm: &str| stable_hash(queue.bytes().chain(vm.bytes()));
        let mut ranked: Vec<(Reverse<u64>, CompactString)> = in_service
            .map(|(agent, _)| agent.vm_name())
            .map(|vm| (Reverse(weight(vm)), vm.into()))
            .collect();
        ranked.sort();
        ranked.dedup();
        ranked.truncate(ranked.len().div_ceil(CONTAINED_ENDPOINTS_DIVISOR));
        let mut vms: Vec<CompactString> = ranked.into_iter().map(|(_, vm)| vm).collect();
        vms.sort();
        vms
    }
}
