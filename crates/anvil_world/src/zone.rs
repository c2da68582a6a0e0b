//! Availability zones and regions.

use serde::{Deserialize, Serialize};

use crate::ids::{RegionId, ZoneId};

/// An availability zone and its region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The region, such as `ke-central`.
    pub region: RegionId,
    /// The availability zone, such as `ke-central-a`.
    pub id: ZoneId,
}

impl Zone {
    /// Creates a zone from the names of its region and itself.
    pub fn new(region: &str, id: &str) -> Self {
        Self {
            region: region.into(),
            id: id.into(),
        }
    }
}

impl Default for Zone {
    fn default() -> Self {
        Self::new("local", "local-a")
    }
}
