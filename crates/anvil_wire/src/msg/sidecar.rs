//! Calls to sidecars: runs of requests, orders to the endpoint, and its load.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use anvil_world::command::{FenceNumber, OrderKind};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Call;

/// A call to a sidecar.
pub struct SidecarCall;

impl Call for SidecarCall {
    const PATH: &'static str = "/sidecar";
    type Req = SidecarRequest;
    type Resp = SidecarReply;
}

/// A request to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarRequest {
    /// Runs a request once, or attaches to the run that its key already has. Replies: `Accepted`,
    /// optionally `Head`, then `Frame`s and `End`; or only `Refused`.
    Start(Box<StartRequest>),
    /// Attaches to a run without ever starting one. Replies as for `Start`, or `Probed(Unheard)`.
    Attach {
        /// The request.
        key: RequestKey,
        /// First output byte to send.
        offset: Offset,
    },
    /// The caller has disconnected for good: stops the run and charges the output so far. Reply:
    /// `Probed`.
    Cancel {
        /// The request.
        key: RequestKey,
        /// The sidecar's incarnation that the request was dispatched to, as in `Forbid`.
        life: Incarnation,
    },
    /// Reads the state of a key. Reply: `Probed`.
    Probe {
        /// The request.
        key: RequestKey,
    },
    /// Forbids any later start of this key, unless it has started. Reply: `Probed`; after
    /// `Probed(Forbidden)` a router may report the request as not run.
    Forbid {
        /// The request.
        key: RequestKey,
        /// The sidecar's incarnation that the request was dispatched to. Another incarnation replies
        /// `Probed(OtherLife)`, because it can't know what an earlier one ran.
        life: Incarnation,
        /// Forbids only starts under this claim; `None` forbids every start of the key. A claim that
        /// was freed must not prevent a later one from running on the same sidecar.
        claim: Option<ClaimId>,
    },
    /// Executes an order on the endpoint. Reply: `Ordered`.
    Order {
        /// Its fencing number; one lower than a number already seen is refused.
        fence: FenceNumber,
        /// The action.
        kind: OrderKind,
    },
    /// Watches the load of the endpoint. Replies `Load` repeatedly until the stream is dropped.
    Watch,
}

/// A request to be run, with its payment and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The request.
    pub key: RequestKey,
    /// The sidecar's incarnation that it is sent to; another one refuses it.
    pub life: Incarnation,
    /// The claim under which it is dispatched.
    pub claim: ClaimId,
    /// Counts from 0, one more for each endpoint on which the answer is continued. If one key is charged
    /// several times under one grant, the charge of the highest attempt is the valid one.
    pub attempt: u32,
    /// Hash of the caller's body.
    pub body: BodyHash,
    /// The reservation that pays for it.
    pub payment: Payment,
    /// The call to the endpoint.
    pub work: Work,
    /// Whether it is non-idempotent and may run at most once.
    pub once: bool,
    /// The queue in which it waits.
    pub class: WorkClass,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// How long the finished answer is kept for a retry.
    pub keep: Duration,
    /// First output byte to send.
    pub offset: Offset,
    /// Output that was already delivered by another endpoint and is to be continued.
    pub prefix: Bytes,
    /// Output tokens in the prefix.
    pub prefix_tokens: Tokens,
}

/// The reservation that pays for a run, and its limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payment {
    /// The router that made the reservation.
    pub router: InstanceId,
    /// The router's incarnation. A fenced one is refused.
    pub incarnation: Incarnation,
    /// Number of the reservation in this incarnation. Two reservations for one key may share a grant,
    /// so the grants alone don't identify the reservation.
    pub number: u64,
    /// How the cost is split among budgets.
    pub split: Split,
    /// For each budget, the grant that pays its part and the reserved tokens.
    pub grants: BTreeMap<BudgetId, (GrantId, Tokens)>,
    /// The router's oldest open grant: charges under older grants are final.
    pub oldest: GrantId,
    /// Budget tokens per unit of usage.
    pub price: Price,
    /// Maximum cost in tokens; the run is stopped before it exceeds this.
    pub bound: Tokens,
}

