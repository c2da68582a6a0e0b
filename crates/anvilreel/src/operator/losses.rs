//! Aggregates failed requests and spent tokens from the logs of several processes.
//!
//! While [`super::explain()`] shows one request, this reports which decisions made how many
//! requests fail, in which seconds, which stage made responses late, which organisations were refused
//! or waited, and what each budget's tokens were spent on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::late_responses::{LateResponses, LateStage};
use super::log_line::LogLine;
use super::organisation_waits::OrganisationWaits;

const COMPLETED: &str = "gateway_request_completed";
const FAILED: &str = "gateway_request_failed";
const GRANTS: &str = "gateway_grants";
const CONFIGURATION_APPLIED: &str = "configuration_taken";
const CHARGE_DROPPED: &str = "gateway_bill_dropped";
const PROMPT_RELEASED: &str = "gateway_prompt_released";

/// Length of the prefix of a timestamp that ends with the seconds.
const SECOND_PREFIX_LEN: usize = 19;
/// Maximum number of seconds, of decisions, and of organisations that the text report prints.
const MAX_PRINTED: usize = 20;

/// Failed requests with the same outcome and the same decisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Loss {
    /// Their outcome.
    pub outcome: String,
    /// The last decisions before it, without names, numbers and times.
    pub decision: String,
    /// Number of requests.
    pub requests: usize,
    /// Time at which the first one ended.
    pub first: String,
    /// Time at which the last one ended.
    pub last: String,
    /// Id of the first one, for `explain`.
    pub example: String,
}

/// Counts of the requests that ended in one second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct SecondCounts {
    /// The second, as a timestamp.
    pub at: String,
    /// Requests that ended in it.
    pub requests: usize,
    /// Requests that ended in it without completing.
    pub failed: usize,
}

/// What one budget's tokens were spent on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct BudgetSpending {
    /// Name of the budget.
    pub budget: String,
    /// Tokens credited in total, according to the newest configuration.
    pub credited: u64,
    /// Tokens billed for completed requests.
    pub completed: u64,
    /// Tokens billed for requests that ended after a part of their response was delivered.
    pub partly: u64,
    /// Tokens billed for requests of whose response nothing was delivered.
    pub undelivered: u64,
    /// Tokens not granted yet, according to the ledger's last refusal.
    pub left: Option<u64>,
    /// Tokens in open grants at that time: reserved by running requests, idle, or lost with a
    /// process.
    pub granted: Option<u64>,
    /// Requests refused because the budget could not pay for them.
    pub refused: usize,
}

impl BudgetSpending {
    /// Tokens that were billed or lost and appear in no log line, because the process crashed or
    /// the line was dropped. `None` if the ledger has not refused anything yet.
    pub fn unaccounted(&self) -> Option<u64> {
        let unspent = self.left? + self.granted?;
        let logged = self.completed + self.partly + self.undelivered;
        Some(self.credited.saturating_sub(unspent).saturating_sub(logged))
    }
}

/// Report on failed requests and spent tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Losses {
    /// Requests whose end was logged.
    pub requests: usize,
    /// Requests that completed.
    pub completed: usize,
    /// The other requests by reason, the most frequent reason first.
    pub losses: Vec<Loss>,
    /// Seconds in which requests failed, the one with the most failures first.
    pub seconds: Vec<SecondCounts>,
    /// Completed responses that came after their route's target.
    pub late: usize,
    /// The same by the stage that took longest, the most frequent one first.
    pub late_stages: Vec<LateStage>,
    /// Refusals and waits by organisation, the one with the most refusals first.
    pub organisations: Vec<OrganisationWaits>,
    /// Budgets, ordered by name.
    pub budgets: Vec<BudgetSpending>,
    /// Lines that could not be parsed and were skipped.
    pub unreadable: usize,
}

