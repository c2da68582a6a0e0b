//! The subcommands of `anvilreel`: the quick start and what operators do.

use argh::{CommandInfo, EarlyExit, FromArgs, SubCommand, SubCommands};

use crate::local_command::LocalCommand;
use crate::operate::Operate;

/// One subcommand of `anvilreel`.
#[derive(Debug)]
pub enum Command {
    /// All roles in one process.
    Local(LocalCommand),
    /// One of the operators' subcommands.
    Operate(Operate),
}

/// How many subcommands there are.
const COUNT: usize = 1 + <Operate as SubCommands>::COMMANDS.len();

/// The quick start first, then the operators' subcommands in their own order.
const ALL: [&CommandInfo; COUNT] = {
    let mut all = [LocalCommand::COMMAND; COUNT];
    let mut at = 1;
    while at < COUNT {
        all[at] = <Operate as SubCommands>::COMMANDS[at - 1];
        at += 1;
    }
    all
};

impl SubCommands for Command {
    const COMMANDS: &'static [&'static CommandInfo] = &ALL;
}

impl FromArgs for Command {
    fn from_args(name: &[&str], args: &[&str]) -> Result<Self, EarlyExit> {
        if name.last() == Some(&LocalCommand::COMMAND.name) {
            return LocalCommand::from_args(name, args).map(Self::Local);
        }
        Operate::from_args(name, args).map(Self::Operate)
    }
}
