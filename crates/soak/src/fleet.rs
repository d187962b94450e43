//! The processes and stand-ins of a run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

use cowslipwing_standin::platform::{
    EndpointBehaviour, PlatformEndpoint, PlatformStore, RunLog, StoreBehaviour,
};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::plan::Fault;
use crate::process::Daemon;
use crate::proxy::{LinkBehaviour, Proxy};

const PEER_PORT: u16 = 7720;
const CALLER_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const ANNOUNCEMENT_PORT: u16 = 8166;
/// Processors of an endpoint, in thousandths of a core.
const ENDPOINT_CPU: u64 = 8000;
/// Time between two looks at whether a process has ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Entries, agents, endpoints and the store.
pub(crate) struct Fleet {
    pub(crate) entries: usize,
    daemons: Vec<Mutex<Daemon>>,
    links: Vec<Proxy>,
    endpoints: Vec<PlatformEndpoint>,
    store: PlatformStore,
    pub(crate) run_log: RunLog,
    version: Mutex<u64>,
    addresses: Vec<IpAddr>,
}

impl Fleet {
    /// Starts everything; files go to `dir`, and addresses begin with 127 and `subnet`.
    pub(crate) async fn start(
        program: &Path,
        dir: &Path,
        subnet: (u8, u8),
        entries: usize,
        agents: usize,
    ) -> std::io::Result<Self> {
        let ip =
            |number: usize| IpAddr::V4(Ipv4Addr::new(127, subnet.0, subnet.1, 10 + number as u8));
        let run_log = RunLog::default();
        let store = TcpListener::bind((ip(entries + agents), 0)).await?;
        let store_address = store.local_addr()?;
        let store = PlatformStore::start(store);
        let seeds = json!([SocketAddr::new(ip(0), PEER_PORT)]);
        let mut fleet = Self {
            entries,
            daemons: Vec::new(),
            links: Vec::new(),
            endpoints: Vec::new(),
            store,
            run_log,
            version: Mutex::new(0),
            addresses: (0..entries + agents).map(ip).collect(),
        };
        fleet.publish();
        for number in 0..entries + agents {
            let ip = ip(number);
            let own = if number < entries {
                let link = Proxy::start(ip, (ip, PEER_PORT).into()).await?;
                let own = format!(
                    "callers: {ip}:{CALLER_PORT}\n  ready: {ip}:{READY_PORT}\n  advertise: {}",
                    link.address
                );
                fleet.links.push(link);
                own
            } else {
                fleet.add_endpoint(number, ip).await?
            };
            let role = if number < entries { "entry" } else { "agent" };
            let settings = format!(
                "role: {role}\nsite: z\nplatform:\n  node: {role}-{number}\n  ip: {ip}\n  \
                 peer_port: {PEER_PORT}\n  seeds: {seeds}\n  store: {store_address}\n  {own}\n\
                 telemetry:\n  traces: \"off\"\n  log: info\n",
            );
            let path: PathBuf = dir.join(format!("{role}-{number}.yaml"));
            std::fs::write(&path, settings)?;
            let log = dir.join(format!("{role}-{number}.log"));
            fleet.daemons.push(Mutex::new(Daemon::start(program, path, log)?));
        }
        Ok(fleet)
    }

    async fn add_endpoint(&mut self, number: usize, ip: IpAddr) -> std::io::Result<String> {
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
        let own = format!("announcements: {announcements}\n  endpoint: {}", link.address);
        self.links.push(link);
        self.endpoints.push(endpoint);
        Ok(own)
    }

    /// Returns the address of an entry for callers.
    pub(crate) fn callers(&self, entry: usize) -> SocketAddr {
        (self.addresses[entry], CALLER_PORT).into()
    }

    /// Returns the address at which an entry tells whether it is ready.
    pub(crate) fn ready(&self, entry: usize) -> SocketAddr {
        (self.addresses[entry], READY_PORT).into()
    }

    /// Publishes a configuration that has one more route than the last; returns its version.
    pub(crate) fn publish(&self) -> u64 {
        let mut version = self.version.lock().expect("no holder of the version panics");
        *version += 1;
        let route = |name: String, prefix: String| {
            json!({"name": name, "host": "desk.example", "pathPrefix": prefix, "service": "desk",
                "timeoutMs": 0, "targetLatencyMs": 60, "maxAttempts": 3, "stretch": 2.0})
        };
        let mut routes = vec![route("jobs".into(), "/jobs/".into())];
        routes.extend((1..=*version).map(|n| route(format!("probe-{n}"), format!("/probe-{n}/"))));
        let config = json!({"version": *version * 3, "routes": routes, "services": []});
        self.store.publish(&config.to_string());
        *version
    }

    /// Injects a fault and takes it back when its time is over.
    pub(crate) async fn inject(&self, fault: Fault) {
        match fault {
            Fault::Kill(process, pause) => {
                self.signal(process, Signal::SIGKILL);
                self.restart_after_end(process, pause).await;
            }
            Fault::Stop(process) => {
                self.signal(process, Signal::SIGTERM);
                self.restart_after_end(process, RESTART_PAUSE).await;
            }
            Fault::Freeze(process, lasts) => {
                self.signal(process, Signal::SIGSTOP);
                sleep(lasts).await;
                self.signal(process, Signal::SIGCONT);
            }
            Fault::Hangup(process) => self.signal(process, Signal::SIGHUP),
            Fault::Link(link, behaviour, lasts) => {
                self.links[link].set_behaviour(behaviour);
                sleep(lasts).await;
                self.links[link].set_behaviour(LinkBehaviour::Normal);
            }
            Fault::Endpoint(agent, behaviour, lasts) => {
                self.endpoints[agent].set_behaviour(behaviour);
                sleep(lasts).await;
                self.endpoints[agent].set_behaviour(EndpointBehaviour::Normal);
            }
            Fault::Crash(agent) => self.endpoints[agent].restart(),
            Fault::Drain(agent, lasts) => {
                self.endpoints[agent].set_draining(true);
                sleep(lasts).await;
                self.endpoints[agent].set_draining(false);
            }
            Fault::Store(behaviour, lasts) => {
                self.store.set_behaviour(behaviour);
                sleep(lasts).await;
                self.store.set_behaviour(StoreBehaviour::Normal);
            }
            Fault::DropHistory => self.store.drop_history(),
            Fault::Publish => {
                self.publish();
            }
        }
    }

    fn signal(&self, process: usize, signal: Signal) {
        self.daemon(process).signal(signal);
    }

    fn daemon(&self, process: usize) -> std::sync::MutexGuard<'_, Daemon> {
        self.daemons[process].lock().expect("no holder of a daemon panics")
    }

    async fn restart_after_end(&self, process: usize, pause: Duration) {
        while self.daemon(process).is_running() {
            sleep(LOOK_INTERVAL).await;
        }
        sleep(pause).await;
        if let Err(error) = self.daemon(process).restart() {
            eprintln!("process {process} cannot be started again: {error}");
        }
    }
}
