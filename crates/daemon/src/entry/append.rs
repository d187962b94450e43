//! Appends records to the decision log and waits for their outcome.

use std::time::Duration;

use cowslipwing_fold::ApplyOutcome;
use cowslipwing_proto::{Record, record::Body};
use cowslipwing_types::AppendId;
use tokio::time::{Instant, timeout, timeout_at};

use super::shared::Shared;
use crate::api_error::ApiError;

/// Time in which an appended record must be read back from the log.
pub(crate) const READ_BACK_TIMEOUT: Duration = Duration::from_secs(6);
/// Time to wait for a record to be read back before it is appended again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Appends a record and returns its outcome, as read back from the log.
///
/// Appends the record again only if it has not been read back within [`RETRY_INTERVAL`]. A record
/// that is on the log twice takes effect once, so a lost reply from the store does no harm.
///
/// # Errors
///
/// Returns an error if the record is not read back in time. It may still take effect.
pub(crate) async fn append(shared: &Shared, body: Body) -> Result<ApplyOutcome, ApiError> {
    let id = uuid::Uuid::new_v4().simple().to_string();
    let record = Record { append_id: id.clone(), body: Some(body) };
    let id: AppendId = id.parse().expect("hex digits are a valid append id");
    let deadline = Instant::now() + READ_BACK_TIMEOUT;
    while Instant::now() < deadline {
        if let Err(error) = shared.decision_log.append(&record).await {
            log::warn!("store: the append of record {id} failed: {error}.");
        }
        let read_back = timeout(RETRY_INTERVAL, wait_for_outcome(shared, &id));
        if let Ok(Ok(outcome)) = timeout_at(deadline, read_back).await {
            return Ok(outcome);
        }
    }
    Err(ApiError::LogUnavailable)
}

/// Waits until the record of an append has been read back and applied, and returns its outcome.
async fn wait_for_outcome(shared: &Shared, id: &AppendId) -> ApplyOutcome {
    loop {
        let fold_changed = shared.fold_changed.notified();
        tokio::pin!(fold_changed);
        fold_changed.as_mut().enable();
        let outcome = {
            let log_state = shared.log_state.read().expect("the log state lock is not poisoned");
            log_state.outcome(id).cloned()
        };
        if let Some(outcome) = outcome {
            return outcome;
        }
        shared.follower_wakeup.notify_one();
        fold_changed.await;
    }
}
