//! Errors of operator actions. They distinguish what was certainly not done from what is unknown.

use std::path::PathBuf;

use anvil_wire::WireError;
use anvil_world::command::Denial;
use anvil_world::content::DigestError;
use anvil_world::path::PathError;
use anvil_world::prelude::*;
use anvil_world::share::ShareFactorError;
use snafu::Snafu;

/// Exit status of the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// Done.
    Done = 0,
    /// The command line, a file or its contents are invalid; nothing was sent.
    InvalidInput = 2,
    /// The ledger refused; nothing was changed.
    Denied = 3,
    /// The ledger could not be reached; nothing was changed.
    NotDone = 4,
    /// The outcome is unknown; resend under the same id.
    OutcomeUnknown = 5,
    /// Committed, but not in force everywhere within the timeout.
    RolloutIncomplete = 6,
}

/// A failed action.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OperatorError {
    /// No leader with a majority replied; nothing was changed.
    #[snafu(display("not done: no leader with a majority replied at {tried}"))]
    NotDone {
        /// The addresses that were tried.
        tried: String,
    },
    /// The reply was lost, and so were those to the resent change.
    #[snafu(display(
        "outcome unknown: the reply to change {id} was lost; the change may be in force. \
         Send it again with --id {id} to find out; it is not made twice"
    ))]
    OutcomeUnknown {
        /// The id to resend with.
        id: ChangeId,
    },
    /// The reply to an order for a zone was lost.
    #[snafu(display(
        "outcome unknown: the reply was lost; the order may be in force. Send it again"
    ))]
    EvacuationUnknown,
    /// The ledger refused; nothing was changed.
    #[snafu(display("not done: {source}"))]
    Denied {
        /// Cause.
        source: Denial,
    },
    /// The reply is not of the expected kind.
    #[snafu(display("the reply is of a kind that this client doesn't expect"))]
    Unexpected,
    /// Invalid settings text; nothing was sent.
    #[snafu(display("{source}"))]
    Settings {
        /// Path, line, the value found and the values allowed.
        source: SettingsError,
    },
    /// Invalid path of a document.
    #[snafu(display("{source}"))]
    Path {
        /// Cause, with what is allowed.
        source: PathError,
    },
    /// Invalid digest of a content.
    #[snafu(display("{source}"))]
    Digest {
        /// Cause, with what is allowed.
        source: DigestError,
    },
    /// An order to lift quarantines that doesn't say which.
    #[snafu(display("name either the digest of a content or, with --service, a service"))]
    QuarantineTarget,
    /// A share's factor that is not valid.
    #[snafu(display("{source}"))]
    ShareFactor {
        /// What is wrong.
        source: ShareFactorError,
    },
    /// An order that sets a share and doesn't say whose.
    #[snafu(display("name either an organisation with --organisation or a route with --route"))]
    ShareTarget,
    /// A file that can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The sidecar did not reply. The fencing number is used up; a new order takes another one.
    #[snafu(display("outcome unknown: the sidecar {sidecar} did not reply: {source}"))]
    Sidecar {
        /// The sidecar.
        sidecar: InstanceId,
        /// Cause.
        source: WireError,
    },
    /// No such instance.
    #[snafu(display("no such instance: {id}"))]
    NoInstance {
        /// Name that was given.
        id: InstanceId,
    },
}

impl OperatorError {
    /// The exit code for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::NotDone { .. } => ExitCode::NotDone,
            Self::OutcomeUnknown { .. }
            | Self::EvacuationUnknown
            | Self::Sidecar { .. }
            | Self::Unexpected => ExitCode::OutcomeUnknown,
            Self::Denied { .. } | Self::NoInstance { .. } => ExitCode::Denied,
            Self::Settings { .. }
            | Self::Path { .. }
            | Self::Digest { .. }
            | Self::QuarantineTarget
            | Self::ShareFactor { .. }
            | Self::ShareTarget
            | Self::File { .. } => ExitCode::InvalidInput,
        }
    }
}
