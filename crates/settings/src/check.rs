//! Checks each value and fills in the defaults.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use cowslipwing_claims::KeyAgeLimits;
use cowslipwing_policy::JobLimits;
use cowslipwing_proto as proto;
use cowslipwing_types::{ByteSize, EndpointName, parse_duration};
use snafu::{OptionExt, ensure};

use crate::error::{BadValueSnafu, MissingSnafu, SettingsError};
use crate::model::{
    AgentConfig, Config, EntryConfig, LeaseConfig, LimitConfig, PlatformAgentConfig,
    PlatformConfig, PlatformEntryConfig, Role, Telemetry, Traces,
};

/// Most tasks that a job may have.
const MAX_TASKS_PER_JOB: u32 = 1000;
/// Shortest lease; below it, renewals crowd out the work.
const MIN_LEASE: Duration = Duration::from_millis(200);
/// Largest body that is taken.
const MAX_BODY: ByteSize = ByteSize::new(64 << 20);

type Checked<T> = Result<T, SettingsError>;

impl TryFrom<proto::Settings> for Config {
    type Error = SettingsError;

    fn try_from(raw: proto::Settings) -> Checked<Self> {
        let site = read("site", &raw.site, "the name of this data centre")?;
        let platform = raw.platform;
        let role = match raw.role.as_str() {
            "entry" if platform.is_some() => {
                Role::PlatformEntry(check_platform_entry(&platform.unwrap_or_default())?)
            }
            "agent" if platform.is_some() => {
                Role::PlatformAgent(check_platform_agent(&platform.unwrap_or_default())?)
            }
            "entry" => Role::Entry(check_entry(raw.entry.unwrap_or_default())?),
            "agent" => Role::Agent(check_agent(raw.agent.unwrap_or_default())?),
            "" => return MissingSnafu { key: "role", remedy: "entry or agent" }.fail(),
            other => return bad("role", other, "set it to entry or agent"),
        };
        Ok(Self {
            site,
            role,
            limits: check_limits(raw.limits.unwrap_or_default())?,
            lease: check_lease(raw.lease.unwrap_or_default())?,
            telemetry: check_telemetry(raw.telemetry.unwrap_or_default())?,
        })
    }
}

fn check_entry(raw: proto::EntrySettings) -> Checked<EntryConfig> {
    let name: EndpointName = read("entry.name", &raw.name, "a name that no other entry has")?;
    Ok(EntryConfig {
        name: name.to_string(),
        http: address("entry.http", &raw.http)?,
        rpc: address("entry.rpc", &raw.rpc)?,
        log: address("entry.log", &raw.log)?,
        contact: optional_address("entry.contact", &raw.contact)?,
        advertise: optional_address("entry.advertise", &raw.advertise)?,
    })
}

fn check_agent(raw: proto::AgentSettings) -> Checked<AgentConfig> {
    Ok(AgentConfig {
        endpoint: read("agent.endpoint", &raw.endpoint, "a name that no other endpoint has")?,
        rpc: address("agent.rpc", &raw.rpc)?,
        target: address("agent.target", &raw.target)?,
        contact: address("agent.contact", &raw.contact)?,
        slots: count("agent.slots", raw.slots, 1)?,
        queue: raw.queue,
        cores: count("agent.cores", raw.cores, 1)?,
        memory_mb: count("agent.memory_mb", raw.memory_mb, 1024)?,
        advertise: optional_address("agent.advertise", &raw.advertise)?,
    })
}

fn check_platform_entry(raw: &proto::PlatformSettings) -> Checked<PlatformEntryConfig> {
    let common = check_platform(raw)?;
    let advertise = optional_address("platform.advertise", &raw.advertise)?;
    Ok(PlatformEntryConfig {
        advertise: advertise.unwrap_or(SocketAddr::new(common.ip, common.peer_port)),
        common,
        callers: address("platform.callers", &raw.callers)?,
        ready: address("platform.ready", &raw.ready)?,
    })
}

fn check_platform_agent(raw: &proto::PlatformSettings) -> Checked<PlatformAgentConfig> {
    Ok(PlatformAgentConfig {
        common: check_platform(raw)?,
        announcements: address("platform.announcements", &raw.announcements)?,
        endpoint: address("platform.endpoint", &raw.endpoint)?,
    })
}

fn check_platform(raw: &proto::PlatformSettings) -> Checked<PlatformConfig> {
    let remedy = "the port of entries for agents";
    let peer_port = port("platform.peer_port", raw.peer_port)?;
    let peer_port = peer_port.context(MissingSnafu { key: "platform.peer_port", remedy })?;
    let seeds: Checked<Vec<SocketAddr>> =
        raw.seeds.iter().map(|seed| address("platform.seeds", seed)).collect();
    Ok(PlatformConfig {
        node: read("platform.node", &raw.node, "a name that no other VM has")?,
        ip: read("platform.ip", &raw.ip, "the address of this VM")?,
        seeds: seeds?.into_iter().map(|seed| SocketAddr::new(seed.ip(), peer_port)).collect(),
        peer_port,
        metrics_port: port("platform.metrics_port", raw.metrics_port)?,
        store: address("platform.store", &raw.store)?,
        longest_lease: duration("platform.longest_lease", &raw.longest_lease, "1s")?,
        stop_grace: duration("platform.stop_grace", &raw.stop_grace, "6s")?,
    })
}

