//! What can go wrong for an operator, told as far as it is known.

use std::path::PathBuf;

use anvil_wire::WireError;
use anvil_world::command::Denial;
use anvil_world::path::PathError;
use anvil_world::prelude::*;
use snafu::Snafu;

/// How the command ends for the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// Done.
    Done = 0,
    /// The command line, a file or its contents are wrong; nothing was sent.
    Wrong = 2,
    /// The ledger refused; nothing was changed.
    Denied = 3,
    /// The ledger could not be asked; nothing was changed.
    NotDone = 4,
    /// It may or may not have been done: resend under the same id.
    NotKnown = 5,
    /// Committed, but not in force everywhere within the time.
    NotEverywhere = 6,
}

/// A failed action.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OperatorError {
    /// No leader with a majority answered; nothing was changed.
    #[snafu(display("not done: no leader with a majority answered at {tried}"))]
    NotDone {
        /// The addresses.
        tried: String,
    },
    /// The answer was lost and could not be had again.
    #[snafu(display(
        "not known: the answer to change {id} was lost; it may be in force. \
         Send it again with --id {id} to learn which; it is not made twice"
    ))]
    NotKnown {
        /// The id to resend with.
        id: ChangeId,
    },
    /// The ledger refused.
    #[snafu(display("not done: {source}"))]
    Denied {
        /// Why.
        source: Denial,
    },
    /// The ledger answered something else than was asked.
    #[snafu(display("the ledger answered in a way this client doesn't understand"))]
    Unexpected,
    /// Settings text that is not accepted; nothing was sent.
    #[snafu(display("{source}"))]
    Settings {
        /// Path, line, what was found and what is allowed.
        source: SettingsError,
    },
    /// A path that is not one.
    #[snafu(display("{source}"))]
    Path {
        /// What is allowed.
        source: PathError,
    },
    /// A file that can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    File {
        /// Which.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The sidecar could not be reached. The fencing number is used up; order again.
    #[snafu(display("not known: the sidecar {sidecar} did not answer: {source}"))]
    Sidecar {
        /// Which.
        sidecar: InstanceId,
        /// Why.
        source: WireError,
    },
    /// No such instance.
    #[snafu(display("no such instance: {id}"))]
    NoInstance {
        /// The name.
        id: InstanceId,
    },
}

impl OperatorError {
    /// The exit code that goes with it.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::NotDone { .. } => ExitCode::NotDone,
            Self::NotKnown { .. } | Self::Sidecar { .. } | Self::Unexpected => ExitCode::NotKnown,
            Self::Denied { .. } | Self::NoInstance { .. } => ExitCode::Denied,
            Self::Settings { .. } | Self::Path { .. } | Self::File { .. } => ExitCode::Wrong,
        }
    }
}
