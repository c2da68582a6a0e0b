//! Tells one request's way out of the logs of several processes.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::log_line::Told;

/// Log lines of beliefs that decide what becomes of requests, by their message.
const BELIEFS: [&str; 10] = [
    "gateway_table_in_force",
    "gateway_out_of_touch",
    "gateway_in_touch",
    "gateway_endpoints_changed",
    "gateway_list_lost",
    "gateway_list_back",
    "gateway_grants",
    "gateway_endpoint_shut",
    "gateway_starved",
    "gateway_leaving",
];

/// A request's way, in order of time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The id that was asked for.
    pub request: String,
    /// Its lines, each behind the beliefs that its process held then.
    pub lines: Vec<Told>,
    /// Lines that could not be read, and were passed over.
    pub unreadable: usize,
}

/// Reads logs, each under the name of its process, for the lines of one request.
pub fn explain<'a>(request: &str, logs: impl Iterator<Item = (&'a str, &'a str)>) -> Explanation {
    let mut found = Explanation {
        request: request.into(),
        ..Explanation::default()
    };
    for (process, text) in logs {
        read_log(&mut found, process, text);
    }
    found.lines.sort_by(|a, b| a.at.cmp(&b.at));
    found
}

fn read_log(found: &mut Explanation, process: &str, text: &str) {
    let mut beliefs: BTreeMap<&str, Told> = BTreeMap::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let Some(told) = Told::read(process, line) else {
            found.unreadable += 1;
            continue;
        };
        if told.values.get("request") == Some(&found.request) {
            found
                .lines
                .extend(std::mem::take(&mut beliefs).into_values());
            found.lines.push(told);
        } else if let Some(belief) = BELIEFS.iter().find(|belief| **belief == told.message) {
            beliefs.insert(belief, told);
        }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            write!(f, "{} {} {}", line.at, line.process, line.message)?;
            for (key, value) in &line.values {
                write!(f, " {key}={value}")?;
            }
            writeln!(f)?;
        }
        if self.lines.is_empty() {
            writeln!(f, "no line names request {}", self.request)?;
        }
        if self.unreadable > 0 {
            writeln!(f, "{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}
