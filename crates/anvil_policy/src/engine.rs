//! Where a prompt goes among model engines that nobody stands beside.
//!
//! *Answers:* prompts with long shared beginnings on engines that keep what they have read, seen
//! by many routers that each know only their own part of the load.
//!
//! *Without it:* by least load alone, every engine reads every shared beginning anew. Reading is
//! most of an engine's work (6,300 shared tokens of a 9,190 token prompt), so the whole pool is
//! filled with work that had been done already, and first tokens come late.
//!
//! *How:* the engine with the least expected time to the first token wins. That time counts the
//! prompts that wait there to be read, and the tokens of this one that the engine has not read.
//! Each shared beginning has a home that all routers compute alike ([`home_rank`]), so that they
//! agree without a word to each other; a home that is busy is passed over exactly when reading
//! the beginning elsewhere is faster.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How fast engines work, as the routers assume it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRule {
    /// Prompt tokens that an engine reads in a millisecond when it does little else.
    pub read_per_ms: f64,
    /// Tokens that one prompt waiting in an engine has left to be read, on average; for prompts of
    /// other routers, of which only the number is known.
    pub waiting_prompt: Tokens,
    /// Time that a batch with no place left adds, over an empty one.
    pub when_full: Duration,
    /// Added for an engine in another availability zone: the way there and back.
    pub other_zone: Duration,
    /// Parts of prompts that are remembered of one engine. The oldest go first.
    pub remembered: usize,
    /// After this time an engine is no longer believed to keep a part.
    pub believed_for: Duration,
}

impl Default for EngineRule {
    /// The rate is an engine's own (39 tokens a millisecond) less a fifth for the tokens that it
    /// makes meanwhile; the other figures are means over prompts of 700 to 9,200 tokens.
    fn default() -> Self {
        Self {
            read_per_ms: 31.0,
            waiting_prompt: 2_500,
            when_full: Duration::from_millis(400),
            other_zone: Duration::from_millis(2),
            remembered: 512,
            believed_for: Duration::from_mins(2),
        }
    }
}

impl EngineRule {
    /// Time that reading so many tokens takes.
    pub fn reading(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens_f64(tokens) / self.read_per_ms / 1e3)
    }
}

/// What one router knows of one engine or plain endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// Requests of this router there.
    pub running: u32,
    /// Tokens of this router's prompts there that have not been answered by a first token.
    pub unread: Tokens,
    /// Last word of the endpoint itself.
    report: Option<Report>,
    /// When a part of a prompt was last read there, by part.
    parts: BTreeMap<u64, Now>,
    /// Part of its newest answers that were its own failures.
    bad_part: f64,
    /// Failures in a row.
    failures: u32,
    /// Gets no work before this.
    shut_until: Now,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    at: Now,
    running: u32,
    waiting: u32,
    slots: u32,
    own: u32,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Prompt<'a> {
    /// Parts in order with their tokens; the last one is the request's own.
    pub parts: &'a [(u64, Tokens)],
}

impl Prompt<'_> {
    /// All tokens.
    pub fn tokens(&self) -> Tokens {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }

    /// The deepest shared part: what the prompt is about.
    pub fn subject(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].0)
    }
}

/// Weight of the newest answer among bad ones: an endpoint that fails four in ten is set apart from
/// one that fails one in seven after some ten answers.
const NEWEST_ANSWER: f64 = 1.0 / 8.0;
/// First pause after a failure. One lost connection costs a moment, not the endpoint.
const FIRST_SHUT: Duration = Duration::from_millis(250);
/// Longest pause. An endpoint that is back gets a trial at least so often.
const LONGEST_SHUT: Duration = Duration::from_secs(2);
/// A report older than this says nothing any more.
const REPORT_HOLDS: Duration = Duration::from_secs(2);

impl EndpointLoad {
    /// A request goes there.
    pub fn start(&mut self, now: Now, rule: &EngineRule, prompt: &Prompt<'_>, unread: Tokens) {
        self.running += 1;
        self.unread += unread;
        for (part, _) in prompt.parts {
            self.parts.insert(*part, now);
        }
        if self.parts.len() > 2 * rule.remembered {
            self.forget_oldest(rule.remembered);
        }
    }

    /// The first token has come, or the request has ended before it.
    pub fn read(&mut self, unread: Tokens) {
        self.unread = self.unread.saturating_sub(unread);
    }

    /// A request has ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The endpoint says how busy it is.
    pub fn heard(&mut self, now: Now, running: u32, waiting: u32, slots: u32) {
        self.report = Some(Report {
            at: now,
            running,
            waiting,
            slots,
            own: self.running,
        });
    }

