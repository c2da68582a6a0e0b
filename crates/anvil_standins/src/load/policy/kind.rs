//! Kinds of requests: what clerks, buyers, counter staff and watchmakers send.

use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

/// A kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Its part of the arrivals, against the other kinds.
    pub part: u32,
    /// How it waits.
    pub class: WorkClass,
    /// Tokens of the shared prefix.
    pub prefix: Tokens,
    /// Least and most prompt tokens after the prefix.
    pub prompt: (Tokens, Tokens),
    /// Least and most output tokens.
    pub output: (Tokens, Tokens),
    /// Output limit that the caller names.
    pub output_bound: Tokens,
    /// Time from arrival to the deadline.
    pub timeout: Duration,
}

impl Kind {
    /// A short question of counter staff.
    pub fn question() -> Self {
        Self {
            name: "question",
            part: 80,
            class: WorkClass::Interactive,
            prefix: 1_200,
            prompt: (40, 400),
            output: (40, 200),
            output_bound: 512,
            timeout: Duration::from_secs(30),
        }
    }

    /// A counter question of few words, which ends before the next load report tells of it.
    pub fn counter() -> Self {
        Self {
            name: "counter",
            part: 93,
            prefix: 200,
            prompt: (16, 128),
            output: (8, 64),
            output_bound: 64,
            timeout: Duration::from_secs(10),
            ..Self::question()
        }
    }

    /// A ticket lookup: one short answer of a service that says nothing of tokens.
    pub fn lookup() -> Self {
        Self {
            name: "lookup",
            part: 1,
            class: WorkClass::Interactive,
            prefix: 0,
            prompt: (10, 30),
            output: (1, 1),
            output_bound: 1,
            timeout: Duration::from_secs(10),
        }
    }

    /// A ledger summary.
    pub fn summary() -> Self {
        Self {
            name: "summary",
            part: 17,
            class: WorkClass::Interactive,
            prefix: 1_200,
            prompt: (800, 3_000),
            output: (150, 400),
            output_bound: 1_024,
            timeout: Duration::from_mins(1),
        }
    }

    /// A long repair history.
    pub fn history() -> Self {
        Self {
            name: "history",
            part: 3,
            class: WorkClass::Batch,
            prefix: 1_200,
            prompt: (6_000, 14_000),
            output: (300, 700),
            output_bound: 1_024,
            timeout: Duration::from_mins(30),
        }
    }
}
