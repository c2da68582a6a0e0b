//! Which requests an endpoint crashed under.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::crash::{CrashWatch, Lost};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;

const RUN: CrashedRun = CrashedRun::BeforeOutput;

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Guards against taking a lost connection for a crash: without evidence no request is blamed.
#[test]
fn a_lost_answer_alone_blames_nobody() {
    let mut watch = CrashWatch::default();
    let (a, b): (InstanceId, InstanceId) = ("a".into(), "b".into());
    assert_eq!(watch.lost(at(0), &a, 1, RUN), Lost::Look);
    assert_eq!(watch.crashed(at(100), &b), BTreeMap::new());
    assert_eq!(watch.crashed(at(10_100), &a), BTreeMap::new(), "too late");
}

/// Guards against a crash that is blamed on half of the requests: those whose loss shows later count as well.
#[test]
fn all_requests_of_a_crashed_endpoint_are_told_once() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    assert_eq!(watch.lost(at(0), &a, 1, RUN), Lost::Look);
    assert_eq!(watch.lost(at(1), &a, 2, RUN), Lost::Wait);
    assert_eq!(
        watch.crashed(at(20), &a),
        BTreeMap::from([(1, RUN), (2, RUN)])
    );
    assert_eq!(watch.crashed(at(21), &a), BTreeMap::new());
    assert_eq!(watch.lost(at(30), &a, 3, RUN), Lost::Crashed);
}

/// Guards against a connection a lost answer where an endpoint loses thousands.
#[test]
fn an_endpoint_is_looked_at_once_a_second() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    let looks =
        (0..10_000u64).filter(|ms| watch.lost(at(*ms), &a, (*ms).into(), RUN) == Lost::Look);
    assert_eq!(looks.count(), 10);
}

/// Guards against a lookup that is blamed, though it is answered all the time, where a zone loses power.
#[test]
fn a_request_that_was_answered_a_moment_before_is_not_blamed() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.answered(at(0), 1);
    watch.lost(at(10), &a, 1, RUN);
    watch.lost(at(10), &a, 2, RUN);
    watch.answered(at(20), 2);
    watch.lost(at(30), &a, 3, RUN);
    assert_eq!(watch.crashed(at(40), &a), BTreeMap::from([(3, RUN)]));
    assert_eq!(watch.lost(at(50), &a, 1, RUN), Lost::Wait);
    assert_eq!(
        watch.lost(at(10_000), &a, 1, RUN),
        Lost::Crashed,
        "the answer is old"
    );
}

/// Guards against a memory that grows with the requests that are answered.
#[test]
fn answers_are_remembered_within_bounds() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    for request in 0..10_000 {
        watch.answered(at(0), request);
    }
    watch.lost(at(1), &a, 9_999, RUN);
    watch.lost(at(1), &a, 0, RUN);
    assert_eq!(watch.crashed(at(2), &a), BTreeMap::from([(0, RUN)]));
}

/// Guards against a stream being blamed as much as a request without any output, where two equal ones were lost.
#[test]
fn of_equal_requests_the_one_without_output_counts() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.lost(at(0), &a, 1, CrashedRun::AfterOutput);
    watch.lost(at(0), &a, 2, CrashedRun::AfterOutput);
    watch.lost(at(1), &a, 2, CrashedRun::BeforeOutput);
    let crashed = [(1, CrashedRun::AfterOutput), (2, CrashedRun::BeforeOutput)];
    assert_eq!(watch.crashed(at(2), &a), BTreeMap::from(crashed));
}

/// Guards against lost connections being told as crashes, after an endpoint started again under its name.
#[test]
fn an_endpoint_that_answers_again_has_not_crashed() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.lost(at(0), &a, 1, RUN);
    watch.lives(&a);
    assert_eq!(watch.crashed(at(1), &a), BTreeMap::from([(1, RUN)]));
    assert_eq!(watch.lost(at(2), &a, 2, RUN), Lost::Crashed);
    watch.lives(&a);
    assert_eq!(watch.lost(at(3), &a, 3, RUN), Lost::Look);
}
