//! Reading rates learned from first tokens, without a network.

use std::time::Duration;

use anvil_policy::reading::ReadingRate;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a router believes after so many prompts on engines that read so much a millisecond: a third of them have
/// another prompt in the way, one in ten finds half of it held already, and a first token takes 31 ms besides.
fn learned(per_ms: f64, prompts: u32) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut rate = ReadingRate::default();
    for _ in 0..prompts {
        let unread: u64 = rng.random_range(0..14_000);
        let other = if rng.random_bool(0.33) { 8_000.0 } else { 0.0 };
        let held = if rng.random_bool(0.1) { 0.5 } else { 1.0 };
        let unread = if rng.random_bool(0.3) { 50 } else { unread };
        #[expect(clippy::cast_precision_loss, reason = "some thousand tokens")]
        let ms = 31.0 + (unread as f64 * held + other) / per_ms;
        rate.observe(unread, Duration::from_secs_f64(ms / 1e3));
    }
    rate.per_ms()
}

/// Engines read 112 tokens a millisecond and the router assumed 31. After a few seconds it knows within a
/// third, though prompts stood in each other's way.
#[test]
fn quick_engines_are_known_after_some_seconds() {
    let rate = learned(112.0, 150);
    assert!((75.0..150.0).contains(&rate), "{rate}");
}

/// Engines at a third of the speed that was assumed: everything sent by the old figure comes late.
#[test]
fn slow_engines_are_known_after_some_seconds() {
    let rate = learned(10.0, 200);
    assert!((6.7..13.3).contains(&rate), "{rate}");
}

/// An endpoint answers at once, by mistake or because it held everything. One such answer moves little.
#[test]
fn one_strange_answer_moves_little() {
    let mut rate = ReadingRate::default();
    let before = rate.per_ms();
    rate.observe(10_000, Duration::ZERO);
    assert!(rate.per_ms() < before * 1.1);
}
