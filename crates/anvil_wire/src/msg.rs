//! The messages, in one module per kind of call.

mod held_prompts;
mod ledger;
mod listing;
mod origins;
mod router;
mod sidecar;

pub use held_prompts::{
    HeldPromptCall, HeldPromptNotice, HeldPromptReply, HeldPromptRequest, PromptCharge,
};
pub use ledger::{
    AuditFilter, BudgetBalance, BudgetView, ChargeEvidence, FollowEvent, FollowScope, Heartbeat,
    HeartbeatReply, KeyCharge, LedgerCall, LedgerReply, LedgerRequest, LedgerStatus, Query,
    QueryAnswer, RecordedOrigin, VersionRollout,
};
pub use listing::{ListCall, ListDigest, ListReply, ListRequest, ListUpdate, ListedEndpoint};
pub use origins::{ListedVersions, OriginCall, OriginReply, OriginRequest, StreamOrigin};
pub use router::{ClaimHolder, IdempotentClaim, RouterCall, RouterReply, RouterRequest};
pub use sidecar::{
    EndpointLoad, Frame, OrderResult, Payment, ProbeAnswer, ReservationId, ResponseHead, RunEnd,
    SidecarCall, SidecarReply, SidecarRequest, StartRequest, Work,
};
