//! `cowslipwing batch`: withdraws the jobs of a batch.

use bpaf::{Parser, construct, positional};
use volo_http::http::Method;

use crate::client::EntryClient;
use crate::error::CliError;
use crate::output::{CommonOptions, common_options};

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    customer: String,
    batch: String,
    common: CommonOptions,
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    let common = common_options();
    let customer = positional::<String>("CUSTOMER").help("Customer that the batch belongs to");
    let batch = positional::<String>("BATCH").help("Batch to withdraw");
    let withdraw = construct!(Args { common, customer, batch })
        .to_options()
        .descr("Withdraws all open jobs of a batch and rejects later submissions to it")
        .command("withdraw");
    withdraw.to_options().descr("Withdraws batches of jobs").command("batch")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let client = EntryClient::new(args.common.entry)?;
    let path = format!("/v1/batches/{}/{}/withdraw", args.customer, args.batch);
    client.call::<()>(Method::POST, &path, None, Vec::new()).await?;
    println!("batch {} of customer {} is withdrawn", args.batch, args.customer);
    Ok(())
}
