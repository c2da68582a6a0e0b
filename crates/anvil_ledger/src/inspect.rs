//! Reads a data folder offline, checks it, and reports its contents.
//!
//! Nothing is changed, so a folder that a replica is using can be read too; its newest frame may
//! then look torn, because it is being written.
//!
//! ```no_run
//! # fn demo() -> Result<(), anvil_ledger::inspect::InspectError> {
//! use std::path::Path;
//!
//! let report = anvil_ledger::inspect::inspect(Path::new("/var/lib/anvilreel"))?;
//! println!("{report}");
//! # Ok(()) }
//! ```

mod report;

use std::path::Path;

use snafu::{ResultExt, Snafu, ensure};

use crate::core::{Membership, Payload};
use crate::machine::{Machine, MachineError};
use crate::state::InvariantError;
use crate::storage::recover::{Recovered, recover};
use crate::storage::store::read_identity;
use crate::storage::{Disk, StorageError};

pub use report::{Report, StateView};

/// A folder that failed the checks.
#[derive(Debug, Snafu)]
pub enum InspectError {
    /// There is no such folder, or no replica has ever used it.
    #[snafu(display("no replica in {folder}: the identity file is missing"))]
    Empty {
        /// The folder.
        folder: String,
    },
    /// The folder can't be read, or is damaged.
    #[snafu(display("{source}"))]
    Storage {
        /// The cause.
        source: StorageError,
    },
    /// Snapshot or entries can't be decoded or applied.
    #[snafu(display("{source}"))]
    Machine {
        /// The cause.
        source: MachineError,
    },
    /// The state violates an invariant.
    #[snafu(display("{source}"))]
    Invariant {
        /// The violation.
        source: InvariantError,
    },
}

/// Checks a data folder and reports its contents.
pub fn inspect(folder: &Path) -> Result<Report, InspectError> {
    let name = folder.display().to_string();
    ensure!(folder.is_dir(), EmptySnafu { folder: name });
    let disk = Disk::read_only(folder);
    let id = read_identity(&disk).context(StorageSnafu)?;
    let Some(id) = id else {
        return EmptySnafu { folder: name }.fail();
    };
    let found = recover(&disk).context(StorageSnafu)?;
    let membership = newest_membership(&found);
    let state = check_state(&found)?;
    Ok(Report {
        folder: name,
        id,
        hard: found.hard,
        base: found.base,
        last: found.last(),
        snapshot: found.snapshot.as_ref().map(|s| s.meta.last),
        segments: found.segments,
        membership,
        state,
    })
}

fn newest_membership(found: &Recovered) -> Membership {
    let changes = found
        .entries
        .iter()
        .filter_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some(membership),
            Payload::Blank | Payload::Data(_) => None,
        });
    let covered = found.snapshot.as_ref().map(|s| &s.meta.membership);
    changes.last().or(covered).cloned().unwrap_or_default()
}

/// Applies all entries to the state in the snapshot.
///
/// Entries at the end may not be committed; applying them shows whether they are readable and keep
/// the invariants.
fn check_state(found: &Recovered) -> Result<StateView, InspectError> {
    let snapshot = found.snapshot.as_ref();
    let mut machine = match snapshot {
        Some(snapshot) => Machine::restore(&snapshot.data).context(MachineSnafu)?,
        None => Machine::default(),
    };
    machine.state.check_all().context(InvariantSnafu)?;
    let covered = snapshot.map_or(0, |snapshot| snapshot.meta.last.index);
    let later = found.entries.iter().filter(|e| e.id.index > covered);
    for entry in later {
        machine.apply(entry).context(MachineSnafu)?;
    }
    machine.state.check_all().context(InvariantSnafu)?;
    Ok(StateView::of(&machine.state))
}
