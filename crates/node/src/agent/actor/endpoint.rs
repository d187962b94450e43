//! What the agent hears of its endpoint, and what it passes on.

use std::time::Duration;

use cowslipwing_dispatch::{EndpointReport, Listing};
use cowslipwing_platform::EndpointError;

use super::Actor;
use crate::convert::report_to_proto;

impl Actor {
    /// Handles a report of the endpoint that has arrived from `source`: an announcement or an entry.
    pub(super) fn on_announced(&mut self, now: Duration, report: EndpointReport, source: &str) {
        let line = format!(
            "endpoint={} born={} draining={} kind={} rack={} cpu={} source={source}",
            report.id,
            report.incarnation,
            report.draining,
            report.kind,
            report.rack,
            report.capacity.cpu_millis
        );
        if self.executor.on_report(now, report.clone()) {
            log::info!("agent: event=announced {line}");
            self.mark_status_changed();
        }
        if self.executor.endpoint().is_some_and(|known| !known.is_same_incarnation(&report)) {
            self.metrics.count("endpoint_claim");
            log::info!("agent: event=endpoint-claimed known={} {line}", self.endpoint_id());
        }
    }

    /// Sends the report of the endpoint to all entries and to the store, if the endpoint has confirmed
    /// it and it has changed.
    pub(super) fn share_report(&mut self) {
        let Some(report) = self.executor.confirmed_report() else {
            return;
        };
        if self.shared_report.as_ref().is_some_and(|shared| !report.differs_from(shared)) {
            return;
        }
        for (_, stream) in self.streams.iter_mut() {
            stream.report = Some(report_to_proto(report));
        }
        self.shared_report = Some(report.clone());
        self.reports.send_replace(Some(report.clone()));
        self.mark_status_changed();
    }

    pub(super) fn on_listing(
        &mut self,
        now: Duration,
        endpoint_id: &str,
        result: Result<Listing, EndpointError>,
    ) {
        match result {
            Ok(listing) => {
                if !self.is_reachable {
                    log::info!("agent: event=endpoint-reached born={}", listing.incarnation);
                }
                self.is_reachable = true;
                self.executor.on_listing(now, &listing);
            }
            Err(error) => {
                if self.is_reachable {
                    log::warn!("agent: event=endpoint-lost error=\"{error}\"");
                }
                self.is_reachable = false;
                if error.is_not_listening() {
                    self.executor.on_not_listening(now);
                }
                if matches!(error, EndpointError::OtherIncarnation) {
                    let forgotten = self.executor.on_incarnation_mismatch(now, endpoint_id);
                    log::info!(
                        "agent: event=other-incarnation asked={endpoint_id} forgotten={forgotten}"
                    );
                }
            }
        }
        self.mark_status_changed();
    }
}
