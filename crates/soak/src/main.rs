//! Runs the soak test for a range of seeds and prints one line for each.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use cowslipwing_soak::{SoakSettings, soak};
use snafu::{ResultExt, Whatever, whatever};

/// Runs real processes under random faults and checks the guarantees.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Time for which faults are injected, in seconds
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Number of entries
    #[bpaf(argument("N"), fallback(2))]
    entries: usize,
    /// Number of agents
    #[bpaf(argument("N"), fallback(4))]
    agents: usize,
    /// Average number of jobs submitted per second
    #[bpaf(argument("N"), fallback(30))]
    rate: u32,
    /// Path of the daemon's program
    #[bpaf(argument("FILE"), fallback(PathBuf::from("target/debug/cowslipwingd")))]
    program: PathBuf,
    /// Directory for the settings and logs of each seed
    #[bpaf(argument("DIR"), fallback(PathBuf::from("target/soak")))]
    logs: PathBuf,
}

#[snafu::report]
#[tokio::main]
async fn main() -> Result<(), Whatever> {
    let options = options().run();
    let mut failed = 0;
    for seed in options.seed..options.seed + options.seeds {
        let dir = options.logs.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&dir)
            .whatever_context("cannot create the directory for settings and logs")?;
        let settings = SoakSettings {
            program: options.program.clone(),
            dir,
            seed,
            fault_period: Duration::from_secs(options.seconds),
            entries: options.entries,
            agents: options.agents,
            jobs_per_second: options.rate,
            subnet: ((seed % 200) as u8 + 20, (std::process::id() % 250) as u8 + 1),
        };
        let report = soak(&settings).await.whatever_context("cannot run the soak test")?;
        println!(
            "seed={seed} requests={} served={} starts={} violations={}",
            report.requests,
            report.served,
            report.starts,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        failed += u64::from(!report.violations.is_empty());
    }
    if failed > 0 {
        whatever!("{failed} of {} seeds violated a guarantee; see their logs", options.seeds);
    }
    Ok(())
}
