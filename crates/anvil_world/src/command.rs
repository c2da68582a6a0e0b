//! The commands in the entries of the replicated log, and their results.
//!
//! Applying a command is deterministic: the leader fills in everything that could differ between
//! replicas, such as the time, before it proposes the command.

mod answer;
mod change;
mod claim;
mod crash;
mod fencing;
mod grants;
mod limit;
mod membership;
mod quarantine;
mod replace;
mod share;
mod versions;

use serde::{Deserialize, Serialize};

pub use answer::{Answer, Denial, EntityKind};
pub use change::{
    AuditEntry, Change, ChangeReceipt, Edit, TopUp, WriteOff, change_id, change_id_time,
};
pub use claim::{Claim, ClaimRecord, ClaimState, SettleClaim};
pub use crash::{ClearSuspects, ReportCrash};
pub use fencing::{FenceNumber, Order, OrderKind};
pub use grants::{
    FenceRouter, GrantBatch, GrantBatchAnswer, GrantRefusal, GrantReport, GrantRequest,
};
pub use limit::ReportLimit;
pub use membership::{Drain, Join, SetPresence};
pub use quarantine::{LiftQuarantine, QuarantineTarget};
pub use replace::ReplaceRouting;
pub use share::SetShare;
pub use versions::{OriginGroup, RecordOrigins, RecordVersions};

use crate::ids::{GrantId, Tokens};

/// The command of one entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; a new leader commits one to establish the commit index in its term.
    Noop,
    /// An operator changes one document of the settings tree.
    Change(Change),
    /// Credits prepaid tokens to a budget.
    TopUp(TopUp),
    /// A router's charge reports, returned tokens and grant requests of one second.
    GrantBatch(GrantBatch),
    /// Fences the grants of a router incarnation that was lost.
    FenceRouter(FenceRouter),
    /// Closes a fenced grant at the total charge that the sidecars' evidence shows.
    CloseGrant {
        /// The grant.
        grant: GrantId,
        /// Total charged under it, in tokens.
        charged: Tokens,
    },
    /// An operator writes off the outstanding part of a fenced grant.
    WriteOff(WriteOff),
    /// Binds a non-idempotent request to one sidecar before it is dispatched.
    Claim(Claim),
    /// Records how a claimed request ended.
    SettleClaim(SettleClaim),
    /// An instance joins, or rejoins in a new incarnation.
    Join(Join),
    /// Changes an instance's presence, because of the platform's list or of missed heartbeats.
    SetPresence(SetPresence),
    /// An operator drains an instance.
    Drain(Drain),
    /// Assigns the next fencing number to an order for an endpoint.
    Order(Order),
    /// Replaces the routing table, if the new version is higher.
    ReplaceRouting(ReplaceRouting),
    /// An endpoint crashed while these requests were in flight on it.
    ReportCrash(ReportCrash),
    /// Clears suspect requests that an endpoint has answered since.
    ClearSuspects(ClearSuspects),
    /// An endpoint announced its rate limit over all routers, or no longer announces one.
    ReportLimit(ReportLimit),
    /// An operator lifts quarantines.
    LiftQuarantine(LiftQuarantine),
    /// An operator sets the share of an organisation or a route.
    SetShare(SetShare),
    /// A router reports the software versions of a service.
    RecordVersions(RecordVersions),
    /// A router reports at which software versions streams run.
    RecordOrigins(RecordOrigins),
}

/// Number of kinds of commands that this build applies. Builds differ only in kinds at the end, so a
/// higher number includes all kinds of a lower one.
pub const COMMAND_KINDS: u32 = 21;

impl Command {
    /// Whether equal commands that are proposed at the same time may share one log entry. Each order to an
    /// endpoint gets a fencing number of its own.
    pub fn may_share_entry(&self) -> bool {
        !matches!(self, Self::Order(_))
    }

    /// Number of kinds that a replica must apply to apply this one. A replica that can't decode a committed
    /// entry stops, so a kind that the previous build lacks is appended only once all replicas apply it.
    pub fn required_kinds(&self) -> u32 {
        match self {
            Self::LiftQuarantine(_) => 18,
            Self::SetShare(_) => 19,
            Self::RecordVersions(_) => 20,
            Self::RecordOrigins(_) => 21,
            _ => 0,
        }
    }
}
