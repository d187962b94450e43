//! `cowslipwing status`: shows the state of an entry.

use bpaf::{Parser, construct};
use cowslipwing_proto::StatusView;

use crate::client::EntryClient;
use crate::error::CliError;
use crate::output::{CommonOptions, common_options, print_json};

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    common: CommonOptions,
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    let common = common_options();
    construct!(Args { common }).to_options().descr("Shows the state of an entry").command("status")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let status: StatusView = EntryClient::new(args.common.entry)?.get("/v1/status").await?;
    if args.common.json {
        print_json(&status);
        return Ok(());
    }
    println!("{} at {}", status.entry, status.site);
    println!("  log read to offset {}, {} ms ago", status.next_offset, status.log_age_ms);
    println!("  members (version {}): {}", status.member_version, status.members.join(", "));
    println!("  ranges owned {}, serving {}", status.ranges_owned, status.ranges_serving);
    println!("  open jobs {}", status.open_jobs);
    Ok(())
}
