//! Which versions of a service's software were listed, and when last.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_policy::version_history::{Beginning, ListedWithin, VersionHistory, beginning};
use anvil_world::ids::SoftwareVersion;

const SPAN: Duration = Duration::from_secs(10);
const KEEP: Duration = Duration::from_mins(1);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A history of lists read once a second, each with these versions.
fn history(lists: &[(std::ops::Range<u64>, &[&str])]) -> VersionHistory {
    let mut history = VersionHistory::default();
    for (seconds, names) in lists {
        for second in seconds.clone() {
            let versions: Vec<SoftwareVersion> = names.iter().map(|name| (*name).into()).collect();
            history.record(s(second), &versions, KEEP);
        }
    }
    history
}

/// Guards against taking the newest version for the only one while streams of the one before it may
/// still be taken up.
#[test]
fn version_that_left_counts_for_the_span() {
    let history = history(&[(0..20, &["v1"]), (20..22, &["v1", "v2"]), (22..33, &["v2"])]);
    assert!(history.is_mixed(s(31), SPAN));
    assert!(!history.is_mixed(s(32), SPAN));
    let versions: Vec<_> = history.listed_within(s(32), SPAN).collect();
    assert_eq!(versions, [&SoftwareVersion::from("v2")]);
}

/// Guards against a rollout that is undone passing for one that never was.
#[test]
fn version_that_comes_back_is_mixed_with_the_other() {
    let history = history(&[(0..20, &["v1"]), (20..23, &["v2"]), (23..26, &["v1"])]);
    assert_eq!(history.listed_now().count(), 1);
    assert_eq!(history.listed_within(s(25), SPAN).count(), 2);
}

/// Guards against streams of the moments before a rollout, which nobody was told of, counting as unknown;
/// and against taking a version for new because the router is.
#[test]
fn new_versions_are_settled_after_a_while() {
    let settling = s(3);
    let history = history(&[(0..20, &["v1"]), (20..30, &["v1", "v2"])]);
    let settled = |now| {
        let settled = history.settled_within(now, SPAN, settling)?;
        Some(settled.map(|version| &**version).collect::<Vec<_>>())
    };
    assert_eq!(settled(s(22)), Some(vec!["v1"]));
    assert_eq!(settled(s(23)), Some(vec!["v1", "v2"]));
    let restarted = self::history(&[(20..22, &["v1", "v2"])]);
    assert!(restarted.settled_within(s(22), SPAN, settling).is_none());
    assert!(!restarted.is_new(s(21), &"v2".into(), settling));
}

/// Guards against a history that began with the process passing for the whole past.
#[test]
fn history_covers_no_more_than_the_life_of_its_process() {
    let history = history(&[(20..50, &["v2"])]);
    for (now, is_covered) in [(20, false), (29, false), (30, true)] {
        assert_eq!(history.covers(s(now), SPAN), is_covered, "at {now} s");
    }
    assert!(!VersionHistory::default().covers(s(60), SPAN));
}

fn versions(names: &[&str]) -> BTreeSet<SoftwareVersion> {
    names.iter().map(|name| (*name).into()).collect()
}

/// The lists of a router that has just started.
fn started(all: &[&str]) -> ListedWithin {
    ListedWithin {
        all: versions(all),
        ..ListedWithin::default()
    }
}

/// The lists of a router that has run for long.
fn running(all: &[&str], settled: &[&str]) -> ListedWithin {
    ListedWithin {
        all: versions(all),
        settled: Some(versions(settled)),
        is_covering: true,
    }
}

/// Guards against a guess by routers that have all just started: a version may have left before.
#[test]
fn routers_that_have_just_started_go_by_what_the_ledger_recorded() {
    let lists = [started(&["v2"]), started(&["v2"])];
    let of = |names| Some(versions(names));
    let only = Beginning::At("v2".into());
    assert_eq!(beginning(&lists, of(&["v2"]).as_ref(), true), only);
    for (recorded, possible) in [
        (of(&["v1", "v2"]), ["v1", "v2"].as_slice()),
        // The list has a version that the ledger has not heard of.
        (of(&["v1"]), &["v1", "v2"]),
        // The ledger knows nothing, or is out of reach.
        (None, &["v2"]),
    ] {
        let found = beginning(&lists, recorded.as_ref(), true);
        assert_eq!(found, Beginning::Unknown(versions(possible)));
    }
}

/// Guards against streams that are refused because the ledger's record still has a version of which
/// the routers know that it left long ago.
#[test]
fn one_router_that_has_run_for_long_is_enough() {
    let lists = [started(&["v2"]), running(&["v2"], &["v2"])];
    let recorded = versions(&["v1", "v2"]);
    let only = Beginning::At("v2".into());
    assert_eq!(beginning(&lists, Some(&recorded), true), only);
    let unknown = Beginning::Unknown(versions(&["v2"]));
    assert_eq!(beginning(&lists, Some(&recorded), false), unknown);
}

/// Guards against refusing streams that began before a new version, of which nobody was told.
#[test]
fn new_versions_began_no_stream_that_nobody_knows() {
    let only = Beginning::At("v1".into());
    let lists = [running(&["v1", "v2"], &["v1"])];
    assert_eq!(beginning(&lists, None, true), only);
    // All have started lately, but before the new version.
    let young = ListedWithin {
        is_covering: false,
        ..lists[0].clone()
    };
    let lists = [young, started(&["v1", "v2"])];
    assert_eq!(beginning(&lists, Some(&versions(&["v1"])), true), only);
}

/// Guards against forgetting the versions of the newest list while no further one arrives.
#[test]
fn newest_list_holds_until_the_next() {
    let history = history(&[(0..2, &["v1", "v2"])]);
    assert!(history.is_mixed(s(60), SPAN));
}

/// Guards against a history that grows with each rollout.
#[test]
fn versions_are_forgotten_after_a_while() {
    let history = history(&[(0..2, &["v1"]), (2..70, &["v2"])]);
    assert_eq!(history.listed_within(s(70), s(70)).count(), 1);
}
