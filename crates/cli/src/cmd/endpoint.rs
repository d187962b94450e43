//! `cowslipwing endpoint`: lists endpoints, withdraws them from use and returns them to use.

use bpaf::{Parser, construct, positional};
use cowslipwing_proto::EndpointList;
use volo_http::http::Method;

use crate::client::EntryClient;
use crate::error::CliError;
use crate::output::{CommonOptions, common_options, print_json};

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    action: Action,
    common: CommonOptions,
}

#[derive(Clone, Debug)]
enum Action {
    List {},
    Withdraw { endpoint: String },
    Return { endpoint: String },
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    let action = construct!([list(), withdraw(), return_to_use()]);
    let common = common_options();
    construct!(Args { common, action })
        .to_options()
        .descr("Lists endpoints, withdraws them from use and returns them to use")
        .command("endpoint")
}

fn endpoint() -> impl Parser<String> {
    positional::<String>("ENDPOINT").help("Name under which the endpoint is announced")
}

fn list() -> impl Parser<Action> {
    construct!(Action::List {})
        .to_options()
        .descr("Lists the endpoints known to the entry")
        .command("list")
}

fn withdraw() -> impl Parser<Action> {
    construct!(Action::Withdraw { endpoint() })
        .to_options()
        .descr("Stops all entries from sending tasks to an endpoint")
        .command("withdraw")
}

fn return_to_use() -> impl Parser<Action> {
    construct!(Action::Return { endpoint() })
        .to_options()
        .descr("Allows tasks to be sent to a withdrawn endpoint again")
        .command("return")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let client = EntryClient::new(args.common.entry)?;
    match args.action {
        Action::List {} => print_list(&client.get("/v1/endpoints").await?, args.common.json),
        Action::Withdraw { endpoint } => post_action(&client, &endpoint, "withdraw").await?,
        Action::Return { endpoint } => post_action(&client, &endpoint, "return").await?,
    }
    Ok(())
}

async fn post_action(client: &EntryClient, endpoint: &str, action: &str) -> Result<(), CliError> {
    let path = format!("/v1/endpoints/{endpoint}/{action}");
    client.call::<()>(Method::POST, &path, None, Vec::new()).await?;
    println!("{action} of endpoint {endpoint} is in force");
    Ok(())
}

fn print_list(list: &EndpointList, json: bool) {
    if json {
        print_json(list);
        return;
    }
    println!("{:<16} {:<12} {:>5} {:>7} state", "endpoint", "site", "slots", "running");
    for endpoint in &list.endpoints {
        let state = match (endpoint.withdrawn, endpoint.usable) {
            (true, _) => "withdrawn",
            (false, true) => "in use",
            (false, false) => "joining",
        };
        println!(
            "{:<16} {:<12} {:>5} {:>7} {state}",
            endpoint.endpoint, endpoint.site, endpoint.slots, endpoint.running
        );
    }
}
