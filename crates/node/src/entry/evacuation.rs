//! Merges what the store, agents and other entries report of the evacuation of data centres.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_dispatch::{EvacuationNotice, EvacuationState, Evacuations};
use cowslipwing_platform::{
    EvacuationError, StoredRecord, decode_evacuation, decode_evacuations, evacuation_key,
};
use cowslipwing_proto as proto;

use super::follow::TopicRead;
use super::shared::{Shared, lock};
use crate::convert::{evacuation_from_proto, evacuation_to_proto};

/// Interval at which the evacuated data centres are compared with those of the endpoints. The agents
/// of an entry attach within a second of its start.
const SITE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Compares the evacuated data centres with those of the known endpoints until the entry stops, and
/// logs possible mistakes.
pub(super) async fn check_sites(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SITE_CHECK_INTERVAL).await;
        let known_sites = shared.scheduler().known_sites();
        let evacuations = shared.evacuations.borrow().clone();
        for notice in lock(&shared.evacuation_notices).check(&evacuations, &known_sites) {
            match notice {
                EvacuationNotice::UnknownSite(site) => log::warn!(
                    "entry: event=evacuation-unknown-site key={} known={}",
                    evacuation_key(&site),
                    join(known_sites.iter())
                ),
                EvacuationNotice::AllSites(sites) => log::warn!(
                    "entry: event=evacuation-of-all-sites keys={}",
                    join(sites.iter().map(evacuation_key))
                ),
            }
        }
    }
}

fn join<I>(names: I) -> String
where
    I: Iterator,
    I::Item: std::fmt::Display,
{
    names.map(|name| name.to_string()).collect::<Vec<_>>().join(",")
}

impl Shared {
    /// Returns all known states, to be sent to an agent or another entry.
    pub(super) fn evacuation_states(&self) -> Vec<proto::EvacuationState> {
        self.evacuations.borrow().states().iter().map(evacuation_to_proto).collect()
    }

    /// Merges the states that an agent or another entry has sent.
    pub(super) fn learn_evacuations(&self, wire: &[proto::EvacuationState], source: &str) {
        if !wire.is_empty() {
            let states = wire.iter().filter_map(evacuation_from_proto);
            self.merge_evacuations(source, |evacuations| evacuations.merge(states));
        }
    }

    /// Merges the states that a read of the operators' topic contains.
    pub(super) fn read_evacuations(&self, read: &TopicRead) {
        match read {
            TopicRead::Newest { records, end } => {
                let (full_read, ignored) = decode_evacuations(records, *end);
                for (record, error) in &ignored {
                    self.report_ignored(record, error);
                }
                self.merge_evacuations("store", |evacuations| {
                    evacuations.merge_full_read(full_read)
                });
            }
            TopicRead::Later { records } => {
                let decode = |record: &StoredRecord| {
                    let decoded = decode_evacuation(record)?;
                    decoded.inspect_err(|error| self.report_ignored(record, error)).ok()
                };
                let states: Vec<EvacuationState> = records.iter().filter_map(decode).collect();
                self.merge_evacuations("store", |evacuations| evacuations.merge(states));
            }
        }
    }

    fn report_ignored(&self, record: &StoredRecord, error: &EvacuationError) {
        let StoredRecord { offset, key, .. } = record;
        if lock(&self.evacuation_notices).on_ignored(key, *offset) {
            self.metrics.count("evacuation_record_ignored");
            log::warn!("entry: event=bad-evacuation key={key} version={offset} error=\"{error}\"");
        }
    }

    /// Applies a change of the known states to the scheduler, and wakes the streams to agents.
    fn merge_evacuations<F>(&self, source: &str, merge: F)
    where
        F: FnOnce(&mut Evacuations) -> Vec<EvacuationState>,
    {
        // The states stay locked until the scheduler has them, so that an older change cannot
        // overtake a newer one.
        self.evacuations.send_if_modified(|evacuations| {
            let changed = merge(evacuations);
            if changed.is_empty() {
                return false;
            }
            for EvacuationState { site, version, active } in &changed {
                log::info!(
                    "entry: event=evacuation site={site} version={} active={active} source={source}",
                    version.0
                );
                self.metrics.set_evacuation(site.as_str(), *active, self.clock.wall());
            }
            let sites = evacuations.active_sites();
            self.with_scheduler(|scheduler, now| scheduler.set_evacuated_sites(now, sites));
            true
        });
    }
}
