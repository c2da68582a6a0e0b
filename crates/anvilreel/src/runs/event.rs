//! Input and output of the state machine of a sidecar's runs.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{ResponseHead, SidecarReply, SidecarRequest, StartRequest};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::RunsError;

/// Number of one run. Never reused within one incarnation of the sidecar.
pub type RunId = u64;
/// Number of one stream of replies. Assigned by the caller of [`Runs::handle`](super::Runs::handle)
/// and never reused.
pub type ReaderId = u64;

/// An input of [`Runs::handle`](super::Runs::handle).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A router starts a run, or attaches to the one that the key has.
    Start {
        /// Where replies go.
        reader: ReaderId,
        /// The request.
        start: Box<StartRequest>,
    },
    /// A router attaches to the run of a key, without starting one.
    Attach {
        /// Where replies go.
        reader: ReaderId,
        /// The request.
        key: RequestKey,
        /// First byte to send.
        offset: Offset,
    },
    /// The caller has disconnected for good.
    Cancel {
        /// Where the reply goes.
        reader: ReaderId,
        /// The request.
        key: RequestKey,
        /// The sidecar's incarnation that the request was dispatched to.
        incarnation: Incarnation,
    },
    /// A router asks for the state of a key.
    Probe {
        /// Where the reply goes.
        reader: ReaderId,
        /// The request.
        key: RequestKey,
    },
    /// A router forbids any later start of a key.
    Forbid {
        /// Where the reply goes.
        reader: ReaderId,
        /// The request.
        key: RequestKey,
        /// The sidecar's incarnation that the request was dispatched to.
        incarnation: Incarnation,
        /// Forbids only starts under this claim; `None` forbids every start of the key.
        claim: Option<ClaimId>,
    },
    /// The reader's stream has taken the last `Head` or `Frame` and has room for the next one.
    ReaderReady {
        /// The reader.
        reader: ReaderId,
    },
    /// The reader's stream was closed.
    ReaderGone {
        /// The reader.
        reader: ReaderId,
    },
    /// The endpoint reported something about a run.
    Endpoint {
        /// The run.
        run: RunId,
        /// The event.
        event: EndpointEvent,
    },
    /// The endpoint is leaving: new runs are refused.
    Leaving,
    /// The endpoint is no longer leaving: new runs are accepted again.
    NoLongerLeaving,
    /// A router's incarnations up to this one are fenced.
    Fenced {
        /// The router.
        router: InstanceId,
        /// The newest fenced incarnation.
        incarnation: Incarnation,
    },
    /// Sets how long a non-idempotent key is remembered: longer than the ledger keeps claims.
    OnceRetention(Duration),
    /// Time has passed. To be fed about once a second.
    Tick,
}

impl Event {
    /// The event for a request of a router; `None` for an order or a watch.
    pub fn from_request(reader: ReaderId, req: SidecarRequest) -> Option<Self> {
        Some(match req {
            SidecarRequest::Start(start) => Self::Start { reader, start },
            SidecarRequest::Attach { key, offset } => Self::Attach {
                reader,
                key,
                offset,
            },
            SidecarRequest::Cancel { key, life } => Self::Cancel {
                reader,
                key,
                incarnation: life,
            },
            SidecarRequest::Probe { key } => Self::Probe { reader, key },
            SidecarRequest::Forbid { key, life, claim } => Self::Forbid {
                reader,
                key,
                incarnation: life,
                claim,
            },
            SidecarRequest::Order { .. } | SidecarRequest::Watch => return None,
        })
    }
}

/// What an endpoint reports about a run. Usage is cumulative, as far as it is known, and covers the
/// whole answer: if the answer is continued, its prefix counts as output and not as prompt.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// Status and headers of a plain service's response.
    Head(ResponseHead),
    /// The next bytes of output.
    Output {
        /// The bytes.
        bytes: Bytes,
        /// Usage so far.
        usage: Usage,
    },
    /// The answer is complete.
    Ended {
        /// Total usage.
        usage: Usage,
        /// `stop` or `length`.
        finish: Arc<str>,
    },
    /// The endpoint has certainly not run the request: there was no connection, or the endpoint
    /// refused it.
    Refused,
    /// The connection to the endpoint broke after the call was sent.
    Lost {
        /// Usage so far.
        usage: Usage,
        /// Whether the engine's stream may be resumed from an offset.
        resumable: bool,
    },
}

/// An output of [`Runs::handle`](super::Runs::handle), to be performed by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a reply to a reader. After a `Head` or `Frame` was sent, [`Event::ReaderReady`] is to
    /// be fed.
    Reply {
        /// The reader.
        reader: ReaderId,
        /// The reply.
        reply: SidecarReply,
    },
    /// Ends a reader's stream after its last reply.
    Close {
        /// The reader.
        reader: ReaderId,
    },
    /// Sends a command to the endpoint.
    Endpoint {
        /// The run.
        run: RunId,
        /// The command.
        command: EndpointCommand,
    },
    /// An invariant is violated; to be logged.
    Violation(RunsError),
}

/// A command to the endpoint about a run.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointCommand {
    /// Starts the run. A chat with a prefix is continued after it; its events then hold only what
    /// follows.
    Begin(Arc<StartRequest>),
    /// Resumes the stream at this byte of the run's own output.
    Resume {
        /// Bytes already received, without the prefix.
        from: Offset,
    },
    /// Stops the run for good.
    Stop,
    /// Stops reading output for now.
    Pause,
    /// Reads output again.
    Continue,
}
