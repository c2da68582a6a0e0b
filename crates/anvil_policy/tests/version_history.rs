//! Which versions of a service's software were listed, and when last.

use std::time::Duration;

use anvil_policy::version_history::VersionHistory;
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
