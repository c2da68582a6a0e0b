//! Chooses among model engines without a sidecar, by expected time to the first token.
//!
//! *Load pattern:* prompts with long shared prefixes on engines that cache what they have
//! prefilled, sent by many routers that each know only their own part of the load.
//!
//! *Without it:* by lowest load alone, every engine prefills every shared prefix again. Prefill is
//! most of an engine's work (6,300 shared tokens of a 9,190 token prompt), so the whole pool is
//! busy with work that was done before, and first tokens come late.
//!
//! *Mechanism:* the engine with the lowest expected time to the first token is chosen. That time
//! includes the prompts queued there for prefill, and the tokens of this prompt that the engine has
//! not cached. Each shared prefix has a home engine that all routers compute in the same way
//! ([`home`]), so that they agree without communication. A busy home is skipped when prefilling the
//! prefix elsewhere is faster by more than it costs other requests ([`EndpointView::reload_cost`]):
//! without that cost, requests leave slow homes for fast engines, whose caches and queues they
//! fill.
//!
//! *Thresholds:* the speed assumed of an engine before any response is in [`EngineRule`]; [`speed`]
//! learns it. Cooldowns after failures are short, so that an endpoint that has recovered is not
//! left idle while the others are full.

pub mod home;
pub mod memory;
pub mod speed;

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::prelude::*;

pub use self::home::{HomeWeight, home_rank};
use self::memory::MemoryDemand;
use self::speed::{RelativeSpeed, ReportedWork, ServiceSpeed, WorkAhead};
use crate::pace::WorkPace;
use crate::token_counts::{to_tokens, tokens_to_f64};

/// How fast engines work, as the routers assume it before they have learned it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRule {
    /// Prompt tokens that an engine prefills in a millisecond when it does little else.
    pub prefill_tokens_per_ms: f64,
    /// Mean number of tokens left to prefill of a prompt that is queued in an engine; for prompts
    /// of other routers, of which only the number is known.
    pub queued_prompt_tokens: Tokens,
    /// Time that a full batch adds, compared to an empty one.
    pub full_penalty: Duration,
    /// Time of the step that generates the first event.
    pub first_event_time: Duration,
    /// Network round trip to an engine in another availability zone.
    pub other_zone_round_trip: Duration,
    /// Prompt parts that are remembered for one engine. The oldest are evicted.
    pub max_parts: usize,
    /// After this time an engine is no longer assumed to hold a part.
    pub assume_cached_for: Duration,
}

impl Default for EngineRule {
    /// The rate is that of an engine (39 tokens a millisecond) less a fifth for the tokens that it
    /// generates meanwhile; the other values are means over prompts of 700 to 9,200 tokens.
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 31.0,
            queued_prompt_tokens: 2_500,
            full_penalty: Duration::from_millis(400),
            first_event_time: Duration::from_millis(5),
            other_zone_round_trip: Duration::from_millis(2),
            max_parts: 512,
            assume_cached_for: Duration::from_mins(2),
        }
    }
}

impl EngineRule {
    /// Time to prefill this number of tokens.
    pub fn prefill_time(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens_to_f64(tokens) / self.prefill_tokens_per_ms / 1e3)
    }
}

/// What one router knows of the load and cache of one engine or plain endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointView {
    /// Requests of this router in flight there.
    pub running: u32,
    /// Prompt tokens of this router's requests there that have not received their first token.
    pub pending_prefill: Tokens,
    /// Tokens that this router's requests there occupy in its memory.
    own_held: Tokens,
    /// Last load report of the endpoint itself.
    report: Option<Report>,
    /// How long work takes there, compared to usual.
    pace: WorkPace,
    /// Its learned speed.
    speed: RelativeSpeed,
    /// When each prompt part was last prefilled there.
    parts: BTreeMap<u64, Now>,
    /// Rate of failures of the endpoint itself among its recent answers.
    failure_rate: f64,
    /// Consecutive failures.
    failures: u32,
    /// End of the cooldown: it gets no work before this time.
    cooldown_until: Now,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    at: Now,
    running: u32,
    waiting: u32,
    slots: u32,
    own_running: u32,
}

