//! What the endpoint has announced, kept in the store for an agent that starts anew.
//!
//! An agent has no disk, and the next announcement may be more than a second away. What is remembered
//! counts only where a listing shows that the same incarnation is still there.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_dispatch::EndpointReport;
use cowslipwing_platform::{KeyedRecord, StoreClient, Topic, decode_report, encode_report};
use tokio::sync::{mpsc, watch};

use super::actor::Event;

/// Time between two tries to write.
const RETRY: Duration = Duration::from_millis(1000);

/// Reads what the agent of this VM wrote last.
pub(super) async fn read(
    store: Arc<StoreClient>,
    node: String,
    events: mpsc::UnboundedSender<Event>,
) {
    let records = match store.newest(Topic::Endpoints).await {
        Ok((records, _)) => records,
        Err(error) => {
            // The endpoint announces itself soon.
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
            // The actor lives as long as the process.
            let _ = events.send(Event::Announced(report));
        }
        Err(error) => log::warn!("agent: event=bad-record error=\"{error}\""),
    }
}

/// Writes each report that is news, the latest where several came.
pub(super) async fn write(
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
            tokio::time::sleep(RETRY).await;
        }
    }
}
