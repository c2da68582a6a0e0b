//! A simulated endpoint with continuous batching.
//!
//! It works in steps. A step generates one token for every run whose prefill is complete, and
//! prefills a chunk of the other prompts. Its duration grows with both, so that a large batch
//! delays every caller's tokens, as in a real engine.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::prefix::{CacheChange, PrefixHash};
use anvil_world::prelude::*;

use super::cache::PrefixCache;

/// Base duration of a step.
const STEP_BASE: Duration = Duration::from_millis(15);
/// Duration that each decoded token adds to a step.
const PER_DECODED_TOKEN: Duration = Duration::from_micros(800);
/// Duration that each prefilled token adds to a step.
const PER_PREFILLED_TOKEN: Duration = Duration::from_micros(30);
/// Maximum prompt tokens that are prefilled in one step.
const MAX_PREFILL: Tokens = 512;

/// Fault of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Every step takes this many times as long.
    Slow(f64),
    /// Every run fails at once.
    FailsFast,
    /// The endpoint is down; its runs and its cache are lost.
    Down,
}

/// A run in an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FakeRun {
    /// Index of the request.
    pub request: usize,
    /// Priority; lower numbers run first.
    pub priority: u8,
    /// The prompt's shared prefix and the prefix's tokens.
    pub prefix: (PrefixHash, Tokens),
    /// Prompt tokens, including the prefix.
    pub prompt: Tokens,
    /// Output tokens that it will generate.
    pub output: Tokens,
}

#[derive(Debug, Clone)]
struct Running {
    run: FakeRun,
    prefill_left: Tokens,
    prefilling: Tokens,
    generated: Tokens,
}

/// Result of a step.
#[derive(Debug, Clone, Default)]
pub struct StepResult {
    /// Requests that got a token, and whether it was the run's first.
    pub tokens: Vec<(usize, bool)>,
    /// Requests whose run got its last token.
    pub ended: Vec<usize>,
}

/// A simulated endpoint.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    /// Maximum number of runs in the batch.
    pub slots: usize,
    /// The current fault, if any.
    pub fault: Option<Fault>,
    /// Total duration of all steps, as a measure of work.
    pub busy: Duration,
    /// Prefix tokens requested, and those of them that were cached.
    pub prefix_tokens: (Tokens, Tokens),
    cache: PrefixCache,
    changes: Vec<CacheChange>,
    tokens: u32,
    waiting: BTreeMap<(u8, u64), FakeRun>,
    arrivals: u64,
    batch: Vec<Running>,
    stepping: bool,
}

impl FakeEngine {
    /// An idle endpoint.
    pub fn new(slots: usize, cache_tokens: Tokens) -> Self {
        Self {
            slots,
            fault: None,
            busy: Duration::ZERO,
            prefix_tokens: (0, 0),
            cache: PrefixCache::new(cache_tokens),
            changes: Vec::new(),
            tokens: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            batch: Vec::new(),
            stepping: false,
        }
    }

    /// Number of runs in the batch.
    pub fn running(&self) -> usize {
        self.batch.len()
    }

    /// Number of runs in the queue.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a run to the queue.
    pub fn push(&mut self, run: FakeRun) {
        self.arrivals += 1;
        self.waiting.insert((run.priority, self.arrivals), run);
    }

    /// Cache changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Tokens a second generated since the last call, which was this long ago.
    pub fn take_tokens_per_second(&mut self, since: Duration) -> u32 {
        let micros = u32::try_from(since.as_micros()).unwrap_or(u32::MAX).max(1);
        std::mem::take(&mut self.tokens).saturating_mul(1_000_000 / micros.min(1_000_000))
    }

    /// Drops all runs and the cache. Returns the requests of the lost runs.
    pub fn lose_all(&mut self) -> Vec<usize> {
        self.cache.clear();
        self.changes.push(CacheChange::Cleared);
        self.stepping = false;
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let batch = std::mem::take(&mut self.batch).into_iter();
        let lost = batch.map(|running| running.run).chain(waiting);
        lost.map(|run| run.request).collect()
    }

    /// Starts a step, unless one is in progress or there is no work. Returns its duration.
    pub fn start_step(&mut self) -> Option<Duration> {
        if self.stepping || self.fault == Some(Fault::Down) {
            return None;
        }
        self.fill_batch();
        if self.batch.is_empty() {
            return None;
        }
        self.stepping = true;
        let prefilled = self.plan_prefill();
        let decoded = self
            .batch
            .iter()
            .filter(|run| run.prefill_left == 0)
            .count();
        let mut length = STEP_BASE
            + PER_DECODED_TOKEN * saturating_u32(decoded as u64)
            + PER_PREFILLED_TOKEN * saturating_u32(prefilled);
        if let Some(Fault::Slow(factor)) = self.fault {
            length = length.mul_f64(factor);
        }
        self.busy += length;
        Some(length)
    }

    /// Ends the step that [`FakeEngine::start_step`] started.
    pub fn end_step(&mut self) -> StepResult {
        self.stepping = false;
        let mut result = StepResult::default();
        self.batch
            .retain_mut(|running| running.advance(&mut result));
        self.tokens += u32::try_from(result.tokens.len()).unwrap_or(u32::MAX);
        result
    }

    fn fill_batch(&mut self) {
        while self.batch.len() < self.slots {
            let Some((_, run)) = self.waiting.pop_first() else {
                return;
            };
            let (prefix, tokens) = run.prefix;
            let (cached, changes) = self.cache.touch(prefix, tokens);
            self.changes.extend(changes);
            let saved = if cached { tokens } else { 0 };
            self.prefix_tokens.0 += tokens;
            self.prefix_tokens.1 += saved;
            self.batch.push(Running {
                prefill_left: run.prompt.saturating_sub(saved).max(1),
                prefilling: 0,
                generated: 0,
                run,
            });
        }
    }

    fn plan_prefill(&mut self) -> Tokens {
        // Engines honour priorities in the batch as well as in the queue.
        self.batch.sort_by_key(|running| running.run.priority);
        let mut left = MAX_PREFILL;
        for running in &mut self.batch {
            running.prefilling = running.prefill_left.min(left);
            left -= running.prefilling;
        }
        MAX_PREFILL - left
    }
}

impl Running {
    /// Applies a step; returns false when the run has ended.
    fn advance(&mut self, result: &mut StepResult) -> bool {
        if self.prefill_left > 0 {
            self.prefill_left -= self.prefilling;
            if self.prefill_left > 0 {
                return true;
            }
        }
        self.generated += 1;
        result.tokens.push((self.run.request, self.generated == 1));
        if self.generated < self.run.output {
            return true;
        }
        result.ended.push(self.run.request);
        false
    }
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