    /// A request was answered; `badly` when the answer is the endpoint's own failure.
    pub fn answered(&mut self, badly: bool) {
        self.failures = 0;
        self.shut_until = Duration::ZERO;
        let newest = f64::from(u8::from(badly));
        self.bad_part += NEWEST_ANSWER * (newest - self.bad_part);
    }

    /// Time by which its bad answers set it back: what the next try elsewhere costs, as often as
    /// it will be needed.
    pub fn set_back(&self, next_try: Duration) -> Duration {
        next_try.mul_f64(self.bad_part)
    }

    /// A connection or an answer was lost.
    pub fn failed(&mut self, now: Now) {
        self.failures = self.failures.saturating_add(1);
        let doubled = 2_u32.saturating_pow(self.failures.min(8) - 1);
        self.shut_until = now + FIRST_SHUT.saturating_mul(doubled).min(LONGEST_SHUT);
    }

    /// The endpoint had no room: it gets nothing for a moment.
    pub fn was_full(&mut self, now: Now, pause: Duration) {
        self.shut_until = self.shut_until.max(now + pause);
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether it is passed over for now.
    pub fn is_shut(&self, now: Now) -> bool {
        now < self.shut_until
    }

    /// Requests there, of all routers, as far as this one can tell.
    pub fn busy(&self, now: Now) -> u32 {
        let Some(report) = self.fresh_report(now) else {
            return self.running;
        };
        let all = report.running.saturating_add(report.waiting);
        let others = all.saturating_sub(report.own);
        others.saturating_add(self.running)
    }

    /// What is known of it, for a log line.
    pub fn grounds(&self, now: Now) -> String {
        let own = self.running;
        let Some(report) = &self.report else {
            return format!("{own} own, no report");
        };
        let age = now.saturating_sub(report.at).as_millis();
        let (running, waiting) = (report.running, report.waiting);
        format!("{own} own, {running} running and {waiting} waiting {age} ms ago")
    }

    /// Places there, as the endpoint said or else as listed.
    pub fn slots(&self, listed: u32) -> u32 {
        self.report.map_or(listed, |report| report.slots.max(1))
    }

    fn fresh_report(&self, now: Now) -> Option<&Report> {
        let fresh = |report: &&Report| now < report.at + REPORT_HOLDS;
        self.report.as_ref().filter(fresh)
    }

    /// Tokens of a prompt that it has not read yet. A part counts as kept only behind parts that
    /// are kept too.
    pub fn missing(&self, now: Now, rule: &EngineRule, prompt: &Prompt<'_>, home: bool) -> Tokens {
        let shared = prompt.parts.len().saturating_sub(1);
        let mut missing = prompt.tokens();
        for (at, (part, tokens)) in prompt.parts.iter().enumerate() {
            let seen = self.parts.get(part);
            let recorded = seen.is_some_and(|seen| now < *seen + rule.believed_for);
            let kept = recorded || (home && at < shared);
            if !kept {
                break;
            }
            missing = missing.saturating_sub(*tokens);
        }
        missing
    }

    /// Expected time to the first token of a prompt of which so much is missing there.
    pub fn expected(&self, now: Now, rule: &EngineRule, missing: Tokens, slots: u32) -> Duration {
        let others = self.others_unread(now, rule);
        let reading = rule.reading(self.unread + others + missing);
        let full = f64::from(self.busy(now)) / f64::from(self.slots(slots).max(1));
        reading + rule.when_full.mul_f64(full * full)
    }

    /// Tokens of other routers' prompts that wait there: those of the last report, less what the
    /// engine has read since.
    fn others_unread(&self, now: Now, rule: &EngineRule) -> Tokens {
        let Some(report) = self.fresh_report(now) else {
            return 0;
        };
        let waited = Tokens::from(report.waiting) * rule.waiting_prompt;
        let since = now.saturating_sub(report.at).as_secs_f64() * 1e3;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds at some tokens a millisecond"
        )]
        let read = (since * rule.read_per_ms) as Tokens;
        waited.saturating_sub(self.unread).saturating_sub(read)
    }

    fn forget_oldest(&mut self, keep: usize) {
        let mut seen: Vec<Now> = self.parts.values().copied().collect();
        seen.sort_unstable();
        let cut = seen[seen.len() - keep];
        self.parts.retain(|_, at| *at >= cut);
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52 tokens")]
pub(crate) fn tokens_f64(tokens: Tokens) -> f64 {
    tokens as f64
}

/// How well an endpoint suits a subject: the highest one is its home. All routers compute the
/// same, and an endpoint that comes or goes moves only the subjects that it gains or loses.
pub fn home_rank(subject: u64, endpoint: &str) -> u64 {
    xxh3_64_with_seed(endpoint.as_bytes(), subject)
}
