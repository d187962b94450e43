//! An endpoint as an entry sees it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::job::StepSpec;
use crate::placement::EndpointStatus;
use crate::resources::{FreeResources, Resources};

/// Time after which an agent that is gone is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// An endpoint and the link to its agent.
pub(super) struct Endpoint {
    pub(super) status: EndpointStatus,
    /// Resources taken while a job is being judged.
    pub(super) planned: FreeResources,
    pub(super) heard_at: Duration,
    attached: bool,
    /// Orders sent on this stream.
    sent: u64,
    /// Resources of the orders that the status does not count yet, oldest first.
    unseen: VecDeque<(u64, Resources)>,
}

impl Endpoint {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            status: EndpointStatus::default(),
            planned: FreeResources::default(),
            heard_at: now,
            attached: false,
            sent: 0,
            unseen: VecDeque::new(),
        }
    }

    pub(super) fn on_attached(&mut self, now: Duration) {
        self.heard_at = now;
        self.attached = true;
        self.sent = 0;
        self.unseen.clear();
    }

    pub(super) fn on_detached(&mut self, _now: Duration) {
        self.attached = false;
        self.status.usable = false;
    }

    pub(super) fn on_sent(&mut self, need: Resources) {
        self.sent += 1;
        self.unseen.push_back((self.sent, need));
    }

    pub(super) fn on_status(&mut self, status: EndpointStatus) {
        while self.unseen.front().is_some_and(|(at, _)| *at <= status.orders_seen) {
            self.unseen.pop_front();
        }
        self.status = status;
    }

    /// Returns the room left once all orders on their way have arrived.
    pub(super) fn free(&self) -> FreeResources {
        let mut free = self.status.free;
        free.cpu_millis = free.cpu_millis.saturating_add(self.planned.cpu_millis);
        free.memory_mb = free.memory_mb.saturating_add(self.planned.memory_mb);
        free.gpus = free.gpus.saturating_add(self.planned.gpus);
        for (_, need) in &self.unseen {
            free.reserve(*need);
        }
        free
    }

    pub(super) fn is_usable(&self, now: Duration, suspect_after: Duration) -> bool {
        self.attached && self.status.usable && now < self.heard_at + suspect_after
    }

    /// Tells whether nothing that was sent here can run any more.
    pub(super) fn is_gone(&self, now: Duration, bound: Duration) -> bool {
        now >= self.heard_at + bound
    }

    pub(super) fn is_forgotten(&self, now: Duration, bound: Duration) -> bool {
        !self.attached && now >= self.heard_at + bound + FORGET_AFTER
    }

    pub(super) fn suits(&self, service: &str, step: &StepSpec) -> bool {
        let has = |label: &str| self.status.kind == label || self.status.rack == label;
        self.status.service == service
            && self.status.capacity.can_fit(step.resources)
            && step.required_label.as_ref().is_none_or(|label| has(label))
    }
}
