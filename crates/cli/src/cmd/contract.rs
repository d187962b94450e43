//! `cowslipwing contract`: publishes, amends, shows and lists contracts.

use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long, positional};
use cowslipwing_proto::{Contract, ContractInForce, ContractList};
use snafu::ResultExt;
use volo_http::http::Method;

use crate::client::EntryClient;
use crate::error::{CliError, MalformedSnafu, UnreadableSnafu};
use crate::output::{CommonOptions, common_options, print_contract, print_json};

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    action: Action,
    common: CommonOptions,
}

#[derive(Clone, Debug)]
enum Action {
    Publish { customer: String, file: PathBuf },
    Amend { base: u64, customer: String, file: PathBuf },
    Show { customer: String },
    List {},
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    let action = construct!([publish(), amend(), show(), list()]);
    let common = common_options();
    construct!(Args { common, action })
        .to_options()
        .descr("Publishes, amends, shows and lists contracts")
        .command("contract")
}

fn customer() -> impl Parser<String> {
    positional::<String>("CUSTOMER").help("Customer of the contract")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("File with the contract in YAML")
}

fn publish() -> impl Parser<Action> {
    construct!(Action::Publish { customer(), file() })
        .to_options()
        .descr("Publishes the first contract of a customer")
        .command("publish")
}

fn amend() -> impl Parser<Action> {
    let base = long("base")
        .help("Version of the contract that the change is based on")
        .argument::<u64>("VERSION");
    construct!(Action::Amend { base, customer(), file() })
        .to_options()
        .descr("Amends a contract; rejected if the base is not the version in force")
        .command("amend")
}

fn show() -> impl Parser<Action> {
    construct!(Action::Show { customer() })
        .to_options()
        .descr("Shows the contract that is in force for a customer")
        .command("show")
}

fn list() -> impl Parser<Action> {
    construct!(Action::List {})
        .to_options()
        .descr("Lists the contracts that are in force for all customers")
        .command("list")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let client = EntryClient::new(args.common.entry)?;
    let contracts = match args.action {
        Action::Publish { customer, file } => {
            vec![put_contract(&client, &customer, 0, &file).await?]
        }
        Action::Amend { base, customer, file } => {
            vec![put_contract(&client, &customer, base, &file).await?]
        }
        Action::Show { customer } => vec![client.get(&format!("/v1/contracts/{customer}")).await?],
        Action::List {} => client.get::<ContractList>("/v1/contracts").await?.contracts,
    };
    if args.common.json {
        print_json(&ContractList { contracts });
    } else {
        contracts.iter().for_each(print_contract);
    }
    Ok(())
}

async fn put_contract(
    client: &EntryClient,
    customer: &str,
    base: u64,
    file: &Path,
) -> Result<ContractInForce, CliError> {
    let text = std::fs::read_to_string(file).context(UnreadableSnafu { path: file })?;
    let contract: Contract =
        serde_yaml_ng::from_str(&text).context(MalformedSnafu { path: file })?;
    let body = serde_json::to_vec(&contract).expect("messages can be serialised as JSON");
    let path = format!("/v1/contracts/{customer}?base={base}");
    client.call(Method::PUT, &path, None, body).await
}
