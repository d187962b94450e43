//! Which incarnation of the endpoint there is, and what its start means for the tasks held.

use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::samples::{Samples, SlownessEstimator};
use crate::scheduler::Fate;

use super::held_task::{HeldTask, Phase};
use super::start::START_SENDS;
use super::{EndpointReport, Executor};

impl Executor {
    /// Takes in what the endpoint says of itself; returns whether it is news.
    pub fn on_report(&mut self, now: Duration, report: EndpointReport) -> bool {
        if let Some(known) = &self.endpoint {
            let is_older = report.incarnation < known.incarnation
                || (report.incarnation == known.incarnation && report.sequence < known.sequence);
            if is_older {
                return false;
            }
        }
        if self.listed_born.is_some_and(|born| report.incarnation < born) {
            return false;
        }
        // A listing may have told first.
        let reborn =
            self.endpoint.as_ref().is_some_and(|known| known.incarnation != report.incarnation)
                && self.listed_born != Some(report.incarnation);
        let is_new = self.endpoint.as_ref().is_none_or(|known| {
            known.incarnation != report.incarnation || known.draining != report.draining
        });
        if reborn {
            self.on_reborn();
        }
        let draining = report.draining;
        self.endpoint = Some(report);
        if draining {
            self.bounce_queued();
        }
        self.start_due(now);
        is_new
    }

    /// Takes in that the endpoint has left.
    pub fn on_endpoint_left(&mut self, id: &str) {
        if self.endpoint.as_ref().is_some_and(|known| known.id == id) {
            self.endpoint = None;
            self.bounce_queued();
        }
    }

    /// Takes in that the endpoint has started anew, which ends what it ran.
    ///
    /// The next listing tells what is gone. A start on its way may reach the new incarnation, so that it
    /// is ruled out like any other.
    pub(super) fn on_reborn(&mut self) {
        self.listed_born = None;
        self.listed_at = None;
        self.clock = None;
        self.leased_until_ms = 0;
        self.last_acked = 0;
        self.foreign = SortedMap::new();
        self.speed = SlownessEstimator::default();
        self.failures = Samples::default();
        for (_, held) in self.held.iter_mut().filter(|(_, held)| held.phase != Phase::Queued) {
            // Deadlines were on the former incarnation's clock.
            held.deadline_ms = u64::MAX;
            held.sends = START_SENDS;
            held.stop_confirmed = None;
        }
    }

    /// Takes in that an incarnation with another id than the one `asked` for answers at the endpoint's
    /// address: what was sent to that one is refused there and gone. Tells whether it was the known one;
    /// otherwise its successor is known already.
    pub fn on_incarnation_mismatch(&mut self, asked: &str) -> bool {
        if self.endpoint.as_ref().is_some_and(|known| known.id != asked) {
            return false;
        }
        self.on_reborn();
        self.endpoint = None;
        self.lose_started();
        self.bounce_queued();
        true
    }

    pub(super) fn lose_started(&mut self) {
        let started = |held: &HeldTask| held.phase != Phase::Queued;
        for name in self.names(started) {
            self.finish(&name, Fate::Stopped);
        }
    }
}
