//! An open data folder: appends to the log, publishes snapshots, removes obsolete segments.

use std::collections::VecDeque;

use anvil_world::ids::LogIndex;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::error::IoSnafu;
use super::recover::{Recovered, recover};
use super::segment::{self, Batch, Header};
use super::{Damage, Disk, FORMAT, Op, StorageError, frame, snapshot};
use crate::core::{EntryId, HardState, ReplicaId, SnapshotMeta, Write};

/// Default length from which on a segment is closed, in bytes.
const SEGMENT_BYTES: u64 = 16 << 20;
const IDENTITY: &str = "identity";
/// Name of a new file until it is synced.
const TEMPORARY: &str = "new.tmp";

#[derive(Serialize, Deserialize)]
struct Identity {
    format: u16,
    id: ReplicaId,
}

#[derive(Debug, Clone, Copy)]
struct ClosedSegment {
    number: u64,
    newest: LogIndex,
}

/// An open data folder.
pub struct Storage {
    disk: Disk,
    id: ReplicaId,
    closed: VecDeque<ClosedSegment>,
    /// Number of the segment that is written to.
    number: u64,
    newest: LogIndex,
    length: u64,
    synced: u64,
    last: EntryId,
    hard: HardState,
    /// Last position covered by the newest snapshot.
    snapshot_index: LogIndex,
    segment_bytes: u64,
    failed: bool,
}

impl Storage {
    /// Opens a folder and recovers its contents. A folder without an identity gets `new_id`.
    pub fn open(disk: Disk, new_id: ReplicaId) -> Result<(Self, Recovered), StorageError> {
        let id = load_or_create_identity(&disk, new_id)?;
        let found = recover(&disk)?;
        let mut storage = Self {
            disk,
            id,
            closed: VecDeque::new(),
            number: 0,
            newest: 0,
            length: 0,
            synced: 0,
            last: found.last(),
            hard: found.hard,
            snapshot_index: found.snapshot.as_ref().map_or(0, |s| s.meta.last.index),
            segment_bytes: SEGMENT_BYTES,
            failed: false,
        };
        storage.resume(&found)?;
        Ok((storage, found))
    }

    /// Sets the length from which on a segment is closed, in bytes.
    pub fn with_segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = bytes;
        self
    }

    /// Identifier of the disk.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The folder.
    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// Prepares for writing after recovery: cuts a torn tail and begins a new segment.
    fn resume(&mut self, found: &Recovered) -> Result<(), StorageError> {
        for view in &found.segments {
            self.closed.push_back(ClosedSegment {
                number: view.number,
                newest: view.newest,
            });
            self.number = view.number;
        }
        if let Some(view) = found.segments.last() {
            let file = segment::name(view.number);
            if view.torn > 0 {
                self.run("cut", &file, Op::Truncate(&file, view.end))?;
            }
            // A killed process leaves bytes that were written and never synced. Recovery reads
            // them, the next incarnation would acknowledge them, and a power cut would lose them.
            // Hence the sync before anything rests on them.
            self.run("sync", &file, Op::Sync(&file))?;
        }
        self.begin_segment(found.last())?;
        self.remove_closed(|closed| closed.number < found.stale_below)
    }

    fn run(&mut self, operation: &'static str, file: &str, op: Op<'_>) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let done = self.disk.run(op);
        // After a failed sync the kernel may drop the bytes and report the next sync as successful.
        // A retry would acknowledge lost bytes, so nothing is retried.
        self.failed = done.is_err();
        done.context(IoSnafu { operation, file })?;
        Ok(())
    }

    fn begin_segment(&mut self, base: EntryId) -> Result<(), StorageError> {
        let number = self.number + 1;
        let header = Header {
            format: FORMAT,
            number,
            base,
            hard: self.hard,
        };
        let mut buf = Vec::new();
        let file = segment::name(number);
        frame::append_frame(&mut buf, 0, &segment::encode(&file, &header)?);
        self.run("create", TEMPORARY, Op::Create(TEMPORARY))?;
        self.run("write", TEMPORARY, Op::Append(TEMPORARY, &buf))?;
        self.run("sync", TEMPORARY, Op::Sync(TEMPORARY))?;
        self.run("rename", &file, Op::Rename(TEMPORARY, &file))?;
        self.run("sync folder of", &file, Op::SyncFolder)?;
        self.number = number;
        self.newest = 0;
        self.length = buf.len() as u64;
        self.synced = self.length;
        self.last = base;
        Ok(())
    }

    /// Writes without a sync. Nothing may be acknowledged before [`Storage::sync`].
    pub fn write(&mut self, write: &Write) -> Result<(), StorageError> {
        // A segment that is begun below repeats the newest hard state in its header.
        self.hard = write.hard.unwrap_or(self.hard);
        let replaces = !write.entries.is_empty() && write.prev.index < self.last.index;
        if replaces {
            self.close_segment(write.prev)?;
        } else if self.length > self.segment_bytes {
            self.close_segment(self.last)?;
        }
        let batch = Batch {
            hard: write.hard,
            entries: write.entries.clone(),
        };
        let file = segment::name(self.number);
        let mut buf = Vec::new();
        frame::append_frame(&mut buf, self.synced, &segment::encode(&file, &batch)?);
        self.run("write", &file, Op::Append(&file, &buf))?;
        self.length += buf.len() as u64;
        if let Some(entry) = write.entries.last() {
            self.newest = self.newest.max(entry.id.index);
            self.last = entry.id;
        }
        Ok(())
    }

    /// Returns once all writes are durable.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        let file = segment::name(self.number);
        if self.synced < self.length {
            self.run("sync", &file, Op::Sync(&file))?;
            self.synced = self.length;
            // Not synced itself; it proves that the frames before it were, see the `frame` module.
            let mut buf = Vec::new();
            frame::append_frame(&mut buf, self.synced, &[]);
            self.run("write", &file, Op::Append(&file, &buf))?;
            self.length += buf.len() as u64;
        }
        Ok(())
    }

    /// Closes the segment and begins a new one after the entry `base`; entries after `base` are
    /// obsolete.
    fn close_segment(&mut self, base: EntryId) -> Result<(), StorageError> {
        let file = segment::name(self.number);
        self.run("sync", &file, Op::Sync(&file))?;
        self.closed.push_back(ClosedSegment {
            number: self.number,
            newest: self.newest,
        });
        self.begin_segment(base)
    }

    /// Makes the prepared snapshot the newest one; see [`snapshot::prepare`].
    ///
    /// A snapshot that was prepared before a newer one from another replica was installed would end
    /// before the log begins. An older one is dropped.
    pub fn publish_snapshot(&mut self, meta: &SnapshotMeta) -> Result<(), StorageError> {
        if meta.last.index <= self.snapshot_index {
            return Ok(());
        }
        self.publish(snapshot::TEMPORARY, meta.last.index)
    }

    fn publish(&mut self, file: &str, snapshot_index: LogIndex) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let done = snapshot::publish(&self.disk, file);
        self.failed = done.is_err();
        self.snapshot_index = snapshot_index;
        done
    }

    /// Replaces log and state by a snapshot from another replica.
    pub fn install(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StorageError> {
        let prepared = snapshot::prepare(&self.disk, snapshot::INSTALLED_TEMPORARY, meta, data);
        self.failed |= prepared.is_err();
        prepared?;
        self.publish(snapshot::INSTALLED_TEMPORARY, meta.last.index)?;
        self.close_segment(meta.last)?;
        self.remove_closed(|_| true)
    }

    /// Removes segments that hold only entries up to this position.
    pub fn compact(&mut self, upto: LogIndex) -> Result<(), StorageError> {
        self.remove_closed(|closed| closed.newest <= upto)
    }

    /// Removes closed segments, oldest first, so that a crash in between leaves no gap.
    fn remove_closed(
        &mut self,
        surplus: impl Fn(&ClosedSegment) -> bool,
    ) -> Result<(), StorageError> {
        while let Some(closed) = self.closed.pop_front_if(|closed| surplus(closed)) {
            let file = segment::name(closed.number);
            self.run("remove", &file, Op::Remove(&file))?;
            self.run("sync folder of", &file, Op::SyncFolder)?;
        }
        Ok(())
    }
}

