//! Serves HTTP/1.1 on one connection.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslipwing_dispatch::ConnectionPhase;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::accept::{Stage, wait_until_closing};
use crate::account::CloseOrder;
use crate::connection::ClientConnection;
use crate::refusal::{self, EncodeRefusal};
use crate::stream::{CountedStream, has_unread_bytes, linger};

/// Bytes of a buffer beside the largest head, for the parts of a body.
const READ_AHEAD_BYTES: usize = 4096;
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// Time in which a request that makes room is answered before its connection is closed.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// How the HTTP library's part of a connection has ended.
enum Ended {
    Served,
    Closed(CloseOrder),
}

/// Serves the requests of a connection until it closes.
pub(crate) async fn serve<H, F, B>(
    stream: TcpStream,
    connection: Arc<ClientConnection>,
    mut stage: watch::Receiver<Stage>,
    encode: EncodeRefusal,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + Unpin + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = Arc::new(stream);
    // Buffers are allocated once there is something to read.
    tokio::select! {
        ready = stream.readable() => if ready.is_err() { return },
        order = connection.closing() => return refuse(&stream, order, encode).await,
        () = wait_until_closing(&mut stage) => return,
    }
    let service = {
        let (connection, stage) = (connection.clone(), stage.clone());
        service_fn(move |mut req: Request<Incoming>| {
            let is_complete = req.body().is_end_stream();
            let phase = if is_complete { ConnectionPhase::Serving } else { ConnectionPhase::Body };
            connection.set_phase(phase);
            req.extensions_mut().insert(connection.clone());
            let (served, connection, stage) = (handle(req), connection.clone(), stage.clone());
            Box::pin(async move {
                let mut response = served.await;
                connection.set_phase(ConnectionPhase::Answer);
                if *stage.borrow() >= Stage::Draining {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            })
        })
    };
    let max_head_bytes = connection.max_head_bytes();
    let io = TokioIo::new(CountedStream::new(stream.clone(), connection.clone()));
    let mut http = http1::Builder::new()
        .max_header_size(max_head_bytes + 1)
        .max_buf_size((max_head_bytes + READ_AHEAD_BYTES).max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let ended = loop {
        tokio::select! {
            biased;
            order = connection.closing() => break Ended::Closed(order),
            ended = poll_fn(|cx| http.poll_without_shutdown(cx)) => {
                if let Err(error) = ended {
                    log::debug!("http: event=connection-ended error=\"{error}\"");
                }
                break Ended::Served;
            }
            () = wait_until_closing(&mut stage), if *stage.borrow() < Stage::Closing => {
                std::pin::Pin::new(&mut http).graceful_shutdown();
            }
        }
    };
    match ended {
        Ended::Served => {
            drop(http);
            connection.set_phase(ConnectionPhase::Closing);
            tokio::select! {
                () = linger(&stream) => {}
                _ = connection.closing() => {}
            }
        }
        Ended::Closed(order @ (_, ConnectionPhase::Head | ConnectionPhase::Idle)) => {
            drop(http);
            refuse(&stream, order, encode).await;
        }
        Ended::Closed((_, ConnectionPhase::Body)) => {
            // The handler stops to read the body and answers.
            let answered = poll_fn(|cx| http.poll_without_shutdown(cx));
            let _ = timeout(LAST_ANSWER_TIMEOUT, answered).await;
            drop(http);
            if has_unread_bytes(&stream) {
                linger_briefly(&stream).await;
            }
        }
        Ended::Closed(_) => {}
    }
}

/// Answers a request whose head has not arrived completely. A client without a request only sees its
/// connection close, since it would take an answer for that to its next request.
async fn refuse(stream: &TcpStream, (reason, phase): CloseOrder, encode: EncodeRefusal) {
    let is_sending = has_unread_bytes(stream);
    if phase == ConnectionPhase::Idle && !is_sending {
        return;
    }
    refusal::write(stream, reason.into(), encode);
    if is_sending {
        linger_briefly(stream).await;
    }
}

/// Gives a client that is still sending the time to read its answer.
async fn linger_briefly(stream: &TcpStream) {
    // A client that does not stop by then is disconnected.
    let _ = timeout(LAST_ANSWER_TIMEOUT, linger(stream)).await;
}
