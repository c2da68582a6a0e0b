//! Callers: each wants one response and retries with its key until it has one or its attempts are used up.

use std::time::Duration;

use anvil_wire::msg::Work;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use anvilreel::request::{Event, RequestSpec};
use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{SimEvent, World};

/// Bytes of one token's text.
pub const TOKEN_BYTES: u64 = 8;
/// Cost of an order, in tokens.
pub const ORDER_COST: Tokens = 5;
/// Time after which a caller hangs up without a complete response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of attempts of one caller.
const MAX_ATTEMPTS: u32 = 6;

#[derive(Debug, Clone)]
pub struct Caller {
    pub id: usize,
    pub key: RequestKey,
    pub has_own_key: bool,
    pub at_most_once: bool,
    pub prompt: Tokens,
    pub output: Tokens,
    pub attempts: u32,
    pub received: Vec<u8>,
    pub completed: bool,
    pub outcomes: Vec<Outcome>,
    /// Exchanges for this caller with an unknown outcome, whether it was still connected or not.
    pub unknown_outcomes: u32,
    pub current_exchange: Option<(usize, Incarnation, u64)>,
}

impl Caller {
    pub fn draw(id: usize, rng: &mut ChaCha8Rng) -> Self {
        let at_most_once = rng.random_range(0..5) == 0;
        Self {
            id,
            key: RequestKey {
                team: "counter".into(),
                id: format!("q{id}").into(),
            },
            has_own_key: at_most_once || rng.random_range(0..2) == 0,
            at_most_once,
            prompt: rng.random_range(5..60),
            output: rng.random_range(5..120),
            attempts: 0,
            received: Vec::new(),
            completed: false,
            outcomes: Vec::new(),
            unknown_outcomes: 0,
            current_exchange: None,
        }
    }

    /// Cost of the complete response, in tokens.
    pub fn full_cost(&self) -> Tokens {
        if self.at_most_once {
            return ORDER_COST;
        }
        self.prompt + self.output
    }

    /// Bytes of the complete response.
    pub fn expected_answer(&self) -> Vec<u8> {
        let tokens = if self.at_most_once { 1 } else { self.output };
        (0..tokens).flat_map(|i| token(&self.key, i)).collect()
    }

    pub fn spec(&self, now: Now, claim_id: String) -> RequestSpec {
        let work = if self.at_most_once {
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
            has_caller_key: self.has_own_key,
            body_hash: [1; 32],
            at_most_once: self.at_most_once,
            split: split.expect("a split"),
            price: Price {
                call: ORDER_COST,
                ..Price::default()
            },
            bound: if self.at_most_once {
                ORDER_COST
            } else {
                self.prompt + self.output + 40
            },
            work,
            class: WorkClass::Interactive,
            deadline: now + Duration::from_mins(1),
            retention: super::routers::RETENTION,
            holders: Vec::new(),
            probe_candidates: Vec::new(),
        }
    }
}

/// Text of token `i` of the response to this key.
pub fn token(key: &RequestKey, i: u64) -> Vec<u8> {
    format!("{:>6}.{:<1}", key.id, i % 10).into_bytes()
}

impl World {
    pub fn caller_sends(&mut self, id: usize) {
        let alive: Vec<_> = (0..self.routers.len())
            .filter(|slot| self.routers[*slot].alive && !self.routers[*slot].stopping)
            .collect();
        if self.callers[id].completed || self.callers[id].attempts >= MAX_ATTEMPTS {
            return;
        }
        if alive.is_empty() {
            return self.schedule_after(Duration::from_secs(1), SimEvent::CallerSends(id));
        }
        let slot = alive[self.rng.random_range(0..alive.len())];
        let caller = &mut self.callers[id];
        caller.attempts += 1;
        caller.received.clear();
        if !caller.has_own_key && caller.attempts > 1 {
            // Without a key chosen by the caller, a retry is a new request.
            caller.key.id = format!("q{id}-{}", caller.attempts).into();
        }
        let attempts = caller.attempts;
        self.start_exchange(slot, id);
        self.schedule_after(CALLER_TIMEOUT, SimEvent::CallerTimeout(id, attempts));
    }

    /// The caller's timeout has passed: it hangs up, and retries if it has a key of its own.
    pub fn caller_times_out(&mut self, id: usize, attempts: u32) {
        if self.callers[id].attempts != attempts || self.callers[id].current_exchange.is_none() {
            return;
        }
        let Some((slot, incarnation, exchange)) = self.callers[id].current_exchange.take() else {
            return;
        };
        self.feed(slot, incarnation, exchange, Event::CallerGone);
        if self.callers[id].has_own_key {
            self.schedule_retry(id);
        }
    }

    pub fn schedule_retry(&mut self, id: usize) {
        let pause = self.random_duration(Duration::from_millis(100), Duration::from_secs(3));
        self.schedule_after(pause, SimEvent::CallerSends(id));
    }

    /// Delivers bytes to a caller and compares them with the expected response at once.
    pub fn deliver_to_caller(&mut self, id: usize, bytes: &[u8]) {
        let caller = &mut self.callers[id];
        caller.received.extend_from_slice(bytes);
        if !caller.expected_answer().starts_with(&caller.received) {
            let what = format!("caller {id} received bytes that are not part of its response");
            self.truth.record_violation(what);
        }
    }

    pub fn finish_for_caller(&mut self, id: usize, outcome: &Outcome) {
        let caller = &mut self.callers[id];
        caller.current_exchange = None;
        caller.outcomes.push(outcome.clone());
        match outcome {
            Outcome::Completed(_) => {
                caller.completed = true;
                if caller.received != caller.expected_answer() {
                    let what = format!("caller {id}: response ended as complete, but is not");
                    self.truth.record_violation(what);
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
                self.schedule_retry(id);
            }
            Outcome::Unknown(_) => {
                self.count("unknown");
                if self.callers[id].has_own_key {
                    self.schedule_retry(id);
                }
            }
        }
    }
}
