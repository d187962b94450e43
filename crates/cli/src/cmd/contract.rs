//! `cowslipwing contract`: publishes, amends and shows contracts.

use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long, positional};
use cowslipwing_proto::{Contract, ContractInForce, ContractList};
use snafu::ResultExt;
use volo_http::http::Method;

use crate::client::EntryClient;
use crate::error::{CliError, MalformedSnafu, UnreadableSnafu};
use crate::output::{Common, common, print_contract, print_json};

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    action: Action,
    common: Common,
}

#[derive(Clone, Debug)]
enum Action {
    Publish { customer: String, file: PathBuf },
    Amend { base: u64, customer: String, file: PathBuf },
    Show { customer: String },
    List {},
}

/// Makes the parser of the subcommand.
pub(crate) fn make_subcommand() -> impl Parser<Args> {
    let action = construct!([publish(), amend(), show(), list()]);
    let common = common();
    construct!(Args { common, action })
        .to_options()
        .descr("Publishes, amends and shows contracts")
        .command("contract")
}

fn customer() -> impl Parser<String> {
    positional::<String>("CUSTOMER").help("Customer that the contract is with")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("Contract in YAML")
}

fn publish() -> impl Parser<Action> {
    construct!(Action::Publish { customer(), file() })
        .to_options()
        .descr("Publishes the first contract of a customer")
        .command("publish")
}

fn amend() -> impl Parser<Action> {
    let base = long("base").help("Version that the change is based on").argument::<u64>("VERSION");
    construct!(Action::Amend { base, customer(), file() })
        .to_options()
        .descr("Amends a contract; refused where its base is not the version in force")
        .command("amend")
}

fn show() -> impl Parser<Action> {
    construct!(Action::Show { customer() })
        .to_options()
        .descr("Shows the contract in force")
        .command("show")
}

fn list() -> impl Parser<Action> {
    construct!(Action::List {}).to_options().descr("Lists all contracts in force").command("list")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let client = EntryClient::new(args.common.entry)?;
    let contracts = match args.action {
        Action::Publish { customer, file } => vec![put(&client, &customer, 0, &file).await?],
        Action::Amend { base, customer, file } => vec![put(&client, &customer, base, &file).await?],
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

async fn put(
    client: &EntryClient,
    customer: &str,
    base: u64,
    file: &Path,
) -> Result<ContractInForce, CliError> {
    let text = std::fs::read_to_string(file).context(UnreadableSnafu { path: file })?;
    let contract: Contract =
        serde_yaml_ng::from_str(&text).context(MalformedSnafu { path: file })?;
    let body = serde_json::to_vec(&contract).expect("messages have no keys that JSON cannot take");
    let path = format!("/v1/contracts/{customer}?base={base}");
    client.call(Method::PUT, &path, None, body).await
}
