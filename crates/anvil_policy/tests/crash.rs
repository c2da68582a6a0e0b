//! Which requests are reported for a crashed endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::crash::{CrashWatch, LostAnswerAction, RunContents};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;

const RUN: CrashedRun = CrashedRun::BeforeOutput;

/// A run of a request without parts.
fn whole(request: ContentDigest) -> RunContents {
    RunContents {
        request,
        shared: Vec::new(),
    }
}

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Guards against taking a lost connection for a crash: without evidence no request is reported.
#[test]
fn lost_answer_without_evidence_reports_no_request() {
    let mut watch = CrashWatch::default();
    let (a, b): (InstanceId, InstanceId) = ("a".into(), "b".into());
    assert_eq!(
        watch.record_lost_answer(at(0), &a, &whole(1), RUN),
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
        watch.record_lost_answer(at(0), &a, &whole(1), RUN),
        LostAnswerAction::Probe
    );
    assert_eq!(
        watch.record_lost_answer(at(1), &a, &whole(2), RUN),
        LostAnswerAction::Wait
    );
    assert_eq!(
        watch.record_crash(at(20), &a),
        BTreeMap::from([(1, RUN), (2, RUN)])
    );
    assert_eq!(watch.record_crash(at(21), &a), BTreeMap::new());
    assert_eq!(
        watch.record_lost_answer(at(30), &a, &whole(3), RUN),
        LostAnswerAction::Crashed
    );
}

/// Guards against one probe for each lost answer where an endpoint loses thousands.
#[test]
fn endpoint_is_probed_at_most_once_a_second() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    let probes = (0..10_000u64).filter(|ms| {
        watch.record_lost_answer(at(*ms), &a, &whole((*ms).into()), RUN) == LostAnswerAction::Probe
    });
    assert_eq!(probes.count(), 10);
}

/// Guards against reporting a request that is answered all the time, when a whole zone loses power.
#[test]
fn recently_answered_request_is_not_reported() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.record_answer(at(0), 1);
    watch.record_lost_answer(at(10), &a, &whole(1), RUN);
    watch.record_lost_answer(at(10), &a, &whole(2), RUN);
    watch.record_answer(at(20), 2);
    watch.record_lost_answer(at(30), &a, &whole(3), RUN);
    assert_eq!(watch.record_crash(at(40), &a), BTreeMap::from([(3, RUN)]));
    assert_eq!(
        watch.record_lost_answer(at(50), &a, &whole(1), RUN),
        LostAnswerAction::Wait
    );
    assert_eq!(
        watch.record_lost_answer(at(10_000), &a, &whole(1), RUN),
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
    watch.record_lost_answer(at(1), &a, &whole(9_999), RUN);
    watch.record_lost_answer(at(1), &a, &whole(0), RUN);
    assert_eq!(watch.record_crash(at(2), &a), BTreeMap::from([(0, RUN)]));
}

/// Guards against treating a run with output like one without, if two equal requests were lost.
#[test]
fn run_without_output_takes_precedence_among_equal_requests() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.record_lost_answer(at(0), &a, &whole(1), CrashedRun::AfterOutput);
    watch.record_lost_answer(at(0), &a, &whole(2), CrashedRun::AfterOutput);
    watch.record_lost_answer(at(1), &a, &whole(2), CrashedRun::BeforeOutput);
    let crashed = [(1, CrashedRun::AfterOutput), (2, CrashedRun::BeforeOutput)];
    assert_eq!(watch.record_crash(at(2), &a), BTreeMap::from(crashed));
}

/// Guards against reporting lost connections as crashes after an endpoint was restarted under the
/// same name.
#[test]
fn restarted_endpoint_is_no_longer_crashed() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.record_lost_answer(at(0), &a, &whole(1), RUN);
    watch.record_alive(&a);
    assert_eq!(watch.record_crash(at(1), &a), BTreeMap::from([(1, RUN)]));
    assert_eq!(
        watch.record_lost_answer(at(2), &a, &whole(2), RUN),
        LostAnswerAction::Crashed
    );
    watch.record_alive(&a);
    assert_eq!(
        watch.record_lost_answer(at(3), &a, &whole(3), RUN),
        LostAnswerAction::Probe
    );
}

/// A run of a request whose prompt has these shared parts.
fn prompt(request: ContentDigest, parts: &[ContentDigest]) -> RunContents {
    RunContents {
        request,
        shared: parts.to_vec(),
    }
}

/// Guards against blaming the parts that sound prompts share with those that crash endpoints.
#[test]
fn part_answered_shortly_before_is_not_reported() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    watch.record_shared_answers(at(0), &[11]);
    watch.record_lost_answer(at(10), &a, &prompt(1, &[11, 66]), RUN);
    assert_eq!(
        watch.record_crash(at(20), &a),
        BTreeMap::from([(1, RUN), (66, RUN)])
    );
    watch.record_lost_answer(at(10_000), &a, &prompt(2, &[11]), RUN);
    assert_eq!(
        watch.record_crash(at(10_010), &a),
        BTreeMap::from([(2, RUN), (11, RUN)]),
        "it may crash endpoints by now"
    );
}

/// Guards against blaming a part that is used every few minutes, and against clearing one forever that
/// was sound before.
#[test]
fn answer_minutes_ago_clears_a_part_for_some_seconds() {
    let mut watch = CrashWatch::default();
    watch.record_shared_answers(at(0), &[11]);
    assert!(watch.was_shared_answered(at(590_000), 11));
    assert!(watch.clears(at(590_000), 11), "endpoints are lost together");
    assert!(watch.clears(at(592_999), 11), "others of them");
    assert!(!watch.clears(at(593_000), 11), "it crashes endpoints now");
    watch.record_shared_answers(at(593_001), &[11]);
    assert!(watch.clears(at(593_002), 11));
}

/// Guards against made-up parts that fill the memory of a crashed endpoint without end.
#[test]
fn remembered_contents_of_an_endpoint_are_bounded() {
    let mut watch = CrashWatch::default();
    let a: InstanceId = "a".into();
    for request in 0..1_000 {
        let parts: Vec<_> = (0..64).map(|part| 10_000 + request * 64 + part).collect();
        watch.record_lost_answer(at(0), &a, &prompt(request, &parts), RUN);
    }
    assert_eq!(watch.record_crash(at(1), &a).len(), 4_096);
}
