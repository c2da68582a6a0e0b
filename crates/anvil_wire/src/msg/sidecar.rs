//! What a sidecar answers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use anvil_world::command::{FenceNumber, OrderKind};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Call;

/// Exchange with a sidecar.
pub struct SidecarCall;

impl Call for SidecarCall {
    const PATH: &'static str = "/sidecar";
    type Req = SidecarRequest;
    type Resp = SidecarReply;
}

/// What is asked of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarRequest {
    /// Run this once, or attach to the run that this key already has. Replies: `Accepted`,
    /// perhaps `Head`, `Frame`s, `End`; or `Refused` alone.
    Start(Box<Start>),
    /// Only attach; never runs anything. Replies as for `Start`, or `Probed(Unheard)`.
    Attach {
        /// The request.
        key: RequestKey,
        /// First byte wanted.
        offset: Offset,
    },
    /// The caller left for good: stop the engine and bill what was made. Reply: `Probed`.
    Cancel {
        /// The request.
        key: RequestKey,
        /// The sidecar's life that the request was dispatched to, as in `Forbid`.
        life: Incarnation,
    },
    /// What of this key? Reply: `Probed`.
    Probe {
        /// The request.
        key: RequestKey,
    },
    /// Never start this key from now on, unless it has started. Reply: `Probed`; after
    /// `Probed(Forbidden)` a router may truthfully say "not run".
    Forbid {
        /// The request.
        key: RequestKey,
        /// The sidecar's life that the request was dispatched to. Another life answers
        /// `Probed(OtherLife)`, for it can't speak for what an earlier one ran.
        life: Incarnation,
        /// Only starts under this claim; nothing means every start of the key. A claim that was
        /// freed must not keep a later one from running on the same sidecar.
        claim: Option<ClaimId>,
    },
    /// An order to the endpoint. Reply: `Ordered`.
    Order {
        /// Its number; one lower than a number already seen is refused.
        fence: FenceNumber,
        /// What to do.
        kind: OrderKind,
    },
    /// How loaded is the endpoint? Replies `Load` now and then, until the stream is dropped.
    Watch,
}

/// What is to be run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The request.
    pub key: RequestKey,
    /// The sidecar's life that is meant; another one refuses.
    pub life: Incarnation,
    /// The claim under which it is sent.
    pub claim: ClaimId,
    /// Counts from 0; one more for each endpoint that an answer is continued on. Of the charges
    /// for one key under one grant, that of the highest attempt counts.
    pub attempt: u32,
    /// Hash of the caller's body.
    pub body: BodyHash,
    /// Who pays.
    pub payment: Payment,
    /// What to do.
    pub work: Work,
    /// Whether it may run at most once, ever.
    pub once: bool,
    /// How it waits at the endpoint.
    pub class: WorkClass,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// How long the finished answer is kept for a retry.
    pub keep: Duration,
    /// First output byte wanted.
    pub offset: Offset,
    /// Output that was delivered before by another endpoint, which is to be continued.
    pub prefix: Bytes,
    /// Tokens of the answer that the prefix holds.
    pub prefix_tokens: Tokens,
}

/// Who pays for a run, and at most how much.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payment {
    /// The router that reserved it.
    pub router: InstanceId,
    /// Its life. A fenced one is refused.
    pub incarnation: Incarnation,
    /// Number of the reservation in this life. Two reservations for one key may share a grant,
    /// so the grants don't tell whose run it is.
    pub number: u64,
    /// How the cost is split.
    pub split: Split,
    /// Which grant pays each budget's part, and the reserved tokens.
    pub grants: BTreeMap<BudgetId, (GrantId, Tokens)>,
    /// The router's oldest open grant: what was charged under older ones is closed for good.
    pub oldest: GrantId,
    /// Tokens for each unit of use.
    pub price: Price,
    /// The run is stopped before it costs more than this, in tokens.
    pub bound: Tokens,
}

/// One reservation of one life of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payer {
    /// The router.
    pub router: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Number of the reservation.
    pub number: u64,
}

