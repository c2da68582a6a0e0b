//! Which requests a stopping router begins.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::planned_stop::{CompleteResponse, ResponseTimes, begins_in_time};

/// More responses than make a route well known.
const MANY: u32 = 20;
/// After this time without responses a route is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_mins(1);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn route(name: &str) -> Arc<str> {
    name.into()
}

/// A response that was no stream.
fn whole(took: Duration) -> CompleteResponse {
    CompleteResponse {
        took,
        first: took,
        ..CompleteResponse::default()
    }
}

/// A stream that began after half a second, with events of 3 tokens at this interval.
fn stream_of(events: u32, interval: Duration) -> CompleteResponse {
    let first = Duration::from_millis(500);
    CompleteResponse {
        took: first + interval * (events - 1),
        first,
        events: events.into(),
        tokens_per_event: 3,
        longest_gap: if events > 1 { interval } else { secs(0) },
    }
}

fn record_many(times: &mut ResponseTimes, now: Duration, route: &Arc<str>, took: Duration) {
    for _ in 0..MANY {
        times.record(now, route, whole(took));
    }
}

/// Guards against a response that is cut: neither its deadline nor what is known of its route says
/// that it is complete before the end.
#[test]
fn request_begins_only_if_it_can_be_complete() {
    let time_to_end = secs(5);
    assert!(begins_in_time(None, secs(4), time_to_end));
    assert!(!begins_in_time(None, secs(6), time_to_end));
    assert!(begins_in_time(Some(secs(3)), secs(30), time_to_end));
    assert!(!begins_in_time(Some(secs(4)), secs(30), time_to_end));
    assert!(!begins_in_time(Some(secs(6)), secs(30), time_to_end));
    assert!(begins_in_time(Some(secs(6)), secs(4), time_to_end));
    for expected in [None, Some(secs(1))] {
        assert!(!begins_in_time(expected, secs(1), Duration::ZERO));
    }
}

/// Guards against a short request that is cut because its endpoint, which is sound, is silent for a
/// moment: it begins only if that fits as well, or if its deadline lies before the end.
#[test]
fn short_request_begins_only_if_a_pause_fits() {
    let short = Duration::from_millis(30);
    let pause = Duration::from_millis(1_500);
    for ms in (0..=3_000).step_by(10) {
        let time_to_end = Duration::from_millis(ms);
        let begins = begins_in_time(Some(short), secs(30), time_to_end);
        assert!(!begins || short + pause < time_to_end, "{time_to_end:?}");
        assert!(begins || time_to_end <= secs(2), "{time_to_end:?}");
        for expected in [None, Some(short)] {
            let time_left = Duration::from_millis(ms.saturating_sub(1));
            let begins = begins_in_time(expected, time_left, time_to_end);
            assert_eq!(begins, ms > 0, "{time_to_end:?}");
        }
    }
}

/// Guards against streams that begin because most responses of their route are short.
#[test]
fn longest_response_counts_with_a_margin() {
    let (mut times, stream) = (ResponseTimes::default(), route("stream"));
    record_many(&mut times, secs(0), &stream, secs(1));
    let expected = times.expected(secs(1), "stream", 0).expect("known");
    assert!(expected > secs(1) && expected <= secs(2), "{expected:?}");
    times.record(secs(1), &stream, whole(secs(4)));
    record_many(&mut times, secs(2), &stream, secs(1));
    let expected = times.expected(secs(2), "stream", 0).expect("known");
    assert!(expected > secs(4) && expected <= secs(8), "{expected:?}");
    assert_eq!(times.expected(secs(2), "other", 0), None);
}

/// Guards against the first response of a route, which happens to be short, standing for all.
#[test]
fn few_responses_count_with_a_wider_margin() {
    let mut times = ResponseTimes::default();
    times.record(secs(0), &route("few"), whole(secs(1)));
    record_many(&mut times, secs(0), &route("many"), secs(1));
    let few = times.expected(secs(0), "few", 0).expect("known");
    let many = times.expected(secs(0), "many", 0).expect("known");
    assert!(few > many, "{few:?}, {many:?}");
    // Both half windows count.
    let (mut times, both) = (ResponseTimes::default(), route("both"));
    for s in 20..40 {
        times.record(secs(s), &both, whole(secs(1)));
    }
    assert_eq!(times.expected(secs(40), "both", 0), Some(many));
}

