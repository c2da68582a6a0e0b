//! A model engine that answers as OpenAI's chat completions do.
//!
//! It batches continuously, caches prompt prefixes in limited memory, honours priorities,
//! resumes and cancels streams, publishes cache events late and with gaps, reports its load
//! with a lag and takes orders with a fencing number. Every engine gives the same answer to the
//! same messages, see [`expected_answer`].
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/chat/completions` | OpenAI's shape, and the fields `priority`, `run_id`, `continue_from` |
//! | `GET /v1/streams/{run_id}?from=BYTE` | the rest of a run's stream |
//! | `DELETE /v1/streams/{run_id}` | cancels it |
//! | `GET /load` | `{"running","queued","slots","tokens_per_second","models"}` |
//! | `GET /events?from=SEQ` | cache events |
//! | `GET`, `POST /kv/{prefix}` | KV cache out and in |
//! | `POST /orders` | `{"term","index","order"}`: 200, 409 when stale, 503 while weights wait |
//! | `GET /runs` | `{"runs":{run_id: times},"tokens":made}` |
//!
//! `max_tokens` bounds the whole answer, and `usage` counts the whole answer, also where a run
//! continues one that began elsewhere.

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
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_world::prelude::*;
use viz::Router;

pub use answer::{Answer, LENGTH_HINT, Message, expected_answer, prompt_tokens};
pub use cache::{BlockHash, CacheEvent, EventKind, blocks};
pub use run::Usage;
pub use state::LoadReport;

use crate::error::Error;
use crate::server::Server;
use state::Engine;
pub(crate) use state::lock;

/// What an engine is like.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Models it holds at start.
    pub models: BTreeSet<ModelId>,
    /// Runs in the batch side by side.
    pub slots: u32,
    /// Time for each prompt token that is not cached.
    pub prefill: Duration,
    /// Time for each token of an answer when the run is alone.
    pub token_time: Duration,
    /// What every further run in the batch adds to the time of a token.
    pub token_time_per_run: Duration,
    /// Blocks of 64 bytes that the prefix cache holds.
    pub cache_blocks: usize,
    /// How old the load report may be.
    pub load_lag: Duration,
    /// How late cache events come.
    pub events_lag: Duration,
    /// Every so many-th cache event is lost; 0 means none.
    pub events_gap: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Where weights come from; none means that loading takes no time.
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
            events_gap: 10,
            checks_fencing: true,
            weights: None,
        }
    }
}

impl Config {
    /// Holding these models at start.
    pub fn with_models<'a>(mut self, models: impl IntoIterator<Item = &'a str>) -> Self {
        self.models = models.into_iter().map(Into::into).collect();
        self
    }

    /// With so many slots.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// With no time spent on anything.
    pub fn without_delays(mut self) -> Self {
        self.prefill = Duration::ZERO;
        self.token_time = Duration::ZERO;
        self.token_time_per_run = Duration::ZERO;
        self
    }
}

/// A running engine. Dropping it is like killing its process.
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
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often each run id was started.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.engine.runs_started()
    }

    /// Runs started, named or not.
    pub fn started(&self) -> u64 {
        self.engine.started.load(Ordering::Relaxed)
    }

    /// Tokens made in all.
    pub fn tokens(&self) -> u64 {
        self.engine.tokens.load(Ordering::Relaxed)
    }

    /// Models it holds now.
    pub fn models(&self) -> BTreeSet<ModelId> {
        self.engine.models()
    }

    /// Orders carried out, with their numbers.
    pub fn orders(&self) -> Vec<(Term, LogIndex)> {
        self.engine.orders()
    }

    /// Makes it so many times slower than it was set up; 1 is its own pace.
    pub fn set_slowdown(&self, factor: u32) {
        self.engine.slowdown.store(factor, Ordering::Relaxed);
    }

    /// Whether it answers every chat with an error at once.
    pub fn set_failing(&self, failing: bool) {
        self.engine.failing.store(failing, Ordering::Relaxed);
    }

    /// After how many tokens the next runs break off; 0 means never.
    pub fn set_dying_after(&self, tokens: u64) {
        self.engine.dying_after.store(tokens, Ordering::Relaxed);
    }

    /// Whether it refuses orders with an old fencing number.
    pub fn set_checks_fencing(&self, checks: bool) {
        self.engine.checks_fencing.store(checks, Ordering::Relaxed);
    }

    /// Stops as hard as a kill, and waits until the address is free.
    pub async fn stop(self) {
        self.engine.kill();
        self.server.stop().await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}
