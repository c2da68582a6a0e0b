//! The offline inspection of intact and damaged data folders.

use std::path::Path;
use std::time::{Duration, SystemTime};

use anvil_ledger::core::{
    Entry, EntryId, HardState, Membership, Payload, Site, SnapshotMeta, Write,
};
use anvil_ledger::inspect::{InspectError, inspect};
use anvil_ledger::machine::{Machine, encode};
use anvil_ledger::storage::{Disk, Storage, snapshot};
use anvil_world::command::{Change, Edit, TopUp, change_id};
use anvil_world::prelude::*;

type Failure = Box<dyn std::error::Error>;

fn put(path: &str, text: &str, at: SystemTime) -> Result<Command, Failure> {
    Ok(Command::Change(Change {
        id: change_id(at, path),
        operator: "test".into(),
        path: TreePath::try_from(path)?,
        expected: 0,
        edit: Edit::Put(text.into()),
        at,
    }))
}

fn payloads() -> Result<Vec<Payload>, Failure> {
    let at = SystemTime::UNIX_EPOCH + Duration::from_hours(500_000);
    let site = Site {
        instance: "ledger-1".into(),
        addr: ([127, 0, 0, 1], 9_000).into(),
    };
    let membership = Membership {
        ledger: 5,
        voters: [(7, site)].into(),
        ..Membership::default()
    };
    let mut commands = vec![
        put("organisations/coop", "weight = 1\n", at)?,
        put("budgets/nairobi", "organisation = \"coop\"\n", at)?,
    ];
    for number in 0..3 {
        commands.push(Command::TopUp(TopUp {
            id: change_id(at, &format!("top-up-{number}")),
            operator: "test".into(),
            budget: "nairobi".into(),
            amount: 1_000,
            at,
        }));
    }
    let mut payloads = vec![Payload::Membership(membership)];
    for command in commands {
        payloads.push(Payload::Data(encode(&command)?));
    }
    Ok(payloads)
}

/// Writes a folder with six entries, four of them covered by a snapshot.
fn write_folder(folder: &Path) -> Result<(), Failure> {
    let (mut storage, _) = Storage::open(Disk::folder(folder)?, 7)?;
    let mut machine = Machine::default();
    let mut prev = EntryId::default();
    for (seq, payload) in (1..).zip(payloads()?) {
        let id = EntryId {
            term: 1,
            index: seq,
        };
        let entry = Entry { id, payload };
        let hard = (seq == 1).then_some(HardState {
            term: 1,
            vote: Some(7),
        });
        if seq <= 4 {
            machine.apply(&entry)?;
        }
        let entries = vec![entry];
        storage.write(&Write {
            seq,
            hard,
            prev,
            entries,
        })?;
        prev = id;
    }
    storage.sync()?;
    let meta = SnapshotMeta {
        last: EntryId { term: 1, index: 4 },
        membership: Membership::default(),
    };
    let data = machine.save()?;
    snapshot::prepare(storage.disk(), snapshot::TEMPORARY, &meta, &data)?;
    storage.publish_snapshot(&meta)?;
    Ok(())
}

#[test]
fn an_intact_folder_is_reported() -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    write_folder(folder.path())?;
    let report = inspect(folder.path())?;
    assert_eq!(report.id, 7);
    assert_eq!(report.last, EntryId { term: 1, index: 6 });
    assert_eq!(report.state.credited, 3_000);
    let text = report.to_string();
    for expected in ["snapshot   up to 4", "ledger-1", "1: 3000 credited"] {
        assert!(text.contains(expected), "{expected} not in:\n{text}");
    }
    Ok(())
}

/// Guards against a damaged log that is reported without file and offset.
#[test]
fn damage_is_reported_with_file_and_offset() -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    write_folder(folder.path())?;
    let segment = folder.path().join("log-0000000001");
    let mut bytes = std::fs::read(&segment)?;
    bytes[200] ^= 1;
    std::fs::write(&segment, bytes)?;
    let failed = inspect(folder.path()).err().ok_or("damage was not seen")?;
    let text = failed.to_string();
    assert!(text.contains("log-0000000001 is damaged at byte"), "{text}");
    Ok(())
}

#[test]
fn a_folder_without_a_replica_is_reported() -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    let failed = inspect(folder.path());
    assert!(matches!(failed, Err(InspectError::Empty { .. })));
    Ok(())
}
