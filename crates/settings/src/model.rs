//! Checked settings.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use cowslipwing_claims::KeyAgeLimits;
use cowslipwing_policy::JobLimits;
use cowslipwing_proto as proto;
use cowslipwing_types::{ByteSize, EndpointName, Site};
use snafu::ResultExt;

use crate::error::{MalformedSnafu, SettingsError, UnreadableSnafu};

/// Everything a daemon needs to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// Data centre of this process.
    pub site: Site,
    /// What this process does.
    pub role: Role,
    /// Limits on what callers send.
    pub limits: LimitConfig,
    /// Times that leases and keys go by.
    pub lease: LeaseConfig,
    /// Logs, metrics and traces.
    pub telemetry: Telemetry,
}

/// What a process does.
#[derive(Clone, Debug)]
pub enum Role {
    /// Takes submissions.
    Entry(EntryConfig),
    /// Runs tasks beside an endpoint.
    Agent(AgentConfig),
    /// Takes submissions on the platform.
    PlatformEntry(PlatformEntryConfig),
    /// Runs tasks beside an endpoint of the platform.
    PlatformAgent(PlatformAgentConfig),
}

/// Settings of a process on the platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Name of this VM.
    pub node: EndpointName,
    /// Address of this VM.
    pub ip: IpAddr,
    /// Addresses of some entries for agents and other entries.
    pub seeds: Vec<SocketAddr>,
    /// Port of entries for agents and other entries.
    pub peer_port: u16,
    /// Port on which metrics are served.
    pub metrics_port: Option<u16>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Longest lease that an endpoint grants.
    pub longest_lease: Duration,
    /// Time between the signal to stop and the end of the process.
    pub stop_grace: Duration,
}

/// Settings of an entry on the platform.
#[derive(Clone, Debug)]
pub struct PlatformEntryConfig {
    /// What every process has.
    pub common: PlatformConfig,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the platform asks whether it is ready.
    pub ready: SocketAddr,
    /// Address under which agents and other entries reach this one.
    pub advertise: SocketAddr,
}

/// Settings of an agent on the platform.
#[derive(Clone, Debug)]
pub struct PlatformAgentConfig {
    /// What every process has.
    pub common: PlatformConfig,
    /// Address at which its endpoint announces itself.
    pub announcements: SocketAddr,
    /// Address of its endpoint.
    pub endpoint: SocketAddr,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Stable name.
    pub name: String,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for peers and agents.
    pub rpc: SocketAddr,
    /// Address of the platform's store, which keeps the log of decisions.
    pub log: SocketAddr,
    /// Address of the balancer before the entries.
    pub contact: Option<SocketAddr>,
    /// Address under which others reach `rpc`, where it is another one.
    pub advertise: Option<SocketAddr>,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The endpoint's name.
    pub endpoint: EndpointName,
    /// Address for entries.
    pub rpc: SocketAddr,
    /// Address of the endpoint.
    pub target: SocketAddr,
    /// Address of an entry or of the balancer before them.
    pub contact: SocketAddr,
    /// Tasks run at once.
    pub slots: u32,
    /// Tasks that may wait beside the running ones.
    pub queue: u32,
    /// Processor cores of the endpoint.
    pub cores: u32,
    /// Memory of the endpoint in MB.
    pub memory_mb: u32,
    /// Address under which others reach `rpc`, where it is another one.
    pub advertise: Option<SocketAddr>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    /// Size of a request's body.
    pub body: ByteSize,
    /// Size of the answer of one task.
    pub answer: ByteSize,
    /// Requests in flight.
    pub connections: u32,
    /// Limits of jobs.
    pub jobs: JobLimits,
}

/// Times that leases and keys go by.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// Length of a lease.
    pub length: Duration,
    /// Silence after which a peer counts as gone.
    pub suspect_after: Duration,
    /// Time an entry may vote without having read the log.
    pub log_absence: Duration,
    /// Bounds on the age of keys.
    pub ages: KeyAgeLimits,
}

/// Logs, metrics and traces.
#[derive(Clone, Debug)]
pub struct Telemetry {
    /// Where spans go.
    pub traces: Traces,
    /// Address of a statsd server.
    pub metrics: Option<SocketAddr>,
    /// Level of the log.
    pub log: String,
}

/// Where spans go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Traces {
    /// Nowhere.
    Off,
    /// To standard output.
    Stdout,
    /// To a file.
    File(PathBuf),
    /// To an OTLP collector.
    Otlp(SocketAddr),
}

impl Config {
    /// Reads and checks a file of settings.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read or a value cannot be used.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Reads and checks the text of settings.
    ///
    /// # Errors
    ///
    /// Fails where a value cannot be used.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_settings::Config;
    ///
    /// let text = "
    /// role: agent
    /// site: athens
    /// agent:
    ///   endpoint: wall-1
    ///   rpc: 127.0.0.1:7101
    ///   target: 127.0.0.1:7201
    ///   contact: 127.0.0.1:7001
    ///   slots: 8
    /// ";
    /// assert!(Config::parse(text).is_ok());
    /// let error = Config::parse("role: agent\nsite: athens\ncolour: red").unwrap_err();
    /// assert!(error.to_string().contains("colour"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: proto::Settings = serde_yaml_ng::from_str(text).context(MalformedSnafu)?;
        Self::try_from(raw)
    }
}
