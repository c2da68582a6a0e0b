//! The snapshot file: two frames, one with the metadata and one with the state.

use bincode::config::standard;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::error::IoSnafu;
use super::{Damage, Disk, FORMAT, Op, StorageError, frame, segment};
use crate::core::SnapshotMeta;

/// File name of the newest snapshot.
pub const NAME: &str = "snapshot";
/// File name of this replica's own next snapshot until it is published.
pub const TEMPORARY: &str = "snapshot.tmp";
/// File name of a snapshot from another replica until it is published. The two names differ because
/// two threads write them.
pub const INSTALLED_TEMPORARY: &str = "installed.tmp";

#[derive(Serialize, Deserialize)]
struct Header {
    format: u16,
    meta: SnapshotMeta,
}

/// A snapshot as read from disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Position and membership.
    pub meta: SnapshotMeta,
    /// The encoded state.
    pub data: Bytes,
}

/// Writes and syncs a snapshot to a temporary file.
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
    frame::append_frame(&mut buf, 0, &segment::encode(NAME, &header)?);
    frame::append_frame(&mut buf, 0, data);
    let failed = |operation| IoSnafu { operation, file };
    disk.run(Op::Create(file)).context(failed("create"))?;
    disk.run(Op::Append(file, &buf)).context(failed("write"))?;
    disk.run(Op::Sync(file)).context(failed("sync"))?;
    Ok(())
}

/// Renames a temporary file to the newest snapshot.
///
/// A snapshot overwritten in place would be half old and half new after a crash. The rename swaps
/// whole files, and the sync of the folder makes it durable before older log entries are removed.
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
    // The file is synced before it gets its name, so anything but two complete frames is damage.
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
