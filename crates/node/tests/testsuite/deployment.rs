//! A small deployment: entries, agents with their endpoints, and the store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cowslipwing_node::{Agent, Entry, Metrics};
use cowslipwing_platform::{HttpClient, HttpError, HttpReply};
use cowslipwing_settings::{Config, Role};
use cowslipwing_standin::platform::{PlatformEndpoint, PlatformStore, RunEvent, RunLog, job_body};
use cowslipwing_types::SystemClock;
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::sleep;

const PEER_PORT: u16 = 7720;
const CALLER_PORT: u16 = 8161;
const ANNOUNCEMENT_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
/// Time within which all entries must become ready, and a task must start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Processor time of each endpoint and of each task, in thousandths of a core.
const ENDPOINT_CPU: u64 = 8000;
const TASK_CPU: u32 = 1000;
/// Time for which callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);

/// A running deployment. Its processes are tasks of the test's runtime.
pub struct Deployment {
    run_log: RunLog,
    subnet: (u8, u8),
    agents: usize,
    _store: PlatformStore,
    _endpoints: Vec<PlatformEndpoint>,
    _entries: Vec<Entry>,
    _agents: Vec<Agent>,
}

fn ip((second, third): (u8, u8), host: usize) -> IpAddr {
    Ipv4Addr::new(127, second, third, 10 + host as u8).into()
}

async fn start(settings: String) -> Result<Entry, Agent> {
    let config = Config::parse(&settings).expect("the settings are valid");
    let (clock, metrics) = (Arc::new(SystemClock), Arc::new(Metrics::new()));
    match config.role {
        Role::PlatformEntry(entry) => {
            Ok(Entry::start(&entry, clock, metrics).await.expect("the entry starts"))
        }
        Role::PlatformAgent(agent) => {
            Err(Agent::start(&agent, clock, metrics).await.expect("the agent starts"))
        }
        _ => panic!("the settings are those of the platform"),
    }
}

impl Deployment {
    /// Starts a deployment and waits until all entries are ready. `network` is the second byte of its
    /// addresses, which differs between tests.
    pub async fn start(network: u8, entries: usize, agents: usize) -> Self {
        let subnet = (network, (std::process::id() % 250) as u8 + 1);
        let run_log = RunLog::default();
        let listener = TcpListener::bind((ip(subnet, 90), 0)).await.expect("the address is free");
        let store_address = listener.local_addr().expect("the listener has an address");
        let store = PlatformStore::start(listener);
        let route = json!({"name": "jobs", "host": "desk.example", "pathPrefix": "/jobs/",
            "service": "desk", "timeoutMs": 1500, "targetLatencyMs": 60, "maxAttempts": 3,
            "stretch": 1.6});
        store.publish(&json!({"version": 7, "routes": [route], "services": []}).to_string());
        let seed = SocketAddr::new(ip(subnet, 0), PEER_PORT);
        let settings = |role: &str, host: usize, rest: String| {
            format!(
                "role: {role}\nsite: z\nplatform:\n  node: {role}-{host}\n  ip: {}\n  \
                 peer_port: {PEER_PORT}\n  seeds: [\"{seed}\"]\n  store: {store_address}\n  {rest}\n",
                ip(subnet, host)
            )
        };
        let mut deployment = Self {
            run_log,
            subnet,
            agents: entries,
            _store: store,
            _endpoints: Vec::new(),
            _entries: Vec::new(),
            _agents: Vec::new(),
        };
        for host in 0..entries {
            let ip = ip(subnet, host);
            let rest = format!("callers: {ip}:{CALLER_PORT}\n  ready: {ip}:{READY_PORT}");
            let entry = start(settings("entry", host, rest)).await;
            deployment._entries.extend(entry.ok());
        }
        for host in entries..entries + agents {
            let ip = ip(subnet, host);
            let listener = TcpListener::bind((ip, 0)).await.expect("the address is free");
            let address = listener.local_addr().expect("the listener has an address");
            let announcements = SocketAddr::new(ip, ANNOUNCEMENT_PORT);
            let endpoint = PlatformEndpoint::start(
                &format!("i-{host}"),
                "desk",
                ENDPOINT_CPU,
                listener,
                announcements,
                deployment.run_log.clone(),
            );
            deployment._endpoints.push(endpoint);
            let rest = format!("announcements: {announcements}\n  endpoint: {address}");
            deployment._agents.extend(start(settings("agent", host, rest)).await.err());
        }
        for entry in 0..entries {
            deployment.wait_ready(entry).await;
        }
        deployment
    }

    async fn wait_ready(&self, entry: usize) {
        let client = HttpClient::new((ip(self.subnet, entry), READY_PORT).into());
        let until = Instant::now() + START_TIMEOUT;
        let timeout = Duration::from_secs(1);
        loop {
            let reply = client.call(Method::GET, "/readiness", &[], Bytes::new(), timeout).await;
            if reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < until, "entry {entry} is not ready");
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn call(
        &self,
        entry: usize,
        method: Method,
        id: &str,
        body: Bytes,
    ) -> Result<HttpReply, HttpError> {
        let client = HttpClient::new((ip(self.subnet, entry), CALLER_PORT).into());
        let timeout = CALLER_TIMEOUT.as_millis().to_string();
        let headers = [("host", "desk.example"), ("deadline-milliseconds", timeout.as_str())];
        client.call(method, &format!("/jobs/{id}"), &headers, body, CALLER_TIMEOUT).await
    }

    /// Submits a job with one task that runs for `ms` milliseconds; returns the status and the body.
    pub async fn submit(&self, entry: usize, id: &str, ms: u64) -> (StatusCode, String) {
        let reply = self.call(entry, Method::POST, id, job_body(1, ms, TASK_CPU)).await;
        let reply = reply.expect("the job is answered");
        (reply.status, String::from_utf8_lossy(&reply.body).into_owned())
    }

    /// Cancels a job; returns the status.
    pub async fn cancel(&self, entry: usize, id: &str) -> StatusCode {
        let reply = self.call(entry, Method::DELETE, id, Bytes::new()).await;
        reply.expect("the cancellation is answered").status
    }

    /// Sends a message to the address at which an agent receives the reports of its endpoint.
    pub async fn announce(&self, agent: usize, method: Method, id: &str, body: String) {
        let address = (ip(self.subnet, self.agents + agent), ANNOUNCEMENT_PORT).into();
        let path = format!("/instances/{id}");
        let timeout = Duration::from_secs(1);
        let reply = HttpClient::new(address).call(method, &path, &[], body.into(), timeout).await;
        assert_eq!(reply.expect("the message is answered").status, StatusCode::OK);
    }

    /// Returns the starts and ends of the tasks of a job.
    pub fn runs(&self, id: &str) -> Vec<RunEvent> {
        let events = self.run_log.events().into_iter();
        events.filter(|event| event.request_id() == id).collect()
    }

    /// Waits until a task of a job has started, and returns the number of its agent.
    pub async fn wait_started(&self, id: &str) -> usize {
        let until = Instant::now() + START_TIMEOUT;
        loop {
            if let Some(event) = self.runs(id).first() {
                let host: usize =
                    event.endpoint.trim_start_matches("i-").parse().expect("a number");
                return host - self.agents;
            }
            assert!(Instant::now() < until, "no task of {id} has started");
            sleep(POLL_INTERVAL).await;
        }
    }
}
