//! Software versions of services and streams, as the ledger collects them from all routers.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::core::{Entry, EntryId, Payload};
use anvil_ledger::machine::{Machine, encode};
use anvil_ledger::stream_origins::StreamOrigins;
use anvil_world::command::{COMMAND_KINDS, OriginGroup, RecordOrigins, RecordVersions};
use anvil_world::prelude::*;

fn at(second: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000 + second)
}

fn versions(names: &[&str]) -> BTreeSet<SoftwareVersion> {
    names.iter().map(|name| (*name).into()).collect()
}

fn report(listed: &[&str], ended: &[&str]) -> Command {
    Command::RecordVersions(RecordVersions {
        service: "desk".into(),
        listed: versions(listed),
        ended: versions(ended),
    })
}

/// Streams that began at `version`, and may be taken up for `keep` seconds after second `second`.
fn began(version: &str, streams: &[u128], second: u64, keep: u64) -> RecordOrigins {
    let group = OriginGroup {
        service: "desk".into(),
        version: version.into(),
        keep: Duration::from_secs(keep),
        streams: streams.to_vec(),
    };
    RecordOrigins {
        groups: vec![group],
        at: at(second),
    }
}

fn apply(machine: &mut Machine, command: &Command) {
    let index = machine.state.applied() + 1;
    let entry = Entry {
        id: EntryId { term: 1, index },
        payload: Payload::Data(encode(command).expect("bytes")),
    };
    machine.apply(&entry).expect("applied");
}

fn version_of(origins: &StreamOrigins, key: u128) -> Option<String> {
    origins.get(key).map(|(_, version)| version.to_string())
}

/// Guards against a version that is forgotten while its streams may go on, or kept for good after they
/// have ended.
#[test]
fn versions_stay_until_a_router_reports_their_end() {
    let mut machine = Machine::default();
    for (report, expected) in [
        (report(&["v1"], &[]), versions(&["v1"])),
        (report(&["v2"], &[]), versions(&["v1", "v2"])),
        (report(&[], &["v1"]), versions(&["v2"])),
        // A service without any version would look like one of which nothing is known.
        (report(&[], &["v2"]), versions(&["v2"])),
        (report(&["v3"], &["v2"]), versions(&["v2", "v3"])),
    ] {
        apply(&mut machine, &report);
        assert_eq!(machine.service_versions.of("desk"), Some(&expected));
    }
    assert_eq!(machine.service_versions.of("annex"), None);
}

/// Guards against routers that are not sent a version.
#[test]
fn report_of_versions_raises_the_version_of_the_state() {
    let mut machine = Machine::default();
    apply(&mut machine, &report(&["v1"], &[]));
    assert_eq!(machine.state.version(), 1);
    let origins = Command::RecordOrigins(began("v1", &[1], 0, 15));
    apply(&mut machine, &origins);
    assert_eq!(machine.state.version(), 1);
}

/// Guards against versions that are lost with a snapshot, and against one that an earlier build wrote
/// and that can't be read.
#[test]
fn snapshot_keeps_versions() {
    let mut machine = Machine::default();
    apply(&mut machine, &report(&["v1", "v2"], &[]));
    let saved_before = machine.save().expect("bytes");
    apply(
        &mut machine,
        &Command::RecordOrigins(began("v1", &[1, 2], 0, 15)),
    );
    let saved = machine.save().expect("bytes");
    assert_eq!(Machine::restore(&saved).expect("a machine"), machine);
    let empty = Machine::default().save().expect("bytes");
    let previous = &empty[..empty.len() - PARTS_OF_THIS_BUILD];
    assert_eq!(
        Machine::restore(previous).expect("a machine"),
        Machine::default()
    );
    assert_ne!(saved_before, saved);
}

/// Length of the parts that an earlier build does not write, if they are empty: no service, the clock
/// (seconds and nanoseconds), no stream and no expiry.
const PARTS_OF_THIS_BUILD: usize = 1 + 2 + 1 + 1;

/// Guards against streams that are forgotten too early, kept for good, or kept without bound.
#[test]
fn streams_expire_and_are_bounded() {
    let mut origins = StreamOrigins::default();
    origins.record(&began("v1", &[1, 2], 0, 15));
    origins.record(&began("v2", &[3], 14, 15));
    assert_eq!(version_of(&origins, 1).as_deref(), Some("v1"));
    assert_eq!(version_of(&origins, 3).as_deref(), Some("v2"));
    origins.record(&began("v2", &[4], 15, 15));
    assert_eq!(version_of(&origins, 1), None);
    assert_eq!(origins.len(), 2);
    for number in 0..30 {
        let streams: Vec<_> = (number * 1_000..(number + 1) * 1_000).collect();
        origins.record(&began("v2", &streams, 16, 20));
    }
    assert!(origins.len() <= 20_000, "{}", origins.len());
}

/// Guards against a report that is appended before all replicas can apply it, because a kind was added
/// and not counted. bincode writes the position of the kind first.
#[test]
fn reports_require_their_kinds() {
    let origins = Command::RecordOrigins(began("v1", &[1], 0, 15));
    for command in [report(&["v1"], &[]), origins.clone()] {
        let bytes = encode(&command).expect("bytes");
        assert_eq!(command.required_kinds(), u32::from(bytes[0]) + 1);
    }
    assert_eq!(origins.required_kinds(), COMMAND_KINDS);
}
