//! What a caller is told: three outcomes that cannot be confused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::contract::Usage;
use crate::ids::{BodyHash, BudgetId, ServiceId, TeamId};

/// What names a request across retries and routers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The team whose bearer key came with it.
    pub team: TeamId,
    /// The caller's `Idempotency-Key`, or an id that the router made.
    pub id: std::sync::Arc<str>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It did not run, will not run under this key's attempt, and is not billed.
    NotRun(Refusal),
    /// It ran to its end and is billed once.
    Completed(Usage),
    /// It may have run and is never run again by us.
    Unknown(Doubt),
}

/// Why a request has no whole answer although it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// The endpoint was lost after the call had left.
    EndpointLost,
    /// The sidecar that holds the run cannot be reached.
    SidecarLost,
    /// The answer was larger than what is kept for a retry.
    AnswerDropped,
    /// It was stopped before its end: the caller left or its deadline came.
    Stopped,
    /// It ran to its end and is billed once; its answer was lost with the process that kept it.
    AnswerLost,
}

/// A refusal that says "not run", and when to come back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When a retry may succeed; `None` where a retry cannot help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that a retry cannot mend.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// With a time to come back.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Why a request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The ledger has said that this budget is used up.
    BudgetExhausted(BudgetId),
    /// The ledger can't be asked for more of this budget.
    LedgerUnreachable,
    /// The router's settings are older than the configured time allows.
    SettingsStale,
    /// No endpoint serves the model or service now.
    NoEndpoint(ServiceId),
    /// Too much is waiting already.
    Overloaded,
    /// It could not finish before its deadline.
    DeadlineTooClose,
    /// This instance is leaving.
    Leaving,
    /// The same key came with another body.
    KeyReused(BodyHash),
    /// Missing or wrong bearer key.
    Unauthorized,
    /// The team may not use this model or service.
    NotAllowed,
    /// No such model.
    UnknownModel,
    /// The request is not well formed.
    Malformed(Malformed),
    /// The body is over the limit, given in bytes.
    TooLarge(u64),
    /// The endpoint answered that it did not run it.
    EndpointRefused,
    /// The caller left before it began.
    Cancelled,
    /// The router was declared lost, so no endpoint takes its starts.
    RouterFenced,
}

/// What is wrong with a request's form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Malformed {
    /// Not JSON; with the line and column where reading stopped.
    Json {
        /// From 1.
        line: u32,
        /// From 1.
        column: u32,
    },
    /// A field is missing or has the wrong type.
    Field(std::sync::Arc<str>),
    /// An `Idempotency-Key` that is empty, too long or not printable.
    IdempotencyKey,
}
