//! Adds up what requests were lost to, out of the logs of several processes.
//!
//! Where [`super::explain`] tells one request's way, this tells which decisions cost how many requests, in
//! which seconds, and where each budget's tokens went.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::log_line::Told;

const COMPLETED: &str = "gateway_request_completed";
const FAILED: &str = "gateway_request_failed";
const GRANTS: &str = "gateway_grants";
const CONFIGURATION: &str = "configuration_taken";
const BILL_DROPPED: &str = "gateway_bill_dropped";

/// Length of a log's time up to the second.
const TO_THE_SECOND: usize = 19;
/// Seconds and decisions that are printed.
const MOST_PRINTED: usize = 20;

/// Requests that ended alike, for the same reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Loss {
    /// How they ended.
    pub outcome: String,
    /// The last decisions on them, with names, numbers and times left out.
    pub decision: String,
    /// How many.
    pub requests: usize,
    /// The first one's time.
    pub first: String,
    /// The last one's time.
    pub last: String,
    /// The first one's id, for `explain`.
    pub example: String,
}

/// What ended in one second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Which.
    pub at: String,
    /// Requests that ended in it.
    pub requests: usize,
    /// Those of them that did not complete.
    pub failed: usize,
}

/// Where one budget's tokens went.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Spent {
    /// Which budget.
    pub budget: String,
    /// What it was worth in all, by the newest configuration.
    pub credited: u64,
    /// Billed for requests that completed.
    pub completed: u64,
    /// Billed for requests that ended after a part of their answer.
    pub partly: u64,
    /// Billed for requests of whose answer nothing was delivered.
    pub undelivered: u64,
    /// Left to be granted, by the ledger's last refusal.
    pub left: Option<u64>,
    /// In grants that were open then: set aside by running requests, idle, or lost with a process.
    pub granted: Option<u64>,
    /// Requests that it could not pay for.
    pub refused: usize,
}

impl Spent {
    /// Tokens that the ledger has billed or lost and no line tells of: requests of processes that died,
    /// and lines that were dropped. `None` before the ledger has refused anything.
    pub fn untold(&self) -> Option<u64> {
        let known = self.left? + self.granted?;
        let told = self.completed + self.partly + self.undelivered;
        Some(self.credited.saturating_sub(known).saturating_sub(told))
    }
}

/// What requests were lost to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Losses {
    /// Requests whose end was logged.
    pub requests: usize,
    /// Those of them that completed.
    pub completed: usize,
    /// The others by reason, the most frequent first.
    pub losses: Vec<Loss>,
    /// Seconds in which requests were lost, the worst first.
    pub seconds: Vec<Second>,
    /// Budgets by name.
    pub budgets: Vec<Spent>,
    /// Lines that could not be read, and were passed over.
    pub unreadable: usize,
}

#[derive(Default)]
struct Counting {
    found: Losses,
    losses: BTreeMap<(String, String), Loss>,
    seconds: BTreeMap<String, Second>,
    budgets: BTreeMap<String, Spent>,
    /// When each budget's last refusal was logged.
    refused_at: BTreeMap<String, String>,
    /// When the newest configuration was taken.
    configured_at: String,
    /// Bills by request, to be taken back where one was dropped.
    bills: BTreeMap<String, (String, u64)>,
    dropped: Vec<String>,
}

/// Reads logs, each under the name of its process.
pub fn losses<'a>(logs: impl Iterator<Item = (&'a str, &'a str)>) -> Losses {
    let mut counting = Counting::default();
    for (process, text) in logs {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match Told::read(process, line) {
                Some(told) => counting.take(&told),
                None => counting.found.unreadable += 1,
            }
        }
    }
    counting.finish()
}

impl Counting {
    fn take(&mut self, told: &Told) {
        match told.message.as_str() {
            COMPLETED => self.ended(told, true),
            FAILED => self.ended(told, false),
            GRANTS => self.refusals(told),
            CONFIGURATION => self.credits(told),
            BILL_DROPPED => self.dropped.push(told.text("request").into()),
            _ => {}
        }
    }

