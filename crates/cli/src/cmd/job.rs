//! `cowslipwing job`: submits, shows and withdraws jobs.

use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long, positional};
use cowslipwing_proto::{JobAnswer, JobState, JobSubmission};
use snafu::{ResultExt, ensure};
use volo_http::http::Method;

use crate::client::EntryClient;
use crate::error::{CliError, JobFailedSnafu, MalformedSnafu, UnreadableSnafu};
use crate::output::{CommonOptions, common_options, print_job, print_json};

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    action: Action,
    common: CommonOptions,
}

#[derive(Clone, Debug)]
enum Action {
    Submit { key: Option<String>, file: PathBuf },
    Show { customer: String, key: String },
    Withdraw { customer: String, key: String },
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    let action = construct!([submit(), show(), withdraw()]);
    let common = common_options();
    construct!(Args { common, action })
        .to_options()
        .descr("Submits, shows and withdraws jobs")
        .command("job")
}

fn customer() -> impl Parser<String> {
    positional::<String>("CUSTOMER").help("Customer that the job belongs to")
}

fn job_key() -> impl Parser<String> {
    positional::<String>("KEY").help("Idempotency key with which the job was submitted")
}

fn submit() -> impl Parser<Action> {
    let key = long("key")
        .help("Idempotency key; a UUID of version 7 also carries the creation time")
        .argument::<String>("KEY")
        .optional();
    let file = positional::<PathBuf>("FILE").help("File with the job in YAML or JSON");
    construct!(Action::Submit { key, file })
        .to_options()
        .descr("Submits a job and waits until it has ended")
        .command("submit")
}

fn show() -> impl Parser<Action> {
    let (customer, key) = (customer(), job_key());
    construct!(Action::Show { customer, key })
        .to_options()
        .descr("Shows the state of a job and of its tasks")
        .command("show")
}

fn withdraw() -> impl Parser<Action> {
    let (customer, key) = (customer(), job_key());
    construct!(Action::Withdraw { customer, key })
        .to_options()
        .descr("Withdraws a job and shows which of its tasks ran")
        .command("withdraw")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let client = EntryClient::new(args.common.entry)?;
    let answer: JobAnswer = match &args.action {
        Action::Submit { key, file } => {
            client.call(Method::POST, "/v1/jobs", key.as_deref(), read_job(file)?).await?
        }
        Action::Show { customer, key } => client.get(&format!("/v1/jobs/{customer}/{key}")).await?,
        Action::Withdraw { customer, key } => {
            let path = format!("/v1/jobs/{customer}/{key}");
            client.call(Method::DELETE, &path, None, Vec::new()).await?
        }
    };
    if args.common.json {
        print_json(&answer);
    } else {
        print_job(&answer);
    }
    let is_submission = matches!(args.action, Action::Submit { .. });
    let failed = is_submission && answer.state() == JobState::Failed;
    ensure!(!failed, JobFailedSnafu { reason: answer.reason });
    Ok(())
}

fn read_job(file: &Path) -> Result<Vec<u8>, CliError> {
    let text = std::fs::read_to_string(file).context(UnreadableSnafu { path: file })?;
    let job: JobSubmission =
        serde_yaml_ng::from_str(&text).context(MalformedSnafu { path: file })?;
    Ok(serde_json::to_vec(&job).expect("messages can be serialised as JSON"))
}
