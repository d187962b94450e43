//! A run of the soak test with one seed.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cowslipwing_platform::HttpClient;
use hyper::{Method, StatusCode};
use snafu::{ResultExt, Snafu};
use tokio::time::{sleep, sleep_until};

use crate::check::{PlannedStop, Report, STOP_MARGIN, Timeline, Violation, check};
use crate::cluster::Cluster;
use crate::crowd::press;
use crate::load::{LoadSettings, Observations, probe_routes, submit_jobs};
use crate::plan::{Fault, FaultPlan, ScheduledFault};

/// Time after the end of the last fault within which service must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Length of the phase after the recovery in which requests must be served.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);
/// Time within which each entry must become ready after the start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time from a planned stop to the exit of the process.
const MAX_STOP_TIME: Duration = Duration::from_secs(6);
/// Interval at which an entry is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between the times that stand for a possible restart, in milliseconds.
const RESTART_SAMPLE_MS: u64 = 100;
/// Number of intervals that cover the exit and the start of a process.
const RESTART_SAMPLES: u64 = 70;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Existing directory for the settings and logs of the daemons.
    pub dir: PathBuf,
    /// Seed of the fault plan and the load.
    pub seed: u64,
    /// Time from the start of the load in which faults are injected.
    pub fault_period: Duration,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with one endpoint.
    pub agents: usize,
    /// Average number of jobs submitted per second.
    pub jobs_per_second: u32,
    /// Second and third byte of the loopback addresses of the run, unique among concurrent runs.
    pub subnet: (u8, u8),
}

/// An error that prevents a run.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A process or a listener could not be started.
    #[snafu(display("cannot start the cluster: {source}; build the daemon first"))]
    CannotStart {
        /// Error that the system returned.
        source: std::io::Error,
    },
    /// An entry did not become ready in time.
    #[snafu(display("entry {entry} is not ready after {READY_TIMEOUT:?}; see its log"))]
    NotReady {
        /// Number of the entry, from 0.
        entry: usize,
    },
}

/// Runs the processes under load, injects the faults of the seed and checks the guarantees.
///
/// # Errors
///
/// Returns an error if the processes cannot be started or an entry does not become ready.
pub async fn soak(settings: &SoakSettings) -> Result<Report, SoakError> {
    let cluster = Cluster::start(
        &settings.program,
        &settings.dir,
        settings.subnet,
        settings.entries,
        settings.agents,
    );
    let cluster = Arc::new(cluster.await.context(CannotStartSnafu)?);
    wait_ready(&cluster).await?;
    let plan = FaultPlan::generate(
        settings.seed,
        settings.fault_period,
        settings.entries,
        settings.agents,
    );
    let observations = Arc::new(Observations::default());
    let started_at = Instant::now();
    let mut probes = tokio::task::JoinSet::new();
    for entry in 0..cluster.entries {
        probes.spawn(probe_routes(cluster.clone(), observations.clone(), entry));
    }
    let faults = tokio::spawn(inject_faults(cluster.clone(), plan.clone(), started_at));
    let faults_end = started_at + plan_duration(&plan, settings.fault_period);
    let until = faults_end + RECOVERY_TIME + FAULT_FREE_TIME;
    let load = submit_jobs(
        cluster.clone(),
        observations.clone(),
        settings.seed,
        LoadSettings {
            jobs_per_second: settings.jobs_per_second,
            deadly_until: started_at + settings.fault_period,
            until,
        },
    );
    let crowds = press(cluster.clone(), settings.seed, started_at + settings.fault_period);
    let publish_late = async {
        sleep_until((faults_end + RECOVERY_TIME / 2).into()).await;
        (Instant::now(), cluster.publish())
    };
    let ((), (), last_publication) = tokio::join!(load, crowds, publish_late);
    // Propagates a panic of the fault injector.
    faults.await.expect("the task that injects faults does not panic");
    probes.shutdown().await;
    let timeline = Timeline {
        recovered_by: faults_end + RECOVERY_TIME,
        last_publication,
        restarts: possible_restarts(&plan, settings, started_at),
        stops: isolated_stops(&plan, settings.entries, started_at),
    };
    let requests =
        observations.requests.lock().expect("the mutex of the requests is never poisoned").clone();
    let probes =
        observations.probes.lock().expect("the mutex of the probes is never poisoned").clone();
    let (run_events, overcommitted) = (cluster.run_log.events(), cluster.run_log.overcommitted());
    let mut report = check(&requests, &probes, &run_events, &overcommitted, &timeline);
    report.violations.extend(cluster.unexpected_ends().into_iter().map(Violation::EndedByItself));
    report.violations.extend(cluster.memory_excesses().into_iter().map(Violation::MemoryExceeded));
    Ok(report)
}

