//! Calls to the endpoint. Each call runs in its own task and returns its result as an event.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use cowslipwing_dispatch::{
    EndpointActivity, Listing, ReplyTracker, StartOutcome, StartRefusal, TaskRun,
};
use cowslipwing_platform::{EndpointClient, EndpointError, ListRequest};
use cowslipwing_types::Clock;
use tokio::sync::mpsc;

use super::actor::Event;
use crate::metrics::Metrics;

/// Timeout of a start request. A healthy endpoint answers within a millisecond.
const START_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a stop request.
const STOP_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a list request, in addition to the time for which the endpoint waits. If an answer is
/// lost, the end of a task is seen later by this time.
const LIST_TIMEOUT_MARGIN: Duration = Duration::from_millis(35);
/// Delay before the next list request after one that was refused for its token or incarnation.
const LIST_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// First increment of a refused fencing token; the increment doubles with each refusal. A token is
/// refused if the clock of an earlier incarnation of the agent was ahead, since tokens are start
/// times in milliseconds. The increment covers the clock steps seen so far.
const INITIAL_TOKEN_STEP: u64 = 4000;

/// Calls the endpoint and sends the results to the event loop.
#[derive(Clone)]
pub(super) struct EndpointCalls {
    client: Arc<EndpointClient>,
    fencing_token: Arc<FencingToken>,
    reply_tracker: Arc<Mutex<ReplyTracker>>,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    events: mpsc::UnboundedSender<Event>,
}

/// The fencing token of this incarnation of the agent. The endpoint refuses calls with a lower
/// token than it has seen, so that an earlier incarnation of the agent can no longer start tasks.
struct FencingToken {
    value: AtomicU64,
    /// Amount by which the next refusal raises the token.
    step: AtomicU64,
}

impl FencingToken {
    fn get(&self) -> u64 {
        self.value.load(Ordering::Relaxed)
    }

    /// Raises the token above `refused`, unless another call has already done so.
    fn raise(&self, refused: u64) {
        if self.get() == refused {
            let step = self.step.fetch_add(self.step.load(Ordering::Relaxed), Ordering::Relaxed);
            self.value.store(refused + step, Ordering::Relaxed);
            log::warn!("agent: event=fenced refused={refused} token={}", refused + step);
        }
    }
}

impl EndpointCalls {
    pub(super) fn new(
        endpoint: SocketAddr,
        token: u64,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let fencing_token =
            FencingToken { value: AtomicU64::new(token), step: AtomicU64::new(INITIAL_TOKEN_STEP) };
        Self {
            client: Arc::new(EndpointClient::new(endpoint)),
            fencing_token: Arc::new(fencing_token),
            reply_tracker: Arc::default(),
            clock,
            metrics,
            events,
        }
    }

    fn send_event(&self, event: Event) {
        // The receiver is gone once the agent has stopped.
        let _ = self.events.send(event);
    }

    fn reply_tracker(&self) -> MutexGuard<'_, ReplyTracker> {
        self.reply_tracker.lock().expect("the lock on the reply tracker is never poisoned")
    }

    /// Records whether a call was answered, if it was sent, and closes idle connections after a
    /// period of silence.
    fn record_call(&self, is_answered: Option<bool>) {
        let now = self.clock.since_boot();
        let must_close = is_answered
            .is_some_and(|is_answered| self.reply_tracker().record_call(now, is_answered));
        if must_close {
            log::info!("agent: event=connections-closed reason=silent");
            self.client.close_idle();
        }
        self.count_connections();
    }

    fn count_connections(&self) {
        for (event, count) in self.client.take_connection_counts().iter() {
            self.metrics.count_many(event.name(), *count);
        }
    }

    /// Returns the delay before the next list request.
    fn listing_delay(&self, result: &Result<Listing, EndpointError>) -> Duration {
        let is_answered =
            matches!(result, Ok(_) | Err(EndpointError::Fenced | EndpointError::OtherIncarnation));
        let retry_delay = self.reply_tracker().record_listing(is_answered);
        if result.is_ok() { Duration::ZERO } else { retry_delay.max(LIST_RETRY_INTERVAL) }
    }

    /// Sends a start request.
    pub(super) fn start(
        &self,
        endpoint_id: String,
        run: TaskRun,
        payload: Arc<str>,
        start_deadline_ms: u64,
    ) {
        let calls = self.clone();
        tokio::spawn(async move {
            let token = calls.fencing_token.get();
            let timeout = START_TIMEOUT;
            let outcome = calls
                .client
                .start(&endpoint_id, token, &run, &payload, start_deadline_ms, timeout)
                .await;
            let is_answered = match outcome {
                StartOutcome::NoReply => Some(false),
                // Nothing was sent, which tells nothing of the connections in use.
                StartOutcome::Refused(StartRefusal::NotSent) => None,
                _ => Some(true),
            };
            calls.record_call(is_answered);
            if outcome == StartOutcome::Refused(StartRefusal::Fenced) {
                calls.fencing_token.raise(token);
            }
            calls.send_event(Event::StartReply(run, outcome));
        });
    }

    /// Sends a stop request.
    pub(super) fn stop(&self, endpoint_id: String, run: TaskRun) {
        let calls = self.clone();
        tokio::spawn(async move {
            let token = calls.fencing_token.get();
            match calls.client.stop(&endpoint_id, token, &run, STOP_TIMEOUT).await {
                Ok(()) => calls.send_event(Event::StopConfirmed(run)),
                Err(error) => {
                    if matches!(error, EndpointError::Fenced) {
                        calls.fencing_token.raise(token);
                    }
                    log::info!("agent: event=stop-failed task={run} error=\"{error}\"");
                }
            }
        });
    }

    /// Sends a list request, which also extends the lease of running tasks to `lease_deadline_ms`.
    pub(super) fn list(
        &self,
        endpoint_id: String,
        lease_deadline_ms: Option<u64>,
        last_acked: u64,
        activity: EndpointActivity,
    ) {
        let calls = self.clone();
        tokio::spawn(async move {
            let requested_at = calls.clock.since_boot();
            let token = calls.fencing_token.get();
            let wait = calls.reply_tracker().listing_wait(requested_at, activity);
            let timeout = wait + LIST_TIMEOUT_MARGIN;
            let request = ListRequest { lease_deadline_ms, last_acked, wait, requested_at };
            let result = calls.client.list(&endpoint_id, token, request, timeout).await;
            calls.record_call(Some(!matches!(result, Err(EndpointError::NoAnswer { .. }))));
            if matches!(result, Err(EndpointError::Fenced)) {
                calls.fencing_token.raise(token);
            }
            let delay = calls.listing_delay(&result);
            // A refused connection is reported at once, since queued tasks are returned then.
            calls.send_event(Event::ListReply { endpoint_id, result });
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            calls.send_event(Event::ListingDue);
        });
    }
}