    fn ended(&mut self, told: &Told, completed: bool) {
        self.found.requests += 1;
        let at: String = told.at.chars().take(TO_THE_SECOND).collect();
        let second = self.seconds.entry(at.clone()).or_default();
        second.at = at;
        second.requests += 1;
        second.failed += usize::from(!completed);
        self.bill(told, completed);
        if completed {
            self.found.completed += 1;
            return;
        }
        let outcome = told.text("outcome");
        let decision = without_particulars(told.text("steps"));
        let key = (outcome.to_owned(), decision);
        let loss = self.losses.entry(key.clone()).or_default();
        if loss.requests == 0 || told.at < loss.first {
            loss.first.clone_from(&told.at);
            loss.example = told.text("request").into();
        }
        loss.last = loss.last.clone().max(told.at.clone());
        loss.requests += 1;
        (loss.outcome, loss.decision) = key;
    }

    fn bill(&mut self, told: &Told, completed: bool) {
        let organisation = told.text("organisation");
        if organisation.is_empty() || organisation == "null" {
            return;
        }
        let billed = told.number("billed").unwrap_or(0);
        let spent = self.budgets.entry(organisation.into()).or_default();
        let begun = told.number("first_ms").is_some_and(|ms| ms > 0);
        let part = match (completed, begun) {
            (true, _) => &mut spent.completed,
            (false, true) => &mut spent.partly,
            (false, false) => &mut spent.undelivered,
        };
        *part += billed;
        spent.refused += usize::from(told.text("outcome").starts_with("budget_"));
        if !completed && !begun && billed > 0 {
            let bill = (organisation.to_owned(), billed);
            self.bills.insert(told.text("request").into(), bill);
        }
    }

    fn refusals(&mut self, told: &Told) {
        for refusal in told.text("refused").split("GrantRefusal").skip(1) {
            let Some(budget) = refusal.split('"').nth(1) else {
                continue;
            };
            let at = self.refused_at.entry(budget.into()).or_default();
            if *at > told.at {
                continue;
            }
            at.clone_from(&told.at);
            let spent = self.budgets.entry(budget.into()).or_default();
            spent.left = number_after(refusal, "left: ");
            spent.granted = number_after(refusal, "outstanding: ");
        }
    }

    fn credits(&mut self, told: &Told) {
        let credits = serde_json::from_str::<BTreeMap<String, u64>>(told.text("credits"));
        let Ok(credits) = credits else {
            self.found.unreadable += 1;
            return;
        };
        if self.configured_at > told.at {
            return;
        }
        self.configured_at.clone_from(&told.at);
        for (budget, credited) in credits {
            self.budgets.entry(budget).or_default().credited = credited;
        }
    }

    fn finish(mut self) -> Losses {
        for request in &self.dropped {
            if let Some((budget, tokens)) = self.bills.remove(request) {
                let spent = self.budgets.entry(budget).or_default();
                spent.undelivered = spent.undelivered.saturating_sub(tokens);
            }
        }
        let mut found = self.found;
        found.losses = self.losses.into_values().collect();
        found.losses.sort_by_key(|loss| Reverse(loss.requests));
        let lost = self
            .seconds
            .into_values()
            .filter(|second| second.failed > 0);
        found.seconds = lost.collect();
        found.seconds.sort_by_key(|second| Reverse(second.failed));
        let named = self
            .budgets
            .into_iter()
            .map(|(budget, spent)| Spent { budget, ..spent });
        found.budgets = named.collect();
        found
    }
}

/// A request's steps with what differs from request to request left out, so that equal reasons look alike.
fn without_particulars(steps: &str) -> String {
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
        for loss in self.losses.iter().take(MOST_PRINTED) {
            writeln!(
                f,
                "{:6} {}: {} (from {} to {}, such as {})",
                loss.requests, loss.outcome, loss.decision, loss.first, loss.last, loss.example
            )?;
        }
        writeln!(f, "worst seconds: not completed of all")?;
        for second in self.seconds.iter().take(MOST_PRINTED) {
            writeln!(f, "{} {} of {}", second.at, second.failed, second.requests)?;
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
                known(spent.untold()),
                spent.refused
            )?;
        }
        if self.unreadable > 0 {
            writeln!(f, "{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}
