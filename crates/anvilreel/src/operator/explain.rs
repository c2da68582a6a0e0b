//! Collects the log lines of one request from the logs of several processes.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::log_line::LogLine;

/// Messages of log lines that record a process's view of the fleet, which decides how it handles
/// requests.
const VIEW_MESSAGES: [&str; 12] = [
    "gateway_table_in_force",
    "gateway_out_of_touch",
    "gateway_in_touch",
    "gateway_endpoints_changed",
    "gateway_list_lost",
    "gateway_list_back",
    "gateway_grants",
    "gateway_endpoint_shut",
    "gateway_endpoint_pause",
    "gateway_endpoint_leaves",
    "gateway_starved",
    "gateway_leaving",
];

/// The log lines of one request, in order of time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// The request's lines, each preceded by the lines that show its process's view at that time.
    pub lines: Vec<LogLine>,
    /// Lines that could not be parsed and were skipped.
    pub unreadable: usize,
}

/// Collects the lines of one request from logs, given as pairs of process name and text.
pub fn explain<'a>(request: &str, logs: impl Iterator<Item = (&'a str, &'a str)>) -> Explanation {
    let mut explanation = Explanation {
        request: request.into(),
        ..Explanation::default()
    };
    for (process, text) in logs {
        read_log(&mut explanation, process, text);
    }
    explanation.lines.sort_by(|a, b| a.at.cmp(&b.at));
    explanation
}

fn read_log(explanation: &mut Explanation, process: &str, text: &str) {
    let mut view_lines: BTreeMap<&str, LogLine> = BTreeMap::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let Some(parsed) = LogLine::parse(process, line) else {
            explanation.unreadable += 1;
            continue;
        };
        if parsed.values.get("request") == Some(&explanation.request) {
            explanation
                .lines
                .extend(std::mem::take(&mut view_lines).into_values());
            explanation.lines.push(parsed);
        } else if let Some(message) = VIEW_MESSAGES
            .iter()
            .find(|message| **message == parsed.message)
        {
            view_lines.insert(message, parsed);
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
