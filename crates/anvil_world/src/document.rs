//! The documents of the settings tree, parsed and validated from TOML text.
//!
//! The tree stores the operator's text byte for byte; a [`Document`] is the parsed form that a
//! process works with. The operators' client runs [`Document::check`] before it sends a change, and
//! the ledger runs it again before it proposes the change to the replicated log.

mod budget;
mod fleet;
mod model;
mod organisation;
mod service;
mod team;
mod zone;

pub use budget::BudgetDocument;
pub use fleet::FleetDocument;
pub use model::ModelDocument;
pub use organisation::OrganisationDocument;
pub use service::{ServiceDocument, ServiceKind};
pub use team::{KEY_HASH_PREFIX, TeamDocument, WorkClass, key_hash};
pub use zone::ZoneDocument;

use crate::path::TreePath;
use crate::settings::{SettingsError, parse_settings};

/// A validated document; the variant follows from its path.
#[derive(Debug, Clone, PartialEq)]
pub enum Document {
    /// At `fleet`.
    Fleet(FleetDocument),
    /// At `routing`. Its text is not parsed here: the process that receives it from operators
    /// validates it before proposing it to the log.
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
    /// At `zones/NAME`.
    Zone(ZoneDocument),
}

impl Document {
    /// Parses and validates the text of the document at `path`.
    pub fn check(path: &TreePath, text: &str) -> Result<Self, SettingsError> {
        let name = path.to_string();
        Ok(match path {
            TreePath::Fleet => Self::Fleet(parse_settings(&name, text)?),
            TreePath::Routing => Self::Routing,
            TreePath::Budget(_) => Self::Budget(parse_settings(&name, text)?),
            TreePath::Model(_) => Self::Model(parse_settings(&name, text)?),
            TreePath::Organisation(_) => Self::Organisation(parse_settings(&name, text)?),
            TreePath::Service(_) => Self::Service(parse_settings(&name, text)?),
            TreePath::Team(_) => Self::Team(parse_settings(&name, text)?),
            TreePath::Zone(_) => Self::Zone(parse_settings(&name, text)?),
        })
    }
}
