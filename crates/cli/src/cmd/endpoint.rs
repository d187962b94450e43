//! `cowslipwing endpoint`: lists and withdraws endpoints.

use bpaf::{Parser, construct, positional};
use cowslipwing_proto::EndpointList;
use volo_http::http::Method;

use crate::client::EntryClient;
use crate::error::CliError;
use crate::output::{Common, common, print_json};

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    action: Action,
    common: Common,
}

#[derive(Clone, Debug)]
enum Action {
    List {},
    Withdraw { endpoint: String },
    Return { endpoint: String },
}

/// Makes the parser of the subcommand.
pub(crate) fn make_subcommand() -> impl Parser<Args> {
    let action = construct!([list(), withdraw(), let_return()]);
    let common = common();
    construct!(Args { common, action })
        .to_options()
        .descr("Lists and withdraws endpoints")
        .command("endpoint")
}

fn endpoint() -> impl Parser<String> {
    positional::<String>("ENDPOINT").help("Name that the endpoint is announced under")
}

fn list() -> impl Parser<Action> {
    construct!(Action::List {})
        .to_options()
        .descr("Lists the endpoints that the entry knows")
        .command("list")
}

fn withdraw() -> impl Parser<Action> {
    construct!(Action::Withdraw { endpoint() })
        .to_options()
        .descr("Stops new work to an endpoint at every entry")
        .command("withdraw")
}

fn let_return() -> impl Parser<Action> {
    construct!(Action::Return { endpoint() })
        .to_options()
        .descr("Lets a withdrawn endpoint have work again")
        .command("return")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let client = EntryClient::new(args.common.entry)?;
    match args.action {
        Action::List {} => print_list(&client.get("/v1/endpoints").await?, args.common.json),
        Action::Withdraw { endpoint } => change(&client, &endpoint, "withdraw").await?,
        Action::Return { endpoint } => change(&client, &endpoint, "return").await?,
    }
    Ok(())
}

async fn change(client: &EntryClient, endpoint: &str, action: &str) -> Result<(), CliError> {
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
    for found in &list.endpoints {
        let state = match (found.withdrawn, found.usable) {
            (true, _) => "withdrawn",
            (false, true) => "in use",
            (false, false) => "joining",
        };
        println!(
            "{:<16} {:<12} {:>5} {:>7} {state}",
            found.endpoint, found.site, found.slots, found.running
        );
    }
}
