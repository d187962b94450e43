//! The daemons, substitute endpoints and substitute store of a run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cowslipwing_platform::HttpClient;
use cowslipwing_standin::platform::{
    EndpointBehaviour, PlatformEndpoint, PlatformStore, RunLog, StoreBehaviour,
};
use cowslipwing_types::ByteSize;
use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::load::REQUEST_TIMEOUT;
use crate::plan::{CutConnections, Fault, OddMessage};
use crate::process::Daemon;
use crate::proxy::{LinkBehaviour, Proxy};

/// Memory of each VM.
const MEMORY: ByteSize = ByteSize::new(64 << 20);
/// Port on which entries and agents connect to an entry.
const PEER_PORT: u16 = 7720;
/// Port on which an entry serves callers.
const CALLER_PORT: u16 = 8161;
/// Port on which an entry reports its readiness.
const READY_PORT: u16 = 8167;
/// Port on which an agent receives the announcements of its endpoint.
const ANNOUNCEMENT_PORT: u16 = 8166;
/// Last byte of the IP address of the first process.
const FIRST_HOST: u8 = 10;
/// CPU capacity of each endpoint, in thousandths of a core.
const ENDPOINT_CPU: u64 = 8000;
/// Interval at which it is checked whether a stopped process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between the exit of a stopped process and its restart.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Id of an endpoint that does not exist.
const OTHER_ID: &str = "i-other";
/// Topic of the store in which agents save the reports of their endpoints.
const ENDPOINTS_TOPIC: &str = "keyed.endpoints";
/// Timeout of a message to an agent.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Difference between the versions of consecutive configurations.
const CONFIG_VERSION_STEP: u64 = 3;

/// The entries, agents, endpoints and the store of a run. Dropping it kills the daemons.
pub(crate) struct Cluster {
    /// Number of entries.
    pub(crate) entries: usize,
    /// Entries, followed by agents.
    daemons: Vec<Mutex<Daemon>>,
    /// Proxy of each daemon: in front of an entry, or between an agent and its endpoint.
    links: Vec<Proxy>,
    /// Number of times that the connections of the callers of each entry were cut.
    caller_cuts: Vec<watch::Sender<u64>>,
    /// Endpoints in the order of their agents.
    endpoints: Vec<PlatformEndpoint>,
    store: PlatformStore,
    pub(crate) run_log: RunLog,
    /// Number of probe routes in the configuration published last.
    probe_routes: Mutex<u64>,
    /// IP addresses of the daemons, in their order.
    addresses: Vec<IpAddr>,
}

impl Cluster {
    /// Starts all processes. Settings and logs are written to `dir`; the processes use
    /// addresses of the /24 network 127.X.Y.0, where X and Y are the two numbers of `subnet`.
    pub(crate) async fn start(
        program: &Path,
        dir: &Path,
        subnet: (u8, u8),
        entries: usize,
        agents: usize,
    ) -> std::io::Result<Self> {
        let ip = |number: usize| {
            IpAddr::V4(Ipv4Addr::new(127, subnet.0, subnet.1, FIRST_HOST + number as u8))
        };
        let run_log = RunLog::default();
        let store = TcpListener::bind((ip(entries + agents), 0)).await?;
        let store_address = store.local_addr()?;
        let store = PlatformStore::start(store);
        let seeds = json!([SocketAddr::new(ip(0), PEER_PORT)]);
        let mut cluster = Self {
            entries,
            daemons: Vec::new(),
            links: Vec::new(),
            caller_cuts: (0..entries).map(|_| watch::Sender::new(0)).collect(),
            endpoints: Vec::new(),
            store,
            run_log,
            probe_routes: Mutex::new(0),
            addresses: (0..entries + agents).map(ip).collect(),
        };
        cluster.publish();
        for number in 0..entries + agents {
            let ip = ip(number);
            let role_settings = if number < entries {
                let link = Proxy::start(ip, (ip, PEER_PORT).into()).await?;
                let role_settings = format!(
                    "callers: {ip}:{CALLER_PORT}\n  ready: {ip}:{READY_PORT}\n  advertise: {}",
                    link.address
                );
                cluster.links.push(link);
                role_settings
            } else {
                cluster.start_endpoint(number, ip).await?
            };
            let role = if number < entries { "entry" } else { "agent" };
            let settings = format!(
                "role: {role}\nsite: z\nplatform:\n  node: {role}-{number}\n  ip: {ip}\n  \
                 peer_port: {PEER_PORT}\n  seeds: {seeds}\n  store: {store_address}\n  \
                 {role_settings}\ntelemetry:\n  traces: \"off\"\n  log: info\nlimits:\n  \
                 memory: {MEMORY}\n",
            );
            let path: PathBuf = dir.join(format!("{role}-{number}.yaml"));
            std::fs::write(&path, settings)?;
            let log = dir.join(format!("{role}-{number}.log"));
            cluster.daemons.push(Mutex::new(Daemon::start(program, path, log)?));
        }
        Ok(cluster)
    }

