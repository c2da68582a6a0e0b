//! Conversions between counts of tokens and numbers with fractions.

use anvil_world::prelude::*;

/// A count as a number for estimates and rates, which need no last digit.
#[expect(clippy::cast_precision_loss, reason = "counts are below 2^52 tokens")]
pub(crate) fn tokens_to_f64(count: Tokens) -> f64 {
    count as f64
}

/// The whole tokens of a number; zero if it is negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
pub(crate) fn to_tokens(number: f64) -> Tokens {
    number as Tokens
}
