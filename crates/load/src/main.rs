//! Drives the dispatch decisions with open-loop arrivals, compares policies with the ideal, and
//! prints a table.
//!
//! It is no cluster simulator: one queue of events, fakes of an endpoint and of a link.

mod central;
mod credits;
mod events;
mod plot;
mod profile;
mod pushed;
mod report;
mod workload;

use std::path::PathBuf;

use bpaf::Bpaf;

use profile::{Case, Profile};
use report::{Figures, print_head, print_row};

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

fn main() -> std::io::Result<()> {
    let options = options().run();
    let cases = if options.case.is_empty() { Case::ALL.to_vec() } else { options.case };
    let mut all: Vec<Figures> = Vec::new();
    print_head();
    for case in cases {
        let world = options.profile.world(case);
        let jobs = workload::arrivals(&world, case, options.seed, options.seconds);
        let ideal = central::run(&world, &jobs);
        let runs = [
            ("ideal", ideal.clone()),
            ("random", pushed::run(&world, &jobs, options.seed, 1)),
            ("two-choices", pushed::run(&world, &jobs, options.seed, 2)),
            ("credits", credits::run(&world, &jobs, options.seed)),
        ];
        for (policy, outcome) in runs {
            let figures = Figures::new(case, policy, &jobs, &outcome, &ideal);
            print_row(&figures);
            all.push(figures);
        }
    }
    if let Some(path) = options.plot {
        std::fs::write(path, plot::svg(&all))?;
    }
    Ok(())
}
