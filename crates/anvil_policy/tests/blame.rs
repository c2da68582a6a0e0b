//! Which parts of prompts are blamed for crashes.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_policy::blame::{BlamedGroup, groups};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;

fn at(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000) + Duration::from_millis(ms)
}

/// A part that was in flight when these endpoints crashed.
fn part(crashes: &[(&str, u64)]) -> SuspectContent {
    let mut suspect = SuspectContent::new(at(crashes[0].1));
    for (endpoint, ms) in crashes {
        suspect.record_crash(&(*endpoint).into(), CrashedRun::BeforeOutput, at(*ms));
    }
    suspect
}

fn groups_of(parts: &[(ContentDigest, SuspectContent)]) -> BTreeSet<BlamedGroup> {
    let parts = parts.iter().map(|(part, suspect)| (*part, suspect));
    groups(parts).into_iter().collect()
}

/// Guards against refusing all prompts that begin like the crashing ones: parts that were in flight at
/// the same crashes are blamed together only.
#[test]
fn parts_of_the_same_crashes_are_blamed_as_a_group() {
    let first = part(&[("a", 0), ("b", 900), ("c", 2_000)]);
    let crashing = part(&[("b", 950), ("a", 1_000), ("c", 2_100)]);
    let other = part(&[("a", 0), ("b", 900), ("d", 1_500)]);
    assert_eq!(
        groups_of(&[(1, first), (66, crashing), (7, other)]),
        BTreeSet::from([BTreeSet::from([1, 66]), BTreeSet::from([7])])
    );
}

/// Guards against blaming a part that happened to be in flight at the first crashes of another one.
#[test]
fn part_missing_from_a_later_crash_is_not_blamed() {
    let sound = part(&[("a", 0), ("b", 900), ("c", 2_000)]);
    let crashing = part(&[("a", 0), ("b", 900), ("c", 2_000), ("d", 3_000)]);
    assert_eq!(
        groups_of(&[(10, sound), (66, crashing)]),
        BTreeSet::from([BTreeSet::from([66])])
    );
}

/// Guards against two parts that crash endpoints hiding each other.
#[test]
fn two_crashing_parts_are_blamed_each_for_itself() {
    let one = part(&[("a", 0), ("c", 900), ("e", 2_000)]);
    let other = part(&[("b", 500), ("d", 1_400), ("f", 2_500)]);
    assert_eq!(
        groups_of(&[(66, one), (67, other)]),
        BTreeSet::from([BTreeSet::from([66]), BTreeSet::from([67])])
    );
}

/// Guards against blaming a part that was in flight at some crashes of another one, which go on.
#[test]
fn part_in_flight_at_some_crashes_of_another_one_is_not_blamed() {
    let mut crashing = part(&[("a", 0), ("b", 400), ("c", 900)]);
    crashing.since = at(2_600);
    let sound = part(&[("a", 0), ("c", 900), ("f", 2_500)]);
    assert_eq!(
        groups_of(&[(10, sound), (66, crashing.clone())]),
        BTreeSet::from([BTreeSet::from([66])])
    );
    let later = part(&[("a", 0), ("c", 900), ("g", 4_000)]);
    assert_eq!(
        groups_of(&[(10, later), (66, crashing)]).len(),
        2,
        "it was in flight at a crash at which the other one was not"
    );
}

/// Guards against a part that crashes endpoints hiding another one that began later.
#[test]
fn crashes_of_one_part_do_not_hide_another_one() {
    let mut earlier = part(&[("a", 0), ("b", 400), ("c", 1_100)]);
    earlier.since = at(5_000);
    let other = part(&[("c", 1_200), ("d", 2_000), ("e", 3_000)]);
    assert_eq!(groups_of(&[(66, earlier), (67, other)]).len(), 2);
}
