//! How fast the engines of one service read prompts, as their first tokens show it.
//!
//! *Answers:* deployments whose engines read three times as fast, or a third as fast, as others'.
//!
//! *Without it:* the expected time to a first token rests on one figure for all. Where engines read 112 tokens
//! a millisecond and 31 are assumed, a prompt that is read in 0.1 s counts as a queue of 0.4 s, and work leaves
//! engines that would have answered first.
//!
//! *How:* each first token of a long prompt gives one sample: tokens that were not held there, by the time
//! that it took beyond a prompt with hardly anything to read. Samples are too low where other prompts were in
//! the way, and too high where the engine held more than was believed; so the figure moves by small steps towards
//! the value that a third of the samples pass, whatever their size.

use std::time::Duration;

use anvil_world::prelude::*;

use crate::engine::tokens_f64;

/// Before anything was seen, in tokens a millisecond: the slowest engines known read about so much. Too low a
/// figure only keeps prompts at their homes; it is learned within some twenty prompts.
const FIRST_GUESS: f64 = 31.0;
/// Step up after a sample that is higher, as a part.
const UP: f64 = 0.06;
/// Step down after one that is lower. With [`UP`] the figure rests where a third of the samples are higher.
const DOWN: f64 = 0.03;
/// Prompts with so little to read show what a first token takes besides reading.
const HARDLY_ANY: Tokens = 100;
/// By how much the shortest such time is forgotten with each of them, in milliseconds: engines grow slower when
/// more run on them.
const BESIDES_RISES_MS: f64 = 0.5;
/// Prompts with less to read than this say little of the rate: it takes a few steps of an engine.
const LONG: Tokens = 1_500;
/// Bounds of what is believed, in tokens a millisecond.
const BOUNDS: (f64, f64) = (1.0, 2_000.0);
/// Shortest time that a prompt can be said to have taken to be read, in milliseconds.
const SHORTEST_MS: f64 = 1.0;

/// The reading rate of one service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadingRate {
    per_ms: f64,
    /// What a first token takes besides reading, in milliseconds.
    besides_ms: f64,
}

impl Default for ReadingRate {
    fn default() -> Self {
        Self {
            per_ms: FIRST_GUESS,
            besides_ms: 0.0,
        }
    }
}

impl ReadingRate {
    /// Tokens that an engine reads in a millisecond.
    pub fn per_ms(&self) -> f64 {
        self.per_ms
    }

    /// A first token came so long after a prompt was sent of which so much had to be read.
    pub fn observe(&mut self, unread: Tokens, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        if unread <= HARDLY_ANY {
            self.besides_ms = took_ms.min(self.besides_ms + BESIDES_RISES_MS);
        } else if unread >= LONG {
            let reading_ms = (took_ms - self.besides_ms).max(SHORTEST_MS);
            let sample = tokens_f64(unread) / reading_ms;
            let step = if sample > self.per_ms { UP } else { -DOWN };
            self.per_ms = (self.per_ms * (1.0 + step)).clamp(BOUNDS.0, BOUNDS.1);
        }
    }
}
