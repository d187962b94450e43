//! Prints answers for people or for scripts.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use cowslipwing_proto::{ContractInForce, JobAnswer, JobState, TaskOutcome};
use serde::Serialize;

/// Address of an entry of the demo.
const DEFAULT_ENTRY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7000);

/// What every command takes.
#[derive(Clone, Debug)]
pub(crate) struct Common {
    /// The entry to ask.
    pub(crate) entry: SocketAddr,
    /// Print JSON.
    pub(crate) json: bool,
}

/// Parses what every command takes.
pub(crate) fn common() -> impl Parser<Common> {
    let entry = long("entry")
        .env("COWSLIPWING_ENTRY")
        .help("Entry to ask, as IP:PORT")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(DEFAULT_ENTRY)
        .display_fallback();
    let json = long("json").help("Print JSON").switch();
    construct!(Common { entry, json })
}

/// Prints a value as JSON.
pub(crate) fn print_json<T>(value: &T)
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value);
    println!("{}", text.expect("messages have no keys that JSON cannot take"));
}

/// Prints a job's answer.
pub(crate) fn print_job(answer: &JobAnswer) {
    println!("{}#{} {}", answer.customer, answer.key, state_name(answer.state()));
    if !answer.reason.is_empty() {
        println!("  {}", answer.reason);
    }
    for task in &answer.tasks {
        let outcome = outcome_name(task.outcome());
        println!("  {:>4} {outcome:<12} {:<12} {}", task.index, task.endpoint, task.output);
    }
}

/// Prints a contract.
pub(crate) fn print_contract(found: &ContractInForce) {
    let terms = found.contract.clone().unwrap_or_default();
    println!("{} version {}", found.customer, found.version);
    println!("  share {}, concurrency {}", terms.share, terms.concurrency);
    println!("  deadline {}, refusals {}", terms.deadline, terms.refusals);
    println!("  open jobs {}", terms.open_jobs);
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Running => "running",
        JobState::Complete => "complete",
        JobState::Failed => "failed",
    }
}

fn outcome_name(outcome: TaskOutcome) -> &'static str {
    match outcome {
        TaskOutcome::Pending => "pending",
        TaskOutcome::Done => "done",
        TaskOutcome::Error => "error",
        TaskOutcome::NotRun => "not run",
        TaskOutcome::MayHaveRun => "may have run",
    }
}
