//! `cowslipwing endpoint`: lists endpoints, withdraws them or a whole data centre from use, and
//! returns them to use.

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
    Evacuate { site: String },
    EndEvacuation { site: String },
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    let action = construct!([list(), withdraw(), return_to_use(), evacuate(), end_evacuation()]);
    let common = common_options();
    construct!(Args { common, action })
        .to_options()
        .descr("Lists endpoints, withdraws them or a data centre from use and returns them to use")
        .command("endpoint")
}

fn endpoint() -> impl Parser<String> {
    positional::<String>("ENDPOINT").help("Name under which the endpoint is announced")
}

fn site() -> impl Parser<String> {
    positional::<String>("SITE").help("Name of the data centre")
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

fn evacuate() -> impl Parser<Action> {
    construct!(Action::Evacuate { site() })
        .to_options()
        .descr("Stops all starts of tasks at the endpoints of a data centre")
        .command("evacuate")
}

fn end_evacuation() -> impl Parser<Action> {
    construct!(Action::EndEvacuation { site() })
        .to_options()
        .descr("Allows tasks to start at the endpoints of an evacuated data centre again")
        .command("end-evacuation")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let client = EntryClient::new(args.common.entry)?;
    match args.action {
        Action::List {} => print_list(&client.get("/v1/endpoints").await?, args.common.json),
        Action::Withdraw { endpoint } => {
            post_action(&client, ("endpoint", &endpoint), "withdraw").await?;
        }
        Action::Return { endpoint } => {
            post_action(&client, ("endpoint", &endpoint), "return").await?;
        }
        Action::Evacuate { site } => post_action(&client, ("site", &site), "evacuate").await?,
        Action::EndEvacuation { site } => post_action(&client, ("site", &site), "return").await?,
    }
    Ok(())
}

/// Requests an action on an endpoint or a site, given as its kind and name.
async fn post_action(
    client: &EntryClient,
    (kind, name): (&str, &str),
    action: &str,
) -> Result<(), CliError> {
    let path = format!("/v1/{kind}s/{name}/{action}");
    client.call::<()>(Method::POST, &path, None, Vec::new()).await?;
    let change = if action == "evacuate" { "evacuation" } else { action };
    println!("{change} of {kind} {name} is in force");
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
