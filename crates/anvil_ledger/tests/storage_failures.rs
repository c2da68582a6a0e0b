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
fn write_steps() -> Vec<Step> {
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

fn run_step(
    storage: &mut Storage,
    step: &Step,
    ack_state: &mut Acknowledged,
) -> Result<(), StorageError> {
    match step {
        Step::Write(write) => {
            // A leader of a newer term replaces these entries: their acknowledgement is void,
            // whether or not the new entries are durable.
            ack_state.last = ack_state.last.min(write.prev);
            storage.write(write)?;
            storage.sync()?;
            ack_state.term = write.hard.unwrap_or_default().term;
            ack_state.last = write
                .entries
                .last()
                .map_or(ack_state.last, |entry| entry.id);
        }
        Step::Save(meta) => {
            snapshot::prepare(storage.disk(), snapshot::TEMPORARY, meta, b"state")?;
            storage.publish_snapshot(meta)?;
            ack_state.covered = meta.last.index;
        }
        Step::Install(meta) => {
            storage.install(meta, b"installed")?;
            ack_state.covered = meta.last.index;
            ack_state.last = meta.last;
        }
        Step::Compact(upto) => storage.compact(*upto)?,
    }
    Ok(())
}

fn check_recovered(found: &Recovered, ack_state: &Acknowledged, at: u64) {
    assert!(
        found.hard.term >= ack_state.term,
        "term lost, killed at {at}"
    );
    assert!(
        found.last() >= ack_state.last,
        "entries lost, killed at {at}"
    );
    let covered = found.snapshot.as_ref().map_or(0, |s| s.meta.last.index);
    assert!(
        covered >= ack_state.covered,
        "snapshot lost, killed at {at}"
    );
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
fn a_crash_at_every_operation_loses_nothing_acknowledged() -> Result<(), Failure> {
    let original = MemDisk::default();
    let (mut storage, _) = Storage::open(original.disk(), DISK)?;
    let mut ack_state = Acknowledged::default();
    for step in write_steps() {
        run_step(&mut storage, &step, &mut ack_state)?;
    }
    let steps = original.operations();
    for at in 0..steps {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let disk = MemDisk::default();
            disk.fail_at(Some(at));
            let mut ack_state = Acknowledged::default();
            if let Ok((mut storage, _)) = Storage::open(disk.disk(), DISK) {
                for step in write_steps() {
                    if run_step(&mut storage, &step, &mut ack_state).is_err() {
                        break;
                    }
                }
            }
            disk.crash(&mut rng);
            let (mut storage, found) = Storage::open(disk.disk(), DISK + 1)?;
            check_recovered(&found, &ack_state, at);
            if ack_state.term > 0 {
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
    let original = MemDisk::default();
    let (mut storage, _) = Storage::open(original.disk(), DISK)?;
    let mut ack_state = Acknowledged::default();
    for step in write_steps() {
        run_step(&mut storage, &step, &mut ack_state)?;
    }
    let mut flips = 0;
    for name in original.names() {
        let bytes = original.bytes(&name);
        let proven = proven_length(&name, &bytes);
        for at in 0..proven {
            let disk = original.copy();
            disk.flip_bit(&name, at);
            let opened = Storage::open(disk.disk(), DISK + 1);
            assert!(opened.is_err(), "byte {at} of {name} was skipped over");
            flips += 1;
        }
    }
    assert!(flips > 1_000);
    Ok(())
}

/// Length without the empty frame after the last sync, which proves the others.
fn proven_length(name: &str, bytes: &[u8]) -> usize {
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
    let original = MemDisk::default();
    let (mut storage, _) = Storage::open(original.disk(), DISK)?;
    let mut ack_state = Acknowledged::default();
    for step in write_steps() {
        run_step(&mut storage, &step, &mut ack_state)?;
    }
    drop(storage);
    Storage::open(original.disk(), DISK)?;
    for name in ["identity", "snapshot"] {
        let disk = original.copy();
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
fn nothing_is_written_after_a_full_disk() -> Result<(), Failure> {
    let disk = MemDisk::default();
    let (mut storage, _) = Storage::open(disk.disk(), DISK)?;
    let mut ack_state = Acknowledged::default();
    let steps = write_steps();
    run_step(&mut storage, &steps[0], &mut ack_state)?;
    disk.fail_at(Some(disk.operations()));
    assert!(run_step(&mut storage, &steps[1], &mut ack_state).is_err());
    disk.fail_at(None);
    let later = run_step(&mut storage, &steps[1], &mut ack_state);
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
    let mut ack_state = Acknowledged::default();
    run_step(&mut storage, &write(1, 1, 1, 5), &mut ack_state)?;
    let own = meta(1, 4);
    snapshot::prepare(storage.disk(), snapshot::TEMPORARY, &own, b"state")?;
    run_step(&mut storage, &Step::Install(meta(3, 20)), &mut ack_state)?;
    storage.publish_snapshot(&own)?;
    let (_, found) = Storage::open(disk.disk(), DISK)?;
    assert_eq!(found.snapshot.map(|s| s.meta.last.index), Some(20));
    Ok(())
}
