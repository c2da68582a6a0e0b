//! Limits that endpoints announce, as the ledger collects them from all routers.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::core::{Entry, EntryId, Payload};
use anvil_ledger::limits::Limits;
use anvil_ledger::machine::{Machine, encode};
use anvil_ledger::state::ChangedItem;
use anvil_world::command::ReportLimit;
use anvil_world::prelude::*;

fn at(second: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000 + second)
}

fn limit_at(endpoint: &str, limit: Option<RateLimit>, second: u64) -> ReportLimit {
    ReportLimit {
        endpoint: endpoint.into(),
        limit,
        at: at(second),
    }
}

fn limit_of(limits: &Limits, endpoint: &str) -> Option<RateLimit> {
    limits.all().get(endpoint).map(|announced| announced.limit)
}

/// Guards against routers that don't learn of a limit, of its change, or of its end.
#[test]
fn the_newest_report_on_an_endpoint_holds() {
    let mut limits = Limits::default();
    let all = BTreeSet::from(["a".into()]);
    for (second, limit) in (0..).zip([Some(2_000), Some(1_000), None]) {
        assert_eq!(limits.report(&limit_at("a", limit, second)), all);
        assert_eq!(limit_of(&limits, "a"), limit);
    }
    assert_eq!(limits.report(&limit_at("a", None, 3)), BTreeSet::new());
}

/// Guards against limits that are kept although their endpoints are gone and nobody reports them
/// any more.
#[test]
fn limits_expire_and_are_bounded() {
    let mut limits = Limits::default();
    limits.report(&limit_at("gone", Some(1_000), 0));
    limits.report(&limit_at("here", Some(1_000), 0));
    limits.report(&limit_at("here", Some(1_000), 400));
    let changed = limits.report(&limit_at("other", Some(1_000), 600));
    assert_eq!(changed, BTreeSet::from(["gone".into(), "other".into()]));
    assert_eq!(limit_of(&limits, "here"), Some(1_000));
    for number in 0..20_000 {
        limits.report(&limit_at(&format!("e-{number}"), Some(1_000), 601));
    }
    assert!(limits.all().len() <= 16_384, "{}", limits.all().len());
}

/// Guards against limits that a replica loses when it restarts, or that followers don't receive.
#[test]
fn a_snapshot_keeps_limits_and_followers_receive_them() {
    let mut machine = Machine::default();
    let command = Command::ReportLimit(limit_at("a", Some(1_000), 0));
    let entry = Entry {
        id: EntryId { term: 1, index: 1 },
        payload: Payload::Data(encode(&command).expect("bytes")),
    };
    machine.apply(&entry).expect("applied");
    let touched = BTreeSet::from([ChangedItem::Limit("a".into())]);
    assert_eq!(machine.state.changed_since(0), Some(touched));
    let restored = Machine::restore(&machine.save().expect("bytes")).expect("a machine");
    assert_eq!(restored, machine);
}
