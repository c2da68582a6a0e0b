//! Completed responses that came after their route's target, by the stage that took longest.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::log_line::LogLine;

/// Stages before the first event, with the field of the request's log line that has the time in ms.
const STAGES_BEFORE_FIRST_EVENT: [(&str, &str); 5] = [
    ("body", "body_ms"),
    ("money", "money_ms"),
    ("place", "place_ms"),
    ("connect", "connect_ms"),
    ("response", "response_ms"),
];
/// Time before the first event in none of the stages.
const OTHER_STAGE: &str = "other";
/// The longest gap between two events.
const GAP_STAGE: &str = "pause";

/// Late responses whose longest stage was the same.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LateStage {
    /// `body`, `money`, `place`, `connect`, `response`, `pause` or `other`.
    pub stage: &'static str,
    /// Number of responses.
    pub responses: usize,
    /// Their share of all late responses, in percent.
    pub percent: usize,
    /// Longest time in this stage, in ms.
    pub longest_ms: u64,
    /// Id of the request with that time, for `explain`.
    pub example: String,
}

impl fmt::Display for LateStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:6} {}% {} (up to {} ms, such as {})",
            self.responses, self.percent, self.stage, self.longest_ms, self.example
        )
    }
}

/// Collects the lines of completed responses.
#[derive(Debug, Default)]
pub(super) struct LateResponses(BTreeMap<&'static str, LateStage>);

impl LateResponses {
    /// Adds the line of a completed response. Lines of builds that log no target are left out.
    pub(super) fn record(&mut self, line: &LogLine) {
        let Some((stage, ms)) = longest_stage(line) else {
            return;
        };
        let late = self.0.entry(stage).or_default();
        late.stage = stage;
        late.responses += 1;
        if late.example.is_empty() || ms > late.longest_ms {
            late.longest_ms = ms;
            late.example = line.text("request").into();
        }
    }

    /// Number of late responses.
    pub(super) fn count(&self) -> usize {
        self.0.values().map(|late| late.responses).sum()
    }

    /// The stages, the most frequent one first.
    pub(super) fn into_stages(self) -> Vec<LateStage> {
        let all = self.count().max(1);
        let stages = self.0.into_values().map(|late| LateStage {
            percent: (late.responses * 100 + all / 2) / all,
            ..late
        });
        let mut stages: Vec<_> = stages.collect();
        stages.sort_by_key(|late| Reverse(late.responses));
        stages
    }
}

/// The stage that took longest, with its time; `None` if the response was in time. Stages before the
/// first event count only if it was late, and gaps only if one exceeds the route's target for them.
fn longest_stage(line: &LogLine) -> Option<(&'static str, u64)> {
    let ms = |key| line.number(key).unwrap_or(0);
    let exceeds = |key, target| line.number(target).is_some_and(|target| ms(key) > target);
    let mut stages = Vec::new();
    if exceeds("first_ms", "target_ms") {
        stages.extend(STAGES_BEFORE_FIRST_EVENT.map(|(stage, key)| (stage, ms(key))));
        let in_stages: u64 = stages.iter().map(|(_, ms)| *ms).sum();
        stages.push((OTHER_STAGE, ms("first_ms").saturating_sub(in_stages)));
    }
    if exceeds("pause_ms", "pause_target_ms") {
        stages.push((GAP_STAGE, ms("pause_ms")));
    }
    stages.into_iter().max_by_key(|(_, ms)| *ms)
}