#[derive(Default)]
struct Aggregation {
    report: Losses,
    losses: BTreeMap<(String, String), Loss>,
    seconds: BTreeMap<String, SecondCounts>,
    late: LateResponses,
    organisations: BTreeMap<String, OrganisationWaits>,
    budgets: BTreeMap<String, BudgetSpending>,
    /// When each budget's last refusal was logged.
    refused_at: BTreeMap<String, String>,
    /// When the newest configuration was applied.
    configured_at: String,
    /// Charges for undelivered responses by request, with the budget; subtracted again if the
    /// charge was dropped.
    undelivered_charges: BTreeMap<String, (String, u64)>,
    dropped_charges: Vec<String>,
}

/// Aggregates logs, given as pairs of process name and text.
pub fn losses<'a>(logs: impl Iterator<Item = (&'a str, &'a str)>) -> Losses {
    let mut aggregation = Aggregation::default();
    for (process, text) in logs {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(process, line) {
                Some(parsed) => aggregation.record(&parsed),
                None => aggregation.report.unreadable += 1,
            }
        }
    }
    aggregation.finish()
}

impl Aggregation {
    fn record(&mut self, line: &LogLine) {
        match line.message.as_str() {
            COMPLETED => self.record_end(line, true),
            FAILED => self.record_end(line, false),
            GRANTS => self.record_refusals(line),
            CONFIGURATION_APPLIED => self.record_credits(line),
            CHARGE_DROPPED | PROMPT_RELEASED => {
                self.dropped_charges.push(line.text("request").into());
            }
            _ => {}
        }
    }

    fn record_end(&mut self, line: &LogLine, completed: bool) {
        self.report.requests += 1;
        let at: String = line.at.chars().take(SECOND_PREFIX_LEN).collect();
        let second = self.seconds.entry(at.clone()).or_default();
        second.at = at;
        second.requests += 1;
        second.failed += usize::from(!completed);
        self.record_charge(line, completed);
        if let Some(organisation) = line.name("organisation") {
            let waits = self.organisations.entry(organisation.into());
            waits.or_default().record(line, completed);
        }
        if completed {
            self.report.completed += 1;
            self.late.record(line);
            return;
        }
        let outcome = line.text("outcome");
        let decision = without_details(line.text("steps"));
        let key = (outcome.to_owned(), decision);
        let loss = self.losses.entry(key.clone()).or_default();
        if loss.requests == 0 || line.at < loss.first {
            loss.first.clone_from(&line.at);
            loss.example = line.text("request").into();
        }
        loss.last = loss.last.clone().max(line.at.clone());
        loss.requests += 1;
        (loss.outcome, loss.decision) = key;
    }

    fn record_charge(&mut self, line: &LogLine, completed: bool) {
        let Some(organisation) = line.name("organisation") else {
            return;
        };
        let billed = line.number("billed").unwrap_or(0);
        let spent = self.budgets.entry(organisation.into()).or_default();
        let delivery_begun = line.number("first_ms").is_some_and(|ms| ms > 0);
        let part = match (completed, delivery_begun) {
            (true, _) => &mut spent.completed,
            (false, true) => &mut spent.partly,
            (false, false) => &mut spent.undelivered,
        };
        *part += billed;
        spent.refused += usize::from(line.text("outcome").starts_with("budget_"));
        if !completed && !delivery_begun && billed > 0 {
            let charge = (organisation.to_owned(), billed);
            self.undelivered_charges
                .insert(line.text("request").into(), charge);
        }
    }

    fn record_refusals(&mut self, line: &LogLine) {
        for refusal in line.text("refused").split("GrantRefusal").skip(1) {
            let Some(budget) = refusal.split('"').nth(1) else {
                continue;
            };
            let at = self.refused_at.entry(budget.into()).or_default();
            if *at > line.at {
                continue;
            }
            at.clone_from(&line.at);
            let spent = self.budgets.entry(budget.into()).or_default();
            spent.left = number_after(refusal, "left: ");
            spent.granted = number_after(refusal, "outstanding: ");
        }
    }