/// A prompt for which an engine is to be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Prompt<'a> {
    /// Parts in order with their tokens; the last one is specific to the request.
    pub parts: &'a [(u64, Tokens)],
    /// Maximum tokens of the response.
    pub max_output: Tokens,
}

impl Prompt<'_> {
    /// Total number of tokens.
    pub fn tokens(&self) -> Tokens {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Tokens of shared parts among this number of missing ones. The parts before a missing one are
    /// cached, so missing tokens are the last ones of the prompt.
    pub fn missing_shared(&self, missing: Tokens) -> Tokens {
        let own = self.parts.last().map_or(0, |(_, tokens)| *tokens);
        missing.saturating_sub(own)
    }

    /// The last shared part, which identifies the shared prefix of the prompt.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].0)
    }
}

/// Weight of the newest answer in the failure rate: after about ten answers, an endpoint that fails
/// four in ten is distinguished from one that fails one in seven.
const ANSWER_WEIGHT: f64 = 1.0 / 8.0;
/// Cooldown after the first failure. Short, so that a single lost connection doesn't take an
/// endpoint out of use.
const FIRST_COOLDOWN: Duration = Duration::from_millis(250);
/// Maximum cooldown. An endpoint that has recovered gets a request at least this often.
const MAX_COOLDOWN: Duration = Duration::from_secs(2);
/// Load reports older than this are ignored.
const REPORT_TTL: Duration = Duration::from_secs(2);

impl EndpointView {
    /// Records that a request is sent there.
    pub fn record_start(
        &mut self,
        now: Now,
        rule: &EngineRule,
        prompt: &Prompt<'_>,
        pending_prefill: Tokens,
    ) {
        self.running += 1;
        self.pending_prefill += pending_prefill;
        for (part, _) in prompt.parts {
            self.parts.insert(*part, now);
        }
        if self.parts.len() > 2 * rule.max_parts {
            self.forget_oldest(rule.max_parts);
        }
    }

    /// Counts tokens of a request of this router in the engine's memory.
    pub fn hold_tokens(&mut self, tokens: Tokens) {
        self.own_held += tokens;
    }

    /// Ends the count of these tokens.
    pub fn release_tokens(&mut self, tokens: Tokens) {
        self.own_held = self.own_held.saturating_sub(tokens);
    }

    /// Whether a request fits into the engine's memory.
    pub fn has_memory_for(&self, now: Now, demand: &MemoryDemand) -> bool {
        demand.fits(self.own_held, self.others_holding(now))
    }

    /// Estimated number of other routers' requests that hold memory there. Queued ones count too:
    /// they begin before a new one. An old report fades rather than ends, since an engine of which
    /// nothing was heard is not empty.
    fn others_holding(&self, now: Now) -> f64 {
        let Some(report) = &self.report else {
            return 0.0;
        };
        let all = report.running.saturating_add(report.waiting);
        let others = f64::from(all.saturating_sub(report.own_running));
        let age = now.saturating_sub(report.at);
        let overdue = age.saturating_sub(REPORT_TTL).div_duration_f64(REPORT_TTL);
        others * (-overdue).exp2()
    }

    /// Records that the first token has come, or that the request has ended before it.
    pub fn end_prefill(&mut self, pending_prefill: Tokens) {
        self.pending_prefill = self.pending_prefill.saturating_sub(pending_prefill);
    }

    /// What the engine has to do before the first event of a request that is about to be started
    /// with this number of tokens to prefill.
    pub fn work_ahead(
        &self,
        now: Now,
        rule: &EngineRule,
        prompt: &Prompt<'_>,
        new_tokens: Tokens,
        slots: u32,
    ) -> WorkAhead {
        let own_part = prompt.parts.last().map(|(_, tokens)| *tokens);
        let missing = self.missing_tokens(now, rule, prompt, false);
        WorkAhead {
            new_tokens,
            is_cache_known: new_tokens == missing && own_part == Some(missing),
            pending_tokens: self.pending_prefill,
            reported: self.reported_work(now, rule, slots),
        }
    }