impl Payment {
    /// Whose reservation it is.
    pub fn payer(&self) -> Payer {
        Payer {
            router: self.router.clone(),
            incarnation: self.incarnation,
            number: self.number,
        }
    }
}

/// What the endpoint is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A chat completion.
    Chat {
        /// The model.
        model: ModelId,
        /// The caller's JSON body.
        body: Bytes,
        /// Output limit that the reservation allows, in tokens.
        max_output: Tokens,
    },
    /// A call of a plain service.
    Plain {
        /// HTTP method.
        method: Arc<str>,
        /// Path and query below the service's root.
        tail: Arc<str>,
        /// Headers that are passed on.
        headers: Vec<(Arc<str>, Bytes)>,
        /// The caller's body.
        body: Bytes,
    },
}

/// Status and headers of a plain service's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(Arc<str>, Bytes)>,
}

/// A piece of output.
///
/// For a chat the output is the answer's text in UTF-8, so that offsets mean the same on every
/// endpoint; for a plain service it is the body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Whose it is. A router delivers no frame of another key.
    pub key: RequestKey,
    /// Where it belongs. A router delivers no frame that leaves a gap.
    pub offset: Offset,
    /// The bytes.
    pub bytes: Bytes,
    /// Tokens of the answer up to the end of this frame.
    pub tokens: Tokens,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Whose it is.
    pub key: RequestKey,
    /// Bytes of output in all.
    pub length: Offset,
    /// Measured use.
    pub usage: Usage,
    /// How it ended. An answer is whole only when this is `Completed`.
    pub outcome: Outcome,
    /// Why the engine stopped: `stop` or `length`.
    pub finish: Arc<str>,
    /// Whose reservation carries the charge.
    pub paid_by: Payer,
    /// Which grants carry the charge, in tokens. Those of the router that started the run.
    pub charged: BTreeMap<GrantId, Tokens>,
}

impl Default for Work {
    /// Nothing to do: what is kept of a run whose body was dropped.
    fn default() -> Self {
        Self::Plain {
            method: Arc::from(""),
            tail: Arc::from(""),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }
}

/// What a sidecar knows of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeAnswer {
    /// Never heard of it in this life of the sidecar.
    Unheard,
    /// It never started and never will.
    Forbidden,
    /// This is another life of the sidecar than the one that was asked for.
    OtherLife,
    /// It runs.
    Running {
        /// Output so far, in bytes.
        length: Offset,
    },
    /// It has ended.
    Ended(Box<RunEnd>),
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The endpoint carried it out.
    Done,
    /// A higher number was seen before.
    Stale(FenceNumber),
    /// This sidecar restarted and has not learned the newest number from the ledger yet.
    NumberUnknown,
    /// The endpoint refused or failed.
    Failed,
}

/// How loaded an endpoint is, by its own lagging report and by its sidecar's count.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Runs in the endpoint, by the sidecar's count.
    pub running: u32,
    /// Runs that wait in the endpoint, by its own report.
    pub queued: u32,
    /// Runs it can work on side by side.
    pub slots: u32,
    /// Tokens a second that it makes, by its own report.
    pub tokens_per_second: u32,
    /// Models it holds.
    pub models: BTreeSet<ModelId>,
    /// Whether it takes new work.
    pub leaving: bool,
}

/// What a sidecar says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarReply {
    /// The run is this one's; frames follow.
    Accepted {
        /// The sidecar's life.
        incarnation: Incarnation,
        /// Whether the key was running or ended before.
        attached: bool,
        /// Hash of the body that runs, so that the same key with another body is refused.
        body: BodyHash,
    },
    /// Status and headers.
    Head(Head),
    /// Output.
    Frame(Frame),
    /// The end.
    End(Box<RunEnd>),
    /// It will not run here; nothing was or will be charged for this try.
    Refused(Refusal),
    /// See [`ProbeAnswer`].
    Probed(ProbeAnswer),
    /// See [`OrderResult`].
    Ordered(OrderResult),
    /// See [`EndpointLoad`].
    Load(EndpointLoad),
}
