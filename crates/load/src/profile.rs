//! The deployments and the test cases.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A deployment, which determines the size of the workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Profile {
    /// Ten workers with 30 cores each.
    Sabaidee,
    /// Ten workers with 16 cores each.
    Peachtree,
}

impl FromStr for Profile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "sabaidee" => Ok(Self::Sabaidee),
            "peachtree" => Ok(Self::Peachtree),
            _ => Err(format!("{text:?} is not a deployment; give sabaidee or peachtree")),
        }
    }
}

/// A test case: a load, or a fault at a moderate load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Case {
    /// A constant offered load, in percent of the capacity.
    Load(u32),
    /// Bursts of one second at four times the arrival rate, every ten seconds.
    Burst,
    /// One worker that fails every task immediately.
    BlackHole,
    /// One worker at a tenth of the normal speed.
    Straggler,
    /// Jobs whose declared run time is a tenth or ten times the true one.
    Misdeclared,
    /// Two customers, of which the greedy one submits ten times as many jobs as the modest one.
    Greedy,
    /// Workers with speeds from half to twice the normal one.
    Uneven,
}

impl Case {
    /// All cases, in the order of the table.
    pub const ALL: [Self; 12] = [
        Self::Load(50),
        Self::Load(80),
        Self::Load(95),
        Self::Load(100),
        Self::Load(130),
        Self::Load(200),
        Self::Burst,
        Self::BlackHole,
        Self::Straggler,
        Self::Misdeclared,
        Self::Greedy,
        Self::Uneven,
    ];

    /// Returns the offered load as a fraction of the capacity, bursts not included.
    pub fn load(self) -> f64 {
        match self {
            Self::Load(percent) => f64::from(percent) / 100.0,
            Self::Burst => 0.5,
            Self::Greedy => 1.3,
            _ => 0.7,
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(percent) => write!(f, "load-{percent}"),
            Self::Burst => f.write_str("burst"),
            Self::BlackHole => f.write_str("black-hole"),
            Self::Straggler => f.write_str("straggler"),
            Self::Misdeclared => f.write_str("misdeclared"),
            Self::Greedy => f.write_str("greedy"),
            Self::Uneven => f.write_str("uneven"),
        }
    }
}

impl FromStr for Case {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let case = Self::ALL.into_iter().find(|case| case.to_string() == text);
        case.ok_or_else(|| format!("{text:?} is not a case; give one such as load-80 or burst"))
    }
}

/// Run time of a task on a failing worker.
pub const FAILURE_TIME: Duration = Duration::from_millis(1);

/// A simulated worker.
#[derive(Clone, Copy, Debug)]
pub struct Worker {
    /// The number of tasks that the worker runs concurrently.
    pub slots: u32,
    /// The speed of each slot; 1 is the normal speed.
    pub speed: f64,
    /// Whether the worker fails every task after [`FAILURE_TIME`].
    pub fails: bool,
}

/// The simulated entries, workers and network.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// The number of entries.
    pub entries: usize,
    /// The workers; a worker is identified by its index.
    pub workers: Vec<Worker>,
    /// The one-way latency between an entry and a worker.
    pub link_latency: Duration,
}

impl Cluster {
    /// Returns the work that all workers together complete per second, in seconds of run time at
    /// normal speed.
    pub fn capacity(&self) -> f64 {
        let healthy = self.workers.iter().filter(|worker| !worker.fails);
        healthy.map(|worker| f64::from(worker.slots) * worker.speed).sum()
    }
}

impl Profile {
    /// Returns the cluster of the deployment with the faults of a case.
    pub fn cluster(self, case: Case) -> Cluster {
        const WORKERS: usize = 10;
        const ENTRIES: usize = 10;
        const LINK_LATENCY: Duration = Duration::from_micros(1500);
        let slots = match self {
            Self::Sabaidee => 30,
            Self::Peachtree => 16,
        };
        let normal = Worker { slots, speed: 1.0, fails: false };
        let mut workers = vec![normal; WORKERS];
        match case {
            Case::BlackHole => workers[0].fails = true,
            Case::Straggler => workers[0].speed = 0.1,
            Case::Uneven => {
                for (worker, speed) in workers.iter_mut().zip([0.5, 0.75, 1.0, 1.5, 2.0].repeat(2))
                {
                    worker.speed = speed;
                }
            }
            _ => {}
        }
        Cluster { entries: ENTRIES, workers, link_latency: LINK_LATENCY }
    }
}
