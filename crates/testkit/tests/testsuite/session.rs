//! A small cluster whose requests and replies are recorded as a transcript.

use std::fmt::Write;
use std::time::Duration;

use cowslipwing_testkit::{Caller, Cluster, Reply};
use volo_http::http::Method;

/// Time within which all processes must be ready.
const READY_LIMIT: Duration = Duration::from_secs(40);

/// Maximum number of characters of a request body that the transcript shows.
const MAX_BODY_CHARS: usize = 200;

/// A contract that allows four open jobs.
pub const CONTRACT: &str =
    r#"{"share":1,"concurrency":100,"deadline":"10s","refusals":"5%","open_jobs":4}"#;

/// A session of a caller with a cluster of one entry and one endpoint with four slots.
pub struct Session {
    pub cluster: Cluster,
    caller: Caller,
    transcript: String,
}

impl Session {
    /// Starts the processes and waits until they are ready.
    pub async fn start() -> Self {
        Self::with_settings("").await
    }

    /// Starts the processes with additional settings for the entry, as lines of YAML.
    pub async fn with_settings(settings: &str) -> Self {
        let mut cluster = Cluster::start().await.unwrap();
        cluster.start_entry_with_settings("a", settings).await.unwrap();
        cluster.start_endpoint("e1", 4, 1).await.unwrap();
        assert!(cluster.wait_ready(1, READY_LIMIT).await, "{}", cluster.logs());
        Self { cluster, caller: Caller::new(), transcript: String::new() }
    }

    /// Publishes [`CONTRACT`] for a customer. The request is left out of the transcript.
    pub async fn with_contract(mut self, customer: &str) -> Self {
        let path = format!("/v1/contracts/{customer}?base=0");
        self.put(&path, CONTRACT).await;
        self.transcript.clear();
        self
    }

    pub async fn put(&mut self, path: &str, body: &str) -> Reply {
        self.send(Method::PUT, path, None, body).await
    }

    pub async fn post(&mut self, path: &str, key: Option<&str>, body: &str) -> Reply {
        self.send(Method::POST, path, key, body).await
    }

    pub async fn get(&mut self, path: &str) -> Reply {
        self.send(Method::GET, path, None, "").await
    }

    pub async fn delete(&mut self, path: &str) -> Reply {
        self.send(Method::DELETE, path, None, "").await
    }

    /// Sends a request and records it with its reply.
    async fn send(&mut self, method: Method, path: &str, key: Option<&str>, body: &str) -> Reply {
        let headers: Vec<(&str, &str)> =
            key.map(|key| ("idempotency-key", key)).into_iter().collect();
        let entry = self.cluster.entry_addresses()[0];
        let reply = self.caller.send(entry, method.clone(), path, &headers, body).await.unwrap();
        self.record_exchange(&method, path, key, body, &reply);
        reply
    }

    fn record_exchange(
        &mut self,
        method: &Method,
        path: &str,
        key: Option<&str>,
        body: &str,
        reply: &Reply,
    ) {
        let shown_body: String = body.chars().take(MAX_BODY_CHARS).collect();
        let key = key.map(|key| format!(" key={key}")).unwrap_or_default();
        writeln!(self.transcript, "> {method} {path}{key}\n> {shown_body}").unwrap();
        writeln!(self.transcript, "< {}", reply.status).unwrap();
        if let Some(seconds) = reply.headers.get("retry-after") {
            writeln!(self.transcript, "< retry-after: {}", seconds.to_str().unwrap()).unwrap();
        }
        writeln!(self.transcript, "{}\n", pretty(&reply.body)).unwrap();
    }

    /// Returns the requests and replies so far.
    pub fn transcript(&self) -> &str {
        &self.transcript
    }

    /// Returns the number of starts that the endpoint has recorded.
    pub fn start_count(&self) -> u32 {
        self.cluster.ledger().total_starts()
    }
}

/// Returns a job, as JSON, with `tasks` tasks that have the same body.
pub fn job(customer: &str, tasks: usize, body: &str) -> String {
    let task = serde_json::json!({ "kind": "quote", "body": body });
    serde_json::json!({ "customer": customer, "tasks": vec![task; tasks] }).to_string()
}

/// Indents JSON and masks the fields whose values differ between runs.
fn pretty(body: &str) -> String {
    let Ok(mut value) = serde_json::from_str::<serde_json::Value>(body) else {
        return body.to_owned();
    };
    mask_changing_fields(&mut value);
    serde_json::to_string_pretty(&value).unwrap()
}

fn mask_changing_fields(value: &mut serde_json::Value) {
    const CHANGING_FIELDS: [&str; 1] = ["append_id"];
    match value {
        serde_json::Value::Object(fields) => {
            for (name, field) in fields.iter_mut() {
                let is_set = field.as_str().is_some_and(|text| !text.is_empty());
                if CHANGING_FIELDS.contains(&name.as_str()) && is_set {
                    *field = "(changing)".into();
                } else {
                    mask_changing_fields(field);
                }
            }
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(mask_changing_fields),
        _ => {}
    }
}
