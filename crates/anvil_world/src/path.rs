//! Paths of the settings tree.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::name::{NameError, checked_name};

/// The path of a document in the settings tree. Each path has one document with one revision.
///
/// Written `fleet`, `models/demo-chat`, `teams/mombasa-counter` and so on. Everything about a team is
/// in the document at its one path, so a change of it can't touch another team's settings.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum TreePath {
    /// Settings of the whole fleet.
    Fleet,
    /// The routing table, replaced as a whole and only by a higher version.
    Routing,
    /// One budget.
    Budget(Arc<str>),
    /// One model.
    Model(Arc<str>),
    /// One organisation.
    Organisation(Arc<str>),
    /// One service.
    Service(Arc<str>),
    /// One team.
    Team(Arc<str>),
    /// One availability zone.
    Zone(Arc<str>),
}

/// Text that is not a valid path of the settings tree.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PathError {
    /// Neither `fleet`, nor `routing`, nor a known kind before a `/`.
    #[snafu(display(
        "found {found:?}; allowed are fleet, routing, budgets/NAME, models/NAME, \
         organisations/NAME, services/NAME, teams/NAME and zones/NAME"
    ))]
    Kind {
        /// The rejected text.
        found: String,
    },
    /// The name after the `/` is not valid.
    #[snafu(display("{source}"))]
    Name {
        /// Why the name is rejected.
        source: NameError,
    },
}

impl TryFrom<&str> for TreePath {
    type Error = PathError;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        if raw == "fleet" {
            return Ok(Self::Fleet);
        }
        if raw == "routing" {
            return Ok(Self::Routing);
        }
        let unknown = || PathError::Kind { found: raw.into() };
        let (kind, name) = raw.split_once('/').ok_or_else(unknown)?;
        let name = checked_name(name).map_err(|source| PathError::Name { source })?;
        match kind {
            "budgets" => Ok(Self::Budget(name)),
            "models" => Ok(Self::Model(name)),
            "organisations" => Ok(Self::Organisation(name)),
            "services" => Ok(Self::Service(name)),
            "teams" => Ok(Self::Team(name)),
            "zones" => Ok(Self::Zone(name)),
            _ => Err(unknown()),
        }
    }
}

impl TryFrom<String> for TreePath {
    type Error = PathError;

    fn try_from(raw: String) -> Result<Self, Self::Error> {
        Self::try_from(raw.as_str())
    }
}

impl From<TreePath> for String {
    fn from(path: TreePath) -> Self {
        path.to_string()
    }
}

impl fmt::Display for TreePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => f.write_str("fleet"),
            Self::Routing => f.write_str("routing"),
            Self::Budget(name) => write!(f, "budgets/{name}"),
            Self::Model(name) => write!(f, "models/{name}"),
            Self::Organisation(name) => write!(f, "organisations/{name}"),
            Self::Service(name) => write!(f, "services/{name}"),
            Self::Team(name) => write!(f, "teams/{name}"),
            Self::Zone(name) => write!(f, "zones/{name}"),
        }
    }
}
