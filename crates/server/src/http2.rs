//! Serves HTTP/2 on one connection, for calls of other processes.

use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;

use bytes::Bytes;
use cowslipwing_dispatch::ConnectionPhase;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::connection::ClientConnection;
use crate::message::MessageBody;
use crate::stream::CountedStream;

/// Maximum number of concurrent calls on a connection. A forwarded job is a call until its answer.
const MAX_CALLS: u32 = 1024;
/// Bytes that a peer may send before they are read, for a call and for a connection.
const CALL_WINDOW_BYTES: u32 = 128 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 256 << 10;

/// A service of calls that never fails, such as one that `tonic` generates.
pub trait CallService<B>:
    Service<Request<MessageBody>, Response = Response<B>, Error = Infallible, Future: Send>
    + Clone
    + Send
    + Sync
    + 'static
{
}

impl<S, B> CallService<B> for S where
    S: Service<Request<MessageBody>, Response = Response<B>, Error = Infallible, Future: Send>
        + Clone
        + Send
        + Sync
        + 'static
{
}

/// Serves the calls of a connection until it closes.
pub(crate) async fn serve<S, B>(stream: TcpStream, connection: Arc<ClientConnection>, service: S)
where
    S: CallService<B>,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let calls = {
        let connection = connection.clone();
        service_fn(move |req: Request<Incoming>| {
            connection.set_phase(ConnectionPhase::Stream);
            let (parts, body) = req.into_parts();
            let body = MessageBody::new(&connection, body);
            let mut service = service.clone();
            async move {
                let Some(body) = body else {
                    return Err("refused, not run: calls of others take up the memory");
                };
                let Ok(()) = poll_fn(|cx| service.poll_ready(cx)).await;
                let Ok(response) = service.call(Request::from_parts(parts, body)).await;
                Ok(response)
            }
        })
    };
    let io = TokioIo::new(CountedStream::new(Arc::new(stream), connection.clone()));
    let http = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CALLS)
        .initial_stream_window_size(CALL_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .serve_connection(io, calls);
    tokio::select! {
        ended = http => if let Err(error) = ended {
            log::debug!("http: event=connection-ended error=\"{error}\"");
        },
        _ = connection.closing() => {}
    }
}
