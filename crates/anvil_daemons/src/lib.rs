//! What the thin `main`s share: settings, logs, the runtime, the signal to stop, and the
//! subcommands of `anvilreel`.

mod command;
mod daemon;
mod local_command;
pub mod operate;

pub use command::Command;
pub use daemon::{Args, StartError, exit_of, read_settings, runtime, start_again, stop_signal};
pub use local_command::{LocalCommand, LocalCommandError, local};
