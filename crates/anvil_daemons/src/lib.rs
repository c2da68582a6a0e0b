//! Shared code of the binaries: settings, the runtime, the stop signal, and the subcommands of
//! `anvilreel`.

mod command;
mod daemon;
mod local_command;
pub mod operate;

pub use command::Command;
pub use daemon::{
    Args, StartError, exit_code, read_settings, runtime, start_with_retries, stop_signal,
};
pub use local_command::{LocalCommand, LocalCommandError, local};
