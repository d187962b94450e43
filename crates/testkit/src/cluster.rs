//! Daemons and stand-ins on loopback, each at an address of its own.

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

/// Name of the store in scenarios.
const STORE: &str = "store";
/// Last byte of the store's address.
const STORE_IP: u8 = 1;
/// Settings that let scenarios run in seconds.
const FAST_LEASE: &str = "lease:\n  length: 500ms\n  skew: 50ms\n  retention: 60s\n  \
                          ageless_retention: 120s\n  suspect_after: 1s\n  log_absence: 20s\n";

/// A daemon and the forwarder before it.
#[derive(Debug)]
struct Node {
    process: Option<Process>,
    forwarder: Forwarder,
    settings: String,
    /// Address for callers, where it has one.
    http: Option<SocketAddr>,
}

/// A running set of processes; dropping it ends them all.
#[derive(Debug)]
pub struct Cluster {
    dir: TempDir,
    store: PlatformStore,
    /// Stands before the store.
    store_forwarder: Forwarder,
    nodes: BTreeMap<String, Node>,
    endpoints: BTreeMap<String, Process>,
    last_ip: u8,
}

impl Cluster {
    /// Starts the platform's store and nothing else.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in cannot be started.
    pub async fn start() -> Result<Self, TestkitError> {
        let dir = TempDir::new().context(IoSnafu { what: "make a directory" })?;
        let ip = loopback(STORE_IP);
        let listener = TcpListener::bind((ip, 0)).await;
        let listener = listener.context(IoSnafu { what: "bind the store" })?;
        let address = listener.local_addr().context(IoSnafu { what: "bind the store" })?;
        let store_forwarder = Forwarder::start(ip).await?;
        store_forwarder.set_target(address);
        Ok(Self {
            dir,
            store: PlatformStore::start(listener),
            store_forwarder,
            nodes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            last_ip: STORE_IP,
        })
    }

    /// Starts an entry, or starts it anew.
    ///
    /// # Errors
    ///
    /// Fails where the daemon cannot be started.
    pub async fn start_entry(&mut self, name: &str) -> Result<(), TestkitError> {
        self.start_entry_with_settings(name, "").await
    }

    /// Starts an entry with more settings, or starts it anew.
    ///
    /// # Errors
    ///
    /// Fails where the daemon cannot be started.
    pub async fn start_entry_with_settings(
        &mut self,
        name: &str,
        more: &str,
    ) -> Result<(), TestkitError> {
        if !self.nodes.contains_key(name) {
            let ip = self.next_ip();
            let forwarder = Forwarder::start(ip).await?;
            let contact = self.nodes.values().find(|node| node.http.is_some());
            let contact = contact
                .map_or(String::new(), |node| format!("  contact: {}\n", node.forwarder.address()));
            let settings = format!(
                "role: entry\nsite: loopback\nentry:\n  name: {name}\n  http: {ip}:0\n  \
                 rpc: {ip}:0\n  advertise: {}\n  log: {}\n{contact}{FAST_LEASE}{more}",
                forwarder.address(),
                self.store_forwarder.address(),
            );
            let node = Node { process: None, forwarder, settings, http: None };
            self.nodes.insert(name.to_owned(), node);
        }
        self.start_daemon(name)
    }

    /// Starts an endpoint and the agent beside it, or starts the agent anew.
    ///
    /// # Errors
    ///
    /// Fails where a process cannot be started.
    pub async fn start_endpoint(
        &mut self,
        name: &str,
        slots: u32,
        slowdown: u32,
    ) -> Result<(), TestkitError> {
        if !self.nodes.contains_key(name) {
            let ip = self.next_ip();
            let forwarder = Forwarder::start(ip).await?;
            let target = self.spawn_endpoint(name, ip, slowdown)?;
            let contact = self.contact();
            let settings = format!(
                "role: agent\nsite: loopback\nagent:\n  endpoint: {name}\n  rpc: {ip}:0\n  \
                 advertise: {}\n  target: {target}\n  contact: {contact}\n  slots: {slots}\n  \
                 queue: 2\n  cores: 8\n{FAST_LEASE}",
                forwarder.address(),
            );
            let node = Node { process: None, forwarder, settings, http: None };
            self.nodes.insert(name.to_owned(), node);
        }
        self.start_daemon(name)
    }

