//! Callers: each wants one answer and comes back with its key when it gets none.

use std::time::Duration;

use anvil_wire::msg::Work;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use anvilreel::request::{Event, RequestSpec};
use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Happening, World};

/// Bytes of one token's text.
pub const TOKEN_BYTES: u64 = 8;
/// What an order costs, in tokens.
pub const ORDER_COST: Tokens = 5;
/// How long a caller waits for the next byte.
const PATIENCE: Duration = Duration::from_secs(20);
/// How often it comes back.
const TRIES: u32 = 6;

#[derive(Debug, Clone)]
pub struct Caller {
    pub id: usize,
    pub key: RequestKey,
    pub named: bool,
    pub once: bool,
    pub prompt: Tokens,
    pub output: Tokens,
    pub tries: u32,
    pub got: Vec<u8>,
    pub got_whole: bool,
    pub outcomes: Vec<Outcome>,
    /// Exchanges for it that ended in doubt, whether the caller still listened or not.
    pub doubts: u32,
    pub at_router: Option<(usize, Incarnation, u64)>,
}

impl Caller {
    pub fn draw(id: usize, rng: &mut ChaCha8Rng) -> Self {
        let once = rng.random_range(0..5) == 0;
        Self {
            id,
            key: RequestKey {
                team: "counter".into(),
                id: format!("q{id}").into(),
            },
            named: once || rng.random_range(0..2) == 0,
            once,
            prompt: rng.random_range(5..60),
            output: rng.random_range(5..120),
            tries: 0,
            got: Vec::new(),
            got_whole: false,
            outcomes: Vec::new(),
            doubts: 0,
            at_router: None,
        }
    }

    /// What the whole answer costs, in tokens.
    pub fn full_cost(&self) -> Tokens {
        if self.once {
            return ORDER_COST;
        }
        self.prompt + self.output
    }

    /// The answer that the endpoint gives, byte for byte.
    pub fn answer(&self) -> Vec<u8> {
        let tokens = if self.once { 1 } else { self.output };
        (0..tokens).flat_map(|i| token(&self.key, i)).collect()
    }

    pub fn spec(&self, now: Now, claim_id: String) -> RequestSpec {
        let work = if self.once {
            Work::Plain {
                method: "POST".into(),
                tail: "orders".into(),
                headers: Vec::new(),
                body: Bytes::new(),
            }
        } else {
            Work::Chat {
                model: "demo".into(),
                body: Bytes::new(),
                max_output: self.output,
            }
        };
        let split = Split::try_from(vec![("mombasa".into(), 60), ("nairobi".into(), 40)]);
        RequestSpec {
            key: self.key.clone(),
            claim_id: claim_id.into(),
            has_caller_key: self.named,
            body_hash: [1; 32],
            at_most_once: self.once,
            split: split.expect("a split"),
            price: Price {
                call: ORDER_COST,
                ..Price::default()
            },
            bound: if self.once {
                ORDER_COST
            } else {
                self.prompt + self.output + 40
            },
            work,
            class: WorkClass::Interactive,
            deadline: now + Duration::from_mins(1),
            retention: super::routers::KEEP,
            holders: Vec::new(),
            probe_candidates: Vec::new(),
        }
    }
}

/// The text of one token of one answer.
pub fn token(key: &RequestKey, i: u64) -> Vec<u8> {
    format!("{:>6}.{:<1}", key.id, i % 10).into_bytes()
}

impl World {
    pub fn caller_sends(&mut self, id: usize) {
        let alive: Vec<_> = (0..self.routers.len())
            .filter(|slot| self.routers[*slot].alive && !self.routers[*slot].stopping)
            .collect();
        if self.callers[id].got_whole || self.callers[id].tries >= TRIES {
            return;
        }
        if alive.is_empty() {
            return self.after(Duration::from_secs(1), Happening::Send(id));
        }
        let slot = alive[self.rng.random_range(0..alive.len())];
        let caller = &mut self.callers[id];
        caller.tries += 1;
        caller.got.clear();
        if !caller.named && caller.tries > 1 {
            // Without a key of its own a retry is a new request.
            caller.key.id = format!("q{id}-{}", caller.tries).into();
        }
        let tries = caller.tries;
        self.begin_exchange(slot, id);
        self.after(PATIENCE, Happening::CallerPatience(id, tries));
    }

    /// Its patience is over: the caller hangs up and comes back if it can.
    pub fn caller_leaves(&mut self, id: usize, tries: u32) {
        if self.callers[id].tries != tries || self.callers[id].at_router.is_none() {
            return;
        }
        let Some((slot, life, exchange)) = self.callers[id].at_router.take() else {
            return;
        };
        self.feed(slot, life, exchange, Event::CallerGone);
        if self.callers[id].named {
            self.caller_comes_back(id);
        }
    }

    pub fn caller_comes_back(&mut self, id: usize) {
        let pause = self.between(Duration::from_millis(100), Duration::from_secs(3));
        self.after(pause, Happening::Send(id));
    }

    /// Bytes for a caller; every one is compared with the truth at once.
    pub fn caller_gets(&mut self, id: usize, bytes: &[u8]) {
        let caller = &mut self.callers[id];
        caller.got.extend_from_slice(bytes);
        if !caller.answer().starts_with(&caller.got) {
            let what = format!("caller {id} got bytes that are not its answer");
            self.truth.violate(what);
        }
    }

    pub fn caller_ends(&mut self, id: usize, outcome: &Outcome) {
        let caller = &mut self.callers[id];
        caller.at_router = None;
        caller.outcomes.push(outcome.clone());
        match outcome {
            Outcome::Completed(_) => {
                caller.got_whole = true;
                if caller.got != caller.answer() {
                    let what = format!("caller {id}: an end that looks complete and is not");
                    self.truth.violate(what);
                }
                self.count("completed");
            }
            Outcome::NotRun(refusal) => {
                self.count(match refusal.reason {
                    Reason::BudgetExhausted(_) => "not run: budget exhausted",
                    Reason::LedgerUnreachable => "not run: ledger unreachable",
                    Reason::NoEndpoint(_) => "not run: no endpoint",
                    Reason::EndpointRefused => "not run: endpoint refused",
                    Reason::Overloaded => "not run: overloaded",
                    Reason::Leaving => "not run: leaving",
                    _ => "not run: other",
                });
                self.caller_comes_back(id);
            }
            Outcome::Unknown(_) => {
                self.count("unknown");
                if self.callers[id].named {
                    self.caller_comes_back(id);
                }
            }
        }
    }
}
