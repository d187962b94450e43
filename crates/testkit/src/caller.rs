//! An HTTP client for the API of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipwing_proto::{JobAnswer, Problem};
use http_body_util::BodyExt;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::http::{HeaderMap, Method};

/// Time after which an attempt to connect is abandoned.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An HTTP response of an entry, with its body read completely.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body as text; invalid UTF-8 is replaced.
    pub body: String,
}

impl Reply {
    /// Parses the body as the answer to a job; returns `None` if it is not one.
    pub fn job_answer(&self) -> Option<JobAnswer> {
        let answer: JobAnswer = serde_json::from_str(&self.body).ok()?;
        (!answer.key.is_empty()).then_some(answer)
    }

    /// Parses the body as a refusal; returns `None` if it is not one.
    pub fn problem(&self) -> Option<Problem> {
        let problem: Problem = serde_json::from_str(&self.body).ok()?;
        (!problem.kind.is_empty()).then_some(problem)
    }
}

/// A client that sends the requests of callers and operators to entries.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates a caller with a short connect timeout.
    pub fn new() -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        Self { client: builder.build().expect("a client with default settings can be built") }
    }

    /// Sends a request and waits for its reply. Returns `None` if no connection could be made or
    /// the connection broke before the reply was complete.
    pub async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
        let mut req = self
            .client
            .request(method, format!("http://{entry}{path}"))
            .address(Address::from(entry));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let response = req.body(Body::from(body.to_owned())).send().await.ok()?;
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        Some(Reply { status, headers, body: String::from_utf8_lossy(&bytes).into_owned() })
    }

    /// Submits a job, as JSON, with an idempotency key.
    pub async fn submit(&self, entry: SocketAddr, key: &str, job: &str) -> Option<Reply> {
        self.send(entry, Method::POST, "/v1/jobs", &[("idempotency-key", key)], job).await
    }

    /// Sends a GET request for `path`.
    pub async fn get(&self, entry: SocketAddr, path: &str) -> Option<Reply> {
        self.send(entry, Method::GET, path, &[], "").await
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}
