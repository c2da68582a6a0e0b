//! Whether an engine copies cached prompt tokens from another engine instead of prefilling them.
//!
//! *Load pattern:* prompts with long shared prefixes whose home engine is new, busy or gone: one
//! prefix that gets much of the traffic, engines replaced one after the other, an engine that
//! crashed.
//!
//! *Without it:* each engine that gets such a prompt prefills the whole shared prefix again,
//! although another engine holds it. All first tokens behind that prompt are delayed, and
//! organisations are charged for work that was already done.
//!
//! *Mechanism:* the router names one engine that is assumed to hold more of the prompt than the
//! chosen one. If the assumption is wrong, only the attempt is lost: tokens that the source doesn't
//! hold are prefilled.
//!
//! *Thresholds:* copying must be much faster than prefill, because copies share links and are
//! charged by their bytes, and it must save more than one step of an engine.

use anvil_world::prelude::*;

use crate::engine::EngineRule;
use crate::token_counts::tokens_to_f64;

/// Minimum speed of copying relative to prefill. Copies of all requests share two links, and each
/// is charged by its bytes: at twice the speed (256 KB a token) a copy costs as much as prefill, at
/// twenty times (18 KB a token) a twelfth of it.
const MIN_SPEEDUP: f64 = 4.0;

/// Minimum number of tokens that are copied: prefilling so few takes about one step of an engine (3
/// to 6 ms), and a copy doesn't start sooner than the next step either.
const MIN_COPIED_TOKENS: Tokens = 256;

/// Number of prompt tokens that one engine lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MissingTokens {
    /// Counting as cached only what this router has sent there itself.
    pub by_own_requests: Tokens,
    /// Counting also what the engine is assumed to hold as the home of the shared prefix, to which
    /// other routers send it.
    pub with_home: Tokens,
}

/// The engine from which the chosen one copies, with the number of tokens that it lacks itself.
///
/// Prompts that this router has sent take precedence over what a home is assumed to hold: a new
/// home holds nothing yet, and the engine that was the home before still holds everything.
pub fn source<T: Copy>(
    chosen: MissingTokens,
    others: &[(T, MissingTokens)],
) -> Option<(T, Tokens)> {
    let best_source = |missing: fn(&MissingTokens) -> Tokens| {
        let (engine, fewest) = others.iter().min_by_key(|(_, other)| missing(other))?;
        let worth = Copying::is_worthwhile(missing(&chosen), missing(fewest));
        worth.then(|| (*engine, missing(fewest)))
    };
    best_source(|missing| missing.by_own_requests)
        .or_else(|| best_source(|missing| missing.with_home))
}

/// Speed at which the engines of one service copy from each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Copying {
    /// Tokens that an engine's link carries in a millisecond.
    pub tokens_per_ms: f64,
}

impl Copying {
    /// Computes the speed from the size of a token in memory and the bandwidth of a link; `None` if
    /// copying is not much faster than prefill.
    pub fn between(bytes_per_token: f64, link_mbps: f64, rule: &EngineRule) -> Option<Self> {
        let bytes_per_ms = link_mbps * 1e6 / 8.0 / 1e3;
        let tokens_per_ms = bytes_per_ms / bytes_per_token;
        let pays =
            tokens_per_ms.is_finite() && tokens_per_ms >= MIN_SPEEDUP * rule.prefill_tokens_per_ms;
        pays.then_some(Self { tokens_per_ms })
    }

    /// Whether it is worth copying, if the chosen engine lacks `here` tokens of the prompt and the
    /// source lacks only `there`.
    pub fn is_worthwhile(here: Tokens, there: Tokens) -> bool {
        here >= there.saturating_add(MIN_COPIED_TOKENS)
    }

    /// Number of tokens whose prefill takes as long as getting `here` missing tokens ready, if all
    /// but `there` of them can be copied.
    pub fn equivalent_missing(&self, here: Tokens, there: Tokens, rule: &EngineRule) -> Tokens {
        if !Self::is_worthwhile(here, there) {
            return here;
        }
        let copied = tokens_to_f64(here - there) * rule.prefill_tokens_per_ms / self.tokens_per_ms;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "less than what is missing, since copying is faster"
        )]
        let copied = copied.ceil() as Tokens;
        there + copied
    }
}
