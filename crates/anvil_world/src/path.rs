//! Paths of the settings tree.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::name::{NameError, checked_name};

/// Where a document stands in the settings tree; one document a path, one revision a document.
///
/// Written `fleet`, `models/demo-chat`, `teams/mombasa-counter` and so on. A team's subtree is
/// its one path, so a change there can't touch another team's bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum TreePath {
    /// What holds for the whole fleet.
    Fleet,
    /// The routing table, replaced whole and only by a higher version.
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
}

/// Text that is not a path of the tree.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PathError {
    /// Neither `fleet`, nor `routing`, nor a known kind before a `/`.
    #[snafu(display(
        "found {found:?}; allowed are fleet, routing, budgets/NAME, models/NAME, \
         organisations/NAME, services/NAME and teams/NAME"
    ))]
    Kind {
        /// The text as it was given.
        found: String,
    },
    /// The name after the `/` breaks the rule for names.
    #[snafu(display("{source}"))]
    Name {
        /// What is wrong with it.
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
        }
    }
}
