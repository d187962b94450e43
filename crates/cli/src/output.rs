//! Prints answers as text or as JSON.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use cowslipwing_proto::{ContractInForce, JobAnswer, JobState, TaskOutcome};
use serde::Serialize;

/// Address of the entry that is called if neither `--entry` nor `COWSLIPWING_ENTRY` is set.
const DEFAULT_ENTRY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7000);

/// Options of every command that calls an entry.
#[derive(Clone, Debug)]
pub(crate) struct CommonOptions {
    /// The address of the entry.
    pub(crate) entry: SocketAddr,
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
}

/// Returns the parser of the common options.
pub(crate) fn common_options() -> impl Parser<CommonOptions> {
    let entry = long("entry")
        .env("COWSLIPWING_ENTRY")
        .help("Address of the entry, as IP:PORT")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(DEFAULT_ENTRY)
        .display_fallback();
    let json = long("json").help("Print the answer as JSON").switch();
    construct!(CommonOptions { entry, json })
}

/// Prints a value as JSON.
pub(crate) fn print_json<T>(value: &T)
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value);
    println!("{}", text.expect("messages can be serialised as JSON"));
}

/// Prints the state of a job and of its tasks.
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

/// Prints the terms of a contract.
pub(crate) fn print_contract(contract: &ContractInForce) {
    let terms = contract.contract.clone().unwrap_or_default();
    println!("{} version {}", contract.customer, contract.version);
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
