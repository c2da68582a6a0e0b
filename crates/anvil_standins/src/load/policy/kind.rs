//! Kinds of requests, modelled on the applications of the users.

use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

/// A kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Name of the kind.
    pub name: &'static str,
    /// Relative share of the arrivals.
    pub weight: u32,
    /// Priority class.
    pub class: WorkClass,
    /// Tokens of the shared prefix.
    pub prefix: Tokens,
    /// Minimum and maximum prompt tokens after the prefix.
    pub prompt: (Tokens, Tokens),
    /// Minimum and maximum output tokens.
    pub output: (Tokens, Tokens),
    /// Output limit in the request.
    pub output_bound: Tokens,
    /// Time from arrival to the deadline.
    pub timeout: Duration,
}

impl Kind {
    /// A short question from counter staff.
    pub fn question() -> Self {
        Self {
            name: "question",
            weight: 80,
            class: WorkClass::Interactive,
            prefix: 1_200,
            prompt: (40, 400),
            output: (40, 200),
            output_bound: 512,
            timeout: Duration::from_secs(30),
        }
    }

    /// A very short question, which ends before the next load report includes it.
    pub fn counter() -> Self {
        Self {
            name: "counter",
            weight: 93,
            prefix: 200,
            prompt: (16, 128),
            output: (8, 64),
            output_bound: 64,
            timeout: Duration::from_secs(10),
            ..Self::question()
        }
    }

    /// A ticket lookup: a short response from a service that does not report tokens.
    pub fn lookup() -> Self {
        Self {
            name: "lookup",
            weight: 1,
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
            weight: 17,
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
            weight: 3,
            class: WorkClass::Batch,
            prefix: 1_200,
            prompt: (6_000, 14_000),
            output: (300, 700),
            output_bound: 1_024,
            timeout: Duration::from_mins(30),
        }
    }
}
