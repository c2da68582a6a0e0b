//! Recovery: reads snapshot and segments of a data folder and checks that they fit together.

use std::collections::VecDeque;

use anvil_world::ids::LogIndex;
use snafu::ResultExt;

use super::error::IoSnafu;
use super::segment::{self, Batch, Header};
use super::snapshot::{self, Snapshot};
use super::{Damage, Disk, StorageError};
use crate::core::{Entry, EntryId, HardState};

/// Summary of a segment that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentView {
    /// Number of the segment.
    pub number: u64,
    /// Newest position of an entry in it, 0 for none.
    pub newest: LogIndex,
    /// Number of batches after the header.
    pub batches: u64,
    /// Length of the complete frames, in bytes.
    pub end: u64,
    /// Length of the torn tail after them, in bytes.
    pub torn: u64,
}

/// Contents of a data folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Term and vote.
    pub hard: HardState,
    /// The entry before the first one kept.
    pub base: EntryId,
    /// Entries, without a gap.
    pub entries: VecDeque<Entry>,
    /// The segments of the log, oldest first.
    pub segments: Vec<SegmentView>,
    /// Segments with a lower number than this are obsolete: the log begins anew after them.
    pub stale_below: u64,
}

impl Recovered {
    /// The last entry.
    pub fn last(&self) -> EntryId {
        self.entries.back().map_or(self.base, |entry| entry.id)
    }

    fn id_at(&self, index: LogIndex) -> Option<EntryId> {
        if index == self.base.index {
            return Some(self.base);
        }
        let offset = index.checked_sub(self.base.index + 1)?;
        let entry = self.entries.get(usize::try_from(offset).ok()?);
        entry.map(|entry| entry.id)
    }

    /// Continues with the next segment. Entries after its base are dropped; an unknown base belongs
    /// to an installed snapshot, after which the log begins anew.
    fn start_segment(&mut self, file: &str, header: &Header) -> Result<(), StorageError> {
        let base = header.base;
        if self.segments.is_empty() {
            self.base = base;
        } else if self.id_at(base.index) == Some(base) {
            self.truncate_after(base.index);
        } else if self.covers(base.index) {
            self.entries.clear();
            self.base = base;
            self.stale_below = header.number;
        } else {
            return Err(StorageError::damaged(file, 0, Damage::Gap));
        }
        self.hard = header.hard;
        Ok(())
    }

    fn covers(&self, index: LogIndex) -> bool {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.meta.last.index);
        index <= covered
    }

    fn truncate_after(&mut self, index: LogIndex) {
        let count = index.saturating_sub(self.base.index);
        self.entries
            .truncate(usize::try_from(count).unwrap_or(usize::MAX));
    }

    fn add_batch(&mut self, file: &str, offset: usize, batch: Batch) -> Result<(), StorageError> {
        if let Some(hard) = batch.hard {
            self.hard = hard;
        }
        for entry in batch.entries {
            let index = entry.id.index;
            if index <= self.base.index || index > self.last().index + 1 {
                return Err(StorageError::damaged(file, offset, Damage::Gap));
            }
            self.truncate_after(index - 1);
            self.entries.push_back(entry);
        }
        Ok(())
    }

    /// Drops the log in favour of the snapshot, if it does not contain the snapshot's last entry.
    ///
    /// That happens after a crash between the snapshot's rename and the log's new beginning, and
    /// after a crash that lost entries which a majority of other replicas had committed.
    fn align_with_snapshot(&mut self) -> Result<(), StorageError> {
        let covered = self.snapshot.as_ref().map(|snapshot| snapshot.meta.last);
        let last = covered.unwrap_or_default();
        if self.base.index > last.index {
            let file = segment::name(self.segments.first().map_or(0, |s| s.number));
            return Err(StorageError::damaged(&file, 0, Damage::MissingSnapshot));
        }
        if self.id_at(last.index) != Some(last) {
            self.entries.clear();
            self.base = last;
            self.stale_below = u64::MAX;
        }
        Ok(())
    }
}

/// Reads snapshot and log. Changes nothing.
pub fn recover(disk: &Disk) -> Result<Recovered, StorageError> {
    let mut found = Recovered {
        snapshot: snapshot::load(disk)?,
        ..Recovered::default()
    };
    let names = disk.list().context(IoSnafu {
        operation: "list",
        file: "",
    })?;
    let mut numbers: Vec<_> = names.iter().filter_map(|n| segment::number(n)).collect();
    numbers.sort_unstable();
    let newest = numbers.last().copied();
    for number in numbers {
        read_segment(disk, &mut found, number, newest == Some(number))?;
    }
    found.align_with_snapshot()?;
    Ok(found)
}

fn read_segment(
    disk: &Disk,
    found: &mut Recovered,
    number: u64,
    newest: bool,
) -> Result<(), StorageError> {
    let file = segment::name(number);
    let before = found.segments.last().map(|segment| segment.number);
    if before.is_some_and(|before| before + 1 != number) {
        return Err(StorageError::damaged(&file, 0, Damage::MissingSegment));
    }
    let bytes = disk.read(&file).context(IoSnafu {
        operation: "read",
        file: &file,
    })?;
    let mut batches = Vec::new();
    let (header, end) = segment::read(&file, &bytes, |offset, batch| {
        batches.push((offset, batch));
        Ok(())
    })?;
    let torn = bytes.len() - end;
    if torn > 0 && !newest {
        // A segment is synced completely before the next one is begun.
        return Err(StorageError::damaged(&file, end, Damage::Checksum));
    }
    found.start_segment(&file, &header)?;
    let mut view = SegmentView {
        number,
        newest: 0,
        batches: 0,
        end: end as u64,
        torn: torn as u64,
    };
    for (offset, batch) in batches {
        view.batches += 1;
        let last = batch.entries.last().map_or(0, |entry| entry.id.index);
        view.newest = view.newest.max(last);
        found.add_batch(&file, offset, batch)?;
    }
    found.segments.push(view);
    Ok(())
}
