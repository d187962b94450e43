//! An HTTP endpoint that counts how often it starts each task.
//!
//! The body of a task selects what it does: `sleep MS` waits for that many milliseconds, `fail`
//! returns an error and `hang` does not return within the test. Any other body is returned
//! unchanged.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::BodyConversion;
use volo_http::http::StatusCode;
use volo_http::request::Request;
use volo_http::server::route::{Router, get, post};
use volo_http::server::{Server, extract::Json};
use volo_http::utils::Extension;

/// Run time of a `hang` task, longer than any test.
const HANG_DURATION: Duration = Duration::from_secs(3600);

/// Number of times that an endpoint has started a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartCount {
    /// Name of the task, from the `cowslipwing-task` header.
    pub task: String,
    /// Number of starts, at least 1.
    pub count: u32,
}

/// A server that runs tasks over HTTP and counts the starts of each.
#[derive(Clone, Debug, Default)]
pub struct EndpointServer {
    start_counts: Arc<Mutex<Vec<StartCount>>>,
    ledger: Arc<Mutex<Option<File>>>,
    slowdown: u32,
}

impl EndpointServer {
    /// Creates an endpoint without a ledger that runs tasks at their normal speed.
    pub fn new() -> Self {
        Self { slowdown: 1, ..Self::default() }
    }

    /// Sets the factor by which the time of each `sleep` task is multiplied.
    pub fn with_slowdown(mut self, slowdown: u32) -> Self {
        self.slowdown = slowdown;
        self
    }

    /// Appends a line to the file at `path` for each start (`+ MICROS TASK`) and each end
    /// (`- MICROS TASK`) of a task. `MICROS` is the Unix time in microseconds. The file remains
    /// when the process is killed.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn with_ledger(self, path: &Path) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        *self.ledger.lock().expect("the mutex of the ledger is never poisoned") = Some(file);
        Ok(self)
    }

    /// Returns the number of starts of each task so far, sorted by the name of the task.
    pub fn start_counts(&self) -> Vec<StartCount> {
        self.start_counts.lock().expect("the mutex of the counts is never poisoned").clone()
    }

    /// Serves requests until the process is signalled to stop.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP server if it fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let incoming = DefaultIncoming::from(listener);
        let router = Router::new()
            .route("/run", post(run))
            .route("/starts", get(get_start_counts))
            .layer(Extension(self));
        Server::new(router).run(incoming).await.map_err(std::io::Error::other)
    }

    fn append_to_ledger(&self, sign: char, task: &str) {
        let micros = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        if let Some(file) =
            &mut *self.ledger.lock().expect("the mutex of the ledger is never poisoned")
        {
            // A missing line would hide a duplicate start from the test.
            writeln!(file, "{sign} {micros} {task}").expect("the ledger file is writable");
        }
    }

    /// Counts a start; the returned guard records the end.
    fn record_start(&self, task: &str) -> RunningTask {
        self.append_to_ledger('+', task);
        let mut starts =
            self.start_counts.lock().expect("the mutex of the counts is never poisoned");
        match starts.binary_search_by(|start| start.task.as_str().cmp(task)) {
            Ok(at) => starts[at].count += 1,
            Err(at) => starts.insert(at, StartCount { task: task.to_owned(), count: 1 }),
        }
        RunningTask { endpoint: self.clone(), task: task.to_owned() }
    }
}

/// A running task. Dropping it appends the end of the task to the ledger.
struct RunningTask {
    endpoint: EndpointServer,
    task: String,
}

impl Drop for RunningTask {
    fn drop(&mut self) {
        self.endpoint.append_to_ledger('-', &self.task);
    }
}

async fn run(Extension(endpoint): Extension<EndpointServer>, req: Request) -> (StatusCode, String) {
    let task = req.headers().get("cowslipwing-task").and_then(|v| v.to_str().ok());
    let task = task.unwrap_or("unnamed").to_owned();
    let Ok(body) = req.into_body().into_string().await else {
        return (StatusCode::BAD_REQUEST, "the body of the task is not valid UTF-8".to_owned());
    };
    let _running_task = endpoint.record_start(&task);
    match body.split_once(' ') {
        Some(("sleep", millis)) => {
            let millis: u64 = millis.trim().parse().unwrap_or(0);
            tokio::time::sleep(Duration::from_millis(millis * u64::from(endpoint.slowdown))).await;
            (StatusCode::OK, format!("slept {millis}"))
        }
        _ if body == "fail" => (StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
        _ if body == "hang" => {
            tokio::time::sleep(HANG_DURATION).await;
            (StatusCode::OK, String::new())
        }
        _ => (StatusCode::OK, body),
    }
}

async fn get_start_counts(Extension(endpoint): Extension<EndpointServer>) -> Json<Vec<StartCount>> {
    Json(endpoint.start_counts())
}
