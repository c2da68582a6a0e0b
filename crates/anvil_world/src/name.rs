//! Validation of names: ids of instances, teams, budgets, documents and so on.

use std::sync::Arc;

use snafu::Snafu;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "found {found:?}; allowed is 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_' and '.', \
     starting with a letter or digit"
))]
pub struct NameError {
    /// The rejected text, truncated to a printable length.
    pub found: String,
}

/// Validates raw text as a name and returns it as shared text.
///
/// The rule makes every name safe in paths, logs, metric names and HTTP headers.
pub fn checked_name(raw: &str) -> Result<Arc<str>, NameError> {
    let starts_well = raw
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let all_well = raw
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b));
    if raw.len() <= MAX_NAME_BYTES && starts_well && all_well {
        return Ok(Arc::from(raw));
    }
    Err(NameError {
        found: raw.chars().take(MAX_NAME_BYTES).collect(),
    })
}
