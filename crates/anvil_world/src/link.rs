//! How far two availability zones are apart.

use std::time::Duration;

use crate::zone::Zone;

/// One way inside an availability zone.
const SAME_ZONE: Duration = Duration::from_micros(200);
/// One way between availability zones of a region; the brief says about a millisecond.
const SAME_REGION: Duration = Duration::from_millis(1);
/// One way between regions; an assumption until the users name a figure.
const OTHER_REGION: Duration = Duration::from_millis(40);

/// The way between two availability zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Expected time one way.
    pub one_way: Duration,
}

impl Link {
    /// The link between two zones, by what the brief says of distances.
    pub fn between(a: &Zone, b: &Zone) -> Self {
        let one_way = if a == b {
            SAME_ZONE
        } else if a.region == b.region {
            SAME_REGION
        } else {
            OTHER_REGION
        };
        Self { one_way }
    }
}