    /// Learns from a first event that came `took` after its request was sent, without the network
    /// round trip. The load at that time is `ahead`, or the one reported since if none was known.
    /// Returns whether the coarse speed has changed.
    pub fn record_first_event(
        &mut self,
        now: Now,
        rule: &EngineRule,
        service: &mut ServiceSpeed,
        ahead: &WorkAhead,
        took: Duration,
        slots: u32,
    ) -> bool {
        let ahead = WorkAhead {
            reported: ahead
                .reported
                .or_else(|| self.reported_work(now, &service.apply_to(rule), slots)),
            ..*ahead
        };
        let took = took.div_f64(self.work_factor(now));
        let previous = self.speed.step();
        speed::learn(&mut self.speed, service, rule, &ahead, took);
        self.speed.step() != previous
    }

    /// Its learned speed.
    pub fn speed(&self) -> &RelativeSpeed {
        &self.speed
    }

    /// Its weight in the choice of homes.
    pub fn home_weight(&self) -> HomeWeight {
        HomeWeight::from(&self.speed)
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Applies a load report of the endpoint.
    pub fn apply_report(&mut self, now: Now, running: u32, waiting: u32, slots: u32) {
        self.report = Some(Report {
            at: now,
            running,
            waiting,
            slots,
            own_running: self.running,
        });
    }

    /// Applies its report of how long work takes there, in percent of usual.
    pub fn apply_pace(&mut self, now: Now, percent: u32) {
        self.pace.apply_report(now, percent);
    }

    /// Expected time of work there, as a multiple of usual.
    pub fn work_factor(&self, now: Now) -> f64 {
        self.pace.factor(now)
    }

    /// Records an answer; `is_failure` if it is a failure of the endpoint itself. Ends the
    /// cooldown.
    pub fn record_answer(&mut self, is_failure: bool) {
        self.failures = 0;
        self.cooldown_until = Duration::ZERO;
        let newest = f64::from(u8::from(is_failure));
        self.failure_rate += ANSWER_WEIGHT * (newest - self.failure_rate);
    }

    /// Expected cost of its failures: the time of another attempt elsewhere, multiplied by the
    /// failure rate.
    pub fn failure_cost(&self, next_attempt: Duration) -> Duration {
        next_attempt.mul_f64(self.failure_rate)
    }

    /// Records a lost connection or answer, and starts a cooldown.
    pub fn record_failure(&mut self, now: Now) {
        self.failures = self.failures.saturating_add(1);
        let factor = 2_u32.saturating_pow(self.failures.min(8) - 1);
        self.cooldown_until = now + FIRST_COOLDOWN.saturating_mul(factor).min(MAX_COOLDOWN);
    }

    /// Records that the endpoint had no free slot: it is on cooldown for at least this long.
    pub fn record_full(&mut self, now: Now, pause: Duration) {
        self.cooldown_until = self.cooldown_until.max(now + pause);
    }

    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether it is on cooldown.
    pub fn is_on_cooldown(&self, now: Now) -> bool {
        now < self.cooldown_until
    }

    /// Estimated number of requests there, from all routers.
    pub fn estimated_requests(&self, now: Now) -> u32 {
        let Some(report) = self.fresh_report(now) else {
            return self.running;
        };
        let all = report.running.saturating_add(report.waiting);
        let others = all.saturating_sub(report.own_running);
        others.saturating_add(self.running)
    }

    /// Summary of what is known of it, for a log line.
    pub fn describe(&self, now: Now) -> String {
        let own = self.running;
        let (held, speed) = (self.own_held, self.speed.factor());
        let learned = format!("speed {speed:.2}, {held} tokens held");
        let Some(report) = &self.report else {
            return format!("{own} own, no report, {learned}");
        };
        let age = now.saturating_sub(report.at).as_millis();
        let (running, waiting) = (report.running, report.waiting);
        format!("{own} own, {running} running and {waiting} waiting {age} ms ago, {learned}")
    }

    /// Slots of the endpoint, as reported or else as listed.
    pub fn slots(&self, listed: u32) -> u32 {
        self.report.map_or(listed, |report| report.slots.max(1))
    }

    fn fresh_report(&self, now: Now) -> Option<&Report> {
        let fresh = |report: &&Report| now < report.at + REPORT_TTL;
        self.report.as_ref().filter(fresh)
    }

    /// Tokens of a prompt that it still has to prefill. A part counts as cached only if all parts
    /// before it are cached. `home` tells whether the engine is the home of the prompt's shared
    /// prefix, and so is assumed to hold it.
    pub fn missing_tokens(
        &self,
        now: Now,
        rule: &EngineRule,
        prompt: &Prompt<'_>,
        home: bool,
    ) -> Tokens {
        let shared = prompt.parts.len().saturating_sub(1);
        let mut missing = prompt.tokens();
        for (at, (part, tokens)) in prompt.parts.iter().enumerate() {
            let seen = self.parts.get(part);
            let recently_sent = seen.is_some_and(|seen| now < *seen + rule.assume_cached_for);
            let is_cached = recently_sent || (home && at < shared);
            if !is_cached {
                break;
            }
            missing = missing.saturating_sub(*tokens);
        }
        missing
    }

    /// Expected time to the first token of a prompt with this number of missing tokens.
    pub fn expected_first_token(
        &self,
        now: Now,
        rule: &EngineRule,
        missing: Tokens,
        slots: u32,
    ) -> Duration {
        let others = self.others_queued_tokens(now, rule);
        let prefill_time = rule.prefill_time(self.pending_prefill + others + missing);
        let fullness = self.fullness(self.estimated_requests(now), slots);
        let batch_cost = rule.full_penalty.mul_f64(fullness * fullness);
        let usual = prefill_time + batch_cost + rule.first_event_time;
        usual.mul_f64(self.work_factor(now) / self.speed.factor())
    }

    /// Cost for other requests if the engine prefills this number of tokens of a shared prefix:
    /// they delay the prompts behind them, and evict a prefix that other requests find there. It is
    /// as long as the prefill itself, so prompts leave a prefix's home only if that saves twice the
    /// time that it costs.
    pub fn reload_cost(&self, now: Now, rule: &EngineRule, shared: Tokens) -> Duration {
        let slowness = self.work_factor(now) / self.speed.factor();
        rule.prefill_time(shared).mul_f64(slowness)
    }

    /// The load from other requests, if there is a recent report.
    fn reported_work(&self, now: Now, rule: &EngineRule, slots: u32) -> Option<ReportedWork> {
        self.fresh_report(now)?;
        Some(ReportedWork {
            others_tokens: self.others_queued_tokens(now, rule),
            fullness: self.fullness(self.estimated_requests(now), slots),
        })
    }

    fn fullness(&self, requests: u32, slots: u32) -> f64 {
        f64::from(requests) / f64::from(self.slots(slots).max(1))
    }

    /// Tokens of other routers' prompts that are queued there: those of the last report, less what
    /// the engine has prefilled since.
    fn others_queued_tokens(&self, now: Now, rule: &EngineRule) -> Tokens {
        let Some(report) = self.fresh_report(now) else {
            return 0;
        };
        let queued_tokens = Tokens::from(report.waiting) * rule.queued_prompt_tokens;
        let elapsed_ms = now.saturating_sub(report.at).as_secs_f64() * 1e3;
        let prefilled = to_tokens(elapsed_ms * rule.prefill_tokens_per_ms * self.speed.factor());
        queued_tokens
            .saturating_sub(self.pending_prefill)
            .saturating_sub(prefilled)
    }

    fn forget_oldest(&mut self, keep: usize) {
        let mut seen: Vec<Now> = self.parts.values().copied().collect();
        seen.sort_unstable();
        let cut = seen[seen.len() - keep];
        self.parts.retain(|_, at| *at >= cut);
    }
}