/// Identifies one reservation of one router incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationId {
    /// The router.
    pub router: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the reservation.
    pub number: u64,
}

impl Payment {
    /// The identity of the reservation.
    pub fn reservation(&self) -> ReservationId {
        ReservationId {
            router: self.router.clone(),
            incarnation: self.incarnation,
            number: self.number,
        }
    }
}

/// The call that a run makes to the endpoint.
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
        /// Headers forwarded to the endpoint.
        headers: Vec<(Arc<str>, Bytes)>,
        /// The caller's body.
        body: Bytes,
    },
}

/// Status and headers of a plain service's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers forwarded to the caller.
    pub headers: Vec<(Arc<str>, Bytes)>,
}

/// A chunk of output.
///
/// For a chat completion the output is the text of the answer in UTF-8, so that offsets mean the same
/// on every endpoint; for a plain service it is the body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request it belongs to. A router delivers no frame of another key.
    pub key: RequestKey,
    /// Its position in the output. A router delivers no frame that leaves a gap.
    pub offset: Offset,
    /// The bytes.
    pub bytes: Bytes,
    /// Output tokens up to the end of this frame.
    pub tokens: Tokens,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The request.
    pub key: RequestKey,
    /// Total bytes of output.
    pub length: Offset,
    /// Measured usage.
    pub usage: Usage,
    /// How it ended. The answer is complete only if this is `Completed`.
    pub outcome: Outcome,
    /// Why the engine stopped: `stop` or `length`.
    pub finish: Arc<str>,
    /// The reservation that is charged.
    pub paid_by: ReservationId,
    /// Tokens charged to each grant. The grants are those of the router that started the run.
    pub charged: BTreeMap<GrantId, Tokens>,
}

impl Default for Work {
    /// An empty call, which replaces the call of a run whose body was dropped.
    fn default() -> Self {
        Self::Plain {
            method: Arc::from(""),
            tail: Arc::from(""),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }
}

/// The state of a key at a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeAnswer {
    /// This incarnation of the sidecar has never received the key.
    Unheard,
    /// It never started and never will.
    Forbidden,
    /// This is not the incarnation of the sidecar that the request names.
    OtherLife,
    /// It is running.
    Running {
        /// Output so far, in bytes.
        length: Offset,
    },
    /// It has ended.
    Ended(Box<RunEnd>),
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The endpoint carried it out.
    Done,
    /// The order is stale: this higher fencing number was seen before.
    Stale(FenceNumber),
    /// This sidecar restarted and has not yet learned the newest fencing number from the ledger.
    NumberUnknown,
    /// The endpoint refused or failed.
    Failed,
}

/// The load of an endpoint, from its own delayed reports and from its sidecar's count.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Runs in flight on the endpoint, counted by the sidecar.
    pub running: u32,
    /// Runs queued in the endpoint, as reported by it.
    pub queued: u32,
    /// Runs it can work on concurrently.
    pub slots: u32,
    /// Tokens it generates per second, as reported by it.
    pub tokens_per_second: u32,
    /// Models it has loaded.
    pub models: BTreeSet<ModelId>,
    /// Whether it is draining and takes no new work.
    pub leaving: bool,
}

/// A reply of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarReply {
    /// This sidecar runs the request; its output follows.
    Accepted {
        /// The sidecar's incarnation.
        incarnation: Incarnation,
        /// Whether the key was already running or had ended.
        attached: bool,
        /// Hash of the body of the run, so that the same key with a different body is refused.
        body: BodyHash,
    },
    /// Status and headers of the answer.
    Head(ResponseHead),
    /// A chunk of output.
    Frame(Frame),
    /// The end of the run.
    End(Box<RunEnd>),
    /// The request will not run here; nothing was or will be charged for this attempt.
    Refused(Refusal),
    /// See [`ProbeAnswer`].
    Probed(ProbeAnswer),
    /// See [`OrderResult`].
    Ordered(OrderResult),
    /// See [`EndpointLoad`].
    Load(EndpointLoad),
}
