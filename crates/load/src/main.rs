//! Drives the dispatch decisions with open-loop arrivals, compares policies with the ideal, and
//! prints a table.
//!
//! It is no cluster simulator: one queue of events, fakes of an endpoint and of a link.

mod credits;
mod events;
mod ideal;
mod plot;
mod profile;
mod push;
mod report;
mod workload;

use std::fmt;
use std::path::PathBuf;

use bpaf::Bpaf;

use events::Outcome;
use profile::{Case, Profile, World};
use report::{Figures, print_head, print_row};
use workload::Job;

/// Compares dispatch policies on the same arrivals.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Deployment: sabaidee or peachtree
    #[bpaf(argument("NAME"), fallback(Profile::Sabaidee))]
    profile: Profile,
    /// Case to run; all where none is given
    #[bpaf(argument("NAME"), many)]
    case: Vec<Case>,
    /// Seed of the random numbers
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Seconds of arrivals
    #[bpaf(argument("SECONDS"), fallback(60))]
    seconds: u64,
    /// File that takes a plot of the slowdown as SVG
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
}

/// How tasks find their workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// One central scheduler without latency that knows every size and speed.
    Ideal,
    /// Each task goes to a worker drawn at random.
    Random,
    /// Each task goes to the less loaded of two.
    TwoChoices,
    /// The daemons' policy.
    Credits,
}

impl Policy {
    const ALL: [Self; 4] = [Self::Ideal, Self::Random, Self::TwoChoices, Self::Credits];

    fn run(self, world: &World, jobs: &[Job], seed: u64) -> Outcome {
        match self {
            Self::Ideal => ideal::run(world, jobs),
            Self::Random => push::run(world, jobs, seed, 1),
            Self::TwoChoices => push::run(world, jobs, seed, 2),
            Self::Credits => credits::run(world, jobs, seed),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Ideal => "ideal",
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
            Self::Credits => "credits",
        })
    }
}

fn main() -> std::io::Result<()> {
    let options = options().run();
    let cases = if options.case.is_empty() { Case::ALL.to_vec() } else { options.case };
    let mut all: Vec<Figures> = Vec::new();
    print_head();
    for case in cases {
        let world = options.profile.world(case);
        let jobs = workload::arrivals(&world, case, options.seed, options.seconds);
        let modest: Vec<Job> = jobs.iter().filter(|job| job.customer == 0).cloned().collect();
        let ideal = ideal::run(&world, &jobs);
        for policy in Policy::ALL {
            let outcome = policy.run(&world, &jobs, options.seed);
            let alone = policy.run(&world, &modest, options.seed);
            let figures = Figures::new(case, policy, (&jobs, &outcome), &ideal, (&modest, &alone));
            print_row(&figures);
            all.push(figures);
        }
    }
    if let Some(path) = options.plot {
        std::fs::write(path, plot::svg(&all))?;
    }
    Ok(())
}
