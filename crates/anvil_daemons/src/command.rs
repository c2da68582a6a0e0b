//! The subcommands of `anvilreel`: `local` for the quick start, and those for operators.

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

/// Number of subcommands.
const COUNT: usize = 1 + <Operate as SubCommands>::COMMANDS.len();

/// All subcommands: `local`, then those for operators in their own order.
const ALL: [&CommandInfo; COUNT] = {
    let mut all = [LocalCommand::COMMAND; COUNT];
    let mut index = 1;
    while index < COUNT {
        all[index] = <Operate as SubCommands>::COMMANDS[index - 1];
        index += 1;
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
