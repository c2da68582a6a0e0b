//! When a router sends to an endpoint that asked it for a pause.

use std::time::Duration;

use anvil_policy::pause::{Pause, bears_another};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A pause of three seconds that began at 1 s.
fn paused() -> Pause {
    let mut pause = Pause::default();
    assert!(pause.request(ms(1_000), ms(3_000), 0.0));
    pause
}

/// Guards against requests in a pause, and against one that never ends.
#[test]
fn nothing_is_sent_until_the_end() {
    let mut pause = paused();
    assert_eq!(pause.time_until_send(ms(1_500)), ms(2_500));
    assert!(!pause.try_send(ms(3_999)) && pause.is_paused(ms(3_999)));
    assert!(pause.try_send(ms(4_000)) && !pause.is_paused(ms(4_000)));
}

/// Guards against a second request for a pause that shortens the first one.
#[test]
fn the_latest_end_counts() {
    let mut pause = paused();
    assert!(!pause.request(ms(2_000), ms(100), 0.0));
    assert!(!pause.request(ms(2_000), Duration::ZERO, 0.0));
    assert!(pause.is_paused(ms(3_999)));
    assert!(!pause.request(ms(3_000), ms(3_000), 0.0));
    assert!(pause.is_paused(ms(5_999)));
    // The latest end is over; a new pause begins.
    assert!(pause.request(ms(6_000), ms(500), 0.0));
}

/// Guards against an end before the endpoint's, and against routers that all return at its end.
#[test]
fn the_end_is_delayed_but_never_early() {
    for (jitter, end) in [(0.0, 4_000), (0.5, 4_150), (1.0, 4_300)] {
        let mut pause = Pause::default();
        pause.request(ms(1_000), ms(3_000), jitter);
        assert_eq!(pause.time_until_send(ms(1_000)), ms(end - 1_000));
    }
    let mut short = Pause::default();
    short.request(ms(1_000), ms(100), 1.0);
    assert_eq!(short.time_until_send(ms(1_000)), ms(110));
}

/// Guards against all requests of a router returning at once at the end of a pause.
#[test]
fn sending_begins_slowly_after_the_end() {
    let mut pause = paused();
    let send_all = |pause: &mut Pause, now| (0..100).filter(|_| pause.try_send(now)).count();
    assert_eq!(send_all(&mut pause, ms(4_000)), 1);
    pause.record_taken_on(ms(4_010));
    assert_eq!(send_all(&mut pause, ms(4_020)), 2);
    pause.record_taken_on(ms(4_030));
    pause.record_taken_on(ms(4_030));
    assert_eq!(send_all(&mut pause, ms(4_040)), 4);
    for _ in 0..5 {
        pause.record_taken_on(ms(4_050));
    }
    assert_eq!(send_all(&mut pause, ms(4_060)), 100);
    assert!(!pause.is_recovering(ms(4_060)));
}

/// Guards against an endpoint that gets no requests for good because it does not answer the first.
#[test]
fn an_unanswered_request_is_followed_by_another() {
    let mut pause = paused();
    assert!(pause.try_send(ms(4_000)));
    assert_eq!(pause.time_until_send(ms(4_100)), ms(150));
    assert!(pause.try_send(ms(4_250)) && !pause.try_send(ms(4_251)));
}

/// Guards against a pause that ends because a request sent before it is answered.
#[test]
fn answers_to_earlier_requests_do_not_end_a_pause() {
    let mut pause = paused();
    for _ in 0..100 {
        pause.record_taken_on(ms(2_000));
    }
    assert!(pause.is_paused(ms(3_999)));
}

/// Guards against a router that wakes from a freeze and sends in a pause that began before it, and
/// against an overflow.
#[test]
fn extreme_times_are_kept() {
    let mut pause = Pause::default();
    let year = Duration::from_hours(365 * 24);
    pause.request(ms(1_000), year, 1.0);
    assert!(pause.is_paused(year));
    pause.request(ms(2_000), Duration::MAX, 1.0);
    assert!(pause.is_paused(year + year));
    let mut frozen = paused();
    assert!(frozen.try_send(ms(9_000_000)));
}

/// Guards against the load of a paused endpoint overloading the others, and against idle slots there.
#[test]
fn others_get_what_they_bear() {
    assert!(bears_another(0, 0) && bears_another(5, 6) && bears_another(7, 6));
    assert!(!bears_another(8, 6) && !bears_another(2, 1));
}
