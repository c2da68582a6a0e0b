//! Silent endpoints: streams are moved in time for their clients, and not for a harmless silence.

use std::time::Duration;

use anvil_policy::silence::{LOOK_INTERVAL, max_client_gap, max_plain_silence, max_stream_silence};

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
            let moved = max_stream_silence(target, gap);
            assert!(moved >= HARMLESS, "{target:?} {gap:?}");
            let left = max_client_gap(target, gap).saturating_sub(moved);
            assert!(left >= 2 * LOOK_INTERVAL, "{target:?} {gap:?}");
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
    assert!(max_stream_silence(Duration::MAX / 8, None) > HARMLESS);
}
