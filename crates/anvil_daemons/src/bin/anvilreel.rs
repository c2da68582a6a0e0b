//! The operators' client and the quick start.

use std::process::ExitCode;

use anvil_daemons::{LocalCommand, local};
use argh::FromArgs;

/// anvilreel: a router fleet for prepaid token budgets
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Local(LocalCommand),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let Command::Local(command) = args.command;
    match local(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
