//! Data on a narrow link.

use std::time::Duration;

use anvil_policy::link_pacer::LinkPacer;
use anvil_world::prelude::*;

/// Bytes per second.
const LINK: u64 = 1_000_000;
const ANY_WAIT: Duration = Duration::from_secs(9);

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Load pattern: prompts for twice what the link can carry. Guards against data that fills the link, and
/// against prompts that wait longer than allowed instead of being refused at once.
#[test]
fn prompts_stay_below_four_fifths_of_the_link() {
    let mut pacer = LinkPacer::new(LINK);
    let (mut sent, mut refused) = (0, 0);
    for ms in (0..10_000).step_by(5) {
        match pacer.reserve(at(ms), 10_000, at(100)) {
            Ok(wait) => {
                assert!(wait <= at(100));
                sent += 10_000;
            }
            Err(busy) => {
                assert!(busy.wait > at(100));
                refused += 1;
            }
        }
    }
    assert!((8_000_000..8_200_000).contains(&sent), "{sent} bytes");
    assert!(refused > 900, "{refused} refused");
}

/// Load pattern: the same, of prompts that may wait for seconds. Guards against a pace that ends where the
/// backlog is at its limit.
#[test]
fn prompts_that_may_wait_for_long_stay_below_the_pace_too() {
    let mut pacer = LinkPacer::new(LINK);
    let mut sent = 0;
    for ms in (0..10_000).step_by(5) {
        if pacer.reserve(at(ms), 10_000, ANY_WAIT).is_ok() {
            sent += 10_000;
        }
    }
    assert!((8_000_000..8_600_000).contains(&sent), "{sent} bytes");
}

/// Guards against delays on a link that is not busy.
#[test]
fn idle_link_makes_nothing_wait() {
    let mut pacer = LinkPacer::new(LINK);
    for ms in (0..10_000).step_by(20) {
        assert_eq!(pacer.reserve(at(ms), 10_000, ANY_WAIT), Ok(Duration::ZERO));
    }
}

/// Guards against responses that take the link from control messages: prompts make room for them.
#[test]
fn responses_delay_prompts() {
    let mut pacer = LinkPacer::new(LINK);
    pacer.count(at(0), 80_000);
    let wait = pacer.reserve(at(0), 10_000, ANY_WAIT).expect("a wait");
    assert_eq!(wait, at(80));
    assert_eq!(pacer.backlog(at(0)), Duration::from_micros(112_500));
}

/// Guards against prompts that wait for one that was not sent, since its client had left.
#[test]
fn released_bytes_delay_nothing() {
    let mut pacer = LinkPacer::new(LINK);
    pacer.reserve(at(0), 40_000, ANY_WAIT).expect("a wait");
    pacer.release(at(0), 40_000);
    assert_eq!(pacer.reserve(at(0), 10_000, ANY_WAIT), Ok(Duration::ZERO));
}

/// Guards against a burst of responses after which no prompt is sent for seconds.
#[test]
fn backlog_is_bounded() {
    let mut pacer = LinkPacer::new(LINK);
    pacer.count(at(0), 100 * LINK);
    assert_eq!(pacer.backlog(at(0)), at(500));
    assert_eq!(pacer.backlog(at(600)), Duration::ZERO);
}

/// Guards against a link that counts as free while data would wait, or as busy while it would not.
#[test]
fn free_link_sends_at_once() {
    let mut pacer = LinkPacer::new(LINK);
    for bytes in (0..40).map(|step| 1_000 * step) {
        let is_free = pacer.is_free(at(0));
        let reserved = pacer.clone().reserve(at(0), bytes, at(0));
        assert_eq!(reserved.is_ok(), is_free);
        pacer.count(at(0), bytes);
    }
    assert!(!pacer.is_free(at(0)));
    assert!(pacer.is_free(at(600)));
}
