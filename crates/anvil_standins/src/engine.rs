//! A model engine with the interface of OpenAI's chat completions.
//!
//! It batches continuously, caches prompt prefixes in limited memory, honours priorities,
//! resumes and cancels streams, publishes cache events late and with gaps, reports its load
//! with a lag and executes orders that carry a fencing number. Every engine gives the same
//! answer to the same messages, see [`expected_answer`].
//!
//! | request | response |
//! |---|---|
//! | `POST /v1/chat/completions` | OpenAI's shape, and the fields `priority`, `run_id`, `continue_from` |
//! | `GET /v1/streams/{run_id}?from=BYTE` | a run's stream from that byte on |
//! | `DELETE /v1/streams/{run_id}` | cancels it |
//! | `GET /load` | `{"running","queued","slots","tokens_per_second","models"}` |
//! | `GET /events?from=SEQ` | cache events |
//! | `GET`, `POST /kv/{prefix}` | export and import of a block's KV cache |
//! | `POST /orders` | `{"term","index","order"}`: 200, 409 for a stale number, 503 while the weight store refuses |
//! | `GET /runs` | `{"runs":{run_id: starts},"tokens":generated}` |
//!
//! `max_tokens` limits the complete answer and `usage` counts the complete answer, also when a
//! run continues an answer that was begun elsewhere.

mod answer;
mod batch;
mod cache;
mod chat;
mod control;
mod run;
mod state;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_world::prelude::*;
use viz::Router;

pub use answer::{AnswerTokens, LENGTH_HINT, Message, expected_answer, prompt_tokens};
pub use cache::{BlockHash, CacheEvent, EventKind, blocks};
pub use run::Usage;
pub use state::LoadReport;

use crate::error::Error;
use crate::server::Server;
use state::Engine;
pub(crate) use state::lock;

/// Configuration of an engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Models that are loaded at the start.
    pub models: BTreeSet<ModelId>,
    /// Maximum number of concurrent runs in the batch.
    pub slots: u32,
    /// Prefill time for each prompt token that is not cached.
    pub prefill: Duration,
    /// Time for each output token when the batch has a single run.
    pub token_time: Duration,
    /// Time that each further run in the batch adds to an output token.
    pub token_time_per_run: Duration,
    /// Capacity of the prefix cache, in blocks of 64 bytes.
    pub cache_blocks: usize,
    /// Maximum age of the load report.
    pub load_lag: Duration,
    /// Delay before a cache event is published.
    pub events_lag: Duration,
    /// Interval of lost cache events: events whose number is a multiple of it are lost; 0 loses
    /// none.
    pub lost_event_interval: u64,
    /// Whether orders with a stale fencing number are refused.
    pub checks_fencing: bool,
    /// Address of the weight store; without one, loading a model takes no time.
    pub weights: Option<SocketAddr>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            models: BTreeSet::from(["demo-chat".into()]),
            slots: 16,
            prefill: Duration::from_micros(20),
            token_time: Duration::from_millis(2),
            token_time_per_run: Duration::from_micros(100),
            cache_blocks: 4_096,
            load_lag: Duration::from_millis(500),
            events_lag: Duration::from_secs(1),
            lost_event_interval: 10,
            checks_fencing: true,
            weights: None,
        }
    }
}

impl Config {
    /// Replaces the models that are loaded at the start.
    pub fn with_models<'a>(mut self, models: impl IntoIterator<Item = &'a str>) -> Self {
        self.models = models.into_iter().map(Into::into).collect();
        self
    }

    /// Replaces the number of slots.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the times for prefill and tokens to zero.
    pub fn without_delays(mut self) -> Self {
        self.prefill = Duration::ZERO;
        self.token_time = Duration::ZERO;
        self.token_time_per_run = Duration::ZERO;
        self
    }
}

/// A running engine. Dropping it has the effect of killing its process.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    engine: Arc<Engine>,
}

/// Starts an engine.
pub async fn start(cfg: Config) -> Result<Handle, Error> {
    let listen = cfg.listen;
    let engine = Engine::new(cfg);
    let router = Router::new();
    let router = chat::routes(router, &engine);
    let router = control::routes(router, &engine);
    let server = Server::start(listen, router).await?;
    Ok(Handle { server, engine })
}

impl Handle {
    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often a run was started for each run id.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.engine.start_counts()
    }

    /// Number of runs started, with or without a run id.
    pub fn runs_started(&self) -> u64 {
        self.engine.runs_started.load(Ordering::Relaxed)
    }

    /// Total number of output tokens generated.
    pub fn tokens_generated(&self) -> u64 {
        self.engine.tokens.load(Ordering::Relaxed)
    }

    /// Models that are loaded now.
    pub fn models(&self) -> BTreeSet<ModelId> {
        self.engine.models()
    }

    /// Fencing numbers of the orders executed, in order of execution.
    pub fn executed_orders(&self) -> Vec<(Term, LogIndex)> {
        self.engine.executed_orders()
    }

    /// Multiplies all times by this factor; 1 is the configured speed.
    pub fn set_slowdown(&self, factor: u32) {
        self.engine.slowdown.store(factor, Ordering::Relaxed);
    }

    /// Sets whether it responds to every chat with an error at once.
    pub fn set_failing(&self, failing: bool) {
        self.engine.failing.store(failing, Ordering::Relaxed);
    }

    /// Sets the number of tokens after which new runs crash; 0 means never.
    pub fn set_crash_after(&self, tokens: u64) {
        self.engine.crash_after.store(tokens, Ordering::Relaxed);
    }

    /// Makes one run crash after so many tokens: the first one that begins at any of the engines that
    /// share the number, which is 0 from then on.
    pub fn crash_next_run_after(&self, tokens: Arc<AtomicU64>) {
        *self.engine.crash_next.lock().expect("a number") = tokens;
    }

    /// Sets whether it refuses orders with a stale fencing number.
    pub fn set_checks_fencing(&self, checks: bool) {
        self.engine.checks_fencing.store(checks, Ordering::Relaxed);
    }

    /// Stops abruptly, like a killed process, and waits until the address is free.
    pub async fn stop(self) {
        self.engine.crash_all();
        self.server.stop().await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash_all();
    }
}
