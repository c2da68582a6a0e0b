//! The document at `zones/NAME`.

use serde::{Deserialize, Serialize};

use crate::settings::{Problem, Validate};

/// An operator's order for an availability zone. The zone need not have any endpoints yet.
///
/// The end of an evacuation is a new revision of the document, not its removal: a delayed order of
/// an earlier evacuation then expects an outdated revision and is refused.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneDocument {
    /// Whether the zone's endpoints receive no new requests.
    pub evacuated: bool,
}

impl ZoneDocument {
    /// The document's text.
    pub fn to_text(&self) -> String {
        format!("evacuated = {}\n", self.evacuated)
    }
}

impl Validate for ZoneDocument {
    fn problems(&self) -> Vec<Problem> {
        Vec::new()
    }
}
