//! The messages, in one module per kind of call.

mod ledger;
mod listing;
mod router;
mod sidecar;

pub use ledger::{
    AuditFilter, BudgetView, Evidence, FollowEvent, Heartbeat, HeartbeatReply, InForce, Interest,
    KeyCharge, LedgerCall, LedgerReply, LedgerRequest, LedgerStatus, Query, QueryAnswer,
};
pub use listing::{ListAsk, ListCall, ListNews, ListReply, ListVersion, Listed};
pub use router::{HolderLife, PlacedClaim, RouterCall, RouterReply, RouterRequest};
pub use sidecar::{
    EndpointLoad, Frame, Head, OrderResult, Payment, ProbeAnswer, ReservationId, RunEnd,
    SidecarCall, SidecarReply, SidecarRequest, Start, Work,
};
