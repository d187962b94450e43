//! Compares dispatch policies with an ideal scheduler under open-loop arrivals and prints a table.
//!
//! The simulation is deliberately small: one event queue, with simple models of workers and links.

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
use profile::{Case, Cluster, Profile};
use report::{Summary, print_header, print_row};
use workload::Job;

/// Compares dispatch policies under the same arrivals.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Deployment to simulate: sabaidee or peachtree
    #[bpaf(argument("NAME"), fallback(Profile::Sabaidee))]
    profile: Profile,
    /// Case to run; may be repeated; all cases if not given
    #[bpaf(argument("NAME"), many)]
    case: Vec<Case>,
    /// Seed of the random number generator
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Simulated time during which jobs arrive, in seconds
    #[bpaf(argument("SECONDS"), fallback(60))]
    seconds: u64,
    /// File to which a chart of the slowdowns is written as SVG
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
}

/// A policy that assigns tasks to workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// A central scheduler without network latency and with exact knowledge of run times.
    Ideal,
    /// Sends each task to a random worker.
    Random,
    /// Sends each task to the less loaded of two random workers.
    TwoChoices,
    /// The policy of the daemons: workers grant credits, and entries bind tasks to them late.
    Credits,
}

impl Policy {
    const ALL: [Self; 4] = [Self::Ideal, Self::Random, Self::TwoChoices, Self::Credits];

    fn run(self, cluster: &Cluster, jobs: &[Job], seed: u64) -> Outcome {
        match self {
            Self::Ideal => ideal::run(cluster, jobs),
            Self::Random => push::run(cluster, jobs, seed, 1),
            Self::TwoChoices => push::run(cluster, jobs, seed, 2),
            Self::Credits => credits::run(cluster, jobs, seed),
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
    let mut summaries: Vec<Summary> = Vec::new();
    print_header();
    for case in cases {
        let cluster = options.profile.cluster(case);
        let jobs = workload::generate(&cluster, case, options.seed, options.seconds);
        let modest_jobs: Vec<Job> = jobs.iter().filter(|job| job.customer == 0).cloned().collect();
        let ideal = ideal::run(&cluster, &jobs);
        for policy in Policy::ALL {
            let outcome = policy.run(&cluster, &jobs, options.seed);
            let isolated = policy.run(&cluster, &modest_jobs, options.seed);
            let summary =
                Summary::new(case, policy, (&jobs, &outcome), &ideal, (&modest_jobs, &isolated));
            print_row(&summary);
            summaries.push(summary);
        }
    }
    if let Some(path) = options.plot {
        std::fs::write(path, plot::svg(&summaries))?;
    }
    Ok(())
}
