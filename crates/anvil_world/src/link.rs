//! Expected network latency between availability zones.

use std::time::Duration;

use crate::zone::Zone;

/// One-way latency inside an availability zone.
const SAME_ZONE: Duration = Duration::from_micros(200);
/// One-way latency between availability zones of a region; the requirements say about a millisecond.
const SAME_REGION: Duration = Duration::from_millis(1);
/// One-way latency between regions. An assumption: the requirements give no figure.
const OTHER_REGION: Duration = Duration::from_millis(40);

/// The network link between two availability zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Expected one-way latency.
    pub one_way: Duration,
}

impl Link {
    /// The link between two zones.
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