    /// Returns the HTTP addresses of the entries that run.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.values().filter(|node| node.process.is_some());
        running.filter_map(|node| node.http).collect()
    }

    /// Returns the HTTP address of an entry.
    pub fn entry_address(&self, name: &str) -> Option<SocketAddr> {
        self.nodes.get(name)?.http
    }

    /// Tells whether a daemon of the name exists.
    pub fn contains(&self, name: &str) -> bool {
        name == STORE || self.nodes.contains_key(name)
    }

    /// Returns the process of a daemon.
    pub fn daemon_process(&mut self, name: &str) -> Option<&mut Process> {
        self.nodes.get_mut(name)?.process.as_mut()
    }

    /// Returns the process of an endpoint's stand-in.
    pub fn endpoint_process(&mut self, name: &str) -> Option<&mut Process> {
        self.endpoints.get_mut(name)
    }

    /// Kills a daemon.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut process) = self.nodes.get_mut(name).and_then(|node| node.process.take()) {
            process.kill();
        }
    }

    /// Asks a daemon to stop and returns once it has; false where it does not in time.
    pub async fn stop(&mut self, name: &str, limit: Duration) -> bool {
        const LOOK_INTERVAL: Duration = Duration::from_millis(20);
        let Some(node) = self.nodes.get_mut(name) else {
            return false;
        };
        let Some(process) = node.process.as_mut() else {
            return true;
        };
        process.terminate();
        let ends = async {
            while !process.has_exited() {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        };
        let ended = tokio::time::timeout(limit, ends).await.is_ok();
        if ended {
            node.process = None;
        }
        ended
    }

    /// Cuts the links between two processes, in both directions.
    pub fn cut_link(&self, one: &str, other: &str) {
        self.between(one, other, Forwarder::cut);
    }

    /// Heals the links between two processes.
    pub fn heal_link(&self, one: &str, other: &str) {
        self.between(one, other, Forwarder::heal);
    }

    /// Returns the platform's store.
    pub fn store(&self) -> &PlatformStore {
        &self.store
    }

    /// Returns the starts and ends that the endpoints have recorded.
    pub fn ledger(&self) -> Ledger {
        Ledger::new(self.endpoints.keys().flat_map(|name| self.ledger_lines(name)))
    }

    /// Returns how many starts an endpoint has recorded.
    pub fn endpoint_starts(&self, name: &str) -> u32 {
        Ledger::new(self.ledger_lines(name)).total_starts()
    }

    fn ledger_lines(&self, name: &str) -> Vec<String> {
        let text = std::fs::read_to_string(self.path(&format!("{name}.ledger")));
        text.unwrap_or_default().lines().map(str::to_owned).collect()
    }

    /// Returns the logs of all processes, for a report.
    pub fn logs(&self) -> String {
        let mut logs = String::new();
        for name in self.nodes.keys() {
            let text = std::fs::read_to_string(self.path(&format!("{name}.log")));
            logs.push_str(&format!("--- {name}\n{}", text.unwrap_or_default()));
        }
        logs
    }

    /// Waits until each running entry is ready and knows a number of usable endpoints.
    pub async fn wait_ready(&self, endpoints: usize, limit: Duration) -> bool {
        const LOOK_INTERVAL: Duration = Duration::from_millis(50);
        let caller = Caller::new();
        let ready = async {
            for entry in self.entry_addresses() {
                while !is_ready(&caller, entry, endpoints).await {
                    tokio::time::sleep(LOOK_INTERVAL).await;
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
        let node = self.nodes.get_mut(name).expect("the node was just made");
        std::fs::write(&path, &node.settings).context(IoSnafu { what: "write settings" })?;
        let args = ["--settings", &path.to_string_lossy()];
        let process = Process::start("cowslipwingd", &args, &log)?;
        let addresses = process.addresses();
        node.forwarder.set_target(*addresses.last().expect("a daemon prints its addresses"));
        node.http = (addresses.len() > 1).then(|| addresses[0]);
        node.process = Some(process);
        Ok(())
    }

    fn contact(&self) -> String {
        let entry = self.nodes.values().find(|node| node.http.is_some());
        entry.map_or("127.0.0.1:1".to_owned(), |node| node.forwarder.address().to_string())
    }

    fn between<F>(&self, one: &str, other: &str, change: F)
    where
        F: Fn(&Forwarder, IpAddr),
    {
        if let (Some(one), Some(other)) = (self.forwarder(one), self.forwarder(other)) {
            change(one, other.address().ip());
            change(other, one.address().ip());
        }
    }

    fn forwarder(&self, name: &str) -> Option<&Forwarder> {
        match name {
            STORE => Some(&self.store_forwarder),
            _ => self.nodes.get(name).map(|node| &node.forwarder),
        }
    }

    fn next_ip(&mut self) -> IpAddr {
        self.last_ip += 1;
        loopback(self.last_ip)
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
    let is_ok = |reply: &Reply| reply.status == 200;
    if !caller.get(entry, "/ready").await.as_ref().is_some_and(is_ok) {
        return false;
    }
    let Some(reply) = caller.get(entry, "/v1/endpoints").await else {
        return false;
    };
    let list: cowslipwing_proto::EndpointList =
        serde_json::from_str(&reply.body).unwrap_or_default();
    list.endpoints.iter().filter(|found| found.usable && !found.withdrawn).count() >= endpoints
}
