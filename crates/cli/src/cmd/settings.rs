//! `cowslipwing settings`: validates the settings of a daemon.

use std::path::PathBuf;

use bpaf::{Parser, construct, positional};
use cowslipwing_settings::{Config, Role};

use crate::error::CliError;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    file: PathBuf,
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    let file = positional::<PathBuf>("FILE").help("Settings file in YAML");
    let check = construct!(Args { file })
        .to_options()
        .descr("Validates a settings file without starting a daemon")
        .command("check");
    check.to_options().descr("Validates the settings of a daemon").command("settings")
}

/// Runs the subcommand.
pub(crate) fn execute(args: Args) -> Result<(), CliError> {
    let config = Config::load(&args.file)?;
    let role = match config.role {
        Role::Entry(entry) => format!("entry {}", entry.name),
        Role::Agent(agent) => format!("agent of {}", agent.endpoint),
        Role::PlatformEntry(entry) => format!("entry on platform VM {}", entry.common.node),
        Role::PlatformAgent(agent) => format!("agent on platform VM {}", agent.common.node),
    };
    println!("{} is valid: {role} at {}", args.file.display(), config.site);
    Ok(())
}
