//! An endpoint from an entry's point of view.

use std::collections::VecDeque;
use std::time::Duration;

use crate::job::StepSpec;
use crate::placement::EndpointStatus;
use crate::priority::CpuByPriority;
use crate::resources::{FreeResources, Resources};

/// Time for which a disconnected agent is kept after the expiry of all leases.
const REMOVAL_DELAY: Duration = Duration::from_secs(30);

/// An order that the status of an endpoint does not include yet.
struct OrderInFlight {
    /// Number of the order on its stream, from 1.
    number: u64,
    resources: Resources,
    priority: u32,
}

/// An endpoint and the connection to its agent.
pub(super) struct Endpoint {
    pub(super) status: EndpointStatus,
    /// Resources reserved during an admission check, as negative amounts.
    pub(super) admission_reserved: FreeResources,
    /// Time of the last contact with the agent.
    pub(super) heard_at: Duration,
    /// Whether the agent has an open stream.
    attached: bool,
    /// Whether the endpoint's data centre is evacuated.
    pub(super) evacuated: bool,
    /// Number of orders sent on the current stream.
    orders_sent: u64,
    /// The orders that the status does not include yet, oldest first.
    orders_in_flight: VecDeque<OrderInFlight>,
}

impl Endpoint {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            status: EndpointStatus::default(),
            admission_reserved: FreeResources::default(),
            heard_at: now,
            attached: false,
            evacuated: false,
            orders_sent: 0,
            orders_in_flight: VecDeque::new(),
        }
    }

    pub(super) fn on_attached(&mut self, now: Duration) {
        self.heard_at = now;
        self.attached = true;
        self.orders_sent = 0;
        self.orders_in_flight.clear();
    }

    pub(super) fn on_detached(&mut self, _now: Duration) {
        self.attached = false;
        self.status.usable = false;
    }

    pub(super) fn on_sent(&mut self, resources: Resources, priority: u32) {
        self.orders_sent += 1;
        let number = self.orders_sent;
        self.orders_in_flight.push_back(OrderInFlight { number, resources, priority });
    }

    pub(super) fn on_status(&mut self, status: EndpointStatus) {
        while self.orders_in_flight.front().is_some_and(|order| order.number <= status.orders_seen)
        {
            self.orders_in_flight.pop_front();
        }
        self.status = status;
    }

    /// Returns the resources left after the orders in flight have arrived, minus those reserved
    /// during an admission check.
    pub(super) fn free(&self) -> FreeResources {
        let mut free = self.status.free;
        free.cpu_millis = free.cpu_millis.saturating_add(self.admission_reserved.cpu_millis);
        free.memory_mb = free.memory_mb.saturating_add(self.admission_reserved.memory_mb);
        free.gpus = free.gpus.saturating_add(self.admission_reserved.gpus);
        for order in &self.orders_in_flight {
            free.reserve(order.resources);
        }
        free
    }

    /// Returns the processor time of the orders in flight.
    pub(super) fn cpu_in_flight(&self) -> CpuByPriority {
        let mut cpu = CpuByPriority::default();
        for order in &self.orders_in_flight {
            cpu.add(order.priority, order.resources.cpu_millis);
        }
        cpu
    }

    pub(super) fn is_usable(&self, now: Duration, suspect_after: Duration) -> bool {
        self.status.usable && !self.evacuated && self.is_connected(now, suspect_after)
    }

    /// Returns whether the agent was heard of recently on an open stream.
    pub(super) fn is_connected(&self, now: Duration, suspect_after: Duration) -> bool {
        self.attached && now < self.heard_at + suspect_after
    }

    /// Returns whether all leases have expired, so that no run sent to the agent can continue.
    pub(super) fn has_expired(&self, now: Duration, lease_bound: Duration) -> bool {
        now >= self.heard_at + lease_bound
    }

    pub(super) fn is_removable(&self, now: Duration, lease_bound: Duration) -> bool {
        !self.attached && now >= self.heard_at + lease_bound + REMOVAL_DELAY
    }

    pub(super) fn can_run(&self, service: &str, step: &StepSpec) -> bool {
        let has_label = |label: &str| self.status.kind == label || self.status.rack == label;
        self.status.service == service
            && self.status.capacity.can_fit(step.resources)
            && step.required_label.as_ref().is_none_or(|label| has_label(label))
    }
}
