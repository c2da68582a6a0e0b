//! The snapshot file: two frames, one with what it stands for and one with the state.

use bincode::config::standard;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::error::IoSnafu;
use super::{Damage, Disk, FORMAT, Op, StorageError, frame, segment};
use crate::core::SnapshotMeta;

/// The newest snapshot.
pub const NAME: &str = "snapshot";
/// This replica's next snapshot until it is synced.
pub const TEMPORARY: &str = "snapshot.tmp";
/// Another replica's snapshot until it is synced. A name of its own, because the two are written
/// by different threads.
pub const INSTALLED: &str = "installed.tmp";

#[derive(Serialize, Deserialize)]
struct Header {
    format: u16,
    meta: SnapshotMeta,
}

/// A snapshot as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// The state.
    pub data: Bytes,
}

/// Writes and syncs a temporary file, which nobody else reads.
pub fn prepare(
    disk: &Disk,
    file: &str,
    meta: &SnapshotMeta,
    data: &[u8],
) -> Result<(), StorageError> {
    let header = Header {
        format: FORMAT,
        meta: meta.clone(),
    };
    let mut buf = Vec::with_capacity(data.len() + 256);
    frame::put(&mut buf, 0, &segment::encode(NAME, &header)?);
    frame::put(&mut buf, 0, data);
    let failed = |operation| IoSnafu { operation, file };
    disk.run(Op::Create(file)).context(failed("create"))?;
    disk.run(Op::Append(file, &buf)).context(failed("write"))?;
    disk.run(Op::Sync(file)).context(failed("sync"))?;
    Ok(())
}

/// Puts the temporary file in the place of the snapshot.
///
/// Failure: a snapshot overwritten in place is half old and half new after a crash. The rename
/// swaps whole files, and the folder's sync makes it last before older log entries are removed.
pub fn publish(disk: &Disk, file: &str) -> Result<(), StorageError> {
    let failed = |operation| IoSnafu {
        operation,
        file: NAME,
    };
    disk.run(Op::Rename(file, NAME)).context(failed("rename"))?;
    disk.run(Op::SyncFolder).context(failed("sync folder of"))?;
    Ok(())
}

/// Reads the newest snapshot, if there is one.
pub fn load(disk: &Disk) -> Result<Option<Snapshot>, StorageError> {
    let bytes = match disk.read(NAME) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        bytes => bytes.context(IoSnafu {
            operation: "read",
            file: NAME,
        })?,
    };
    let mut bodies = Vec::new();
    let end = frame::scan(NAME, &bytes, 0, |offset, body| {
        bodies.push((offset, body.to_vec()));
        Ok(())
    })?;
    // It was synced before it got its name, so anything but two whole frames is damage.
    let whole = bodies.len() == 2 && end == bytes.len();
    let Some(data) = bodies.pop().filter(|_| whole) else {
        return Err(StorageError::damaged(NAME, end, Damage::Checksum));
    };
    let (_, head) = bodies.pop().unwrap_or_default();
    let unreadable = |_| StorageError::damaged(NAME, 0, Damage::Header);
    let (found, _): (u16, usize) =
        bincode::serde::decode_from_slice(&head, standard()).map_err(unreadable)?;
    if found != FORMAT {
        let file = NAME.into();
        return Err(StorageError::Format { file, found });
    }
    let (header, _): (Header, usize) =
        bincode::serde::decode_from_slice(&head, standard()).map_err(unreadable)?;
    Ok(Some(Snapshot {
        meta: header.meta,
        data: data.1.into(),
    }))
}
