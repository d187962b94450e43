//! Daemons and substitute servers on the loopback network, each at its own IP address.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use cowslipwing_standin::platform::PlatformStore;
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::net::TcpListener;

use crate::caller::{Caller, Reply};
use crate::error::{IoSnafu, TestkitError};
use crate::forwarder::Forwarder;
use crate::process::Process;
use crate::verdict::Ledger;

/// Name of the platform's store in scenarios.
const STORE_NAME: &str = "store";
/// Last byte of the IP address of the store.
const STORE_HOST: u8 = 1;
/// Lease settings short enough for a scenario to take seconds.
const SHORT_LEASE_SETTINGS: &str = "lease:\n  length: 500ms\n  skew: 50ms\n  retention: 60s\n  \
                          ageless_retention: 120s\n  suspect_after: 1s\n  log_absence: 20s\n";

/// A daemon and the forwarder through which other processes connect to it.
#[derive(Debug)]
struct DaemonNode {
    /// `None` after the daemon was killed or stopped.
    process: Option<Process>,
    forwarder: Forwarder,
    /// Settings in YAML, reused when the daemon is started again.
    settings: String,
    /// Address for callers, or `None` for an agent and before the first start.
    http: Option<SocketAddr>,
}

/// A set of running processes. Dropping it ends all of them.
#[derive(Debug)]
pub struct Cluster {
    dir: TempDir,
    store: PlatformStore,
    /// Forwarder through which the entries connect to the store.
    store_forwarder: Forwarder,
    /// Entries and agents by name.
    nodes: BTreeMap<String, DaemonNode>,
    /// Substitute endpoints by name. The agent of an endpoint has the same name.
    endpoints: BTreeMap<String, Process>,
    /// Last byte of the IP address assigned most recently.
    last_host: u8,
}

impl Cluster {
    /// Starts a cluster that consists of the platform's store only.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be started.
    pub async fn start() -> Result<Self, TestkitError> {
        let dir = TempDir::new().context(IoSnafu { what: "create a temporary directory" })?;
        let ip = loopback(STORE_HOST);
        let listener = TcpListener::bind((ip, 0)).await;
        let listener = listener.context(IoSnafu { what: "bind the listener of the store" })?;
        let address =
            listener.local_addr().context(IoSnafu { what: "bind the listener of the store" })?;
        let store_forwarder = Forwarder::start(ip).await?;
        store_forwarder.set_target(address);
        Ok(Self {
            dir,
            store: PlatformStore::start(listener),
            store_forwarder,
            nodes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            last_host: STORE_HOST,
        })
    }

    /// Starts an entry, or starts it again if it was killed or stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be started.
    pub async fn start_entry(&mut self, name: &str) -> Result<(), TestkitError> {
        self.start_entry_with_settings(name, "").await
    }

    /// Starts an entry with `extra_settings`, lines of YAML that are appended to its settings. An
    /// entry that was killed or stopped starts again with the settings of its first start.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be started.
    pub async fn start_entry_with_settings(
        &mut self,
        name: &str,
        extra_settings: &str,
    ) -> Result<(), TestkitError> {
        if !self.nodes.contains_key(name) {
            let ip = self.next_ip();
            let forwarder = Forwarder::start(ip).await?;
            let contact = self.nodes.values().find(|node| node.http.is_some());
            let contact = contact
                .map_or(String::new(), |node| format!("  contact: {}\n", node.forwarder.address()));
            let settings = format!(
                "role: entry\nsite: loopback\nentry:\n  name: {name}\n  http: {ip}:0\n  \
                 rpc: {ip}:0\n  advertise: {}\n  log: {}\n{contact}{SHORT_LEASE_SETTINGS}\
                 {extra_settings}",
                forwarder.address(),
                self.store_forwarder.address(),
            );
            let node = DaemonNode { process: None, forwarder, settings, http: None };
            self.nodes.insert(name.to_owned(), node);
        }
        self.start_daemon(name)
    }

