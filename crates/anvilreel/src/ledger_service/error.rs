//! Errors that prevent a replica from starting, and faults that stop a running one.

use anvil_ledger::core::CoreError;
use anvil_ledger::machine::MachineError;
use anvil_ledger::storage::StorageError;
use anvil_wire::WireError;
use snafu::Snafu;

use crate::metrics::MetricsError;

/// The replica could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ServiceError {
    /// The data folder can't be opened, or another process uses it.
    #[snafu(display("data folder {data} could not be opened: {source}"))]
    Disk {
        /// Path of the folder.
        data: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The data folder can't be read back.
    #[snafu(display("{source}"))]
    Storage {
        /// The cause.
        source: StorageError,
    },
    /// The snapshot can't be read.
    #[snafu(display("{source}"))]
    Machine {
        /// The cause.
        source: MachineError,
    },
    /// The address can't be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// The cause.
        source: WireError,
    },
    /// Metrics can't be sent.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
    /// The writer thread can't be started.
    #[snafu(display("writer thread could not be started: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// Fault that has stopped a running replica for good.
#[derive(Debug, Snafu)]
#[snafu(module(fault), visibility(pub(in crate::ledger_service)))]
pub enum Fault {
    /// The disk is full, or a write or sync failed.
    #[snafu(display("{source}"))]
    Disk {
        /// The cause.
        source: StorageError,
    },
    /// An invariant of the log is violated.
    #[snafu(display("{source}"))]
    Core {
        /// The violated invariant.
        source: CoreError,
    },
    /// An invariant of the state is violated, or an entry can't be decoded.
    #[snafu(display("{source}"))]
    Apply {
        /// The cause.
        source: MachineError,
    },
}
