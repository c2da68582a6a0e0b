//! Requests during which endpoints crash, as the ledger collects them from all routers.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::core::{Entry, EntryId, Payload};
use anvil_ledger::lost_incarnations::LostIncarnations;
use anvil_ledger::machine::{Machine, encode};
use anvil_ledger::state::{ChangedItem, State};
use anvil_ledger::suspects::Suspects;
use anvil_world::command::{ClearSuspects, ReportCrash};
use anvil_world::prelude::*;
use anvil_world::suspect::{CRASH_RETENTION, CrashedRun, QUARANTINE_TIME};
use bincode::config::standard;

const RUN: CrashedRun = CrashedRun::BeforeOutput;

fn at(second: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000 + second)
}

fn crash(endpoint: &str, requests: &[ContentDigest], second: u64) -> ReportCrash {
    ReportCrash {
        endpoint: endpoint.into(),
        contents: requests.iter().map(|request| (*request, RUN)).collect(),
        at: at(second),
    }
}

fn is_quarantined(suspects: &Suspects, request: ContentDigest, second: u64) -> bool {
    let left = suspects
        .get(request)
        .map(|suspect| suspect.quarantine_remaining(at(second)));
    left.is_some_and(|left| !left.is_zero())
}

/// Guards against a request that is quarantined for one crash, because all routers report it.
#[test]
fn one_crash_counts_once_however_often_it_is_reported() {
    let mut suspects = Suspects::default();
    for _ in 0..5 {
        assert!(suspects.report(&crash("a", &[1], 0)).is_empty());
    }
    assert!(suspects.report(&crash("a", &[1], 2)).is_empty());
    assert_eq!(suspects.get(1), None);
    assert_eq!(suspects.report(&crash("b", &[1], 3)), BTreeSet::from([1]));
    assert!(!is_quarantined(&suspects, 1, 9));
    suspects.report(&crash("c", &[1, 2], 4));
    assert!(is_quarantined(&suspects, 1, 9) && !is_quarantined(&suspects, 2, 9));
}

/// Guards against repeated crashes that count once, because the endpoint restarts under the same
/// name.
#[test]
fn each_crash_of_an_endpoint_that_restarts_under_its_name_counts() {
    let mut suspects = Suspects::default();
    for second in [0, 4, 8] {
        assert!(!is_quarantined(&suspects, 1, 9));
        suspects.report(&crash("a", &[1], second));
    }
    assert!(is_quarantined(&suspects, 1, 9));
}

/// Guards against a request that stays quarantined after an answer, or for ever.
#[test]
fn a_request_is_cleared_by_an_answer_and_by_time() {
    let mut suspects = Suspects::default();
    for endpoint in ["a", "b", "c"] {
        suspects.report(&crash(endpoint, &[1, 2], 0));
    }
    let clear = ClearSuspects {
        contents: vec![1, 9],
    };
    assert_eq!(suspects.clear(&clear), BTreeSet::from([1]));
    assert!(!is_quarantined(&suspects, 1, 9) && is_quarantined(&suspects, 2, 9));
    let over = QUARANTINE_TIME.as_secs();
    assert!(is_quarantined(&suspects, 2, over - 1));
    assert!(!is_quarantined(&suspects, 2, over));
}

/// Guards against the loss of three more endpoints each time a request's quarantine ends.
#[test]
fn after_its_quarantine_one_more_crash_is_enough() {
    let mut suspects = Suspects::default();
    for endpoint in ["a", "b", "c"] {
        suspects.report(&crash(endpoint, &[1], 0));
    }
    let over = QUARANTINE_TIME.as_secs();
    assert!(!is_quarantined(&suspects, 1, over));
    assert_eq!(
        suspects.report(&crash("d", &[1], over)),
        BTreeSet::from([1])
    );
    assert!(is_quarantined(&suspects, 1, over));
    let expired = over + CRASH_RETENTION.as_secs();
    assert_eq!(
        suspects.report(&crash("e", &[1], expired)),
        BTreeSet::from([1])
    );
    assert_eq!(suspects.get(1), None);
}

/// Guards against long streams being quarantined, because they ran at endpoints that another
/// request crashed.
#[test]
fn a_request_whose_runs_had_output_needs_twice_the_crashes() {
    let mut suspects = Suspects::default();
    for (number, endpoint) in (1..).zip(["a", "b", "c", "d", "e", "f"]) {
        suspects.report(&ReportCrash {
            contents: vec![(1, CrashedRun::AfterOutput), (2, RUN)],
            ..crash(endpoint, &[], 0)
        });
        assert_eq!(is_quarantined(&suspects, 1, 9), number == 6);
        assert_eq!(is_quarantined(&suspects, 2, 9), number >= 3);
    }
}

/// Guards against many crashes at once that evict the record of a request which crashes endpoints.
#[test]
fn a_lost_zone_neither_exceeds_the_memory_limit_nor_evicts_a_quarantined_request() {
    let mut suspects = Suspects::default();
    for endpoint in ["a", "b", "c"] {
        suspects.report(&crash(endpoint, &[0], 0));
    }
    for endpoint in 0..1_000u32 {
        let first = 1 + u128::from(endpoint) * 100;
        let requests: Vec<_> = (first..first + 100).collect();
        suspects.report(&crash(&format!("lost-{endpoint}"), &requests, 1));
    }
    assert!(is_quarantined(&suspects, 0, 9));
    let bytes = bincode::serde::encode_to_vec(&suspects, standard()).expect("bytes");
    assert!(bytes.len() < 1 << 20, "{} bytes", bytes.len());
}

fn entry(index: LogIndex, command: &Command) -> Entry {
    Entry {
        id: EntryId { term: 1, index },
        payload: Payload::Data(encode(command).expect("bytes")),
    }
}

/// Guards against suspects that a replica loses when it restarts, or that followers don't receive.
#[test]
fn a_snapshot_keeps_suspects_and_followers_receive_them() {
    let mut machine = Machine::default();
    for (index, endpoint) in (1..).zip(["a", "b", "c"]) {
        let command = Command::ReportCrash(crash(endpoint, &[7], 0));
        machine.apply(&entry(index, &command)).expect("applied");
    }
    assert_eq!(
        machine.state.changed_since(2),
        Some(BTreeSet::from([ChangedItem::Suspect(7)]))
    );
    let restored = Machine::restore(&machine.save().expect("bytes")).expect("a machine");
    assert_eq!(restored, machine);
    assert!(is_quarantined(&restored.suspects, 7, 9));
}

/// Guards against a replica that can't start from the snapshot of an earlier build.
#[test]
fn a_snapshot_without_suspects_is_restored() {
    let before = (State::default(), LostIncarnations::default());
    let bytes = bincode::serde::encode_to_vec(before, standard()).expect("bytes");
    assert_eq!(
        Machine::restore(&bytes).expect("a machine"),
        Machine::default()
    );
}
