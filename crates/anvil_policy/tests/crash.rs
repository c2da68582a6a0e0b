//! Which requests are reported for a crashed endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::crash::{CrashWatch, LostAnswerAction};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;

const RUN: CrashedRun = CrashedRun::BeforeOutput;

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Guards against taking a lost connection for a crash: without evidence no request is reported.
#[test]
fn lost_answer_without_evidence_reports_no_request() {
    let mut watch = CrashWatch::default();
    let (a, b): (InstanceId, InstanceId) = ("a".into(), "b".into());
    assert_eq!(
        watch.record_lost_answer(at(0), &a, 1, RUN),
        LostAnswerAction::Probe
    );
    assert_eq!(watch.record_crash(at(100), &b), BTreeMap::new());
    assert_eq!(
        watch.record_crash(at(10_100), &a),
        BTreeMap::new(),
        "evidence came too late"
    );
}

/// Guards against reporting only some of the requests of a crash: those whose loss is noticed later
/// are reported as well, and none of them twice.
#[test]
fn all_requests_of_a_crashed_endpoint_are_reported_once() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    assert_eq!(
        watch.record_lost_answer(at(0), &a, 1, RUN),
        LostAnswerAction::Probe
    );
    assert_eq!(
        watch.record_lost_answer(at(1), &a, 2, RUN),
        LostAnswerAction::Wait
    );
    assert_eq!(
        watch.record_crash(at(20), &a),
        BTreeMap::from([(1, RUN), (2, RUN)])
    );
    assert_eq!(watch.record_crash(at(21), &a), BTreeMap::new());
    assert_eq!(
        watch.record_lost_answer(at(30), &a, 3, RUN),
        LostAnswerAction::Crashed
    );
}

/// Guards against one probe for each lost answer where an endpoint loses thousands.
#[test]
fn endpoint_is_probed_at_most_once_a_second() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    let probes = (0..10_000u64).filter(|ms| {
        watch.record_lost_answer(at(*ms), &a, (*ms).into(), RUN) == LostAnswerAction::Probe
    });
    assert_eq!(probes.count(), 10);
}

/// Guards against reporting a request that is answered all the time, when a whole zone loses power.
#[test]
fn recently_answered_request_is_not_reported() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.record_answer(at(0), 1);
    watch.record_lost_answer(at(10), &a, 1, RUN);
    watch.record_lost_answer(at(10), &a, 2, RUN);
    watch.record_answer(at(20), 2);
    watch.record_lost_answer(at(30), &a, 3, RUN);
    assert_eq!(watch.record_crash(at(40), &a), BTreeMap::from([(3, RUN)]));
    assert_eq!(
        watch.record_lost_answer(at(50), &a, 1, RUN),
        LostAnswerAction::Wait
    );
    assert_eq!(
        watch.record_lost_answer(at(10_000), &a, 1, RUN),
        LostAnswerAction::Crashed,
        "the answer has expired"
    );
}

/// Guards against memory that grows with the number of answered requests.
#[test]
fn remembered_answers_are_bounded() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    for request in 0..10_000 {
        watch.record_answer(at(0), request);
    }
    watch.record_lost_answer(at(1), &a, 9_999, RUN);
    watch.record_lost_answer(at(1), &a, 0, RUN);
    assert_eq!(watch.record_crash(at(2), &a), BTreeMap::from([(0, RUN)]));
}

/// Guards against treating a run with output like one without, if two equal requests were lost.
#[test]
fn run_without_output_takes_precedence_among_equal_requests() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.record_lost_answer(at(0), &a, 1, CrashedRun::AfterOutput);
    watch.record_lost_answer(at(0), &a, 2, CrashedRun::AfterOutput);
    watch.record_lost_answer(at(1), &a, 2, CrashedRun::BeforeOutput);
    let crashed = [(1, CrashedRun::AfterOutput), (2, CrashedRun::BeforeOutput)];
    assert_eq!(watch.record_crash(at(2), &a), BTreeMap::from(crashed));
}

/// Guards against reporting lost connections as crashes after an endpoint was restarted under the
/// same name.
#[test]
fn restarted_endpoint_is_no_longer_crashed() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.record_lost_answer(at(0), &a, 1, RUN);
    watch.record_alive(&a);
    assert_eq!(watch.record_crash(at(1), &a), BTreeMap::from([(1, RUN)]));
    assert_eq!(
        watch.record_lost_answer(at(2), &a, 2, RUN),
        LostAnswerAction::Crashed
    );
    watch.record_alive(&a);
    assert_eq!(
        watch.record_lost_answer(at(3), &a, 3, RUN),
        LostAnswerAction::Probe
    );
}
