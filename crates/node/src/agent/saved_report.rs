//! Saves the endpoint's most recent report in the store, so that a restarted agent can load it.
//!
//! An agent has no disk, and the next announcement may be more than a second away. A loaded report
//! is used only if a listing shows that the same incarnation still runs.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_dispatch::EndpointReport;
use cowslipwing_platform::{KeyedRecord, StoreClient, Topic, decode_report, encode_report};
use tokio::sync::{mpsc, watch};

use super::actor::Event;

/// Interval between attempts to write the report.
const RETRY_INTERVAL: Duration = Duration::from_millis(1000);

/// Loads the report that an agent of this VM saved most recently, and passes it on as an
/// announcement.
pub(super) async fn load(
    store: Arc<StoreClient>,
    node: String,
    events: mpsc::UnboundedSender<Event>,
) {
    let records = match store.newest(Topic::Endpoints).await {
        Ok((records, _)) => records,
        Err(error) => {
            // The next announcement replaces the saved report.
            log::info!("agent: event=store-error error=\"{error}\"");
            return;
        }
    };
    let Some(record) = records.into_iter().find(|record| record.key == node) else {
        return;
    };
    match decode_report(&record.value) {
        Ok(report) => {
            log::info!(
                "agent: event=remembered endpoint={} born={}",
                report.id,
                report.incarnation
            );
            // The send cannot fail: the actor lives as long as the process.
            let _ = events.send(Event::EndpointAnnounced(report));
        }
        Err(error) => log::warn!("agent: event=bad-record error=\"{error}\""),
    }
}

/// Saves each changed report; only the latest one if several arrived during a write.
pub(super) async fn save(
    store: Arc<StoreClient>,
    node: String,
    mut reports: watch::Receiver<Option<EndpointReport>>,
) {
    while reports.changed().await.is_ok() {
        loop {
            let Some(report) = reports.borrow_and_update().clone() else {
                break;
            };
            let record = KeyedRecord { key: node.clone(), value: encode_report(&report).into() };
            match store.put(Topic::Endpoints, &record).await {
                Ok(()) => break,
                Err(error) => log::info!("agent: event=store-error error=\"{error}\""),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}
