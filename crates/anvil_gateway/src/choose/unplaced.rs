//! Why no endpoint is selected for a request, and when one accepts it.

use std::time::Duration;

use crate::gateway::Gateway;
use crate::regions::Constraints;

/// Why no endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unplaced {
    /// No endpoint accepts work.
    Nobody,
    /// No endpoint of the software version that began the stream accepts work, but others do.
    VersionGone,
    /// Only endpoints accept work whose software version crashes under the request.
    CrashesEndpoints,
    /// No endpoint is in a region in which the request may run.
    OutsideRegions,
    /// All endpoints are in availability zones that operators have evacuated.
    Evacuated,
    /// The best endpoint would respond too late: after this time.
    TooLate(Duration),
    /// All endpoints are at their limits, announced or of their warm-up; the first one accepts
    /// another request after this time.
    AtLimit(Duration),
    /// All endpoints have asked for a pause; the first one ends after this time.
    Paused(Duration),
    /// Some endpoints have asked for a pause, and the others bear no more.
    Full,
    /// The request would overfill the memory of every engine.
    OutOfMemory,
    /// No endpoint has room: a request would wait there for longer than its target allows.
    Busy,
}

/// Time until an endpoint accepts another request of this gateway, by what bars it until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndpointWait {
    pub(super) time: Duration,
    pub(super) by_pause: bool,
}

impl EndpointWait {
    pub(super) const MAX: Self = Self {
        time: Duration::MAX,
        by_pause: true,
    };

    pub(super) fn is_zero(self) -> bool {
        self.time.is_zero()
    }
}

impl From<EndpointWait> for Unplaced {
    fn from(wait: EndpointWait) -> Self {
        if wait.by_pause {
            Self::Paused(wait.time)
        } else {
            Self::AtLimit(wait.time)
        }
    }
}

impl Gateway {
    /// Why no endpoint satisfies the constraints.
    pub(super) fn why_none_is_available(
        &self,
        service: &str,
        constraints: Constraints<'_>,
    ) -> Unplaced {
        if self.is_outside(service, constraints.regions) {
            return Unplaced::OutsideRegions;
        }
        if self.directory.is_evacuated(service) {
            return Unplaced::Evacuated;
        }
        let any_contents = Constraints {
            contents: None,
            ..constraints
        };
        if !self.available_endpoints(service, any_contents).is_empty() {
            return Unplaced::CrashesEndpoints;
        }
        let any_version = Constraints {
            version: None,
            avoided: &[],
            ..any_contents
        };
        if !self.available_endpoints(service, any_version).is_empty() {
            return Unplaced::VersionGone;
        }
        Unplaced::Nobody
    }
}