/// Guards against a router that refuses all streams of a route because its longest one is long, and
/// against one that begins a long stream because it knows only short ones.
#[test]
fn allowed_tokens_tell_how_long_a_response_takes() {
    let (mut times, stream) = (ResponseTimes::default(), route("stream"));
    // Half a second to the beginning, 10 ms for each token.
    for events in [20, 50, 100, 30, 80, 60, 40, 100, 90, 1] {
        let response = stream_of(events, Duration::from_millis(30));
        times.record(secs(0), &stream, response);
    }
    let mut expected = |max_output| {
        times
            .expected(secs(1), "stream", max_output)
            .expect("known")
    };
    assert!(expected(50) >= secs(1) && expected(50) <= secs(2));
    assert!(expected(500) >= Duration::from_millis(5_500));
    // Tokens that aren't stated count like the longest response.
    assert!(expected(0) >= Duration::from_millis(3_470) && expected(0) <= secs(6));
}

/// Guards against a stream that is begun and cut, because those before it on its route had far fewer
/// events than they were allowed, as it was.
#[test]
fn tokens_that_other_responses_did_not_use_make_none_shorter() {
    let (mut times, stream) = (ResponseTimes::default(), route("stream"));
    let interval = Duration::from_millis(30);
    for round in 0..MANY {
        times.record(secs(0), &stream, stream_of(12 + round % 25, interval));
    }
    let max_output = 543;
    let longest = stream_of(181, interval).took;
    let expected = times.expected(secs(1), "stream", max_output);
    let expected = expected.expect("known");
    assert!(expected >= longest && expected <= 2 * longest);
    assert!(!begins_in_time(Some(expected), secs(15), longest));
}

/// Guards against streams that are refused for a minute because an endpoint was silent for a moment
/// in a short one, and against streams of a route of which only short ones are known being begun.
#[test]
fn pauses_and_short_streams_tell_little_of_the_time_for_a_token() {
    let interval = Duration::from_millis(30);
    let pause = Duration::from_millis(1_500);
    let paused = |events| {
        let whole = stream_of(events, interval);
        CompleteResponse {
            took: whole.took + pause,
            longest_gap: pause + interval,
            ..whole
        }
    };
    let expected = |responses: &[CompleteResponse]| {
        let (mut times, stream) = (ResponseTimes::default(), route("stream"));
        for response in responses {
            for _ in 0..MANY {
                times.record(secs(0), &stream, *response);
            }
        }
        times.expected(secs(1), "stream", 300)
    };
    let usual = expected(&[stream_of(40, interval)]);
    assert_eq!(expected(&[paused(40)]), usual);
    assert_eq!(expected(&[paused(40), paused(2), paused(3)]), usual);
    assert_eq!(expected(&[stream_of(1, interval), paused(2)]), None);
    assert!(expected(&[paused(3)]).is_some_and(|expected| expected >= secs(3)));
}

/// Guards against one long response that keeps requests of its route away for good, and against a
/// long one that is forgotten while it still tells something.
#[test]
fn long_responses_are_forgotten_in_time() {
    for begun in (0..60).map(secs) {
        let (mut times, stream) = (ResponseTimes::default(), route("stream"));
        times.record(begun, &stream, whole(secs(9)));
        let mut forgotten = None;
        for s in (0..90).map(secs) {
            record_many(&mut times, begun + s, &stream, secs(1));
            let expected = times.expected(begun + s, "stream", 0).expect("known");
            if expected < secs(9) {
                forgotten.get_or_insert(s);
            }
        }
        let forgotten = forgotten.expect("forgotten");
        assert!(
            (secs(30)..=FORGOTTEN_AFTER).contains(&forgotten),
            "{forgotten:?}"
        );
    }
}

/// Guards against memory for routes that are gone, and against old response times of a route that
/// has had none since.
#[test]
fn routes_without_responses_are_forgotten() {
    let (mut times, gone) = (ResponseTimes::default(), route("gone"));
    times.record(secs(10), &gone, whole(secs(1)));
    assert!(times.expected(secs(39), "gone", 0).is_some());
    assert_eq!(times.expected(secs(10) + FORGOTTEN_AFTER, "gone", 0), None);
    times.record(secs(200), &gone, whole(secs(1)));
    for s in (200..300).step_by(59).map(secs) {
        let is_known = times.expected(s, "gone", 0).is_some();
        assert!(!is_known || s < secs(200) + FORGOTTEN_AFTER, "{s:?}");
    }
    times.record(secs(500), &gone, whole(secs(1)));
    assert_eq!(times.expected(secs(1_000), "gone", 0), None);
}

/// Guards against memory that grows with the number of routes.
#[test]
fn number_of_routes_is_bounded() {
    let mut times = ResponseTimes::default();
    for number in 0..10_000 {
        times.record(secs(0), &route(&format!("route-{number}")), whole(secs(1)));
    }
    let known = (0..10_000).filter(|number| {
        let name = format!("route-{number}");
        times.expected(secs(0), &name, 0).is_some()
    });
    assert_eq!(known.count(), 4_096);
}
