//! HTTP client of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipwing_proto::Problem;
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::http::{Method, StatusCode};

use crate::error::{BadAnswerSnafu, CliError, RefusedSnafu};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP client of one entry.
pub(crate) struct EntryClient {
    address: SocketAddr,
    client: Client,
}

impl EntryClient {
    /// Creates a client of the entry at an address.
    pub(crate) fn new(address: SocketAddr) -> Result<Self, CliError> {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder.build().map_err(|error| unreachable_error(address, &error))?;
        Ok(Self { address, client })
    }

    /// Sends a GET request and parses the JSON answer.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        self.call(Method::GET, path, None, Vec::new()).await
    }

    /// Sends a request and parses the JSON answer.
    ///
    /// `key` is the idempotency key, if there is one.
    pub(crate) async fn call<T>(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Vec<u8>,
    ) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        let mut req = self
            .client
            .request(method, format!("http://{}{path}", self.address))
            .address(Address::from(self.address));
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let result = req.body(Body::from(body)).send().await;
        let response = result.map_err(|error| unreachable_error(self.address, &error))?;
        let status = response.status();
        let collected = response.into_body().collect().await;
        let bytes = collected.map_err(|error| unreachable_error(self.address, &error))?.to_bytes();
        // An entry answers with 502 for a failed job; the body is then a complete job answer, not a
        // `Problem`.
        if status.is_success() || status == StatusCode::BAD_GATEWAY {
            return serde_json::from_slice(&bytes).context(BadAnswerSnafu);
        }
        let problem: Problem = serde_json::from_slice(&bytes).context(BadAnswerSnafu)?;
        RefusedSnafu { problem }.fail()
    }
}

fn unreachable_error<E>(address: SocketAddr, error: &E) -> CliError
where
    E: std::fmt::Display,
{
    CliError::Unreachable { address, detail: error.to_string() }
}