fn port(key: &'static str, given: u32) -> Checked<Option<u16>> {
    match u16::try_from(given) {
        Ok(0) => Ok(None),
        Ok(port) => Ok(Some(port)),
        Err(_) => bad(key, given, "give a port below 65536"),
    }
}

fn check_limits(raw: proto::LimitSettings) -> Checked<LimitConfig> {
    let tasks_per_job = count("limits.tasks_per_job", raw.tasks_per_job, MAX_TASKS_PER_JOB)?;
    if tasks_per_job > MAX_TASKS_PER_JOB {
        return bad("limits.tasks_per_job", tasks_per_job, "give 1 to 1000");
    }
    let open_jobs = count("limits.open_jobs", raw.open_jobs, 10_000)?;
    Ok(LimitConfig {
        body: size("limits.body", &raw.body, "4MiB")?,
        answer: size("limits.answer", &raw.answer, "64KiB")?,
        connections: count("limits.connections", raw.connections, 1024)?,
        jobs: JobLimits { tasks_per_job, open_jobs },
    })
}

fn check_lease(raw: proto::LeaseSettings) -> Checked<LeaseConfig> {
    let length = duration("lease.length", &raw.length, "2s")?;
    if length < MIN_LEASE {
        return bad("lease.length", raw.length, "give 200ms or more");
    }
    let suspect_after = duration("lease.suspect_after", &raw.suspect_after, "3s")?;
    if suspect_after < length {
        let remedy = "give at least lease.length, so that a live owner is not replaced";
        return bad("lease.suspect_after", raw.suspect_after, remedy);
    }
    let ages = KeyAgeLimits {
        skew: duration("lease.skew", &raw.skew, "500ms")?,
        retention: duration("lease.retention", &raw.retention, "10m")?,
        ageless_retention: duration("lease.ageless_retention", &raw.ageless_retention, "1h")?,
    };
    if ages.ageless_retention < ages.retention {
        let remedy = "give at least lease.retention";
        return bad("lease.ageless_retention", raw.ageless_retention, remedy);
    }
    let log_absence = duration("lease.log_absence", &raw.log_absence, "1h")?;
    Ok(LeaseConfig { length, suspect_after, log_absence, ages })
}

fn check_telemetry(raw: proto::TelemetrySettings) -> Checked<Telemetry> {
    let metrics = match raw.metrics.as_str() {
        "" | "off" => None,
        text => match text.strip_prefix("udp:") {
            Some(rest) => Some(address("telemetry.metrics", rest)?),
            None => return bad("telemetry.metrics", text, "give off or udp:IP:PORT"),
        },
    };
    let log = if raw.log.is_empty() { "info".to_owned() } else { raw.log };
    Ok(Telemetry { traces: check_traces(&raw.traces)?, metrics, log })
}

fn check_traces(text: &str) -> Checked<Traces> {
    match text {
        "off" => return Ok(Traces::Off),
        "" | "stdout" => return Ok(Traces::Stdout),
        _ => {}
    }
    if let Some(path) = text.strip_prefix("file:") {
        return Ok(Traces::File(path.into()));
    }
    match text.strip_prefix("otlp:") {
        Some(rest) => Ok(Traces::Otlp(address("telemetry.traces", rest)?)),
        None => bad("telemetry.traces", text, "give off, stdout, file:PATH or otlp:IP:PORT"),
    }
}

fn bad<T, V, R>(key: &'static str, value: V, remedy: R) -> Checked<T>
where
    V: Display,
    R: Display,
{
    BadValueSnafu { key, value: value.to_string(), remedy: remedy.to_string() }.fail()
}

fn read<T>(key: &'static str, text: &str, remedy: &'static str) -> Checked<T>
where
    T: FromStr,
    T::Err: Display,
{
    ensure!(!text.is_empty(), MissingSnafu { key, remedy });
    text.parse().or_else(|error: T::Err| bad(key, text, error))
}

fn address(key: &'static str, text: &str) -> Checked<SocketAddr> {
    let socket: Option<SocketAddr> = text.parse().ok();
    ensure!(!text.is_empty(), MissingSnafu { key, remedy: "an address as IP:PORT" });
    socket.context(BadValueSnafu { key, value: text, remedy: "write it as IP:PORT" })
}

fn optional_address(key: &'static str, text: &str) -> Checked<Option<SocketAddr>> {
    if text.is_empty() { Ok(None) } else { address(key, text).map(Some) }
}

fn count(key: &'static str, given: u32, default: u32) -> Checked<u32> {
    const MAX_COUNT: u32 = 1 << 24;
    match given {
        0 => Ok(default),
        1..=MAX_COUNT => Ok(given),
        _ => bad(key, given, format!("give at most {MAX_COUNT}")),
    }
}

fn duration(key: &'static str, text: &str, default: &str) -> Checked<Duration> {
    let text = if text.is_empty() { default } else { text };
    let value = parse_duration(text).or_else(|error| bad(key, text, error))?;
    if value.is_zero() { bad(key, text, "give more than 0s") } else { Ok(value) }
}

fn size(key: &'static str, text: &str, default: &str) -> Checked<ByteSize> {
    let text = if text.is_empty() { default } else { text };
    let value: ByteSize = text.parse().or_else(|error| bad(key, text, error))?;
    if value.bytes() == 0 || value > MAX_BODY {
        return bad(key, text, format!("give 1B to {MAX_BODY}"));
    }
    Ok(value)
}
