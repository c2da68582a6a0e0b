//! What the thin `main`s share: the operators' commands of `anvilreel`.

pub mod operate;

mod daemon;
mod local_command;

pub use daemon::{Args, StartError, exit_of, read_settings, runtime, stop_signal};
pub use local_command::{LocalCommand, LocalCommandError, local};