    /// Starts the endpoint of an agent and returns the agent's settings that refer to it.
    async fn start_endpoint(&mut self, number: usize, ip: IpAddr) -> std::io::Result<String> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let link = Proxy::start(ip, listener.local_addr()?).await?;
        let announcements = SocketAddr::new(ip, ANNOUNCEMENT_PORT);
        let endpoint = PlatformEndpoint::start(
            &format!("i-{number}"),
            "desk",
            ENDPOINT_CPU,
            listener,
            announcements,
            self.run_log.clone(),
        );
        let role_settings = format!("announcements: {announcements}\n  endpoint: {}", link.address);
        self.links.push(link);
        self.endpoints.push(endpoint);
        Ok(role_settings)
    }

    /// Returns the address at which an entry serves callers.
    pub(crate) fn caller_address(&self, entry: usize) -> SocketAddr {
        (self.addresses[entry], CALLER_PORT).into()
    }

    /// Waits until the connections of an entry's callers are cut.
    pub(crate) async fn caller_cut(&self, entry: usize) {
        // The sender lives as long as the cluster.
        let _ = self.caller_cuts[entry].subscribe().changed().await;
    }

    /// Returns the address at which an entry reports its readiness.
    pub(crate) fn readiness_address(&self, entry: usize) -> SocketAddr {
        (self.addresses[entry], READY_PORT).into()
    }

    /// Publishes a configuration with one more probe route than the previous one, and returns the
    /// number of the new route. Probe routes are numbered from 1.
    pub(crate) fn publish(&self) -> u64 {
        let mut probe_routes =
            self.probe_routes.lock().expect("the mutex of the probe routes is never poisoned");
        *probe_routes += 1;
        let route = |name: String, prefix: String| {
            json!({"name": name, "host": "desk.example", "pathPrefix": prefix, "service": "desk",
                "timeoutMs": REQUEST_TIMEOUT.as_millis() as u64, "targetLatencyMs": 60, "maxAttempts": 3, "stretch": 2.0})
        };
        let mut routes = vec![route("jobs".into(), "/jobs/".into())];
        routes.extend(
            (1..=*probe_routes).map(|n| route(format!("probe-{n}"), format!("/probe-{n}/"))),
        );
        let config = json!({"version": *probe_routes * CONFIG_VERSION_STEP, "routes": routes,
            "services": []});
        self.store.publish(&config.to_string());
        *probe_routes
    }

    /// Describes the processes that have ended by themselves.
    pub(crate) fn unexpected_ends(&self) -> Vec<String> {
        let ends = (0..self.daemons.len()).filter_map(|process| {
            let end = self.daemon(process).end_without_signal()?;
            Some(format!("process {process}: {end}"))
        });
        ends.collect()
    }

    /// Describes the processes that have used more memory than their VM has.
    pub(crate) fn memory_excesses(&self) -> Vec<String> {
        let excesses = (0..self.daemons.len()).filter_map(|process| {
            let peak = ByteSize::new(self.daemon(process).peak_kib() << 10);
            (peak > MEMORY).then(|| format!("process {process}: {peak} of {MEMORY}"))
        });
        excesses.collect()
    }

    /// Injects a fault and ends it after its duration.
    pub(crate) async fn inject(&self, fault: Fault) {
        match fault {
            Fault::Kill(process, pause) => {
                self.signal(process, Signal::SIGKILL);
                self.restart_after_exit(process, pause).await;
            }
            Fault::Stop(process) => {
                self.signal(process, Signal::SIGTERM);
                self.restart_after_exit(process, RESTART_PAUSE).await;
            }
            Fault::Freeze(process, duration) => {
                self.signal(process, Signal::SIGSTOP);
                sleep(duration).await;
                self.signal(process, Signal::SIGCONT);
            }
            Fault::Hangup(process) => self.signal(process, Signal::SIGHUP),
            Fault::Link(link, behaviour, duration) => {
                self.links[link].set_behaviour(behaviour);
                sleep(duration).await;
                self.links[link].set_behaviour(LinkBehaviour::Normal);
            }
            Fault::Endpoint(agent, behaviour, duration) => {
                self.endpoints[agent].set_behaviour(behaviour);
                sleep(duration).await;
                self.endpoints[agent].set_behaviour(EndpointBehaviour::Normal);
            }
            Fault::Crash(agent, downtime) => {
                let (endpoint, link) = (&self.endpoints[agent], &self.links[self.entries + agent]);
                endpoint.restart();
                endpoint.set_behaviour(EndpointBehaviour::Unresponsive);
                link.set_behaviour(LinkBehaviour::Refused);
                sleep(downtime).await;
                endpoint.restart();
                link.set_behaviour(LinkBehaviour::Normal);
            }
            Fault::Drain(agent, duration) => {
                self.endpoints[agent].set_draining(true);
                sleep(duration).await;
                self.endpoints[agent].set_draining(false);
            }
            Fault::Store(behaviour, duration) => {
                self.store.set_behaviour(behaviour);
                sleep(duration).await;
                self.store.set_behaviour(StoreBehaviour::Normal);
            }
            Fault::DropHistory => self.store.drop_history(),
            Fault::Publish => {
                self.publish();
            }
            Fault::CutOff(entry, connections) => {
                self.caller_cuts[entry].send_modify(|cuts| *cuts += 1);
                if connections == CutConnections::All {
                    self.links[entry].reset_connections();
                }
            }
            Fault::OtherWriter(agent, message) => self.send_odd_message(agent, message).await,
        }
    }

    async fn send_odd_message(&self, agent: usize, message: OddMessage) {
        let process = self.entries + agent;
        let known_id = self.endpoints[agent].id();
        let report = |id: &str, state: &str, born: u64| {
            let report = json!({"id": id, "service": "elsewhere", "state": state, "sequence": 1,
                "born": born, "capacity": {"cpu": 64_000, "memoryLimitMb": 65_536},
                "labels": ["b", "r9"]});
            report.to_string().into_bytes()
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let later = now.as_millis() as u64;
        let (method, id, body) = match message {
            OddMessage::LaterEndpoint => (Method::PUT, OTHER_ID, report(OTHER_ID, "ready", later)),
            OddMessage::EarlierEndpoint => (Method::PUT, OTHER_ID, report(OTHER_ID, "draining", 1)),
            OddMessage::LaterIncarnation => {
                (Method::PUT, known_id.as_str(), report(&known_id, "ready", later))
            }
            OddMessage::Departure => (Method::DELETE, known_id.as_str(), Vec::new()),
            OddMessage::Unreadable => (Method::PUT, OTHER_ID, vec![0xff; 20]),
            OddMessage::SavedReport => {
                let key = format!("agent-{process}");
                let value = report(OTHER_ID, "ready", later);
                return self.store.append_keyed(ENDPOINTS_TOPIC, &key, &value);
            }
        };
        let address = SocketAddr::new(self.addresses[process], ANNOUNCEMENT_PORT);
        let path = format!("/instances/{id}");
        // The agent may be down.
        let _ =
            HttpClient::new(address).call(method, &path, &[], body.into(), MESSAGE_TIMEOUT).await;
    }

    fn signal(&self, process: usize, signal: Signal) {
        self.daemon(process).signal(signal);
    }

    fn daemon(&self, process: usize) -> std::sync::MutexGuard<'_, Daemon> {
        self.daemons[process].lock().expect("the mutex of a daemon is never poisoned")
    }

    async fn restart_after_exit(&self, process: usize, pause: Duration) {
        while self.daemon(process).is_running() {
            sleep(POLL_INTERVAL).await;
        }
        sleep(pause).await;
        if let Err(error) = self.daemon(process).restart() {
            eprintln!("cannot restart process {process}: {error}");
        }
    }
}