async fn wait_ready(cluster: &Cluster) -> Result<(), SoakError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    for entry in 0..cluster.entries {
        let client = HttpClient::new(cluster.readiness_address(entry));
        loop {
            let request_timeout = Duration::from_secs(1);
            let reply =
                client.call(Method::GET, "/readiness", &[], Bytes::new(), request_timeout).await;
            if reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
                break;
            }
            if Instant::now() > deadline {
                return NotReadySnafu { entry }.fail();
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn inject_faults(cluster: Arc<Cluster>, plan: FaultPlan, started_at: Instant) {
    let mut running = tokio::task::JoinSet::new();
    for scheduled in plan.faults {
        sleep_until((started_at + scheduled.at).into()).await;
        let cluster = cluster.clone();
        running.spawn(async move { cluster.inject(scheduled.fault).await });
    }
    while running.join_next().await.is_some() {}
}

/// Returns the longest time from the injection of a fault to its end.
fn fault_duration(fault: &Fault) -> Duration {
    match fault {
        Fault::Kill(_, duration)
        | Fault::Freeze(_, duration)
        | Fault::Link(_, _, duration)
        | Fault::Endpoint(_, _, duration)
        | Fault::Crash(_, duration)
        | Fault::Drain(_, duration)
        | Fault::Store(_, duration) => *duration,
        Fault::Stop(_) => MAX_STOP_TIME,
        Fault::Hangup(_)
        | Fault::DropHistory
        | Fault::Publish
        | Fault::CutOff(..)
        | Fault::OtherWriter(..) => Duration::ZERO,
    }
}

/// Returns the time from the start of the load to the end of the last fault, at least
/// `fault_period`.
fn plan_duration(plan: &FaultPlan, fault_period: Duration) -> Duration {
    let ends = plan.faults.iter().map(|scheduled| scheduled.at + fault_duration(&scheduled.fault));
    ends.max().unwrap_or(fault_period).max(fault_period)
}

/// Returns the times at which entries may have restarted, each with the entry. The exact time of a
/// restart is not known, so times at regular intervals after the injection stand for it.
fn possible_restarts(
    plan: &FaultPlan,
    settings: &SoakSettings,
    started_at: Instant,
) -> Vec<(usize, Instant)> {
    let mut restarts = Vec::new();
    for scheduled in &plan.faults {
        let (Fault::Kill(process, _) | Fault::Stop(process)) = scheduled.fault else {
            continue;
        };
        if process < settings.entries {
            let from = started_at + scheduled.at;
            let times = (0..=RESTART_SAMPLES)
                .map(|sample| from + Duration::from_millis(sample * RESTART_SAMPLE_MS));
            restarts.extend(times.map(|at| (process, at)));
        }
    }
    restarts
}

/// Returns the planned stops of entries that no other fault overlaps or shortly precedes.
///
/// `SIGHUP`, publications of a configuration and messages of other writers may be close to such a
/// stop.
fn isolated_stops(plan: &FaultPlan, entries: usize, started_at: Instant) -> Vec<PlannedStop> {
    let is_isolated = |at: Duration| {
        let is_near = |other: &&ScheduledFault| {
            other.at != at
                && other.at < at + MAX_STOP_TIME
                && other.at + fault_duration(&other.fault) + STOP_MARGIN > at
                && !matches!(
                    other.fault,
                    Fault::Hangup(_) | Fault::Publish | Fault::OtherWriter(..)
                )
        };
        !plan.faults.iter().any(|other| is_near(&other))
    };
    let planned_stop = |scheduled: &ScheduledFault| match scheduled.fault {
        Fault::Stop(entry) if entry < entries && is_isolated(scheduled.at) => {
            let from = started_at + scheduled.at;
            Some(PlannedStop { entry, from, until: from + MAX_STOP_TIME })
        }
        _ => None,
    };
    plan.faults.iter().filter_map(planned_stop).collect()
}
