//! Why a replica could not start, or has stopped.

use anvil_ledger::core::CoreError;
use anvil_ledger::machine::MachineError;
use anvil_ledger::storage::StorageError;
use anvil_wire::WireError;
use snafu::Snafu;

use crate::metrics::MetricsError;

/// A replica that could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ServiceError {
    /// The data folder can't be opened, or another process uses it.
    #[snafu(display("data folder {data}: {source}"))]
    Disk {
        /// The folder.
        data: String,
        /// Why.
        source: std::io::Error,
    },
    /// The data folder can't be read back.
    #[snafu(display("{source}"))]
    Storage {
        /// Why.
        source: StorageError,
    },
    /// The snapshot can't be read.
    #[snafu(display("{source}"))]
    Machine {
        /// Why.
        source: MachineError,
    },
    /// The address can't be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// Why.
        source: WireError,
    },
    /// Metrics can't be sent.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: MetricsError,
    },
    /// The disk's thread can't be started.
    #[snafu(display("no thread for the disk: {source}"))]
    Thread {
        /// Why.
        source: std::io::Error,
    },
}

/// Why a running replica has stopped for good.
#[derive(Debug, Snafu)]
#[snafu(module(fault), visibility(pub(in crate::ledger_service)))]
pub enum Fault {
    /// The disk is full, or a write or sync failed.
    #[snafu(display("{source}"))]
    Disk {
        /// Why.
        source: StorageError,
    },
    /// An invariant of the log does not hold.
    #[snafu(display("{source}"))]
    Core {
        /// Which.
        source: CoreError,
    },
    /// An invariant of the state does not hold, or an entry can't be read.
    #[snafu(display("{source}"))]
    Apply {
        /// Which.
        source: MachineError,
    },
}
