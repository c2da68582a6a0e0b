//! Parsing and validation of settings text.

use std::ops::RangeInclusive;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::name::checked_name;

/// Settings text that is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The text is not TOML, has an unknown key or a value of a wrong type.
    #[snafu(display("{file}:{line}: {message}"))]
    Text {
        /// The file or tree path.
        file: String,
        /// From 1.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// Some values are not allowed.
    #[snafu(display("{}", join(file, problems)))]
    Values {
        /// The file or tree path.
        file: String,
        /// Each problem with the line of its value.
        problems: Vec<(usize, Problem)>,
    },
}

/// One value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(display("{key}: found {found}; allowed is {allowed}"))]
pub struct Problem {
    /// The key of the value.
    pub key: String,
    /// The value found.
    pub found: String,
    /// The values allowed.
    pub allowed: String,
}

impl Problem {
    /// A problem with the value of `key`.
    pub fn new(key: &str, found: impl Into<String>, allowed: &str) -> Self {
        Self {
            key: key.into(),
            found: found.into(),
            allowed: allowed.into(),
        }
    }

    /// Checks that `value` is a valid name; returns the problem if it is not.
    pub fn check_name(key: &str, value: &str) -> Vec<Self> {
        let allowed = "a name of a-z, 0-9, '-', '_' and '.', 64 bytes at most";
        match checked_name(value) {
            Ok(_) => Vec::new(),
            Err(e) => vec![Self::new(key, format!("{:?}", e.found), allowed)],
        }
    }

    /// Checks that `value` is in the allowed range; returns the problem if it is not.
    pub fn check_range(key: &str, value: u64, allowed: RangeInclusive<u64>) -> Vec<Self> {
        if allowed.contains(&value) {
            return Vec::new();
        }
        let span = format!("{} to {}", allowed.start(), allowed.end());
        vec![Self::new(key, value.to_string(), &span)]
    }
}

/// Settings that can validate their values.
pub trait Validate {
    /// All values that are not allowed.
    fn problems(&self) -> Vec<Problem>;
}

/// Parses settings text and validates all its values. `file` is the name used in errors.
pub fn parse_settings<T: DeserializeOwned + Validate>(
    file: &str,
    text: &str,
) -> Result<T, SettingsError> {
    let value: T = toml::from_str(text).map_err(|e| SettingsError::Text {
        file: file.into(),
        line: e.span().map_or(1, |span| line_of(text, span.start)),
        message: e.message().into(),
    })?;
    let problems = value.problems();
    if problems.is_empty() {
        return Ok(value);
    }
    let problems = problems
        .into_iter()
        .map(|problem| (line_of_key(text, &problem.key), problem))
        .collect();
    Err(SettingsError::Values {
        file: file.into(),
        problems,
    })
}

fn line_of(text: &str, byte: usize) -> usize {
    let before = text.as_bytes().iter().take(byte);
    before.filter(|b| **b == b'\n').count() + 1
}

/// The first line that sets the key, or 1 if none does and the default applies.
fn line_of_key(text: &str, key: &str) -> usize {
    let last = key.rsplit('.').next().unwrap_or(key);
    let sets_key = |line: &str| {
        let line = line.trim_start().trim_start_matches('[');
        line.strip_prefix(last)
            .is_some_and(|rest| rest.trim_start().starts_with(['=', '.', ']']))
    };
    text.lines().position(sets_key).map_or(1, |at| at + 1)
}

fn join(file: &str, problems: &[(usize, Problem)]) -> String {
    let lines: Vec<_> = problems
        .iter()
        .map(|(line, problem)| format!("{file}:{line}: {problem}"))
        .collect();
    lines.join("\n")
}
