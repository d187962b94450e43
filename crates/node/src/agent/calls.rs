//! Calls to the endpoint, each of which reports back as an event.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use cowslipwing_dispatch::{ReplyTracker, StartOutcome, StartRefusal, TaskRun};
use cowslipwing_platform::{EndpointClient, EndpointError, ListRequest};
use cowslipwing_types::Clock;
use tokio::sync::mpsc;

use super::actor::Event;

/// Time in which the endpoint must answer a start; it does so within a millisecond when sound.
const START_LIMIT: Duration = Duration::from_millis(150);
/// Time in which the endpoint must answer a stop.
const STOP_LIMIT: Duration = Duration::from_millis(60);
/// Time in which the endpoint must answer with a listing, beyond the time it was to wait; what has
/// ended is seen late by as much where an answer is lost.
const LIST_LIMIT: Duration = Duration::from_millis(35);
/// Time between two listings where the endpoint does not answer.
const LIST_RETRY: Duration = Duration::from_millis(5);
/// Addition to a fencing token that was refused; an earlier incarnation whose clock was ahead had a
/// higher one, by at most the steps of clocks seen so far. It doubles with each refusal.
const FENCE_STEP: u64 = 4000;

/// Makes the calls.
#[derive(Clone)]
pub(super) struct Calls {
    client: Arc<EndpointClient>,
    fence: Arc<Fence>,
    answers: Arc<Mutex<ReplyTracker>>,
    clock: Arc<dyn Clock>,
    events: mpsc::UnboundedSender<Event>,
}

/// The fencing token of this incarnation.
struct Fence {
    token: AtomicU64,
    step: AtomicU64,
}

impl Fence {
    fn get(&self) -> u64 {
        self.token.load(Ordering::Relaxed)
    }

    /// Goes above a token that was refused.
    fn raise(&self, refused: u64) {
        if self.get() == refused {
            let step = self.step.fetch_add(self.step.load(Ordering::Relaxed), Ordering::Relaxed);
            self.token.store(refused + step, Ordering::Relaxed);
            log::warn!("agent: event=fenced refused={refused} token={}", refused + step);
        }
    }
}

impl Calls {
    pub(super) fn new(
        endpoint: SocketAddr,
        token: u64,
        clock: Arc<dyn Clock>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let fence = Fence { token: AtomicU64::new(token), step: AtomicU64::new(FENCE_STEP) };
        Self {
            client: Arc::new(EndpointClient::new(endpoint)),
            fence: Arc::new(fence),
            answers: Arc::default(),
            clock,
            events,
        }
    }

    fn report(&self, event: Event) {
        // Nobody listens once the agent has stopped.
        let _ = self.events.send(event);
    }

    fn answers(&self) -> MutexGuard<'_, ReplyTracker> {
        self.answers.lock().expect("no holder of the answers panics")
    }

    /// Notes whether a call was answered.
    fn on_call(&self, answered: bool) {
        if self.answers().record_call(self.clock.since_boot(), answered) {
            log::info!("agent: event=connections-closed reason=silent");
            self.client.close_idle();
        }
    }

    /// Asks for a start.
    pub(super) fn start(
        &self,
        id: String,
        run: TaskRun,
        payload: Arc<str>,
        start_deadline_ms: u64,
    ) {
        let calls = self.clone();
        tokio::spawn(async move {
            let fence = calls.fence.get();
            let limit = START_LIMIT;
            let outcome =
                calls.client.start(&id, fence, &run, &payload, start_deadline_ms, limit).await;
            calls.on_call(outcome != StartOutcome::NoReply);
            if outcome == StartOutcome::Refused(StartRefusal::Fenced) {
                calls.fence.raise(fence);
            }
            calls.report(Event::StartReply(run, outcome));
        });
    }

    /// Asks for a stop.
    pub(super) fn stop(&self, id: String, run: TaskRun) {
        let calls = self.clone();
        tokio::spawn(async move {
            let fence = calls.fence.get();
            match calls.client.stop(&id, fence, &run, STOP_LIMIT).await {
                Ok(()) => calls.report(Event::Stopped(run)),
                Err(error) => {
                    if matches!(error, EndpointError::Fenced) {
                        calls.fence.raise(fence);
                    }
                    log::info!("agent: event=stop-failed task={run} error=\"{error}\"");
                }
            }
        });
    }

    /// Asks for a listing, and extends the lease of what runs.
    pub(super) fn list(
        &self,
        id: String,
        lease_deadline_ms: Option<u64>,
        last_acked: u64,
        idle: bool,
    ) {
        let calls = self.clone();
        tokio::spawn(async move {
            let requested_at = calls.clock.since_boot();
            let fence = calls.fence.get();
            let wait = calls.answers().listing_wait(requested_at, idle);
            let limit = wait + LIST_LIMIT;
            let request = ListRequest { lease_deadline_ms, last_acked, wait, requested_at };
            let listed = calls.client.list(&id, fence, request, limit).await;
            calls.on_call(!matches!(listed, Err(EndpointError::NoAnswer { .. })));
            if let Err(error) = &listed {
                if matches!(error, EndpointError::Fenced) {
                    calls.fence.raise(fence);
                }
                tokio::time::sleep(LIST_RETRY).await;
            }
            calls.report(Event::Listed { id, listed });
        });
    }
}
