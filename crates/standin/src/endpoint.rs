//! An endpoint that counts what it starts.
//!
//! The body of a task says what it does: `sleep MS`, `fail`, `hang`; any other body is echoed.

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

/// Time after which a task that hangs is given up.
const HANG: Duration = Duration::from_secs(3600);

/// One start of a task, as the endpoint saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartCount {
    /// The task.
    pub task: String,
    /// Times it was started.
    pub count: u32,
}

/// Serves tasks over HTTP and counts the starts of each.
#[derive(Clone, Debug, Default)]
pub struct EndpointServer {
    start_counts: Arc<Mutex<Vec<StartCount>>>,
    ledger: Arc<Mutex<Option<File>>>,
    slowdown: u32,
}

impl EndpointServer {
    /// Returns an endpoint that has started nothing.
    pub fn new() -> Self {
        Self { slowdown: 1, ..Self::default() }
    }

    /// Multiplies the run time of each task.
    pub fn with_slowdown(mut self, slowdown: u32) -> Self {
        self.slowdown = slowdown;
        self
    }

    /// Appends each start (`+ MICROS TASK`) and end (`- MICROS TASK`) as a line to a file, which
    /// outlives the process.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be opened.
    pub fn with_ledger(self, path: &Path) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        *self.ledger.lock().expect("no holder of the ledger panics") = Some(file);
        Ok(self)
    }

    /// Returns the starts counted so far, in the order of the tasks' names.
    pub fn start_counts(&self) -> Vec<StartCount> {
        self.start_counts.lock().expect("no holder of the starts panics").clone()
    }

    /// Serves tasks until the process is told to stop.
    ///
    /// # Errors
    ///
    /// Returns what the transport reported.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let incoming = DefaultIncoming::from(listener);
        let router = Router::new()
            .route("/run", post(run))
            .route("/starts", get(show_starts))
            .layer(Extension(self));
        Server::new(router).run(incoming).await.map_err(std::io::Error::other)
    }

    fn write_line(&self, sign: char, task: &str) {
        let micros = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        if let Some(file) = &mut *self.ledger.lock().expect("no holder of the ledger panics") {
            // A start that cannot be recorded must not go unnoticed.
            writeln!(file, "{sign} {micros} {task}").expect("the ledger takes the line");
        }
    }

    fn record(&self, task: &str) -> Running {
        self.write_line('+', task);
        let mut starts = self.start_counts.lock().expect("no holder of the starts panics");
        match starts.binary_search_by(|start| start.task.as_str().cmp(task)) {
            Ok(at) => starts[at].count += 1,
            Err(at) => starts.insert(at, StartCount { task: task.to_owned(), count: 1 }),
        }
        Running { endpoint: self.clone(), task: task.to_owned() }
    }
}

/// A task that runs; its end is recorded when it is dropped.
struct Running {
    endpoint: EndpointServer,
    task: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.endpoint.write_line('-', &self.task);
    }
}

async fn run(Extension(endpoint): Extension<EndpointServer>, req: Request) -> (StatusCode, String) {
    let task = req.headers().get("cowslipwing-task").and_then(|v| v.to_str().ok());
    let task = task.unwrap_or("unnamed").to_owned();
    let Ok(body) = req.into_body().into_string().await else {
        return (StatusCode::BAD_REQUEST, "the body is not text".to_owned());
    };
    let _running = endpoint.record(&task);
    match body.split_once(' ') {
        Some(("sleep", millis)) => {
            let millis: u64 = millis.trim().parse().unwrap_or(0);
            tokio::time::sleep(Duration::from_millis(millis * u64::from(endpoint.slowdown))).await;
            (StatusCode::OK, format!("slept {millis}"))
        }
        _ if body == "fail" => (StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
        _ if body == "hang" => {
            tokio::time::sleep(HANG).await;
            (StatusCode::OK, String::new())
        }
        _ => (StatusCode::OK, body),
    }
}

async fn show_starts(Extension(endpoint): Extension<EndpointServer>) -> Json<Vec<StartCount>> {
    Json(endpoint.start_counts())
}
