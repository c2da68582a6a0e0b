//! Which versions of a service's software are known to have served, and for how long.

use std::time::Duration;

use anvil_policy::version_history::VersionHistory;
use anvil_world::ids::SoftwareVersion;

const MAX_GAP: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(10);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A history of lists read once a second, each with these versions.
fn history(lists: &[(std::ops::Range<u64>, &[&str])]) -> VersionHistory {
    let mut history = VersionHistory::default();
    for (seconds, names) in lists {
        for second in seconds.clone() {
            let versions: Vec<SoftwareVersion> = names.iter().map(|name| (*name).into()).collect();
            history.record(s(second), &versions, MAX_GAP, SPAN);
        }
    }
    history
}

/// Guards against taking a version for the only one in the first seconds of a router, in which it
/// can't know what served before.
#[test]
fn only_version_is_known_after_the_whole_span() {
    let history = history(&[(5..20, &["v1"])]);
    assert_eq!(history.only_version(s(14), SPAN), None);
    assert_eq!(history.only_version(s(15), SPAN).map(|v| &**v), Some("v1"));
}

/// Guards against taking the newest version for the only one while streams of the one before it may
/// still be taken up.
#[test]
fn version_that_left_counts_for_the_span() {
    let history = history(&[(0..20, &["v1"]), (20..22, &["v1", "v2"]), (22..32, &["v2"])]);
    assert!(history.is_mixed(s(31), SPAN));
    assert_eq!(history.only_version(s(31), SPAN), None);
    assert_eq!(history.only_version(s(32), SPAN).map(|v| &**v), Some("v2"));
}

/// Guards against versions that come and go unseen while no list can be read.
#[test]
fn gap_between_lists_begins_the_history_anew() {
    let history = history(&[(0..20, &["v1"]), (24..26, &["v1"])]);
    assert_eq!(history.only_version(s(26), SPAN), None);
    assert_eq!(history.only_version(s(34), SPAN).map(|v| &**v), Some("v1"));
}

/// Guards against a rollout that is undone passing for one that never was.
#[test]
fn version_that_comes_back_is_mixed_with_the_other() {
    let history = history(&[(0..20, &["v1"]), (20..23, &["v2"]), (23..26, &["v1"])]);
    assert!(history.is_mixed(s(25), SPAN));
    let versions: Vec<_> = history.listed_within(s(25), SPAN).collect();
    assert_eq!(versions.len(), 2);
}

/// Guards against forgetting the versions of the newest list while no further one arrives.
#[test]
fn newest_list_holds_until_the_next() {
    let history = history(&[(0..2, &["v1", "v2"])]);
    assert!(history.is_mixed(s(60), SPAN));
}
