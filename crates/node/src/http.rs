//! An HTTP/1.1 server with graceful shutdown.
//!
//! The server of volo-http handles the signals of the process itself and stops on SIGHUP, so this
//! module uses hyper, the library below it.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::metrics::Metrics;

/// An error when binding a listener.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ListenError {
    /// The operating system refused to bind the address.
    #[snafu(display("{key}: cannot listen on {address}: {source}; choose a free address"))]
    CannotListen {
        /// Key of the setting that holds the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Binds a listener to an address, which the setting `key` holds.
pub(crate) async fn listen(
    key: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).await.context(CannotListenSnafu { key, address })
}

/// The stage of a process's shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Stage {
    /// The process serves requests.
    Serving,
    /// The process serves requests and asks callers to use another connection.
    Draining,
    /// The process finishes requests in flight and accepts no new connections.
    Closing,
}

pub(crate) type Body = Full<Bytes>;

/// Reads a body of at most `max_bytes` bytes; returns `None` if it is larger or incomplete.
pub(crate) async fn read_body(body: Incoming, max_bytes: usize) -> Option<Bytes> {
    let collected = Limited::new(body, max_bytes).collect().await;
    collected.ok().map(http_body_util::Collected::to_bytes)
}

/// Serves requests until the stage is [`Stage::Closing`]; `requests_in_flight` counts those in
/// flight.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
    requests_in_flight: Arc<AtomicUsize>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut closing_stage = stage.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closing(&mut closing_stage) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(
                    stream,
                    stage.clone(),
                    requests_in_flight.clone(),
                    handle.clone(),
                ));
            }
            Err(error) => log::warn!("http: event=accept-failed error=\"{error}\""),
        }
    }
}

/// Waits until the stage is [`Stage::Closing`].
async fn wait_until_closing(stage: &mut watch::Receiver<Stage>) {
    // If the sender is gone, the process is ending.
    let _ = stage.wait_for(|stage| *stage >= Stage::Closing).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    mut stage: watch::Receiver<Stage>,
    requests_in_flight: Arc<AtomicUsize>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http: event=nodelay-failed error=\"{error}\"");
    }
    let stage_changes = stage.clone();
    let service = service_fn(move |req| {
        let guard = InFlightGuard::new(requests_in_flight.clone());
        let served = handle(req);
        let stage_changes = stage_changes.clone();
        async move {
            let mut response = served.await;
            drop(guard);
            if *stage_changes.borrow() >= Stage::Draining {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_until_closing(&mut stage) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("http: event=connection-ended error=\"{error}\"");
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard {
    requests_in_flight: Arc<AtomicUsize>,
}

impl InFlightGuard {
    fn new(requests_in_flight: Arc<AtomicUsize>) -> Self {
        requests_in_flight.fetch_add(1, Ordering::Relaxed);
        Self { requests_in_flight }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves metrics in the Prometheus text format until the stage is [`Stage::Closing`].
pub(crate) async fn serve_metrics(
    metrics: Arc<Metrics>,
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
) {
    let handle = move |_req: Request<Incoming>| {
        let text = metrics.render();
        async move { Response::new(Full::new(Bytes::from(text))) }
    };
    serve(listener, stage, Arc::new(AtomicUsize::new(0)), handle).await;
}
