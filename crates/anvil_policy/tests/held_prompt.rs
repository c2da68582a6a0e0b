//! Prompts of lost attempts that are held until a retry is charged.

use std::time::Duration;

use anvil_policy::held_prompt::{
    ChargeEnd, ChargeProgress, DEADLINE_TOLERANCE, HeldAttempts, LostAttempt, MAX_HELD_ATTEMPTS,
    MAX_NOTICES, NOTICE_DELAY, Notice, Notices,
};
use anvil_world::prelude::*;

fn at(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn lost(request: ContentDigest) -> LostAttempt {
    LostAttempt {
        request,
        prompt: 100,
        received: at(0),
        client_deadline: at(1_000),
    }
}

fn notice(request: ContentDigest, number: u64) -> Notice {
    Notice {
        origin: "r1".into(),
        incarnation: 1,
        number,
        request,
        since: at(0),
        client_deadline: at(1_000),
    }
}

const WAIT: Duration = Duration::from_secs(1);

/// Guards against a hold for a request of which the client received output, or that certainly did
/// not run.
#[test]
fn only_requests_in_doubt_without_output_are_held() {
    let mut progress = ChargeProgress::default();
    assert_eq!(progress.end(), ChargeEnd::Release);
    progress.record_begun();
    assert_eq!(progress.end(), ChargeEnd::Hold);
    progress.record_not_run();
    assert_eq!(progress.end(), ChargeEnd::Release);
    progress.record_begun();
    progress.record_answered();
    assert_eq!(progress.end(), ChargeEnd::Charge);
}

/// Guards against a report of a charge that is reversed afterwards: neither attempt would be
/// charged.
#[test]
fn charge_that_can_be_reversed_is_not_reported() {
    let mut progress = ChargeProgress::default();
    progress.record_begun();
    assert!(!progress.may_report());
    progress.record_final();
    assert!(progress.may_report());
    progress.record_not_run();
    assert!(progress.may_report());
    assert_eq!(progress.end(), ChargeEnd::Hold);
}

/// Guards against a request that never began counting as charged.
#[test]
fn request_that_did_not_begin_is_not_reported() {
    let mut progress = ChargeProgress::default();
    progress.record_final();
    assert!(!progress.may_report());
    assert_eq!(progress.end(), ChargeEnd::Release);
}

/// Guards against a second release by a duplicate report, or by the report of a second retry.
#[test]
fn attempt_is_released_once() {
    let mut held = HeldAttempts::new(7);
    assert_eq!(held.hold(at(0), lost(1), WAIT, 'a'), Ok(None));
    assert_eq!(held.release(7, 1, 100), Some('a'));
    assert_eq!(held.release(7, 1, 100), None);
    assert_eq!(held.take_ended(at(1_000)), []);
}

/// Guards against a release by a charge of another request, or of less than the held prompt.
#[test]
fn attempt_is_released_only_by_a_charge_of_its_own_request_and_prompt() {
    let mut held = HeldAttempts::new(7);
    assert_eq!(held.hold(at(0), lost(1), WAIT, 'a'), Ok(None));
    assert_eq!(held.release(8, 1, 100), None);
    assert_eq!(held.release(7, 2, 100), None);
    let cheaper = LostAttempt {
        prompt: 99,
        ..lost(1)
    };
    assert_eq!(held.release(7, 1, 99), None);
    assert_eq!(held.release_equal(&cheaper), []);
    assert_eq!(held.take_ended(at(999)), []);
    assert_eq!(held.take_ended(at(1_000)), ['a']);
    assert_eq!(held.release(7, 1, 100), None);
}

/// Guards against attempts of one request that stay charged when a retry at the same router is
/// charged.
#[test]
fn retry_at_the_same_router_releases_all_attempts_of_its_request() {
    let mut held = HeldAttempts::new(0);
    for (request, charge) in [(1, 'a'), (2, 'b'), (1, 'c')] {
        assert_eq!(held.hold(at(0), lost(request), WAIT, charge), Ok(None));
    }
    assert_eq!(held.release_equal(&lost(1)), ['a', 'c']);
    assert_eq!(held.release_equal(&lost(1)), []);
    assert_eq!(held.close(), ['b']);
}

/// Guards against tokens that stay reserved for longer than the client can retry.
#[test]
fn hold_ends_with_the_time_of_the_client_and_within_five_seconds() {
    let mut held = HeldAttempts::new(0);
    assert_eq!(held.hold(at(0), lost(1), Duration::ZERO, 'a'), Err('a'));
    assert_eq!(
        held.hold(at(0), lost(1), Duration::from_mins(1), 'b'),
        Ok(None)
    );
    assert_eq!(held.hold(at(0), lost(1), WAIT, 'c'), Ok(None));
    assert_eq!(held.first_end(), Some(at(1_000)));
    assert_eq!(held.take_ended(at(1_000)), ['c']);
    assert_eq!(held.first_end(), Some(at(5_000)));
    assert_eq!(held.take_ended(at(5_000)), ['b']);
}

/// Guards against a router that holds more after it has stopped: its grants could not be returned.
#[test]
fn nothing_is_held_after_the_end() {
    let mut held = HeldAttempts::new(0);
    assert_eq!(held.hold(at(0), lost(1), WAIT, 'a'), Ok(None));
    assert_eq!(held.close(), ['a']);
    assert_eq!(held.hold(at(0), lost(1), WAIT, 'b'), Err('b'));
    assert_eq!(held.take_announcements(at(0), 10), []);
}

/// Guards against unbounded memory use when all answers are lost.
#[test]
fn oldest_attempt_is_charged_beyond_the_maximum_number() {
    let mut held = HeldAttempts::new(0);
    for number in 0..MAX_HELD_ATTEMPTS {
        assert_eq!(held.hold(at(0), lost(1), WAIT, number), Ok(None));
    }
    assert_eq!(
        held.hold(at(0), lost(1), WAIT, MAX_HELD_ATTEMPTS),
        Ok(Some(0))
    );
    assert_eq!(held.len(), MAX_HELD_ATTEMPTS);
}

/// Guards against an attempt that is announced again and again, or after its end.
#[test]
fn attempt_is_announced_once_with_the_time_left() {
    let mut held = HeldAttempts::new(5);
    assert_eq!(held.hold(at(0), lost(1), WAIT, 'a'), Ok(None));
    assert_eq!(held.hold(at(0), lost(2), at(100), 'b'), Ok(None));
    let announced = held.take_announcements(at(200), 10);
    let announced: Vec<_> = announced
        .iter()
        .map(|a| (a.number, a.request, a.client_waits))
        .collect();
    assert_eq!(announced, [(5, 1, at(800))]);
    assert_eq!(held.take_announcements(at(200), 10), []);
}

/// Guards against two reports of one charge or of two charges for the same held attempt.
#[test]
fn notice_is_taken_once() {
    let mut notices = Notices::default();
    notices.insert(at(0), notice(1, 1));
    notices.insert(at(0), notice(1, 1));
    notices.insert(at(0), notice(1, 2));
    notices.insert(at(0), notice(2, 3));
    let numbers = |taken: Vec<Notice>| taken.iter().map(|n| n.number).collect::<Vec<_>>();
    assert_eq!(numbers(notices.take(at(1), &lost(1))), [1, 2]);
    assert_eq!(numbers(notices.take(at(1), &lost(1))), []);
    assert_eq!(numbers(notices.take(at(1_000), &lost(2))), []);
    assert!(notices.is_empty());
}

/// Guards against memory use that grows with other routers' losses.
#[test]
fn oldest_notice_is_dropped_beyond_the_maximum_number() {
    let mut notices = Notices::default();
    for number in 0..=MAX_NOTICES {
        notices.insert(at(0), notice(number as u128, number as u64));
    }
    assert_eq!(notices.len(), MAX_NOTICES);
    assert_eq!(notices.take(at(0), &lost(0)), []);
    assert_eq!(notices.take(at(0), &lost(1)), [notice(1, 1)]);
    notices.insert(at(1_000), notice(0, 0));
    assert!(notices.len() <= 1, "expired notices are dropped");
}

/// Guards against more than the prepaid tokens being used: two callers of an organisation send equal
/// requests, one answer is lost, and the charge of the other request releases the lost one's prompt.
#[test]
fn equal_request_of_another_caller_releases_nothing() {
    let later_deadline = LostAttempt {
        received: at(400),
        client_deadline: at(1_001) + DEADLINE_TOLERANCE,
        ..lost(1)
    };
    let earlier_deadline = LostAttempt {
        client_deadline: at(999).saturating_sub(DEADLINE_TOLERANCE),
        ..later_deadline
    };
    // Both were sent at the same time.
    let ended = at(1) + NOTICE_DELAY;
    for other in [later_deadline, earlier_deadline, lost(1)] {
        let mut held = HeldAttempts::new(7);
        assert_eq!(held.hold(ended, lost(1), WAIT, 'a'), Ok(None));
        assert_eq!(held.release_equal(&other), []);
        let mut notices = Notices::default();
        let notice = Notice {
            since: ended,
            ..notice(1, 7)
        };
        notices.insert(ended, notice);
        assert_eq!(notices.take(at(500), &other), []);
    }
}
