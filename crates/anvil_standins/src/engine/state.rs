//! The state of an engine and the execution of runs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use anvil_world::prelude::*;
use serde::Serialize;
use tokio::time::{Instant as TokioInstant, sleep, sleep_until};

use super::Config;
use super::answer::{AnswerTokens, Message, prompt_tokens};
use super::batch::{Batch, Priority};
use super::cache::PrefixCache;
use super::run::{Run, RunState};

/// Maximum number of runs kept by id, so that their streams can be resumed.
const MAX_RUNS: usize = 10_000;
/// Maximum number of run ids whose starts are counted.
const MAX_START_COUNTS: usize = 1_000_000;

/// Response body of `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Number of runs in the batch.
    pub running: u32,
    /// Number of runs that wait for a slot.
    pub queued: u32,
    /// Number of slots of the batch.
    pub slots: u32,
    /// Output tokens a second, over the time since the previous report.
    pub tokens_per_second: u64,
    /// Models that are loaded.
    pub models: BTreeSet<ModelId>,
}

/// A validated chat request.
#[derive(Debug, Clone)]
pub(super) struct ChatRequest {
    pub model: String,
    pub messages: Vec<Message>,
    pub max_tokens: u64,
    pub priority: Priority,
    pub run_id: Option<String>,
    pub continue_from: String,
}

#[derive(Debug)]
pub(super) struct Engine {
    pub cfg: Config,
    pub batch: Arc<Batch>,
    pub cache: Mutex<PrefixCache>,
    pub runs_started: AtomicU64,
    pub tokens: AtomicU64,
    pub slowdown: AtomicU32,
    pub failing: AtomicBool,
    pub crash_after: AtomicU64,
    /// Number of tokens after which one run crashes; may be shared with other engines.
    pub crash_next: Mutex<Arc<AtomicU64>>,
    pub checks_fencing: AtomicBool,
    runs: Mutex<Runs>,
    order_state: Mutex<OrderState>,
    report: Mutex<(Instant, u64, LoadReport)>,
}

#[derive(Debug, Default)]
struct Runs {
    by_id: BTreeMap<String, Arc<Run>>,
    insertion_order: VecDeque<String>,
    start_counts: BTreeMap<String, u64>,
}

/// Result of the orders executed so far.
#[derive(Debug, Default)]
pub(super) struct OrderState {
    pub models: BTreeSet<ModelId>,
    pub newest_number: (Term, LogIndex),
    pub executed: Vec<(Term, LogIndex)>,
}

impl Engine {
    pub fn new(cfg: Config) -> Arc<Self> {
        let order_state = OrderState {
            models: cfg.models.clone(),
            ..OrderState::default()
        };
        let report = LoadReport {
            slots: cfg.slots,
            models: cfg.models.clone(),
            ..LoadReport::default()
        };
        Arc::new(Self {
            batch: Arc::new(Batch::new(cfg.slots)),
            cache: Mutex::new(PrefixCache::new(cfg.cache_blocks)),
            runs_started: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
            slowdown: AtomicU32::new(1),
            failing: AtomicBool::new(false),
            crash_after: AtomicU64::new(0),
            crash_next: Mutex::default(),
            checks_fencing: AtomicBool::new(cfg.checks_fencing),
            runs: Mutex::default(),
            order_state: Mutex::new(order_state),
            report: Mutex::new((Instant::now(), 0, report)),
            cfg,
        })
    }

