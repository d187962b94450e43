//! The deployments and the cases.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Profile {
    /// Ten workers of 30 cores.
    Sabaidee,
    /// Ten workers of 16 cores.
    Peachtree,
}

impl FromStr for Profile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "sabaidee" => Ok(Self::Sabaidee),
            "peachtree" => Ok(Self::Peachtree),
            _ => Err(format!("{text:?} is no deployment; give sabaidee or peachtree")),
        }
    }
}

/// What a run is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Case {
    /// Offered load as a percentage of capacity.
    Load(u32),
    /// Every ten seconds, one second at four times the rate.
    Burst,
    /// A worker that fails at once everything it starts.
    BlackHole,
    /// A worker at a tenth of its speed.
    Straggler,
    /// Declared run times that are ten times too short or too long.
    Misdeclared,
    /// A customer at ten times its share beside one within it.
    Greedy,
    /// Workers of speeds from half to twice the usual.
    Uneven,
}

impl Case {
    /// Every case, in the order of the table.
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

    /// Returns the offered load as a part of capacity.
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
        let known = Self::ALL.into_iter().find(|case| case.to_string() == text);
        known.ok_or_else(|| format!("{text:?} is no case; give one such as load-80 or burst"))
    }
}

/// A worker.
#[derive(Clone, Copy, Debug)]
pub struct Worker {
    /// Tasks it runs at once.
    pub slots: u32,
    /// Work done in a second, 1 being usual.
    pub speed: f64,
    /// Fails at once whatever it starts.
    pub fails: bool,
}

/// The processes and links of a run.
#[derive(Clone, Debug)]
pub struct World {
    /// Entries.
    pub entries: usize,
    /// Workers.
    pub workers: Vec<Worker>,
    /// One-way time between an entry and a worker.
    pub link: Duration,
}

impl World {
    /// Returns the work that all workers do in a second.
    pub fn capacity(&self) -> f64 {
        let useful = self.workers.iter().filter(|worker| !worker.fails);
        useful.map(|worker| f64::from(worker.slots) * worker.speed).sum()
    }
}

impl Profile {
    /// Returns the deployment as a case sees it.
    pub fn world(self, case: Case) -> World {
        const WORKERS: usize = 10;
        const ENTRIES: usize = 10;
        let slots = match self {
            Self::Sabaidee => 30,
            Self::Peachtree => 16,
        };
        let usual = Worker { slots, speed: 1.0, fails: false };
        let mut workers = vec![usual; WORKERS];
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
        World { entries: ENTRIES, workers, link: Duration::from_micros(1500) }
    }
}
