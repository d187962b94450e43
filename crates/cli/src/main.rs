//! The command-line tool of cowslipwing for operators and callers.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 wrong usage or not checked, 3 no entry could be
//! reached.

mod client;
mod cmd;
mod error;
mod output;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

use error::CliError;

/// A parsed subcommand.
enum Command {
    Contract(cmd::contract::Args),
    Job(cmd::job::Args),
    Batch(cmd::batch::Args),
    Endpoint(cmd::endpoint::Args),
    Config(cmd::config::Args),
    Settings(cmd::settings::Args),
    Status(cmd::status::Args),
    Demo(cmd::demo::Args),
}

fn options() -> OptionParser<Command> {
    let contract = cmd::contract::subcommand().map(Command::Contract);
    let job = cmd::job::subcommand().map(Command::Job);
    let batch = cmd::batch::subcommand().map(Command::Batch);
    let endpoint = cmd::endpoint::subcommand().map(Command::Endpoint);
    let config = cmd::config::subcommand().map(Command::Config);
    let settings = cmd::settings::subcommand().map(Command::Settings);
    let status = cmd::status::subcommand().map(Command::Status);
    let demo = cmd::demo::subcommand().map(Command::Demo);
    construct!([contract, job, batch, endpoint, config, settings, status, demo])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr(
            "Publishes contracts, submits and withdraws jobs, and shows the state of cowslipwing",
        )
        .footer("Exit codes: 0 success, 1 refused or failed, 2 wrong usage, 3 no entry reached")
}

fn main() -> ExitCode {
    let command = match options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            const TERMINAL_WIDTH: usize = 100;
            const USAGE_ERROR: u8 = 2;
            failure.print_message(TERMINAL_WIDTH);
            return if failure.exit_code() == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(USAGE_ERROR)
            };
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

#[tokio::main]
async fn run(command: Command) -> Result<(), CliError> {
    match command {
        Command::Contract(args) => cmd::contract::execute(args).await,
        Command::Job(args) => cmd::job::execute(args).await,
        Command::Batch(args) => cmd::batch::execute(args).await,
        Command::Endpoint(args) => cmd::endpoint::execute(args).await,
        Command::Config(args) => cmd::config::execute(args).await,
        Command::Settings(args) => cmd::settings::execute(args),
        Command::Status(args) => cmd::status::execute(args).await,
        Command::Demo(args) => cmd::demo::execute(args).await,
    }
}
