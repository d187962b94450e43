//! Validates settings and fills in the defaults.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use cowslipwing_claims::KeyAgeLimits;
use cowslipwing_dispatch::DEFAULT_REMOTE_RUN_TIME_RATIO;
use cowslipwing_policy::JobLimits;
use cowslipwing_proto as proto;
use cowslipwing_types::{ByteSize, EndpointName, Site, parse_duration};
use snafu::{OptionExt, ensure};

use crate::error::{BadValueSnafu, MissingSnafu, SettingsError};
use crate::model::{
    AgentConfig, Config, EntryConfig, LeaseConfig, LimitConfig, PlatformAgentConfig,
    PlatformConfig, PlatformEntryConfig, Role, Telemetry, Traces,
};

/// Upper bound of `limits.tasks_per_job`, and its default.
const MAX_TASKS_PER_JOB: u32 = 1000;
/// Lower bound of `lease.length`; with shorter leases, renewals would take up most of the capacity.
const MIN_LEASE_LENGTH: Duration = Duration::from_millis(200);
/// Upper bound of `platform.remote_run_time_ratio`.
const MAX_REMOTE_RUN_TIME_RATIO: f64 = 100.0;
/// Upper bound of `limits.body` and `limits.answer`.
const MAX_MESSAGE_SIZE: ByteSize = ByteSize::new(64 << 20);
/// Lower bound of `limits.memory`; an idle process uses a third of it.
const MIN_MEMORY: ByteSize = ByteSize::new(32 << 20);
/// Bounds of `limits.head`. Each connection counts for its largest head.
const MIN_HEAD: ByteSize = ByteSize::new(1 << 10);
const MAX_HEAD: ByteSize = ByteSize::new(1 << 20);
/// Lower bound of `limits.descriptors`.
const MIN_DESCRIPTORS: u32 = 256;

type SettingsResult<T> = Result<T, SettingsError>;

impl TryFrom<proto::Settings> for Config {
    type Error = SettingsError;

    fn try_from(raw: proto::Settings) -> SettingsResult<Self> {
        let site: Site = parse_required("site", &raw.site, "the name of this data centre")?;
        let limits = validate_limits(raw.limits.unwrap_or_default())?;
        let platform = raw.platform;
        let role = match raw.role.as_str() {
            "entry" if platform.is_some() => {
                let platform = platform.unwrap_or_default();
                Role::PlatformEntry(validate_platform_entry(&site, limits, &platform)?)
            }
            "agent" if platform.is_some() => {
                let platform = platform.unwrap_or_default();
                Role::PlatformAgent(validate_platform_agent(&site, limits, &platform)?)
            }
            "entry" => Role::Entry(validate_entry(raw.entry.unwrap_or_default())?),
            "agent" => Role::Agent(validate_agent(raw.agent.unwrap_or_default())?),
            "" => return MissingSnafu { key: "role", remedy: "entry or agent" }.fail(),
            other => return invalid_value("role", other, "set it to entry or agent"),
        };
        Ok(Self {
            site,
            role,
            limits,
            lease: validate_lease(raw.lease.unwrap_or_default())?,
            telemetry: validate_telemetry(raw.telemetry.unwrap_or_default())?,
        })
    }
}

fn validate_entry(raw: proto::EntrySettings) -> SettingsResult<EntryConfig> {
    let name: EndpointName =
        parse_required("entry.name", &raw.name, "a name that no other entry has")?;
    let http = parse_address("entry.http", &raw.http)?;
    let rpc = parse_address("entry.rpc", &raw.rpc)?;
    reject_shared_address(&[("entry.http", http), ("entry.rpc", rpc)])?;
    Ok(EntryConfig {
        name: name.to_string(),
        http,
        rpc,
        log: parse_address("entry.log", &raw.log)?,
        contact: parse_optional_address("entry.contact", &raw.contact)?,
        advertise: parse_optional_address("entry.advertise", &raw.advertise)?,
    })
}

fn validate_agent(raw: proto::AgentSettings) -> SettingsResult<AgentConfig> {
    Ok(AgentConfig {
        endpoint: parse_required(
            "agent.endpoint",
            &raw.endpoint,
            "a name that no other endpoint has",
        )?,
        rpc: parse_address("agent.rpc", &raw.rpc)?,
        target: parse_address("agent.target", &raw.target)?,
        contact: parse_address("agent.contact", &raw.contact)?,
        slots: count_or_default("agent.slots", raw.slots, 1)?,
        queue: raw.queue,
        cores: count_or_default("agent.cores", raw.cores, 1)?,
        memory_mb: count_or_default("agent.memory_mb", raw.memory_mb, 1024)?,
        advertise: parse_optional_address("agent.advertise", &raw.advertise)?,
    })
}

