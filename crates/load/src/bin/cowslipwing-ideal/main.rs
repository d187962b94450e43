//! Tells what an ideal scheduler would have kept of the jobs that a log holds.

mod history;
mod schedule;

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use cowslipwing_types::parse_duration;

use history::History;
use schedule::{Promise, Share};

/// Reads lines of entries and agents, at level debug, each after its time in seconds and its VM.
///
/// Sizes come from run times and learned speeds, so that tasks that ran while their endpoint was slow
/// count as larger than they are. Jobs that were refused are left out, since their size is not known.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Response time promised relative to the work of the longest task
    #[bpaf(argument("FACTOR"), fallback(1.6))]
    stretch: f64,
    /// Response time promised beyond that
    #[bpaf(argument::<String>("TIME"), fallback("60ms".to_owned()), parse(|text| parse_duration(&text)))]
    target: Duration,
    /// Time for which callers wait
    #[bpaf(argument::<String>("TIME"), fallback("1500ms".to_owned()), parse(|text| parse_duration(&text)))]
    patience: Duration,
    /// The lines
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

fn main() -> std::io::Result<()> {
    let options = options().run();
    let history = History::parse(&std::fs::read_to_string(&options.file)?);
    let promise =
        Promise { stretch: options.stretch, target: options.target, patience: options.patience };
    println!("jobs {} endpoints {}", history.jobs.len(), history.endpoints.len());
    println!("left out: {} refused, {} without all sizes", history.refused, history.incomplete);
    println!("queue jobs alone_in_time alone_late ideal_in_time ideal_late");
    let alone = schedule::alone(&history, promise);
    let ideal = schedule::central(&history, promise);
    for (queue, jobs) in &history.queues() {
        let (alone, ideal) = (Share::of(jobs, &alone), Share::of(jobs, &ideal));
        println!(
            "{queue} {} {:.3} {:.3} {:.3} {:.3}",
            jobs.len(),
            alone.in_time,
            alone.late,
            ideal.in_time,
            ideal.late
        );
    }
    Ok(())
}
