//! Serves HTTP/1.1 on a listener, and ends gracefully.
//!
//! volo-http's server takes the signals of the process for itself and stops on SIGHUP, so that the
//! library below it, hyper, serves here.

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

/// An address that cannot be listened on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ListenError {
    /// The system refused.
    #[snafu(display("{key}: cannot listen on {address}: {source}; choose a free address"))]
    CannotListen {
        /// The setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
}

/// Binds a listener.
pub(crate) async fn listen(
    key: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).await.context(CannotListenSnafu { key, address })
}

/// How far the process is with stopping.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Stage {
    /// It serves.
    Serving,
    /// It serves, and asks callers to come back on another connection.
    Draining,
    /// It ends what is in flight and takes nothing new.
    Closing,
}

pub(crate) type Body = Full<Bytes>;

/// Reads a body of at most `most` bytes; none where it is larger or was cut off.
pub(crate) async fn read_body(body: Incoming, most: usize) -> Option<Bytes> {
    let collected = Limited::new(body, most).collect().await;
    collected.ok().map(http_body_util::Collected::to_bytes)
}

/// Serves until the process is closing; `requests` counts those in flight.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
    requests: Arc<AtomicUsize>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut watched = stage.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing(&mut watched) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_one(stream, stage.clone(), requests.clone(), handle.clone()));
            }
            Err(error) => log::warn!("http: event=accept-failed error=\"{error}\""),
        }
    }
}

/// Returns once the process is closing.
async fn closing(stage: &mut watch::Receiver<Stage>) {
    // A sender that is gone means that the process ends.
    let _ = stage.wait_for(|stage| *stage >= Stage::Closing).await;
}

async fn serve_one<H, F>(
    stream: TcpStream,
    mut stage: watch::Receiver<Stage>,
    requests: Arc<AtomicUsize>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http: event=nodelay-failed error=\"{error}\"");
    }
    let seen = stage.clone();
    let service = service_fn(move |req| {
        let in_flight = InFlight::new(requests.clone());
        let served = handle(req);
        let seen = seen.clone();
        async move {
            let mut response = served.await;
            drop(in_flight);
            if *seen.borrow() >= Stage::Draining {
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
        () = closing(&mut stage) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("http: event=connection-ended error=\"{error}\"");
    }
}

struct InFlight {
    requests: Arc<AtomicUsize>,
}

impl InFlight {
    fn new(requests: Arc<AtomicUsize>) -> Self {
        requests.fetch_add(1, Ordering::Relaxed);
        Self { requests }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves metrics as text until the process is closing.
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