fn validate_platform_entry(
    site: &Site,
    limits: LimitConfig,
    raw: &proto::PlatformSettings,
) -> SettingsResult<PlatformEntryConfig> {
    let common = validate_platform(site, limits, raw)?;
    let advertise = parse_optional_address("platform.advertise", &raw.advertise)?;
    let callers = parse_address("platform.callers", &raw.callers)?;
    let ready = parse_address("platform.ready", &raw.ready)?;
    let peers = SocketAddr::new(common.ip, common.peer_port);
    let mut listeners = vec![
        ("platform.callers", callers),
        ("platform.ready", ready),
        ("platform.peer_port", peers),
    ];
    listeners.extend(metrics_listener(&common));
    reject_shared_address(&listeners)?;
    Ok(PlatformEntryConfig { advertise: advertise.unwrap_or(peers), common, callers, ready })
}

fn validate_platform_agent(
    site: &Site,
    limits: LimitConfig,
    raw: &proto::PlatformSettings,
) -> SettingsResult<PlatformAgentConfig> {
    let common = validate_platform(site, limits, raw)?;
    let announcements = parse_address("platform.announcements", &raw.announcements)?;
    let mut listeners = vec![("platform.announcements", announcements)];
    listeners.extend(metrics_listener(&common));
    reject_shared_address(&listeners)?;
    let endpoint = parse_address("platform.endpoint", &raw.endpoint)?;
    Ok(PlatformAgentConfig { common, announcements, endpoint })
}

fn metrics_listener(common: &PlatformConfig) -> Option<(&'static str, SocketAddr)> {
    let port = common.metrics_port?;
    Some(("platform.metrics_port", SocketAddr::new(common.ip, port)))
}

