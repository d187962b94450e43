//! `cowslipwing batch`: withdraws the jobs of a batch.

use bpaf::{Parser, construct, positional};
use volo_http::http::Method;

use crate::client::EntryClient;
use crate::error::CliError;
use crate::output::{Common, common};

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    customer: String,
    batch: String,
    common: Common,
}

/// Makes the parser of the subcommand.
pub(crate) fn make_subcommand() -> impl Parser<Args> {
    let common = common();
    let customer = positional::<String>("CUSTOMER").help("Customer that the batch belongs to");
    let batch = positional::<String>("BATCH").help("Batch to withdraw");
    let withdraw = construct!(Args { common, customer, batch })
        .to_options()
        .descr("Withdraws every job of a batch, open or still to come")
        .command("withdraw");
    withdraw.to_options().descr("Withdraws batches of jobs").command("batch")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let client = EntryClient::new(args.common.entry)?;
    let path = format!("/v1/batches/{}/{}/withdraw", args.customer, args.batch);
    client.call::<()>(Method::POST, &path, None, Vec::new()).await?;
    println!("batch {} of {} is withdrawn", args.batch, args.customer);
    Ok(())
}
