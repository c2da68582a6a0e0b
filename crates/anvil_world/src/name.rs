//! The rule that every name keeps.

use std::sync::Arc;

use snafu::Snafu;

/// Longest name, in bytes.
pub const MAX_NAME: usize = 64;

/// Text that is not a name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "found {found:?}; allowed is 1 to {MAX_NAME} of a-z, 0-9, '-', '_' and '.', \
     starting with a letter or digit"
))]
pub struct NameError {
    /// The text as it was given, cut to a printable length.
    pub found: String,
}

/// Checks raw text and shares it as a name.
///
/// The rule keeps names safe in paths, logs, metric names and HTTP headers alike.
pub fn checked_name(raw: &str) -> Result<Arc<str>, NameError> {
    let starts_well = raw
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let all_well = raw
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b));
    if raw.len() <= MAX_NAME && starts_well && all_well {
        return Ok(Arc::from(raw));
    }
    Err(NameError {
        found: raw.chars().take(MAX_NAME).collect(),
    })
}
