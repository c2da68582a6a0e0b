//! The data folder under crashes, full disks and damaged bytes.

#[path = "support/mem_disk.rs"]
#[allow(dead_code, reason = "the simulated fleet uses the rest")]
mod mem_disk;

use anvil_ledger::core::{Entry, EntryId, HardState, Membership, Payload, SnapshotMeta, Write};
use anvil_ledger::storage::{Damage, Recovered, Storage, StorageError, snapshot};
use mem_disk::MemDisk;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

type Failure = Box<dyn std::error::Error>;

const DISK: u64 = 7;

fn entry(term: u64, index: u64) -> Entry {
    let id = EntryId { term, index };
    let data = format!("entry {term}/{index}").repeat(20);
    Entry {
        id,
        payload: Payload::Data(data.into()),
    }
}

fn hard(term: u64) -> HardState {
    let vote = Some(DISK);
    HardState { term, vote }
}

/// One step of a replica's writes.
#[derive(Clone)]
enum Step {
    Write(Write),
    Save(SnapshotMeta),
    Install(SnapshotMeta),
    Compact(u64),
}

fn write(seq: u64, term: u64, first: u64, last: u64) -> Step {
    let entries: Vec<_> = (first..=last).map(|index| entry(term, index)).collect();
    let before_term = if first == 1 { 0 } else { term_before(first) };
    let prev = EntryId {
        term: before_term,
        index: first - 1,
    };
    Step::Write(Write {
        seq,
        hard: Some(hard(term)),
        prev,
        entries,
    })
}

/// Term of the entry before `first` in `steps`.
fn term_before(first: u64) -> u64 {
    match first {
        ..=6 => 1,
        7..=20 => 2,
        _ => 3,
    }
}

fn meta(term: u64, index: u64) -> SnapshotMeta {
    SnapshotMeta {
        last: EntryId { term, index },
        membership: Membership::default(),
    }
}

/// Appends, entries replaced by a new leader, snapshots, a compaction, an installed snapshot, and
/// more appends.
fn life() -> Vec<Step> {
    vec![
        write(1, 1, 1, 5),
        write(2, 1, 6, 8),
        write(3, 2, 6, 10),
        Step::Save(meta(2, 7)),
        write(4, 2, 11, 15),
        Step::Compact(5),
        Step::Install(meta(3, 20)),
        write(5, 3, 21, 25),
        Step::Save(meta(3, 22)),
        write(6, 3, 26, 26),
    ]
}

/// What was acknowledged so far.
#[derive(Clone, Default)]
struct Acknowledged {
    term: u64,
    last: EntryId,
    covered: u64,
}

fn take(storage: &mut Storage, step: &Step, told: &mut Acknowledged) -> Result<(), StorageError> {
    match step {
        Step::Write(write) => {
            // A leader of a newer term replaces these entries: their acknowledgement is void,
            // whether or not the new entries are durable.
            told.last = told.last.min(write.prev);
            storage.write(write)?;
            storage.sync()?;
            told.term = write.hard.unwrap_or_default().term;
            told.last = write.entries.last().map_or(told.last, |entry| entry.id);
        }
        Step::Save(meta) => {
            snapshot::prepare(storage.disk(), snapshot::TEMPORARY, meta, b"state")?;
            storage.publish_snapshot(meta)?;
            told.covered = meta.last.index;
        }
        Step::Install(meta) => {
            storage.install(meta, b"installed")?;
            told.covered = meta.last.index;
            told.last = meta.last;
        }
        Step::Compact(upto) => storage.compact(*upto)?,
    }
    Ok(())
}

fn check(found: &Recovered, told: &Acknowledged, at: u64) {
    assert!(found.hard.term >= told.term, "term lost, killed at {at}");
    assert!(found.last() >= told.last, "entries lost, killed at {at}");
    let covered = found.snapshot.as_ref().map_or(0, |s| s.meta.last.index);
    assert!(covered >= told.covered, "snapshot lost, killed at {at}");
    assert!(found.base.index <= covered, "a gap, killed at {at}");
    let mut expected = found.base.index;
    for entry in &found.entries {
        expected += 1;
        assert_eq!(entry.id.index, expected, "killed at {at}");
        assert!(entry.payload == self::entry(entry.id.term, expected).payload);
    }
}

/// Guards against acknowledged data that is lost when power fails at any operation: within an
/// append, before or after a sync, a rename, or the sync of the folder. Only synced bytes are
/// durable, and a file's new name only once the folder is synced.
#[test]
fn a_kill_at_every_step_loses_nothing_acknowledged() -> Result<(), Failure> {
    let whole = MemDisk::default();
    let (mut storage, _) = Storage::open(whole.disk(), DISK)?;
    let mut told = Acknowledged::default();
    for step in life() {
        take(&mut storage, &step, &mut told)?;
    }
    let steps = whole.operations();
    for at in 0..steps {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let disk = MemDisk::default();
            disk.fail_at(Some(at));
            let mut told = Acknowledged::default();
            if let Ok((mut storage, _)) = Storage::open(disk.disk(), DISK) {
                for step in life() {
                    if take(&mut storage, &step, &mut told).is_err() {
                        break;
                    }
                }
            }
            disk.crash(&mut rng);
            let (mut storage, found) = Storage::open(disk.disk(), DISK + 1)?;
            check(&found, &told, at);
            if told.term > 0 {
                assert_eq!(storage.id(), DISK, "identity lost, killed at {at}");
            }
            // A second crash right after recovery, then a write.
            disk.crash(&mut rng);
            let next = found.last().index + 1;
            let more = Write {
                seq: 1,
                hard: Some(hard(9)),
                prev: found.last(),
                entries: vec![entry(9, next)],
            };
            storage = Storage::open(disk.disk(), DISK + 2)?.0;
            storage.write(&more)?;
            storage.sync()?;
            disk.crash(&mut rng);
            let (_, again) = Storage::open(disk.disk(), DISK + 3)?;
            assert_eq!(again.last().index, next, "killed at {at}");
        }
    }
    Ok(())
}