/// Rejects two listeners with the same address. Port 0 stands for any free port.
fn reject_shared_address(listeners: &[(&'static str, SocketAddr)]) -> SettingsResult<()> {
    for (index, (key, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..index].iter().find(|(_, other)| other == address);
        if let Some((other, _)) = earlier.filter(|_| address.port() != 0) {
            return invalid_value(key, address, format!("{other} has it too; use another port"));
        }
    }
    Ok(())
}

fn validate_platform(
    site: &Site,
    limits: LimitConfig,
    raw: &proto::PlatformSettings,
) -> SettingsResult<PlatformConfig> {
    let remedy = "the port on which entries listen for agents and other entries";
    let peer_port = optional_port("platform.peer_port", raw.peer_port)?;
    let peer_port = peer_port.context(MissingSnafu { key: "platform.peer_port", remedy })?;
    let seeds: SettingsResult<Vec<SocketAddr>> =
        raw.seeds.iter().map(|seed| parse_address("platform.seeds", seed)).collect();
    Ok(PlatformConfig {
        node: parse_required("platform.node", &raw.node, "a name that no other VM has")?,
        ip: parse_required("platform.ip", &raw.ip, "the IP address of this VM")?,
        seeds: seeds?.into_iter().map(|seed| SocketAddr::new(seed.ip(), peer_port)).collect(),
        peer_port,
        metrics_port: optional_port("platform.metrics_port", raw.metrics_port)?,
        store: parse_address("platform.store", &raw.store)?,
        longest_lease: duration_or_default("platform.longest_lease", &raw.longest_lease, "1s")?,
        stop_grace: duration_or_default("platform.stop_grace", &raw.stop_grace, "6s")?,
        site: site.clone(),
        limits,
        remote_run_time_ratio: remote_run_time_ratio(raw.remote_run_time_ratio)?,
    })
}

/// Returns the validated ratio, or the default if it is 0. An absent key is read as 0.
fn remote_run_time_ratio(given: f64) -> SettingsResult<f64> {
    if given == 0.0 {
        return Ok(DEFAULT_REMOTE_RUN_TIME_RATIO);
    }
    if !(1.0..=MAX_REMOTE_RUN_TIME_RATIO).contains(&given) {
        let key = "platform.remote_run_time_ratio";
        return invalid_value(key, given, "give 1 to 100");
    }
    Ok(given)
}

/// Returns a port, or `None` if it is 0. An absent key is read as 0.
fn optional_port(key: &'static str, given: u32) -> SettingsResult<Option<u16>> {
    match u16::try_from(given) {
        Ok(0) => Ok(None),
        Ok(port) => Ok(Some(port)),
        Err(_) => invalid_value(key, given, "give a port below 65536"),
    }
}

fn validate_limits(raw: proto::LimitSettings) -> SettingsResult<LimitConfig> {
    let tasks_per_job =
        count_or_default("limits.tasks_per_job", raw.tasks_per_job, MAX_TASKS_PER_JOB)?;
    if tasks_per_job > MAX_TASKS_PER_JOB {
        return invalid_value("limits.tasks_per_job", tasks_per_job, "give 1 to 1000");
    }
    let open_jobs = count_or_default("limits.open_jobs", raw.open_jobs, 10_000)?;
    let memory = parse_size("limits.memory", &raw.memory, "256MiB")?;
    if memory < MIN_MEMORY {
        return invalid_value("limits.memory", memory, format!("give at least {MIN_MEMORY}"));
    }
    if (1..MIN_DESCRIPTORS).contains(&raw.descriptors) {
        let remedy = format!("give at least {MIN_DESCRIPTORS}");
        return invalid_value("limits.descriptors", raw.descriptors, remedy);
    }
    Ok(LimitConfig {
        memory,
        descriptors: (raw.descriptors > 0).then_some(raw.descriptors),
        head: validate_head(&raw.head)?,
        header_timeout: duration_or_default("limits.header_timeout", &raw.header_timeout, "3s")?,
        idle_timeout: duration_or_default("limits.idle_timeout", &raw.idle_timeout, "15s")?,
        min_rate: size_or_default("limits.min_rate", &raw.min_rate, "1KiB")?,
        payload: size_or_default("limits.payload", &raw.payload, "4000B")?,
        label: size_or_default("limits.label", &raw.label, "256B")?,
        body: size_or_default("limits.body", &raw.body, "4MiB")?,
        answer: size_or_default("limits.answer", &raw.answer, "64KiB")?,
        connections: count_or_default("limits.connections", raw.connections, 1024)?,
        jobs: JobLimits { tasks_per_job, open_jobs, open_memory: open_job_memory(memory) },
    })
}

/// Returns the part of the memory that the submissions of open jobs may take up. Of the rest, 60% are
/// for connections.
fn open_job_memory(memory: ByteSize) -> ByteSize {
    const PERCENT: u64 = 15;
    ByteSize::new(memory.bytes() / 100 * PERCENT)
}

fn validate_head(text: &str) -> SettingsResult<ByteSize> {
    let head = size_or_default("limits.head", text, "16KiB")?;
    if !(MIN_HEAD..=MAX_HEAD).contains(&head) {
        return invalid_value("limits.head", head, format!("give {MIN_HEAD} to {MAX_HEAD}"));
    }
    Ok(head)
}

fn validate_lease(raw: proto::LeaseSettings) -> SettingsResult<LeaseConfig> {
    let length = duration_or_default("lease.length", &raw.length, "2s")?;
    if length < MIN_LEASE_LENGTH {
        return invalid_value("lease.length", raw.length, "give 200ms or more");
    }
    let suspect_after = duration_or_default("lease.suspect_after", &raw.suspect_after, "3s")?;
    if suspect_after < length {
        let remedy = "give at least lease.length; with less, a live owner could be replaced";
        return invalid_value("lease.suspect_after", raw.suspect_after, remedy);
    }
    let ages = KeyAgeLimits {
        skew: duration_or_default("lease.skew", &raw.skew, "500ms")?,
        retention: duration_or_default("lease.retention", &raw.retention, "10m")?,
        ageless_retention: duration_or_default(
            "lease.ageless_retention",
            &raw.ageless_retention,
            "1h",
        )?,
    };
    if ages.ageless_retention < ages.retention {
        let remedy = "give at least lease.retention";
        return invalid_value("lease.ageless_retention", raw.ageless_retention, remedy);
    }
    let log_absence = duration_or_default("lease.log_absence", &raw.log_absence, "1h")?;
    Ok(LeaseConfig { length, suspect_after, log_absence, ages })
}

fn validate_telemetry(raw: proto::TelemetrySettings) -> SettingsResult<Telemetry> {
    let metrics = match raw.metrics.as_str() {
        "" | "off" => None,
        text => match text.strip_prefix("udp:") {
            Some(rest) => Some(parse_address("telemetry.metrics", rest)?),
            None => return invalid_value("telemetry.metrics", text, "give off or udp:IP:PORT"),
        },
    };
    let log = if raw.log.is_empty() { "info".to_owned() } else { raw.log };
    validate_log_levels(&log)?;
    Ok(Telemetry { traces: parse_traces(&raw.traces)?, metrics, log })
}

/// Validates a list of levels, separated by commas, each for all targets or as `TARGET=LEVEL`.
fn validate_log_levels(text: &str) -> SettingsResult<()> {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    const TARGET_PREFIX: &str = "cowslipwing";
    for part in text.split(',').map(str::trim) {
        let (target, level) = part.split_once('=').unwrap_or((TARGET_PREFIX, part));
        if !LEVELS.contains(&level.trim().to_ascii_lowercase().as_str()) {
            let remedy = format!("give one of the levels {}", LEVELS.join(", "));
            return invalid_value("telemetry.log", text, remedy);
        }
        if !target.trim().starts_with(TARGET_PREFIX) {
            let remedy = "name a crate of this project, such as cowslipwing_node=debug";
            return invalid_value("telemetry.log", text, remedy);
        }
    }
    Ok(())
}

fn parse_traces(text: &str) -> SettingsResult<Traces> {
    match text {
        "off" => return Ok(Traces::Off),
        "" | "stdout" => return Ok(Traces::Stdout),
        _ => {}
    }
    if let Some(path) = text.strip_prefix("file:") {
        return Ok(Traces::File(path.into()));
    }
    match text.strip_prefix("otlp:") {
        Some(rest) => Ok(Traces::Otlp(parse_address("telemetry.traces", rest)?)),
        None => {
            invalid_value("telemetry.traces", text, "give off, stdout, file:PATH or otlp:IP:PORT")
        }
    }
}

/// Fails with [`SettingsError::BadValue`].
fn invalid_value<T, V, R>(key: &'static str, value: V, remedy: R) -> SettingsResult<T>
where
    V: Display,
    R: Display,
{
    BadValueSnafu { key, value: value.to_string(), remedy: remedy.to_string() }.fail()
}

/// Parses the value of a required key.
fn parse_required<T>(key: &'static str, text: &str, remedy: &'static str) -> SettingsResult<T>
where
    T: FromStr,
    T::Err: Display,
{
    ensure!(!text.is_empty(), MissingSnafu { key, remedy });
    text.parse().or_else(|error: T::Err| invalid_value(key, text, error))
}

fn parse_address(key: &'static str, text: &str) -> SettingsResult<SocketAddr> {
    let socket: Option<SocketAddr> = text.parse().ok();
    ensure!(!text.is_empty(), MissingSnafu { key, remedy: "an address as IP:PORT" });
    socket.context(BadValueSnafu { key, value: text, remedy: "write it as IP:PORT" })
}

fn parse_optional_address(key: &'static str, text: &str) -> SettingsResult<Option<SocketAddr>> {
    if text.is_empty() { Ok(None) } else { parse_address(key, text).map(Some) }
}

/// Returns a count, or the default if the count is 0. An absent key is read as 0.
fn count_or_default(key: &'static str, given: u32, default: u32) -> SettingsResult<u32> {
    const MAX_COUNT: u32 = 1 << 24;
    match given {
        0 => Ok(default),
        1..=MAX_COUNT => Ok(given),
        _ => invalid_value(key, given, format!("give at most {MAX_COUNT}")),
    }
}

/// Parses a duration greater than zero, using the default if the text is empty.
fn duration_or_default(key: &'static str, text: &str, default: &str) -> SettingsResult<Duration> {
    let text = if text.is_empty() { default } else { text };
    let value = parse_duration(text).or_else(|error| invalid_value(key, text, error))?;
    if value.is_zero() { invalid_value(key, text, "give more than 0s") } else { Ok(value) }
}

/// Parses a size from 1 B to [`MAX_MESSAGE_SIZE`], using the default if the text is empty.
fn size_or_default(key: &'static str, text: &str, default: &str) -> SettingsResult<ByteSize> {
    let value = parse_size(key, text, default)?;
    if value.bytes() == 0 || value > MAX_MESSAGE_SIZE {
        return invalid_value(key, text, format!("give 1B to {MAX_MESSAGE_SIZE}"));
    }
    Ok(value)
}

/// Parses a size, using the default if the text is empty.
fn parse_size(key: &'static str, text: &str, default: &str) -> SettingsResult<ByteSize> {
    let text = if text.is_empty() { default } else { text };
    text.parse().or_else(|error| invalid_value(key, text, error))
}
