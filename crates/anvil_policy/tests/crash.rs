//! Which requests an endpoint crashed under.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_policy::crash::{CrashWatch, Lost};
use anvil_world::prelude::*;

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Guards against taking a lost connection for a crash: without evidence no request is blamed.
#[test]
fn a_lost_answer_alone_blames_nobody() {
    let mut watch = CrashWatch::default();
    let (a, b): (InstanceId, InstanceId) = ("a".into(), "b".into());
    assert_eq!(watch.lost(at(0), &a, 1), Lost::Look);
    assert_eq!(watch.crashed(at(100), &b), BTreeSet::new());
    assert_eq!(watch.crashed(at(10_100), &a), BTreeSet::new(), "too late");
}

/// Guards against a crash that is blamed on half of the requests: those whose loss shows later count as well.
#[test]
fn all_requests_of_a_crashed_endpoint_are_told_once() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    assert_eq!(watch.lost(at(0), &a, 1), Lost::Look);
    assert_eq!(watch.lost(at(1), &a, 2), Lost::Wait);
    assert_eq!(watch.crashed(at(20), &a), BTreeSet::from([1, 2]));
    assert_eq!(watch.crashed(at(21), &a), BTreeSet::new());
    assert_eq!(watch.lost(at(30), &a, 3), Lost::Crashed);
}

/// Guards against a connection a lost answer where an endpoint loses thousands.
#[test]
fn an_endpoint_is_looked_at_once_a_second() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    let looks = (0..10_000u64).filter(|ms| watch.lost(at(*ms), &a, (*ms).into()) == Lost::Look);
    assert_eq!(looks.count(), 10);
}
