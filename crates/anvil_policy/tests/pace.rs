//! Endpoints that are slowed by other work on their machines.

use std::time::Duration;

use anvil_policy::engine::{EndpointView, EngineRule};
use anvil_policy::pace::WorkPace;
use anvil_world::prelude::*;

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Guards against an endpoint that is avoided long after it was slow.
#[test]
fn old_report_fades() {
    let mut pace = WorkPace::default();
    assert!((pace.factor(at(0)) - 1.0).abs() < 1e-9);
    pace.apply_report(at(100), 300);
    assert!((pace.factor(at(100)) - 3.0).abs() < 1e-9);
    assert!(pace.factor(at(500)) < 2.0);
    assert!(pace.factor(at(3_000)) < 1.01);
}

/// Guards against one wrong number that excludes an endpoint, or sends everything there.
#[test]
fn absurd_report_is_bounded() {
    let mut pace = WorkPace::default();
    pace.apply_report(at(0), u32::MAX);
    assert!(pace.factor(at(0)) <= 8.0);
    pace.apply_report(at(0), 0);
    assert!(pace.factor(at(0)) >= 0.25);
}

/// Guards against prompts that go to an engine that needs three times as long, while another one is
/// as free.
#[test]
fn slowed_engine_is_expected_to_be_late() {
    let rule = EngineRule::default();
    let (mut slowed, mut usual) = (EndpointView::default(), EndpointView::default());
    slowed.apply_report(at(0), 4, 0, 48);
    usual.apply_report(at(0), 4, 0, 48);
    slowed.apply_pace(at(0), 300);
    usual.apply_pace(at(0), 100);
    let expected = |view: &EndpointView, ms| view.expected_first_token(at(ms), &rule, 2_000, 48);
    assert!(expected(&slowed, 10) > 2 * expected(&usual, 10));
    let later = expected(&slowed, 3_000);
    assert!(later < expected(&usual, 3_000) + Duration::from_millis(1));
}