    /// Starts an endpoint and its agent, or only the agent again if the endpoint exists. The run
    /// time of each task is multiplied by `slowdown`.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub async fn start_endpoint(
        &mut self,
        name: &str,
        slots: u32,
        slowdown: u32,
    ) -> Result<(), TestkitError> {
        self.start_endpoint_with_settings(name, slots, slowdown, "").await
    }

    /// Starts an endpoint and its agent with `extra_settings`, lines of YAML that are appended to the
    /// agent's settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub async fn start_endpoint_with_settings(
        &mut self,
        name: &str,
        slots: u32,
        slowdown: u32,
        extra_settings: &str,
    ) -> Result<(), TestkitError> {
        if !self.nodes.contains_key(name) {
            let ip = self.next_ip();
            let forwarder = Forwarder::start(ip).await?;
            let target = self.spawn_endpoint(name, ip, slowdown)?;
            let contact = self.contact();
            let settings = format!(
                "role: agent\nsite: loopback\nagent:\n  endpoint: {name}\n  rpc: {ip}:0\n  \
                 advertise: {}\n  target: {target}\n  contact: {contact}\n  slots: {slots}\n  \
                 queue: 2\n  cores: 8\n{SHORT_LEASE_SETTINGS}\
                 {extra_settings}",
                forwarder.address(),
            );
            let node = DaemonNode { process: None, forwarder, settings, http: None };
            self.nodes.insert(name.to_owned(), node);
        }
        self.start_daemon(name)
    }

    /// Returns the HTTP addresses of the running entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.values().filter(|node| node.process.is_some());
        running.filter_map(|node| node.http).collect()
    }

    /// Returns the HTTP address of an entry, even if it is not running.
    pub fn entry_address(&self, name: &str) -> Option<SocketAddr> {
        self.nodes.get(name)?.http
    }

    /// Returns whether `name` is the store or a daemon that was started, even if it is not running.
    pub fn contains(&self, name: &str) -> bool {
        name == STORE_NAME || self.nodes.contains_key(name)
    }

    /// Returns the process of a daemon, or `None` if it is unknown or not running.
    pub fn daemon_process(&mut self, name: &str) -> Option<&mut Process> {
        self.nodes.get_mut(name)?.process.as_mut()
    }

    /// Returns the process of a substitute endpoint, or `None` if it is unknown.
    pub fn endpoint_process(&mut self, name: &str) -> Option<&mut Process> {
        self.endpoints.get_mut(name)
    }

    /// Kills a daemon with `SIGKILL`.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut process) = self.nodes.get_mut(name).and_then(|node| node.process.take()) {
            process.kill();
        }
    }

    /// Stops a daemon with `SIGTERM` and waits until it has exited. Returns `false` if it is
    /// unknown or still runs after `limit`, and `true` at once if it is not running.
    pub async fn stop(&mut self, name: &str, limit: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let Some(node) = self.nodes.get_mut(name) else {
            return false;
        };
        let Some(process) = node.process.as_mut() else {
            return true;
        };
        process.terminate();
        let exit = async {
            while !process.has_exited() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let stopped = tokio::time::timeout(limit, exit).await.is_ok();
        if stopped {
            node.process = None;
        }
        stopped
    }

    /// Cuts the link between two processes in both directions, and has no effect if one of them is
    /// unknown.
    pub fn cut_link(&self, first: &str, second: &str) {
        self.for_both_directions(first, second, Forwarder::cut);
    }

    /// Restores the link between two processes in both directions.
    pub fn heal_link(&self, first: &str, second: &str) {
        self.for_both_directions(first, second, Forwarder::heal);
    }

    /// Returns the platform's store, to inject faults into it.
    pub fn store(&self) -> &PlatformStore {
        &self.store
    }

    /// Reads the starts and ends of tasks that all endpoints have recorded.
    pub fn ledger(&self) -> Ledger {
        Ledger::new(self.endpoints.keys().flat_map(|name| self.ledger_lines(name)))
    }

    /// Returns the number of starts that an endpoint has recorded.
    pub fn endpoint_starts(&self, name: &str) -> u32 {
        Ledger::new(self.ledger_lines(name)).total_starts()
    }

    fn ledger_lines(&self, name: &str) -> Vec<String> {
        let text = std::fs::read_to_string(self.path(&format!("{name}.ledger")));
        text.unwrap_or_default().lines().map(str::to_owned).collect()
    }

    /// Returns the logs of all daemons as one text, to be printed when a scenario fails.
    pub fn logs(&self) -> String {
        let mut logs = String::new();
        for name in self.nodes.keys() {
            let text = std::fs::read_to_string(self.path(&format!("{name}.log")));
            logs.push_str(&format!("--- {name}\n{}", text.unwrap_or_default()));
        }
        logs
    }

    /// Waits until each running entry is ready and lists at least `endpoints` usable endpoints.
    /// Returns `false` if this takes longer than `limit`.
    pub async fn wait_ready(&self, endpoints: usize, limit: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        let caller = Caller::new();
        let ready = async {
            for entry in self.entry_addresses() {
                while !is_ready(&caller, entry, endpoints).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(limit, ready).await.is_ok()
    }

    fn spawn_endpoint(
        &mut self,
        name: &str,
        ip: IpAddr,
        slowdown: u32,
    ) -> Result<SocketAddr, TestkitError> {
        let ledger = self.path(&format!("{name}.ledger"));
        let listen = format!("{ip}:0");
        let slowdown = slowdown.to_string();
        let ledger_text = ledger.to_string_lossy();
        let args =
            ["endpoint", "--listen", &listen, "--ledger", &ledger_text, "--slowdown", &slowdown];
        let process = Process::start("cowslipwing-standin", &args, &self.path("endpoints.log"))?;
        let target = process.addresses()[0];
        self.endpoints.insert(name.to_owned(), process);
        Ok(target)
    }

    fn start_daemon(&mut self, name: &str) -> Result<(), TestkitError> {
        let log = self.path(&format!("{name}.log"));
        let path = self.path(&format!("{name}.yaml"));
        let node = self.nodes.get_mut(name).expect("the caller has inserted the node");
        std::fs::write(&path, &node.settings)
            .context(IoSnafu { what: "write the settings of a daemon" })?;
        let args = ["--settings", &path.to_string_lossy()];
        let process = Process::start("cowslipwingd", &args, &log)?;
        let addresses = process.addresses();
        node.forwarder.set_target(*addresses.last().expect("a started process has an address"));
        node.http = (addresses.len() > 1).then(|| addresses[0]);
        node.process = Some(process);
        Ok(())
    }

    fn contact(&self) -> String {
        let entry = self.nodes.values().find(|node| node.http.is_some());
        // No process listens on port 1: an agent that is started before any entry has no contact.
        entry.map_or("127.0.0.1:1".to_owned(), |node| node.forwarder.address().to_string())
    }

    fn for_both_directions<F>(&self, first: &str, second: &str, apply: F)
    where
        F: Fn(&Forwarder, IpAddr),
    {
        if let (Some(first), Some(second)) = (self.forwarder(first), self.forwarder(second)) {
            apply(first, second.address().ip());
            apply(second, first.address().ip());
        }
    }

    fn forwarder(&self, name: &str) -> Option<&Forwarder> {
        match name {
            STORE_NAME => Some(&self.store_forwarder),
            _ => self.nodes.get(name).map(|node| &node.forwarder),
        }
    }

    fn next_ip(&mut self) -> IpAddr {
        self.last_host += 1;
        loopback(self.last_host)
    }

    fn path(&self, file: &str) -> PathBuf {
        self.dir.path().join(file)
    }
}

fn loopback(host: u8) -> IpAddr {
    const LOOPBACK_SUBNET: u8 = 77;
    IpAddr::V4(Ipv4Addr::new(127, LOOPBACK_SUBNET, 0, host))
}

async fn is_ready(caller: &Caller, entry: SocketAddr, endpoints: usize) -> bool {
    let is_success = |reply: &Reply| reply.status == 200;
    if !caller.get(entry, "/ready").await.as_ref().is_some_and(is_success) {
        return false;
    }
    let Some(reply) = caller.get(entry, "/v1/endpoints").await else {
        return false;
    };
    let list: cowslipwing_proto::EndpointList =
        serde_json::from_str(&reply.body).unwrap_or_default();
    list.endpoints.iter().filter(|endpoint| endpoint.usable && !endpoint.withdrawn).count()
        >= endpoints
}