/// Reads the identifier of the disk, or creates one.
///
/// If an instance that comes back with an empty disk voted under its old identity, it could vote
/// twice in a term and acknowledge entries that it has lost. The identifier is random and stored on
/// the disk only, so an emptied disk gets another one and is not counted as the old replica.
fn load_or_create_identity(disk: &Disk, new_id: ReplicaId) -> Result<ReplicaId, StorageError> {
    let failed = |operation| IoSnafu {
        operation,
        file: IDENTITY,
    };
    match read_identity(disk)? {
        Some(id) => return Ok(id),
        None if has_segments(disk)? => {
            return Err(StorageError::damaged(IDENTITY, 0, Damage::Header));
        }
        None => {}
    }
    let identity = Identity {
        format: FORMAT,
        id: new_id,
    };
    let mut buf = Vec::new();
    frame::append_frame(&mut buf, 0, &segment::encode(IDENTITY, &identity)?);
    disk.run(Op::Create(TEMPORARY)).context(failed("create"))?;
    disk.run(Op::Append(TEMPORARY, &buf))
        .context(failed("write"))?;
    disk.run(Op::Sync(TEMPORARY)).context(failed("sync"))?;
    disk.run(Op::Rename(TEMPORARY, IDENTITY))
        .context(failed("rename"))?;
    disk.run(Op::SyncFolder).context(failed("sync folder of"))?;
    Ok(new_id)
}

fn has_segments(disk: &Disk) -> Result<bool, StorageError> {
    let names = disk.list().context(IoSnafu {
        operation: "list",
        file: "",
    })?;
    Ok(names.iter().any(|name| segment::number(name).is_some()))
}

/// Reads the identifier of the disk, if it has one.
pub fn read_identity(disk: &Disk) -> Result<Option<ReplicaId>, StorageError> {
    let bytes = match disk.read(IDENTITY) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        bytes => bytes.context(IoSnafu {
            operation: "read",
            file: IDENTITY,
        })?,
    };
    let mut id = None;
    frame::scan(IDENTITY, &bytes, 0, |_, body| {
        let decoded = bincode::serde::decode_from_slice(body, bincode::config::standard());
        let unreadable = |_| StorageError::damaged(IDENTITY, 0, Damage::Content);
        let (identity, _): (Identity, usize) = decoded.map_err(unreadable)?;
        id = Some(identity.id);
        Ok(())
    })?;
    id.map(Some)
        .ok_or_else(|| StorageError::damaged(IDENTITY, 0, Damage::Checksum))
}
