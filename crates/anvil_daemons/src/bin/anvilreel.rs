//! The operators' client, and the quick start `anvilreel local`.

use std::net::SocketAddr;
use std::process::ExitCode;

use anvil_daemons::operate::{self, Connection};
use anvil_daemons::{Command, local, runtime};
use argh::FromArgs;

/// Default timeout of one action of an operator, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 15;

/// anvilreel: a router fleet for prepaid token budgets
#[derive(Debug, FromArgs)]
struct Args {
    /// wire address of a ledger replica, once for each; 127.0.0.1:8788 unless given
    #[argh(option)]
    ledger: Vec<SocketAddr>,
    /// who makes the change; the user's name unless given
    #[argh(option)]
    operator: Option<String>,
    /// longest time for one action, in seconds
    #[argh(option, default = "DEFAULT_TIMEOUT_S")]
    within: u64,
    /// print reports as JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let command = match args.command {
        Command::Local(command) => return finish(local(&command)),
        Command::Operate(command) => command,
    };
    let connection = Connection {
        ledgers: args.ledger,
        operator: args.operator,
        within: args.within,
        json: args.json,
    };
    match runtime(1) {
        Ok(runtime) => ExitCode::from(runtime.block_on(operate::run(&connection, command)) as u8),
        Err(e) => finish(Err(e)),
    }
}

fn finish<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
