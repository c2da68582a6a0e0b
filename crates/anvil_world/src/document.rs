//! Documents of the settings tree: TOML text that was checked whole.
//!
//! The tree keeps the operator's text byte for byte; a [`Document`] is what a process reads out
//! of it. [`Document::check`] is run by the operators' client before sending, and by the ledger
//! again before the log sees the change.

mod budget;
mod fleet;
mod model;
mod organisation;
mod service;
mod team;

pub use budget::BudgetDocument;
pub use fleet::FleetDocument;
pub use model::ModelDocument;
pub use organisation::OrganisationDocument;
pub use service::{ServiceDocument, ServiceKind};
pub use team::{KEY_HASH_PREFIX, TeamDocument, WorkClass, key_hash};

use crate::path::TreePath;
use crate::settings::{SettingsError, read};

/// A checked document, by the kind of its path.
#[derive(Debug, Clone, PartialEq)]
pub enum Document {
    /// At `fleet`.
    Fleet(FleetDocument),
    /// At `routing`: opaque here; whoever takes it from operators checks it before the log sees it.
    Routing,
    /// At `budgets/NAME`.
    Budget(BudgetDocument),
    /// At `models/NAME`.
    Model(ModelDocument),
    /// At `organisations/NAME`.
    Organisation(OrganisationDocument),
    /// At `services/NAME`.
    Service(ServiceDocument),
    /// At `teams/NAME`.
    Team(TeamDocument),
}

impl Document {
    /// Reads and checks a document's text against what its path allows.
    pub fn check(path: &TreePath, text: &str) -> Result<Self, SettingsError> {
        let name = path.to_string();
        Ok(match path {
            TreePath::Fleet => Self::Fleet(read(&name, text)?),
            TreePath::Routing => Self::Routing,
            TreePath::Budget(_) => Self::Budget(read(&name, text)?),
            TreePath::Model(_) => Self::Model(read(&name, text)?),
            TreePath::Organisation(_) => Self::Organisation(read(&name, text)?),
            TreePath::Service(_) => Self::Service(read(&name, text)?),
            TreePath::Team(_) => Self::Team(read(&name, text)?),
        })
    }
}
