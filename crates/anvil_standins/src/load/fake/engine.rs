//! One fake endpoint with continuous batching.
//!
//! Work goes in steps. A step makes one token for every run that is past its prefill, and
//! prefills a chunk of prompts beside. Its time grows with both, so a large batch makes every
//! caller's tokens late, as on a real runner.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::prefix::{CacheChange, PrefixHash};
use anvil_world::prelude::*;

use super::cache::PrefixCache;

/// Time of a step beside its tokens.
const STEP: Duration = Duration::from_millis(15);
/// Time that each decoded token adds to a step.
const PER_DECODE: Duration = Duration::from_micros(800);
/// Time that each prefilled token adds to a step.
const PER_PREFILL: Duration = Duration::from_micros(30);
/// Prompt tokens prefilled in one step at most.
const CHUNK: Tokens = 512;

/// How an endpoint misbehaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Every step takes this many times as long.
    Slow(f64),
    /// Every run fails at once.
    FailsFast,
    /// It is gone, and what it had is lost.
    Down,
}

/// A run in an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FakeRun {
    /// Whose it is.
    pub request: usize,
    /// Lower is sooner.
    pub priority: u8,
    /// The prompt's shared prefix and its tokens.
    pub prefix: (PrefixHash, Tokens),
    /// All prompt tokens.
    pub prompt: Tokens,
    /// Output tokens that it will make.
    pub output: Tokens,
}

#[derive(Debug, Clone)]
struct Running {
    run: FakeRun,
    prefill_left: Tokens,
    prefilling: Tokens,
    made: Tokens,
}

/// What a step brought.
#[derive(Debug, Clone, Default)]
pub struct Stepped {
    /// Requests that got a token; true for their first.
    pub tokens: Vec<(usize, bool)>,
    /// Requests that got their last token.
    pub ended: Vec<usize>,
}

/// One fake endpoint.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    /// Runs in the batch at most.
    pub slots: usize,
    /// Its fault, if any.
    pub fault: Option<Fault>,
    /// Time spent in steps, as a measure of its work.
    pub busy: Duration,
    /// Prefix tokens asked for, and those that were held.
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

    /// Runs in the batch.
    pub fn running(&self) -> usize {
        self.batch.len()
    }

    /// Runs that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a run in.
    pub fn push(&mut self, run: FakeRun) {
        self.arrivals += 1;
        self.waiting.insert((run.priority, self.arrivals), run);
    }

    /// Cache changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Tokens a second made since the last call, which was this long ago.
    pub fn take_tokens_per_second(&mut self, since: Duration) -> u32 {
        let micros = u32::try_from(since.as_micros()).unwrap_or(u32::MAX).max(1);
        std::mem::take(&mut self.tokens).saturating_mul(1_000_000 / micros.min(1_000_000))
    }

    /// Loses all runs and the cache. Gives the runs that were lost.
    pub fn lose_all(&mut self) -> Vec<usize> {
        self.cache.clear();
        self.changes.push(CacheChange::Cleared);
        self.stepping = false;
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let batch = std::mem::take(&mut self.batch).into_iter();
        let lost = batch.map(|running| running.run).chain(waiting);
        lost.map(|run| run.request).collect()
    }

    /// Starts a step unless one is going or there is nothing to do. Gives its length.
    pub fn start_step(&mut self) -> Option<Duration> {
        if self.stepping || self.fault == Some(Fault::Down) {
            return None;
        }
        self.fill();
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
        let mut length = STEP + PER_DECODE * small(decoded as u64) + PER_PREFILL * small(prefilled);
        if let Some(Fault::Slow(times)) = self.fault {
            length = length.mul_f64(times);
        }
        self.busy += length;
        Some(length)
    }

    /// Ends the step that [`FakeEngine::start_step`] began.
    pub fn end_step(&mut self) -> Stepped {
        self.stepping = false;
        let mut stepped = Stepped::default();
        self.batch
            .retain_mut(|running| running.advance(&mut stepped));
        self.tokens += u32::try_from(stepped.tokens.len()).unwrap_or(u32::MAX);
        stepped
    }

    fn fill(&mut self) {
        while self.batch.len() < self.slots {
            let Some((_, run)) = self.waiting.pop_first() else {
                return;
            };
            let (prefix, tokens) = run.prefix;
            let (held, changes) = self.cache.touch(prefix, tokens);
            self.changes.extend(changes);
            let saved = if held { tokens } else { 0 };
            self.prefix_tokens.0 += tokens;
            self.prefix_tokens.1 += saved;
            self.batch.push(Running {
                prefill_left: run.prompt.saturating_sub(saved).max(1),
                prefilling: 0,
                made: 0,
                run,
            });
        }
    }

    fn plan_prefill(&mut self) -> Tokens {
        // Engines honour priorities, in the batch as well as before it.
        self.batch.sort_by_key(|running| running.run.priority);
        let mut left = CHUNK;
        for running in &mut self.batch {
            running.prefilling = running.prefill_left.min(left);
            left -= running.prefilling;
        }
        CHUNK - left
    }
}

impl Running {
    /// Applies a step; false when the run has ended.
    fn advance(&mut self, stepped: &mut Stepped) -> bool {
        if self.prefill_left > 0 {
            self.prefill_left -= self.prefilling;
            if self.prefill_left > 0 {
                return true;
            }
        }
        self.made += 1;
        stepped.tokens.push((self.run.request, self.made == 1));
        if self.made < self.run.output {
            return true;
        }
        stepped.ended.push(self.run.request);
        false
    }
}

fn small(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
