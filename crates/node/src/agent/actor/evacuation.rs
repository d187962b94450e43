//! Merges what entries report of the evacuation of data centres, and applies it to the endpoint.

use std::time::Duration;

use cowslipwing_dispatch::{EntryId, EvacuationState};
use cowslipwing_proto as proto;

use super::Actor;
use crate::convert::evacuation_from_proto;

impl Actor {
    /// Merges the states that an entry has sent. Changes go to all entries with the next frames.
    pub(super) fn learn_evacuations(
        &mut self,
        now: Duration,
        entry: &EntryId,
        wire: &[proto::EvacuationState],
    ) {
        let changed = self.evacuations.merge(wire.iter().filter_map(evacuation_from_proto));
        for EvacuationState { site, version, active } in &changed {
            log::info!(
                "agent: event=evacuation site={site} version={} active={active} source={entry}",
                version.0
            );
            self.metrics.set_evacuation(site.as_str(), *active, self.clock.wall());
        }
        let is_active = self.evacuations.is_active(&self.site);
        if self.executor.set_evacuated(now, is_active) {
            self.mark_status_changed();
        }
    }
}
