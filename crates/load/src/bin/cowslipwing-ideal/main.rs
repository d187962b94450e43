//! Computes how many of the jobs in a log an ideal scheduler would have answered in time.

mod history;
mod largest;
mod schedule;

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use cowslipwing_types::parse_duration;

use history::History;
use schedule::{OutcomeRates, Slo};

/// Reads log lines of entries and agents at level debug, each preceded by its time in seconds and
/// its VM.
///
/// The sizes of tasks are derived from their run times and the learned speeds of endpoints, so
/// tasks that ran while their endpoint was slow count as larger than they are. Refused jobs are
/// left out, since their size is not known.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Objective of the response time relative to the work of the longest task
    #[bpaf(argument("FACTOR"), fallback(1.6))]
    stretch: f64,
    /// Time added to that objective
    #[bpaf(argument::<String>("TIME"), fallback("60ms".to_owned()), parse(|text| parse_duration(&text)))]
    target: Duration,
    /// Time after which callers stop waiting, for jobs whose log lines do not state it
    #[bpaf(argument::<String>("TIME"), fallback("1500ms".to_owned()), parse(|text| parse_duration(&text)))]
    patience: Duration,
    /// Share of the largest jobs of each queue to list if they were not served, 0 to 1
    #[bpaf(argument("SHARE"), fallback(0.0))]
    largest: f64,
    /// File with the log lines
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

fn main() -> std::io::Result<()> {
    let options = options().run();
    let history = History::parse(&std::fs::read_to_string(&options.file)?);
    let slo =
        Slo { stretch: options.stretch, target: options.target, caller_timeout: options.patience };
    println!("jobs {} endpoints {}", history.jobs.len(), history.endpoints.len());
    println!("left out: {} refused, {} without all sizes", history.refused, history.incomplete);
    println!("queue jobs alone_in_time alone_late ideal_in_time ideal_late");
    let isolated = schedule::isolated_outcomes(&history, slo);
    let central = schedule::central_outcomes(&history, slo);
    for (queue, jobs) in &history.queues() {
        let (isolated, central) =
            (OutcomeRates::of(jobs, &isolated), OutcomeRates::of(jobs, &central));
        println!(
            "{queue} {} {:.3} {:.3} {:.3} {:.3}",
            jobs.len(),
            isolated.in_time,
            isolated.late,
            central.in_time,
            central.late
        );
    }
    if options.largest > 0.0 {
        largest::report(&history, slo, options.largest);
    }
    Ok(())
}
