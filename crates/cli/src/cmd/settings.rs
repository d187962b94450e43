//! `cowslipwing settings`: checks the settings of a daemon.

use std::path::PathBuf;

use bpaf::{Parser, construct, positional};
use cowslipwing_settings::{Config, Role};

use crate::error::CliError;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    file: PathBuf,
}

/// Makes the parser of the subcommand.
pub(crate) fn make_subcommand() -> impl Parser<Args> {
    let file = positional::<PathBuf>("FILE").help("Settings in YAML");
    let check = construct!(Args { file })
        .to_options()
        .descr("Checks settings without starting anything")
        .command("check");
    check.to_options().descr("Checks the settings of a daemon").command("settings")
}

/// Runs the subcommand.
pub(crate) fn execute(args: Args) -> Result<(), CliError> {
    let config = Config::load(&args.file)?;
    let role = match config.role {
        Role::Entry(entry) => format!("entry {}", entry.name),
        Role::Agent(agent) => format!("agent of {}", agent.endpoint),
        Role::PlatformEntry(entry) => format!("entry on the platform's VM {}", entry.common.node),
        Role::PlatformAgent(agent) => format!("agent on the platform's VM {}", agent.common.node),
    };
    println!("{} is valid: {role} at {}", args.file.display(), config.site);
    Ok(())
}