/// Guards against a flipped bit that is taken for a torn tail: recovery has to report it and stop,
/// or every change after the bit would be lost.
#[test]
fn a_flipped_bit_is_reported_wherever_it_is() -> Result<(), Failure> {
    let whole = MemDisk::default();
    let (mut storage, _) = Storage::open(whole.disk(), DISK)?;
    let mut told = Acknowledged::default();
    for step in life() {
        take(&mut storage, &step, &mut told)?;
    }
    let mut flips = 0;
    for name in whole.names() {
        let bytes = whole.bytes(&name);
        let acknowledged = acknowledged_bytes(&name, &bytes);
        for at in 0..acknowledged {
            let disk = whole.copy();
            disk.flip(&name, at);
            let opened = Storage::open(disk.disk(), DISK + 1);
            assert!(opened.is_err(), "byte {at} of {name} was skipped over");
            flips += 1;
        }
    }
    assert!(flips > 1_000);
    Ok(())
}

/// Length without the empty frame after the last sync, which proves the others.
fn acknowledged_bytes(name: &str, bytes: &[u8]) -> usize {
    const EMPTY_FRAME: usize = 20;
    if name.starts_with("log-") {
        bytes.len() - EMPTY_FRAME
    } else {
        bytes.len()
    }
}

/// Guards against a missing file that is taken for an empty folder: recovery reports that the
/// snapshot or the identity is missing.
#[test]
fn a_missing_file_is_reported() -> Result<(), Failure> {
    let whole = MemDisk::default();
    let (mut storage, _) = Storage::open(whole.disk(), DISK)?;
    let mut told = Acknowledged::default();
    for step in life() {
        take(&mut storage, &step, &mut told)?;
    }
    drop(storage);
    Storage::open(whole.disk(), DISK)?;
    for name in ["identity", "snapshot"] {
        let disk = whole.copy();
        disk.disk().run(anvil_ledger::storage::Op::Remove(name))?;
        let opened = Storage::open(disk.disk(), DISK + 1);
        assert!(matches!(
            opened.err(),
            Some(StorageError::Damaged {
                damage: Damage::Header | Damage::MissingSnapshot,
                ..
            })
        ));
    }
    Ok(())
}

/// Guards against writes after a failed one, even if space comes back: the contents of the disk are
/// unknown.
#[test]
fn a_full_disk_stops_for_good() -> Result<(), Failure> {
    let disk = MemDisk::default();
    let (mut storage, _) = Storage::open(disk.disk(), DISK)?;
    let mut told = Acknowledged::default();
    let steps = life();
    take(&mut storage, &steps[0], &mut told)?;
    disk.fail_at(Some(disk.operations()));
    assert!(take(&mut storage, &steps[1], &mut told).is_err());
    disk.fail_at(None);
    let later = take(&mut storage, &steps[1], &mut told);
    assert!(matches!(later, Err(StorageError::Failed)));
    Ok(())
}

/// Guards against reading a folder of a later format version.
#[test]
fn another_format_is_refused() -> Result<(), Failure> {
    let disk = MemDisk::default();
    let mut buf = Vec::new();
    let future: (u16, u64, u64) = (9, 1, 2);
    let body = bincode::serde::encode_to_vec(future, bincode::config::standard())?;
    anvil_ledger::storage::frame::append_frame(&mut buf, 0, &body);
    let folder = disk.disk();
    drop(Storage::open(folder.clone(), DISK)?);
    folder.run(anvil_ledger::storage::Op::Create("log-0000000001"))?;
    folder.run(anvil_ledger::storage::Op::Append("log-0000000001", &buf))?;
    let opened = Storage::open(folder, DISK);
    assert!(matches!(
        opened.err(),
        Some(StorageError::Format { found: 9, .. })
    ));
    Ok(())
}

/// Guards against a prepared snapshot that replaces a newer one installed meanwhile: the log would
/// begin after the snapshot's end, and the next restart would find a gap.
#[test]
fn an_older_snapshot_never_replaces_a_newer_one() -> Result<(), Failure> {
    let disk = MemDisk::default();
    let (mut storage, _) = Storage::open(disk.disk(), DISK)?;
    let mut told = Acknowledged::default();
    take(&mut storage, &write(1, 1, 1, 5), &mut told)?;
    let own = meta(1, 4);
    snapshot::prepare(storage.disk(), snapshot::TEMPORARY, &own, b"state")?;
    take(&mut storage, &Step::Install(meta(3, 20)), &mut told)?;
    storage.publish_snapshot(&own)?;
    let (_, found) = Storage::open(disk.disk(), DISK)?;
    assert_eq!(found.snapshot.map(|s| s.meta.last.index), Some(20));
    Ok(())
}
