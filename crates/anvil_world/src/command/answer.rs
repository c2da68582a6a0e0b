//! What a command answers.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{ChangeReceipt, ClaimRecord, FenceNumber, GrantBatchAnswer};
use crate::contract::ContractError;
use crate::ids::{ChangeId, GrantId, OperatorId, Revision, RoutingVersion, Tokens};
use crate::path::TreePath;
use crate::settings::Problem;

/// The answer to a command that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Applied; nothing to tell.
    Done,
    /// A change, top-up, drain or write-off was accepted, now or when it was first sent.
    Changed(ChangeReceipt),
    /// What a grant batch brought.
    Grants(GrantBatchAnswer),
    /// Who holds the claim: the asker or whoever came first.
    Claimed(ClaimRecord),
    /// The number that an order carries.
    Fencing(FenceNumber),
    /// The tokens left in a budget after a closed grant.
    Closed(Tokens),
    /// The number of the routing table in force after a replacement, taken or not.
    Routing(RoutingVersion),
    /// Applied as a refusal; nothing was changed.
    Denied(Denial),
}

/// Why a command changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum Denial {
    /// Another operator was first.
    #[snafu(display("{path} is at revision {current}, not {expected}: changed by {operator}"))]
    Conflict {
        /// The path both wanted.
        path: TreePath,
        /// What the loser expected.
        expected: Revision,
        /// What stands now.
        current: Revision,
        /// Who won.
        operator: OperatorId,
        /// The winner's text, so that the loser sees what stands.
        text: std::sync::Arc<str>,
    },
    /// The same change id came with another content.
    #[snafu(display("change id {id} was used before for something else"))]
    ChangeIdReused {
        /// The id.
        id: ChangeId,
    },
    /// The change id does not say when it was made, or was made too long ago or in the future.
    #[snafu(display(
        "change id {id} is not of the form MILLISECONDS-TEXT with a time within the last week"
    ))]
    BadChangeId {
        /// The id.
        id: ChangeId,
    },
    /// The text is not accepted.
    #[snafu(display("{message}"))]
    Settings {
        /// With path, line, what was found and what is allowed.
        message: String,
    },
    /// The document names something that the tree does not have, or is still named by others.
    #[snafu(display("{path}: {problem}"))]
    Reference {
        /// The document.
        path: TreePath,
        /// What is wrong.
        problem: Problem,
    },
    /// A contract would be broken.
    #[snafu(display("{source}"))]
    Contract {
        /// Which.
        source: ContractError,
    },
    /// A batch from an incarnation that was fenced or replaced.
    #[snafu(display("this incarnation of the router is fenced"))]
    Fenced,
    /// A batch with an older number than one already applied.
    #[snafu(display("the batch is older than one already applied"))]
    OldBatch,
    /// The grant is not fenced, so nobody may close or write it off.
    #[snafu(display("grant {grant} is not fenced"))]
    NotFenced {
        /// The grant.
        grant: GrantId,
    },
    /// No such budget, instance, claim, grant or path.
    #[snafu(display("no such {what}: {name}"))]
    Unknown {
        /// What kind of thing.
        what: Noun,
        /// Its name.
        name: String,
    },
    /// The incarnation is older than one already known.
    #[snafu(display("a newer incarnation is known"))]
    OldIncarnation,
}

/// What an unknown name was meant to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Noun {
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
}

impl std::fmt::Display for Noun {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Budget => "budget",
            Self::Instance => "instance",
            Self::Claim => "claim",
            Self::Grant => "grant",
            Self::Path => "path",
        })
    }
}

impl From<ContractError> for Denial {
    fn from(source: ContractError) -> Self {
        Self::Contract { source }
    }
}