    fn record_credits(&mut self, line: &LogLine) {
        let credits = serde_json::from_str::<BTreeMap<String, u64>>(line.text("credits"));
        let Ok(credits) = credits else {
            self.report.unreadable += 1;
            return;
        };
        if self.configured_at > line.at {
            return;
        }
        self.configured_at.clone_from(&line.at);
        for (budget, credited) in credits {
            self.budgets.entry(budget).or_default().credited = credited;
        }
    }

    fn finish(mut self) -> Losses {
        for request in &self.dropped_charges {
            if let Some((budget, tokens)) = self.undelivered_charges.remove(request) {
                let spent = self.budgets.entry(budget).or_default();
                spent.undelivered = spent.undelivered.saturating_sub(tokens);
            }
        }
        let mut report = self.report;
        report.losses = self.losses.into_values().collect();
        report.losses.sort_by_key(|loss| Reverse(loss.requests));
        let with_failures = self
            .seconds
            .into_values()
            .filter(|second| second.failed > 0);
        report.seconds = with_failures.collect();
        report.seconds.sort_by_key(|second| Reverse(second.failed));
        report.late = self.late.count();
        report.late_stages = self.late.into_stages();
        let waits = self.organisations.into_iter();
        let waits = waits.map(|(organisation, waits)| OrganisationWaits {
            organisation,
            ..waits
        });
        report.organisations = waits.collect();
        report
            .organisations
            .sort_by_key(|waits| Reverse((waits.refused, waits.waited)));
        let named = self
            .budgets
            .into_iter()
            .map(|(budget, spent)| BudgetSpending { budget, ..spent });
        report.budgets = named.collect();
        report
    }
}

/// Removes all words with digits from a request's steps: names, numbers and times, which differ
/// between requests with equal decisions.
fn without_details(steps: &str) -> String {
    let words = steps
        .split_whitespace()
        .filter(|word| !word.contains(|c: char| c.is_ascii_digit()));
    let kept: Vec<&str> = words.collect();
    kept.join(" ")
}

fn number_after(text: &str, name: &str) -> Option<u64> {
    let (_, rest) = text.split_once(name)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let failed = self.requests - self.completed;
        writeln!(f, "{} requests, {failed} not completed", self.requests)?;
        for loss in self.losses.iter().take(MAX_PRINTED) {
            writeln!(
                f,
                "{:6} {}: {} (from {} to {}, such as {})",
                loss.requests, loss.outcome, loss.decision, loss.first, loss.last, loss.example
            )?;
        }
        writeln!(f, "worst seconds: not completed of all")?;
        for second in self.seconds.iter().take(MAX_PRINTED) {
            writeln!(f, "{} {} of {}", second.at, second.failed, second.requests)?;
        }
        writeln!(
            f,
            "{} responses after their target, by the stage that took longest",
            self.late
        )?;
        for stage in &self.late_stages {
            writeln!(f, "{stage}")?;
        }
        writeln!(
            f,
            "organisations: requests, refused, waited for tokens or a place; wait in all and longest"
        )?;
        for waits in self.organisations.iter().take(MAX_PRINTED) {
            writeln!(f, "{waits}")?;
        }
        writeln!(
            f,
            "budgets: credited; billed for completed, partly delivered, undelivered; left, granted, untold; requests refused"
        )?;
        for spent in &self.budgets {
            let known =
                |tokens: Option<u64>| tokens.map_or("-".into(), |tokens| tokens.to_string());
            writeln!(
                f,
                "{} {}; {}, {}, {}; {}, {}, {}; {}",
                spent.budget,
                spent.credited,
                spent.completed,
                spent.partly,
                spent.undelivered,
                known(spent.left),
                known(spent.granted),
                known(spent.unaccounted()),
                spent.refused
            )?;
        }
        if self.unreadable > 0 {
            writeln!(f, "{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}