    /// Starts a run, which continues without readers. `None` when `continue_from` is not a
    /// prefix of the answer.
    pub fn run(self: &Arc<Self>, request: ChatRequest) -> Option<Arc<Run>> {
        let mut answer = AnswerTokens::new(&request.model, &request.messages, request.max_tokens);
        let skip_bytes = answer.skip_delivered(&request.continue_from)?;
        let number = self.runs_started.fetch_add(1, Ordering::Relaxed);
        let id = request.run_id.clone();
        let run = Arc::new(Run::new(
            id.unwrap_or_else(|| number.to_string()),
            request.model.clone(),
            seconds_since_1970(),
            request.continue_from.len(),
            prompt_tokens(&request.messages),
        ));
        if let Some(id) = &request.run_id {
            self.record_run(id, &run);
        }
        let (engine, run_handle) = (self.clone(), run.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = run_handle.wait_until_ended() => {}
                () = engine.execute(&run_handle, &request, answer, skip_bytes) => {}
            }
        });
        Some(run)
    }

    async fn execute(
        &self,
        run: &Run,
        request: &ChatRequest,
        mut answer: AnswerTokens,
        mut skip_bytes: usize,
    ) {
        let slot = self.batch.acquire_slot(request.priority).await;
        sleep(self.prefill(&request.messages)).await;
        let mut next_token_at = TokioInstant::now();
        let crash_next = self.crash_next.lock().expect("a number").clone();
        let crash_after = self
            .crash_after
            .load(Ordering::Relaxed)
            .max(crash_next.swap(0, Ordering::Relaxed));
        loop {
            if crash_after > 0 && answer.produced() >= crash_after {
                run.end(RunState::Crashed);
                break;
            }
            next_token_at += self.token_time();
            if next_token_at > TokioInstant::now() {
                sleep_until(next_token_at).await;
            }
            let Some(token) = answer.next() else {
                run.end(RunState::Ended(answer.finish_reason()));
                break;
            };
            self.tokens.fetch_add(1, Ordering::Relaxed);
            run.push(&token.text()[skip_bytes..], answer.produced());
            skip_bytes = 0;
        }
        drop(slot);
    }

    fn prefill(&self, messages: &[Message]) -> Duration {
        let cached = lock(&self.cache).admit(messages);
        let cached = (cached as u64) / 4;
        let uncached = prompt_tokens(messages).saturating_sub(cached);
        let uncached = u32::try_from(uncached).unwrap_or(u32::MAX);
        self.cfg.prefill * uncached * self.slowdown.load(Ordering::Relaxed)
    }

    fn token_time(&self) -> Duration {
        let other_runs = self.batch.running().saturating_sub(1);
        let time = self.cfg.token_time + self.cfg.token_time_per_run * other_runs;
        time * self.slowdown.load(Ordering::Relaxed)
    }

    fn record_run(&self, id: &str, run: &Arc<Run>) {
        let mut runs = lock(&self.runs);
        runs.by_id.insert(id.into(), run.clone());
        runs.insertion_order.push_back(id.into());
        if runs.insertion_order.len() > MAX_RUNS
            && let Some(oldest) = runs.insertion_order.pop_front()
        {
            runs.by_id.remove(&oldest);
        }
        if runs.start_counts.len() < MAX_START_COUNTS || runs.start_counts.contains_key(id) {
            *runs.start_counts.entry(id.into()).or_default() += 1;
        }
    }

    pub fn find(&self, id: &str) -> Option<Arc<Run>> {
        lock(&self.runs).by_id.get(id).cloned()
    }

    pub fn start_counts(&self) -> BTreeMap<String, u64> {
        lock(&self.runs).start_counts.clone()
    }

    pub fn models(&self) -> BTreeSet<ModelId> {
        self.order_state().models.clone()
    }

    pub fn executed_orders(&self) -> Vec<(Term, LogIndex)> {
        self.order_state().executed.clone()
    }

    pub fn order_state(&self) -> MutexGuard<'_, OrderState> {
        lock(&self.order_state)
    }

    /// The load report, at most `load_lag` old.
    pub fn load(&self) -> LoadReport {
        let mut report = lock(&self.report);
        let age = report.0.elapsed();
        if age >= self.cfg.load_lag {
            let tokens = self.tokens.load(Ordering::Relaxed);
            let produced = u128::from(tokens - report.1) * 1_000;
            let rate = produced / age.as_millis().max(1);
            let fresh = LoadReport {
                running: self.batch.running(),
                queued: self.batch.queued(),
                slots: self.batch.slots(),
                tokens_per_second: u64::try_from(rate).unwrap_or(u64::MAX),
                models: self.models(),
            };
            *report = (Instant::now(), tokens, fresh);
        }
        report.2.clone()
    }

    /// Crashes every run.
    pub fn crash_all(&self) {
        for run in lock(&self.runs).by_id.values() {
            run.end(RunState::Crashed);
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn seconds_since_1970() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |time| time.as_secs())
}
