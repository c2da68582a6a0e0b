//! The results of applied commands.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{ChangeReceipt, ClaimRecord, FenceNumber, GrantBatchAnswer};
use crate::contract::ContractError;
use crate::ids::{ChangeId, GrantId, OperatorId, Revision, RoutingVersion, Tokens};
use crate::path::TreePath;
use crate::settings::Problem;

/// The result of a command that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Applied; there is no result.
    Done,
    /// A change, top-up, drain or write-off was accepted, now or when it was first sent.
    Changed(ChangeReceipt),
    /// The result of a grant batch.
    Grants(GrantBatchAnswer),
    /// The claim that holds the key: this one or an earlier one.
    Claimed(ClaimRecord),
    /// The fencing number assigned to the order.
    Fencing(FenceNumber),
    /// The tokens left in the budget after a grant was closed.
    Closed(Tokens),
    /// The version of the routing table in force after a replacement, accepted or not.
    Routing(RoutingVersion),
    /// The command was rejected and changed nothing.
    Denied(Denial),
}

/// Why a command was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum Denial {
    /// Another operator changed the document first.
    #[snafu(display("{path} is at revision {current}, not {expected}: changed by {operator}"))]
    Conflict {
        /// The path of the document.
        path: TreePath,
        /// The revision the rejected change expected.
        expected: Revision,
        /// The document's current revision.
        current: Revision,
        /// The operator who wrote it.
        operator: OperatorId,
        /// The document's current text, to show to the rejected operator.
        text: std::sync::Arc<str>,
    },
    /// The change id was used before with different content.
    #[snafu(display("change id reused: {id} was used before with different content"))]
    ChangeIdReused {
        /// The id.
        id: ChangeId,
    },
    /// The change id has no valid time, or its time is too long ago or in the future.
    #[snafu(display(
        "invalid change id: {id} is not of the form MILLISECONDS-TEXT with a time within the last week"
    ))]
    BadChangeId {
        /// The id.
        id: ChangeId,
    },
    /// The settings text is not valid.
    #[snafu(display("{message}"))]
    Settings {
        /// With path, line, what was found and what is allowed.
        message: String,
    },
    /// The document refers to a document that does not exist, or is still referred to by others.
    #[snafu(display("{path}: {problem}"))]
    Reference {
        /// The document.
        path: TreePath,
        /// What is wrong.
        problem: Problem,
    },
    /// A budget, grant or split does not allow it.
    #[snafu(display("{source}"))]
    Contract {
        /// Why.
        source: ContractError,
    },
    /// The batch is from an incarnation that was fenced or replaced.
    #[snafu(display("this incarnation of the router is fenced"))]
    Fenced,
    /// The batch has a lower sequence number than one already applied.
    #[snafu(display("the batch is older than one already applied"))]
    OldBatch,
    /// The grant is not fenced, so it can't be closed or written off.
    #[snafu(display("grant {grant} is not fenced"))]
    NotFenced {
        /// The grant.
        grant: GrantId,
    },
    /// No such budget, instance, claim, grant or path.
    #[snafu(display("no such {what}: {name}"))]
    Unknown {
        /// The kind of the unknown name.
        what: EntityKind,
        /// The unknown name.
        name: String,
    },
    /// The incarnation is older than one already known.
    #[snafu(display("a newer incarnation is known"))]
    OldIncarnation,
    /// Some replicas run a build that can't apply the command, or have not said yet that theirs can.
    #[snafu(display(
        "replicas that have not confirmed that they can apply this order: {replicas}; they run an earlier build, \
         or are not connected to the leader. Upgrade them, wait for them, or remove them"
    ))]
    NotApplicable {
        /// Names of their instances.
        replicas: String,
    },
}

/// The kind of an unknown name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntityKind {
    /// A budget.
    Budget,
    /// An instance.
    Instance,
    /// A claim.
    Claim,
    /// A grant.
    Grant,
    /// A path of the tree.
    Path,
    /// A quarantine.
    Quarantine,
    /// An organisation of the configuration.
    Organisation,
    /// A route of the configuration.
    Route,
}

impl std::fmt::Display for EntityKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Budget => "budget",
            Self::Instance => "instance",
            Self::Claim => "claim",
            Self::Grant => "grant",
            Self::Path => "path",
            Self::Quarantine => "quarantine",
            Self::Organisation => "organisation in the configuration",
            Self::Route => "route in the configuration",
        })
    }
}

impl From<ContractError> for Denial {
    fn from(source: ContractError) -> Self {
        Self::Contract { source }
    }
}
