//! What an engine keeps, and how a run goes through it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use anvil_world::prelude::*;
use serde::Serialize;
use tokio::time::{Instant as TokioInstant, sleep, sleep_until};

use super::Config;
use super::answer::{Answer, Message, prompt_tokens};
use super::batch::{Batch, Priority};
use super::cache::PrefixCache;
use super::run::{Run, RunState};

/// Ended runs that can still be resumed.
const RUNS_KEPT: usize = 10_000;
/// Run ids whose starts are counted.
const COUNTS_KEPT: usize = 1_000_000;

/// What `GET /load` answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Runs in the batch.
    pub running: u32,
    /// Runs that wait for a slot.
    pub queued: u32,
    /// Runs that fit the batch.
    pub slots: u32,
    /// Tokens made in the last second.
    pub tokens_per_second: u64,
    /// Models held.
    pub models: BTreeSet<ModelId>,
}

/// What a chat asks for.
#[derive(Debug, Clone)]
pub(super) struct Ask {
    pub model: String,
    pub messages: Vec<Message>,
    pub max: u64,
    pub priority: Priority,
    pub run_id: Option<String>,
    pub continue_from: String,
}

#[derive(Debug)]
pub(super) struct Engine {
    pub cfg: Config,
    pub batch: Arc<Batch>,
    pub cache: Mutex<PrefixCache>,
    pub started: AtomicU64,
    pub tokens: AtomicU64,
    pub slowdown: AtomicU32,
    pub failing: AtomicBool,
    pub dying_after: AtomicU64,
    pub checks_fencing: AtomicBool,
    runs: Mutex<Runs>,
    placed: Mutex<Placed>,
    report: Mutex<(Instant, u64, LoadReport)>,
}

#[derive(Debug, Default)]
struct Runs {
    by_id: BTreeMap<String, Arc<Run>>,
    order: VecDeque<String>,
    counts: BTreeMap<String, u64>,
}

/// What orders have led to.
#[derive(Debug, Default)]
pub(super) struct Placed {
    pub models: BTreeSet<ModelId>,
    pub newest: (Term, LogIndex),
    pub done: Vec<(Term, LogIndex)>,
}

impl Engine {
    pub fn new(cfg: Config) -> Arc<Self> {
        let placed = Placed {
            models: cfg.models.clone(),
            ..Placed::default()
        };
        let report = LoadReport {
            slots: cfg.slots,
            models: cfg.models.clone(),
            ..LoadReport::default()
        };
        Arc::new(Self {
            batch: Arc::new(Batch::new(cfg.slots)),
            cache: Mutex::new(PrefixCache::new(cfg.cache_blocks)),
            started: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
            slowdown: AtomicU32::new(1),
            failing: AtomicBool::new(false),
            dying_after: AtomicU64::new(0),
            checks_fencing: AtomicBool::new(cfg.checks_fencing),
            runs: Mutex::default(),
            placed: Mutex::new(placed),
            report: Mutex::new((Instant::now(), 0, report)),
            cfg,
        })
    }

    /// Starts a run, which goes on without its readers. `None` when `continue_from` is no
    /// beginning of the answer.
    pub fn run(self: &Arc<Self>, ask: Ask) -> Option<Arc<Run>> {
        let mut answer = Answer::new(&ask.model, &ask.messages, ask.max);
        let within = answer.skip_delivered(&ask.continue_from)?;
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let id = ask.run_id.clone();
        let run = Arc::new(Run::new(
            id.unwrap_or_else(|| number.to_string()),
            ask.model.clone(),
            seconds_since_1970(),
            ask.continue_from.len(),
            prompt_tokens(&ask.messages),
        ));
        if let Some(id) = &ask.run_id {
            self.keep(id, &run);
        }
        let (engine, done) = (self.clone(), run.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = done.stopped() => {}
                () = engine.work(&done, &ask, answer, within) => {}
            }
        });
        Some(run)
    }

    async fn work(&self, run: &Run, ask: &Ask, mut answer: Answer, mut within: usize) {
        let slot = self.batch.enter(ask.priority).await;
        sleep(self.prefill(&ask.messages)).await;
        let mut due = TokioInstant::now();
        let dying_after = self.dying_after.load(Ordering::Relaxed);
        loop {
            if dying_after > 0 && answer.made() >= dying_after {
                run.end(RunState::Died);
                break;
            }
            due += self.token_time();
            if due > TokioInstant::now() {
                sleep_until(due).await;
            }
            let Some(token) = answer.next() else {
                run.end(RunState::Ended(answer.finish()));
                break;
            };
            self.tokens.fetch_add(1, Ordering::Relaxed);
            run.push(&token.text()[within..], answer.made());
            within = 0;
        }
        drop(slot);
    }

    fn prefill(&self, messages: &[Message]) -> Duration {
        let cached = lock(&self.cache).admit(messages);
        let cached = (cached as u64) / 4;
        let fresh = prompt_tokens(messages).saturating_sub(cached);
        let fresh = u32::try_from(fresh).unwrap_or(u32::MAX);
        self.cfg.prefill * fresh * self.slowdown.load(Ordering::Relaxed)
    }

    fn token_time(&self) -> Duration {
        let others = self.batch.running().saturating_sub(1);
        let time = self.cfg.token_time + self.cfg.token_time_per_run * others;
        time * self.slowdown.load(Ordering::Relaxed)
    }

    fn keep(&self, id: &str, run: &Arc<Run>) {
        let mut runs = lock(&self.runs);
        runs.by_id.insert(id.into(), run.clone());
        runs.order.push_back(id.into());
        if runs.order.len() > RUNS_KEPT
            && let Some(oldest) = runs.order.pop_front()
        {
            runs.by_id.remove(&oldest);
        }
        if runs.counts.len() < COUNTS_KEPT || runs.counts.contains_key(id) {
            *runs.counts.entry(id.into()).or_default() += 1;
        }
    }

    pub fn find(&self, id: &str) -> Option<Arc<Run>> {
        lock(&self.runs).by_id.get(id).cloned()
    }

    pub fn runs_started(&self) -> BTreeMap<String, u64> {
        lock(&self.runs).counts.clone()
    }

    pub fn models(&self) -> BTreeSet<ModelId> {
        self.placed().models.clone()
    }

    pub fn orders(&self) -> Vec<(Term, LogIndex)> {
        self.placed().done.clone()
    }

    pub fn placed(&self) -> MutexGuard<'_, Placed> {
        lock(&self.placed)
    }

    /// The load, up to `load_lag` old.
    pub fn load(&self) -> LoadReport {
        let mut report = lock(&self.report);
        let age = report.0.elapsed();
        if age >= self.cfg.load_lag {
            let tokens = self.tokens.load(Ordering::Relaxed);
            let made = u128::from(tokens - report.1) * 1_000;
            let rate = made / age.as_millis().max(1);
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

    /// Every run dies.
    pub fn kill(&self) {
        for run in lock(&self.runs).by_id.values() {
            run.end(RunState::Died);
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
