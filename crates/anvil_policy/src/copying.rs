//! When an engine copies what another one has read, in place of reading it anew.
//!
//! *Answers:* prompts with long shared beginnings whose home is new, busy or gone: one subject that
//! gets much of the traffic, engines replaced one after the other, an engine that crashed.
//!
//! *Without it:* each engine that gets such a prompt reads all of its shared beginning again, though
//! the engine beside it holds it. All first tokens behind that prompt wait, and organisations pay for
//! work that was done.
//!
//! *How:* the router names one engine that is believed to hold more of the prompt than the chosen one. A
//! wrong belief costs nothing but the attempt: what the source doesn't hold is read.

use anvil_world::prelude::*;

use crate::engine::{EngineRule, tokens_f64};

/// How much faster copying must be than reading before it is done. Copies of all requests share two
/// links, and each one is paid for by its bytes: at twice the speed, as with 256 KB a token, they cost
/// what reading does; at twenty times, with 18 KB a token, a twelfth of it.
const TIMES_FASTER: f64 = 4.0;

/// Fewest tokens that are copied: reading so few takes about one step of an engine (3 to 6 ms), and
/// a copy is not begun sooner either.
const LEAST_COPIED: Tokens = 256;

/// What one engine lacks of a prompt, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lacking {
    /// By what this router has sent there itself.
    pub unsent: Tokens,
    /// By that and by whether the engine is the home of the prompt's subject, to which other routers send it.
    pub believed: Tokens,
}

/// The engine from which the chosen one copies, with what that one lacks itself.
///
/// What this router has sent goes before what a home is only presumed to hold: a home that is new holds
/// nothing yet, and the engine that was the home before it still holds all.
pub fn source<T: Copy>(chosen: Lacking, others: &[(T, Lacking)]) -> Option<(T, Tokens)> {
    let holds = |lacks: fn(&Lacking) -> Tokens| {
        let (engine, least) = others.iter().min_by_key(|(_, other)| lacks(other))?;
        let worth = Copying::is_worth_it(lacks(&chosen), lacks(least));
        worth.then(|| (*engine, lacks(least)))
    };
    holds(|lacking| lacking.unsent).or_else(|| holds(|lacking| lacking.believed))
}

/// How quickly the engines of one service copy from each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Copying {
    /// Tokens that go over an engine's link in a millisecond.
    pub tokens_per_ms: f64,
}

impl Copying {
    /// By what one token takes in memory and what a link carries; `None` where reading is about as fast.
    pub fn between(bytes_per_token: f64, link_mbps: f64, rule: &EngineRule) -> Option<Self> {
        let bytes_per_ms = link_mbps * 1e6 / 8.0 / 1e3;
        let tokens_per_ms = bytes_per_ms / bytes_per_token;
        let pays = tokens_per_ms.is_finite() && tokens_per_ms >= TIMES_FASTER * rule.read_per_ms;
        pays.then_some(Self { tokens_per_ms })
    }

    /// Whether a prompt of which `here` tokens are missing at the chosen engine is worth copying
    /// from one where only `there` are.
    pub fn is_worth_it(here: Tokens, there: Tokens) -> bool {
        here >= there.saturating_add(LEAST_COPIED)
    }

    /// Tokens whose reading takes as long as getting `here` missing tokens ready, when all but
    /// `there` of them can be copied.
    pub fn as_if_missing(&self, here: Tokens, there: Tokens, rule: &EngineRule) -> Tokens {
        if !Self::is_worth_it(here, there) {
            return here;
        }
        let copied = tokens_f64(here - there) * rule.read_per_ms / self.tokens_per_ms;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "less than what is missing, since copying is faster"
        )]
        let copied = copied.ceil() as Tokens;
        there + copied
    }
}
