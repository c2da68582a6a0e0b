//! Time that a replica takes to write and sync entries.

use std::time::Instant;

use anvil_ledger::core::{Entry, EntryId, Payload, Write};
use anvil_ledger::storage::{Disk, Storage};

use crate::fit::{Slope, point};

/// Bytes of one entry: about the size of a batch of a router with 80 reports.
const ENTRY_BYTES: usize = 1_024;
/// Writes at each size; the median is reported.
const WRITES: usize = 51;

/// Microseconds to write and sync a group of entries, in the temporary folder of this machine.
pub fn slopes() -> Vec<Slope> {
    let sizes = [1, 16, 128, 512];
    vec![Slope {
        what: "write and sync a group of entries of 1 KB",
        unit: "us an entry",
        points: sizes
            .map(|size| point(size, median_write_time(size)))
            .to_vec(),
    }]
}

fn median_write_time(size: u64) -> u64 {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let disk = Disk::folder(folder.path()).expect("the folder exists");
    let (mut storage, _) = Storage::open(disk, 1).expect("an empty folder can be opened");
    let mut last = EntryId::default();
    let mut times: Vec<u64> = (0..WRITES as u64)
        .map(|seq| {
            let write = write(seq, last, size);
            last = write.entries.last().map_or(last, |entry| entry.id);
            let start = Instant::now();
            storage.write(&write).expect("the disk can be written");
            storage.sync().expect("the disk can be synced");
            u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
        })
        .collect();
    times.sort_unstable();
    times[WRITES / 2]
}

fn write(seq: u64, prev: EntryId, size: u64) -> Write {
    let entries = (1..=size).map(|offset| Entry {
        id: EntryId {
            term: 1,
            index: prev.index + offset,
        },
        payload: Payload::Data(vec![7; ENTRY_BYTES].into()),
    });
    Write {
        seq: seq + 1,
        hard: None,
        prev,
        entries: entries.collect(),
    }
}
