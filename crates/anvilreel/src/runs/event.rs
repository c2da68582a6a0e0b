//! What happens to a sidecar's runs, and what they want done.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{ResponseHead, SidecarReply, SidecarRequest, StartRequest};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::RunsError;

/// One run in the endpoint. Never used again in one life of the sidecar.
pub type RunId = u64;
/// One stream of replies. The shell numbers them and never uses a number again.
pub type ReaderId = u64;

/// What happens.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A router wants this run, or to attach to the one that the key has.
    Start {
        /// Where replies go.
        reader: ReaderId,
        /// What is wanted.
        start: Box<StartRequest>,
    },
    /// A router wants to read a run that the key has.
    Attach {
        /// Where replies go.
        reader: ReaderId,
        /// The request.
        key: RequestKey,
        /// First byte wanted.
        offset: Offset,
    },
    /// The caller left for good.
    Cancel {
        /// Where the reply goes.
        reader: ReaderId,
        /// The request.
        key: RequestKey,
        /// The life that is meant.
        life: Incarnation,
    },
    /// What of this key?
    Probe {
        /// Where the reply goes.
        reader: ReaderId,
        /// The request.
        key: RequestKey,
    },
    /// Never start this key.
    Forbid {
        /// Where the reply goes.
        reader: ReaderId,
        /// The request.
        key: RequestKey,
        /// The life that is meant.
        life: Incarnation,
        /// The claim that is meant; nothing means the key.
        claim: Option<ClaimId>,
    },
    /// The reader's stream has taken the last `Head` or `Frame` and has room for the next.
    Ready {
        /// Which.
        reader: ReaderId,
    },
    /// The reader's stream is gone.
    Gone {
        /// Which.
        reader: ReaderId,
    },
    /// The endpoint said something.
    Engine {
        /// Of which run.
        run: RunId,
        /// What.
        event: EngineEvent,
    },
    /// This endpoint is leaving: nothing new from now on.
    Leaving,
    /// This endpoint takes work again.
    Returned,
    /// A router's lives up to this one are fenced.
    Fenced {
        /// The router.
        router: InstanceId,
        /// The newest fenced life.
        incarnation: Incarnation,
    },
    /// For how long a non-idempotent key is remembered: longer than the ledger keeps claims.
    KeepOnce(Duration),
    /// Time has passed. Feed it about once a second.
    Tick,
}

impl Event {
    /// What a router's request is to the runs; nothing for an order or a watch.
    pub fn of(reader: ReaderId, req: SidecarRequest) -> Option<Self> {
        Some(match req {
            SidecarRequest::Start(start) => Self::Start { reader, start },
            SidecarRequest::Attach { key, offset } => Self::Attach {
                reader,
                key,
                offset,
            },
            SidecarRequest::Cancel { key, life } => Self::Cancel { reader, key, life },
            SidecarRequest::Probe { key } => Self::Probe { reader, key },
            SidecarRequest::Forbid { key, life, claim } => Self::Forbid {
                reader,
                key,
                life,
                claim,
            },
            SidecarRequest::Order { .. } | SidecarRequest::Watch => return None,
        })
    }
}

/// What an endpoint says of a run. Use is cumulative, as far as it is known, and of the whole
/// answer: of one that is continued, the prefix counts as output and not as prompt.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineEvent {
    /// Status and headers of a plain service's answer.
    Head(ResponseHead),
    /// The next bytes of output.
    Output {
        /// The bytes.
        bytes: Bytes,
        /// Use so far.
        usage: Usage,
    },
    /// The answer is whole.
    Ended {
        /// Use in all.
        usage: Usage,
        /// `stop` or `length`.
        finish: Arc<str>,
    },
    /// The endpoint has certainly not run it: no connection, or its own word.
    Refused,
    /// The connection to the endpoint broke after the call had left.
    Lost {
        /// Use so far.
        usage: Usage,
        /// Whether the engine can give its stream again from an offset.
        resumable: bool,
    },
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send this to a reader. After a `Head` or `Frame` the shell feeds [`Event::Ready`].
    Reply {
        /// Which.
        reader: ReaderId,
        /// What.
        reply: SidecarReply,
    },
    /// End a reader's stream: all was said.
    Close {
        /// Which.
        reader: ReaderId,
    },
    /// Tell the endpoint.
    Engine {
        /// Of which run.
        run: RunId,
        /// What.
        command: EngineCommand,
    },
    /// An invariant is broken; log it.
    Violation(RunsError),
}

/// What an endpoint is told of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineCommand {
    /// Begin. For a chat with a prefix: continue after it; events then hold only what follows.
    Begin(Arc<StartRequest>),
    /// Give the stream again from this byte of the run's own output.
    Resume {
        /// Bytes that are held already, without the prefix.
        from: Offset,
    },
    /// Stop for good; nothing more is wanted.
    Stop,
    /// Read no more for now.
    Pause,
    /// Read on.
    Continue,
}
