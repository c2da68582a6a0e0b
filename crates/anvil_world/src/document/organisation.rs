//! The document at `organisations/NAME`.

use serde::{Deserialize, Serialize};

use crate::settings::{Problem, Validate};

/// An organisation: the unit of fair sharing when requests queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrganisationDocument {
    /// Its weight against other organisations when queued requests are dispatched.
    pub weight: u32,
}

impl Default for OrganisationDocument {
    fn default() -> Self {
        Self { weight: 1 }
    }
}

impl Validate for OrganisationDocument {
    fn problems(&self) -> Vec<Problem> {
        Problem::check_range("weight", u64::from(self.weight), 1..=1_000)
    }
}
