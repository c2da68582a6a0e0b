//! The document at `budgets/NAME`.

use serde::{Deserialize, Serialize};

use crate::ids::{OrganisationId, Tokens};
use crate::settings::{Problem, Validate};

/// Declares a prepaid budget. Tokens are credited by top-ups only, never through this document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetDocument {
    /// The organisation that pays.
    pub organisation: OrganisationId,
    /// Routers log that a top-up is due when fewer tokens than this are left.
    #[serde(default)]
    pub warn_below: Tokens,
}

impl Validate for BudgetDocument {
    fn problems(&self) -> Vec<Problem> {
        Problem::check_name("organisation", &self.organisation)
    }
}
