//! Silent endpoints: streams are moved in time for their clients, and not for a harmless silence.

use std::time::Duration;

use anvil_policy::silence::{
    LOOK_INTERVAL, Looks, max_client_gap, max_plain_silence, max_stream_silence,
};

/// Longest silence of an endpoint that goes on.
const HARMLESS: Duration = Duration::from_millis(1_500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a client's gap being taken from the wrong one of its three bounds.
#[test]
fn clients_abandon_streams_after_the_longest_bound() {
    assert_eq!(max_client_gap(ms(100), Some(ms(100))), ms(2_000));
    assert_eq!(max_client_gap(ms(800), Some(ms(300))), ms(3_200));
    assert_eq!(max_client_gap(ms(500), Some(ms(300))), ms(2_400));
    assert_eq!(max_client_gap(ms(400), None), ms(2_000));
    assert_eq!(max_client_gap(ms(1_200), None), ms(4_800));
}

/// Guards against a stream being moved because of a silence that is normal, or so late that no look
/// for an endpoint is left before its client leaves.
#[test]
fn streams_are_moved_after_harmless_silences_and_before_clients_leave() {
    for target in (1..=40).map(|step| ms(50 * step)) {
        for gap in (0..=20).map(|step| (step > 0).then(|| ms(50 * step))) {
            let moved = max_stream_silence(target, gap, Duration::MAX);
            assert!(moved >= HARMLESS, "{target:?} {gap:?}");
            let left = max_client_gap(target, gap).saturating_sub(moved);
            assert!(left >= 2 * LOOK_INTERVAL, "{target:?} {gap:?}");
        }
    }
}

/// Guards against a stream that falls silent near its deadline being kept until no other endpoint can
/// complete it.
#[test]
fn streams_are_moved_while_a_fresh_start_is_in_time() {
    let gap = Some(ms(300));
    let moved = |time_left| max_stream_silence(ms(1_200), gap, ms(time_left));
    assert_eq!(moved(10_000), ms(3_600));
    assert_eq!(moved(5_100), ms(3_600));
    assert_eq!(moved(5_000), ms(3_500));
    assert_eq!(moved(3_400), ms(1_900));
}

/// Guards against a stream near its deadline being moved because of a silence that is normal.
#[test]
fn streams_near_their_deadline_are_not_moved_after_harmless_silences() {
    for time_left in (0..=60).map(|step| ms(100 * step)) {
        for target in (1..=40).map(|step| ms(50 * step)) {
            let moved = max_stream_silence(target, Some(ms(300)), time_left);
            assert!(moved >= HARMLESS, "{target:?} {time_left:?}");
        }
    }
}

/// Guards against a plain request being repeated while its response is not late.
#[test]
fn plain_requests_are_repeated_only_after_their_target() {
    assert_eq!(max_plain_silence(ms(150)), ms(300));
}

/// Guards against a panic where a route's target is the longest time that there is.
#[test]
fn unbounded_targets_do_not_overflow() {
    assert_eq!(max_client_gap(Duration::MAX, None), Duration::MAX);
    assert_eq!(max_plain_silence(Duration::MAX), Duration::MAX);
    assert!(max_stream_silence(Duration::MAX / 8, None, Duration::MAX) > HARMLESS);
}

/// Guards against looks for another endpoint that come too often, or so seldom that one with room isn't
/// seen within a second.
#[test]
fn looks_become_less_frequent_up_to_one_a_second() {
    let mut looks = Looks::default();
    let intervals = [(); 5].map(|()| looks.next_interval());
    assert_eq!(intervals, [250, 500, 1_000, 1_000, 1_000].map(ms));
}
