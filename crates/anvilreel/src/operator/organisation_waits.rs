//! Which organisations were refused, and which waited.

use std::fmt;

use serde::Serialize;

use super::log_line::LogLine;

/// Outcomes of requests that were neither completed nor refused: they may have run.
const OUTCOMES_AFTER_A_RUN: [&str; 4] = [
    "answer_lost",
    "no_answer_in_time",
    "endpoint_failed",
    "client_left",
];

/// Refusals and waits of one organisation's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct OrganisationWaits {
    /// Name of the organisation.
    pub organisation: String,
    /// Requests whose end was logged.
    pub requests: usize,
    /// Requests that were refused without a run.
    pub refused: usize,
    /// Requests that waited for tokens or for a place at an endpoint.
    pub waited: usize,
    /// Sum of these waits, in ms.
    pub waited_ms: u64,
    /// The longest of them, in ms.
    pub longest_ms: u64,
}

impl OrganisationWaits {
    /// Adds the line of one request's end.
    pub(super) fn record(&mut self, line: &LogLine, completed: bool) {
        self.requests += 1;
        let is_refused = !completed && !OUTCOMES_AFTER_A_RUN.contains(&line.text("outcome"));
        self.refused += usize::from(is_refused);
        let ms = |key| line.number(key).unwrap_or(0);
        let waited_ms = ms("money_ms") + ms("place_ms");
        self.waited += usize::from(waited_ms > 0);
        self.waited_ms += waited_ms;
        self.longest_ms = self.longest_ms.max(waited_ms);
    }
}

impl fmt::Display for OrganisationWaits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {}, {}, {}; {} ms, {} ms",
            self.organisation,
            self.requests,
            self.refused,
            self.waited,
            self.waited_ms,
            self.longest_ms
        )
    }
}
