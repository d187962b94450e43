//! Validated settings.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use cowslipwing_claims::KeyAgeLimits;
use cowslipwing_policy::JobLimits;
use cowslipwing_proto as proto;
use cowslipwing_types::{ByteSize, EndpointName, Site};
use snafu::ResultExt;

use crate::counts::reject_zero_counts;
use crate::error::{MalformedSnafu, SettingsError, UnreadableSnafu};

/// The settings of one daemon process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The data centre in which the process runs.
    pub site: Site,
    /// The role of the process, with the settings of that role.
    pub role: Role,
    /// Limits on requests, answers and jobs.
    pub limits: LimitConfig,
    /// Durations of leases and retention periods.
    pub lease: LeaseConfig,
    /// Destinations of logs, metrics and traces.
    pub telemetry: Telemetry,
}

/// The role of a process.
#[derive(Clone, Debug)]
pub enum Role {
    /// Accepts jobs from callers.
    Entry(EntryConfig),
    /// Runs tasks on the endpoint next to it.
    Agent(AgentConfig),
    /// Accepts jobs from callers, on a VM of the platform.
    PlatformEntry(PlatformEntryConfig),
    /// Runs tasks on the endpoint next to it, on a VM of the platform.
    PlatformAgent(PlatformAgentConfig),
}

/// Settings that entries and agents on the platform share.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The name of the VM.
    pub node: EndpointName,
    /// The IP address of the VM.
    pub ip: IpAddr,
    /// The peer addresses of some entries, used while the store cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// The port on which entries listen for agents and other entries.
    pub peer_port: u16,
    /// The port on which metrics are served; `None` disables them.
    pub metrics_port: Option<u16>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The longest lease that an endpoint grants to its agent.
    pub longest_lease: Duration,
    /// The grace period: the time between the stop signal and the forced end of the process.
    pub stop_grace: Duration,
    /// The data centre of the VM.
    pub site: Site,
    /// Limits on what the process and its clients may use.
    pub limits: LimitConfig,
    /// The run time of a task whose data is on another rack, relative to the same rack.
    pub remote_run_time_ratio: f64,
}

/// Settings of an entry on the platform.
#[derive(Clone, Debug)]
pub struct PlatformEntryConfig {
    /// Settings shared with agents.
    pub common: PlatformConfig,
    /// The address on which to listen for callers.
    pub callers: SocketAddr,
    /// The address on which to serve readiness checks of the platform.
    pub ready: SocketAddr,
    /// The address under which agents and other entries reach this entry.
    pub advertise: SocketAddr,
}

/// Settings of an agent on the platform.
#[derive(Clone, Debug)]
pub struct PlatformAgentConfig {
    /// Settings shared with entries.
    pub common: PlatformConfig,
    /// The address on which to listen for announcements of the endpoint.
    pub announcements: SocketAddr,
    /// The address of the endpoint.
    pub endpoint: SocketAddr,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The name of the entry, which stays the same across restarts.
    pub name: String,
    /// The address on which to listen for callers.
    pub http: SocketAddr,
    /// The address on which to listen for agents and other entries.
    pub rpc: SocketAddr,
    /// The address of the platform's store, which holds the log of decisions.
    pub log: SocketAddr,
    /// The address of the load balancer in front of the entries, asked for the state while the log
    /// is unavailable.
    pub contact: Option<SocketAddr>,
    /// The address under which other processes reach `rpc`, if it differs from `rpc`.
    pub advertise: Option<SocketAddr>,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The name under which the endpoint is announced.
    pub endpoint: EndpointName,
    /// The address on which to listen for entries.
    pub rpc: SocketAddr,
    /// The address of the endpoint's HTTP service.
    pub target: SocketAddr,
    /// The address of an entry or of the load balancer in front of the entries.
    pub contact: SocketAddr,
    /// The number of tasks that the endpoint runs concurrently.
    pub slots: u32,
    /// The number of tasks that may be queued at the agent in addition to the running ones.
    pub queue: u32,
    /// The number of processor cores of the endpoint.
    pub cores: u32,
    /// The memory of the endpoint, in MB.
    pub memory_mb: u32,
    /// The address under which other processes reach `rpc`, if it differs from `rpc`.
    pub advertise: Option<SocketAddr>,
}

/// Limits on requests, answers and jobs.
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    /// The maximum size of a request body.
    pub body: ByteSize,
    /// The maximum size of the endpoint's answer for one task.
    pub answer: ByteSize,
    /// The maximum number of concurrent requests.
    pub connections: u32,
    /// The memory that the process may use.
    pub memory: ByteSize,
    /// The number of descriptors that the process may open; `None` stands for the limit that the
    /// operating system sets.
    pub descriptors: Option<u32>,
    /// The maximum size of a request's head.
    pub head: ByteSize,
    /// The time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// The time without progress after which a connection is closed.
    pub idle_timeout: Duration,
    /// The amount per second below which a request makes room for others.
    pub min_rate: ByteSize,
    /// The maximum size of the payload that a caller of the platform gives all tasks of a job.
    pub payload: ByteSize,
    /// The maximum size of a label or rack that a step names.
    pub label: ByteSize,
    /// Limits on the number of tasks of a job and on the number of open jobs.
    pub jobs: JobLimits,
}

/// Durations of leases and retention periods.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// The duration of a lease, counted from the time at which its confirmation was requested.
    pub length: Duration,
    /// The time without a message after which a peer is considered failed.
    pub suspect_after: Duration,
    /// The time for which an entry may confirm leases of others after it last read the log.
    pub log_absence: Duration,
    /// Limits on the age of job keys, and the clock skew that they allow for.
    pub ages: KeyAgeLimits,
}

/// Destinations of logs, metrics and traces.
#[derive(Clone, Debug)]
pub struct Telemetry {
    /// The destination of trace spans.
    pub traces: Traces,
    /// The UDP address of a statsd server; `None` disables metrics.
    pub metrics: Option<SocketAddr>,
    /// The log level, such as `info`.
    pub log: String,
}

/// The destination of trace spans.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Traces {
    /// Spans are discarded.
    Off,
    /// Standard output.
    Stdout,
    /// A file.
    File(PathBuf),
    /// An OTLP collector at this address.
    Otlp(SocketAddr),
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or the settings are invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid YAML, or if a key is unknown, missing or has an
    /// invalid value.
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
        reject_zero_counts(text)?;
        Self::try_from(raw)
    }
}
