//! `cowslipwing config`: checks a configuration before it is sent.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long, positional};
use cowslipwing_platform::{
    ConfigDifference, ConfigFinding, StoreClient, Topic, check_config, compare_configs,
};
use serde::Serialize;
use snafu::{OptionExt, ResultExt};

use crate::error::{CliError, FindingsSnafu, NoConfigurationSnafu, NotCheckedSnafu, StoreSnafu};
use crate::output::print_json;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    reference: Reference,
    json: bool,
    file: PathBuf,
}

/// The configuration with which the file is compared.
#[derive(Clone, Debug)]
enum Reference {
    File { against: PathBuf },
    Store { in_force: (), store: SocketAddr },
    None,
}

/// The result of a check.
#[derive(Serialize)]
struct Report {
    findings: Vec<ConfigFinding>,
    differences: Vec<ConfigDifference>,
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    let reference = reference();
    let json = long("json").help("Print the result as JSON").switch();
    let file = positional::<PathBuf>("FILE").help("Configuration in JSON");
    let check = construct!(Args { reference, json, file })
        .to_options()
        .descr("Checks a configuration, and compares it with another one")
        .footer("Exit codes: 0 no findings, 1 findings, 2 could not check")
        .command("check");
    check.to_options().descr("Checks a configuration before it is sent").command("config")
}

fn reference() -> impl Parser<Reference> {
    let against = long("against").help("Configuration to compare with").argument::<PathBuf>("FILE");
    let in_force =
        long("in-force").help("Compare with the configuration in the store").req_flag(());
    let store = long("store")
        .env("COWSLIPWING_STORE")
        .help("Address of the store, as IP:PORT")
        .argument::<SocketAddr>("ADDRESS");
    let file = construct!(Reference::File { against });
    let store = construct!(Reference::Store { in_force, store });
    construct!([file, store]).fallback(Reference::None)
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let record = read_file(&args.file)?;
    let former = match args.reference {
        Reference::File { against } => Some(read_file(&against)?),
        Reference::Store { in_force: (), store } => Some(read_store(store).await?),
        Reference::None => None,
    };
    let report = check(&record, former.as_deref())?;
    if args.json {
        print_json(&report);
    } else {
        print_report(&report);
    }
    match report.findings.len() {
        0 => Ok(()),
        count => FindingsSnafu { count }.fail(),
    }
}

fn check(record: &[u8], former: Option<&[u8]>) -> Result<Report, CliError> {
    let findings = check_config(record, former);
    // A configuration that the decoder rejects has no meaning to compare.
    let is_rejected = compare_configs(record, record).is_err();
    let differences = match former {
        Some(former) if !is_rejected => compare_configs(former, record).map_err(|error| {
            NotCheckedSnafu { detail: format!("the former configuration: {error}") }.build()
        })?,
        _ => Vec::new(),
    };
    Ok(Report { findings, differences })
}

fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    fs::read(path).map_err(|error| {
        NotCheckedSnafu { detail: format!("cannot read {}: {error}", path.display()) }.build()
    })
}

async fn read_store(address: SocketAddr) -> Result<Vec<u8>, CliError> {
    let newest = StoreClient::new(address).newest(Topic::Configuration).await;
    let (records, _) = newest.context(StoreSnafu { address })?;
    let is_config = |key: &str| key == Topic::CONFIGURATION_KEY;
    let record = records.into_iter().find(|record| is_config(&record.key));
    let record = record.filter(|record| !record.value.is_empty());
    Ok(record.context(NoConfigurationSnafu { address })?.value.to_vec())
}

fn print_report(report: &Report) {
    for finding in &report.findings {
        let key = if finding.key.is_empty() { "configuration" } else { &finding.key };
        println!("{key} = {}: {}", finding.value, finding.remedy);
    }
    for difference in &report.differences {
        println!("{}\n  under way: {}", difference.change, difference.effect);
    }
    println!("{} findings, {} differences", report.findings.len(), report.differences.len());
}
