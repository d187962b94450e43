//! A minimal HTTP/1.1 server for the substitutes of the platform.

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

/// A request whose body has been read completely.
pub(super) struct BufferedRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: Vec<(String, String)>,
    /// Id of the endpoint that a call is addressed to, if it names one.
    pub(super) expected_id: Option<String>,
    pub(super) body: Bytes,
}

impl BufferedRequest {
    /// Returns the value of a query parameter.
    pub(super) fn query_param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns a query parameter as a number, or 0 if it is missing or not a number.
    pub(super) fn query_number(&self, name: &str) -> u64 {
        self.query_param(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Status and body of a reply, or `None` to leave the request unanswered.
pub(super) type Reply = Option<(StatusCode, Bytes)>;

/// Serves connections until the task is aborted.
pub(super) async fn serve<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(BufferedRequest) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        // An error is harmless: replies are only slower without TCP_NODELAY.
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| handle_request(req, handle.clone()));
            // An error only means that the client has closed the connection.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle_request<H, F>(
    req: Request<Incoming>,
    handle: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(BufferedRequest) -> F,
    F: Future<Output = Reply>,
{
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let query = parts.uri.query().unwrap_or_default().split('&');
    let params = query.filter_map(|pair| pair.split_once('='));
    let expected_id = parts.headers.get("expected-instance").and_then(|id| id.to_str().ok());
    let buffered = BufferedRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: params.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        expected_id: expected_id.map(str::to_owned),
        body,
    };
    match handle(buffered).await {
        Some((status, body)) => {
            let mut response = Response::new(Full::new(body));
            *response.status_mut() = status;
            Ok(response)
        }
        // A dropped reply leaves the connection open without a response.
        None => std::future::pending().await,
    }
}
