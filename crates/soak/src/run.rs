//! One run of the soak.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cowslipwing_platform::HttpClient;
use hyper::{Method, StatusCode};
use snafu::{ResultExt, Snafu};
use tokio::time::{sleep, sleep_until};

use crate::check::{PlannedStop, Report, Times, check};
use crate::fleet::Fleet;
use crate::load::{Seen, probe, submit};
use crate::plan::{Fault, FaultPlan, ScheduledFault};

/// Time after the last fault has ended in which service must be back.
const RECOVERY: Duration = Duration::from_secs(5);
/// Length of the phase in which it is checked that service is back.
const CALM: Duration = Duration::from_secs(3);
/// Time in which the processes must become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time from a planned stop to the end of the process.
const STOP_TIME: Duration = Duration::from_secs(6);
/// Time around a planned stop without another fault for which nothing may be cut off.
const STOP_MARGIN: Duration = Duration::from_secs(3);

/// What a run is like.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The daemon's program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub dir: PathBuf,
    /// Seed of plan and load.
    pub seed: u64,
    /// Time for which faults are injected.
    pub fault_period: Duration,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with its endpoint.
    pub agents: usize,
    /// Jobs submitted in a second.
    pub jobs_per_second: u32,
    /// Two numbers of the loopback network, which no other run at the same time has.
    pub subnet: (u8, u8),
}

/// A run that could not be made.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A process or a listener cannot be started.
    #[snafu(display("the fleet cannot be started: {source}; build the daemon first"))]
    CannotStart {
        /// What the system reported.
        source: std::io::Error,
    },
    /// The entries are not ready in time.
    #[snafu(display("entry {entry} is not ready after {READY_LIMIT:?}; see its log"))]
    NotReady {
        /// The entry.
        entry: usize,
    },
}

/// Runs the processes under the faults of a seed and checks the promises.
///
/// # Errors
///
/// Fails where the processes cannot be started.
pub async fn soak(settings: &SoakSettings) -> Result<Report, SoakError> {
    let fleet = Fleet::start(
        &settings.program,
        &settings.dir,
        settings.subnet,
        settings.entries,
        settings.agents,
    );
    let fleet = Arc::new(fleet.await.context(CannotStartSnafu)?);
    wait_ready(&fleet).await?;
    let plan = FaultPlan::generate(
        settings.seed,
        settings.fault_period,
        settings.entries,
        settings.agents,
    );
    let seen = Arc::new(Seen::default());
    let started = Instant::now();
    let mut probes = tokio::task::JoinSet::new();
    for entry in 0..fleet.entries {
        probes.spawn(probe(fleet.clone(), seen.clone(), entry));
    }
    let faults = tokio::spawn(inject(fleet.clone(), plan.clone(), started));
    let faults_end = started + longest(&plan, settings.fault_period);
    let until = faults_end + RECOVERY + CALM;
    let load = submit(fleet.clone(), seen.clone(), settings.seed, settings.jobs_per_second, until);
    let last = async {
        sleep_until((faults_end + RECOVERY / 2).into()).await;
        (Instant::now(), fleet.publish())
    };
    let ((), published) = tokio::join!(load, last);
    // A panic of the injector shows here.
    faults.await.expect("the injector does not panic");
    probes.shutdown().await;
    let times = Times {
        calm_from: faults_end + RECOVERY,
        published,
        restarts: restarts(&plan, settings, started),
        stops: planned_stops(&plan, settings.entries, started),
    };
    let requests = seen.requests.lock().expect("no holder of the requests panics").clone();
    let probes = seen.probes.lock().expect("no holder of the probes panics").clone();
    let (runs, overfull) = (fleet.run_log.events(), fleet.run_log.overcommitted());
    Ok(check(&requests, &probes, &runs, &overfull, &times))
}

async fn wait_ready(fleet: &Fleet) -> Result<(), SoakError> {
    let limit = Instant::now() + READY_LIMIT;
    for entry in 0..fleet.entries {
        let client = HttpClient::new(fleet.ready(entry));
        loop {
            let second = Duration::from_secs(1);
            let reply = client.call(Method::GET, "/readiness", &[], Bytes::new(), second).await;
            if reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
                break;
            }
            if Instant::now() > limit {
                return NotReadySnafu { entry }.fail();
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn inject(fleet: Arc<Fleet>, plan: FaultPlan, started: Instant) {
    let mut running = tokio::task::JoinSet::new();
    for step in plan.faults {
        sleep_until((started + step.at).into()).await;
        let fleet = fleet.clone();
        running.spawn(async move { fleet.inject(step.fault).await });
    }
    while running.join_next().await.is_some() {}
}

/// Returns how long a fault lasts.
fn lasts(fault: &Fault) -> Duration {
    match fault {
        Fault::Kill(_, lasts)
        | Fault::Freeze(_, lasts)
        | Fault::Link(_, _, lasts)
        | Fault::Endpoint(_, _, lasts)
        | Fault::Drain(_, lasts)
        | Fault::Store(_, lasts) => *lasts,
        Fault::Stop(_) => STOP_TIME,
        Fault::Hangup(_) | Fault::Crash(_) | Fault::DropHistory | Fault::Publish => Duration::ZERO,
    }
}

fn longest(plan: &FaultPlan, length: Duration) -> Duration {
    let ends = plan.faults.iter().map(|step| step.at + lasts(&step.fault));
    ends.max().unwrap_or(length).max(length)
}

/// Returns when entries may have begun anew, each restart as its first and last moment.
fn restarts(plan: &FaultPlan, settings: &SoakSettings, started: Instant) -> Vec<(usize, Instant)> {
    let mut found = Vec::new();
    for step in &plan.faults {
        let (Fault::Kill(process, _) | Fault::Stop(process)) = step.fault else {
            continue;
        };
        if process < settings.entries {
            let from = started + step.at;
            let moments = (0..=70).map(|tenth| from + Duration::from_millis(tenth * 100));
            found.extend(moments.map(|at| (process, at)));
        }
    }
    found
}

/// Returns the planned stops of entries near which nothing else happened.
fn planned_stops(plan: &FaultPlan, entries: usize, started: Instant) -> Vec<PlannedStop> {
    let alone = |at: Duration| {
        let near = |other: &&ScheduledFault| {
            other.at != at
                && other.at < at + STOP_TIME
                && other.at + lasts(&other.fault) + STOP_MARGIN > at
                && !matches!(other.fault, Fault::Hangup(_) | Fault::Publish)
        };
        !plan.faults.iter().any(|other| near(&other))
    };
    let stop = |step: &ScheduledFault| match step.fault {
        Fault::Stop(entry) if entry < entries && alone(step.at) => {
            let from = started + step.at;
            Some(PlannedStop { entry, from, until: from + STOP_TIME })
        }
        _ => None,
    };
    plan.faults.iter().filter_map(stop).collect()
}
