//! A server of HTTP/1.1 for the stand-ins.

use std::convert::Infallible;
use std::future::Future;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A request with its whole body.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: Vec<(String, String)>,
    pub(super) body: Bytes,
}

impl Call {
    /// Returns a parameter of the query.
    pub(super) fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query as a number; 0 where there is none.
    pub(super) fn number(&self, name: &str) -> u64 {
        self.param(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// What a stand-in answers; none leaves the caller without an answer.
pub(super) type Answer = Option<(StatusCode, Bytes)>;

/// Serves until the task is ended.
pub(super) async fn serve<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Call) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        // Without it, the answers are only slower.
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| answer(req, handle.clone()));
            // Callers close connections as they like.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer<H, F>(
    req: Request<Incoming>,
    handle: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(Call) -> F,
    F: Future<Output = Answer>,
{
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let query = parts.uri.query().unwrap_or_default().split('&');
    let pairs = query.filter_map(|pair| pair.split_once('='));
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        body,
    };
    match handle(call).await {
        Some((status, body)) => {
            let mut response = Response::new(Full::new(body));
            *response.status_mut() = status;
            Ok(response)
        }
        // A connection on which an answer is lost stays silent.
        None => std::future::pending().await,
    }
}
