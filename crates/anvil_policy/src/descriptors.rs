//! How a router divides the file descriptors that it may open.
//!
//! *Load pattern:* more clients connect than the process may open descriptors for.
//!
//! *Without it:* accepting fails, connections wait in the accept queue until their clients have given
//! up, and neither the ledger nor an endpoint can be connected to.
//!
//! *Mechanism:* [`RESERVED`] descriptors are left for everything but clients and endpoints. A quarter of
//! the rest is for endpoints only; both may use what remains. Before that is used up, idle
//! connections to endpoints are closed; then clients are no longer accepted, and requests that need a
//! new connection to an endpoint are refused.
//!
//! *Thresholds:* a router has connections to up to seven ledger replicas and relays, two sources of the
//! list and its siblings in the list's tree, besides its listeners and logs. An idle
//! connection saves a request one round trip, so these are closed only when less than a
//! [`SPARE_DIVISOR`]th is free.

/// Descriptors for the ledger, siblings, readiness checks and logs.
const RESERVED: u32 = 64;
/// Part of the others that only endpoints use, as a divisor.
const ENDPOINT_DIVISOR: u32 = 4;
/// Idle connections are closed when less than this part of the others is free, as a divisor.
const SPARE_DIVISOR: u32 = 16;

/// How many descriptors clients and endpoints may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorPlan {
    total: u32,
    max_clients: u32,
}

/// Descriptors in use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DescriptorsInUse {
    /// Connections of clients.
    pub clients: u32,
    /// Connections to endpoints, idle ones included.
    pub endpoints: u32,
}

impl DescriptorPlan {
    /// Divides the descriptors that the process may open. At least one remains for clients and one for
    /// endpoints.
    pub fn new(limit: u32) -> Self {
        let total = limit.saturating_sub(RESERVED).max(2);
        let max_clients = total - (total / ENDPOINT_DIVISOR).max(1);
        Self { total, max_clients }
    }

    /// Whether another client may be accepted.
    pub fn has_room_for_client(&self, used: DescriptorsInUse) -> bool {
        used.clients < self.max_clients && self.has_room_for_endpoint(used)
    }

    /// Whether another connection to an endpoint may be opened.
    pub fn has_room_for_endpoint(&self, used: DescriptorsInUse) -> bool {
        used.clients.saturating_add(used.endpoints) < self.total
    }

    /// Number of idle connections to endpoints to close now.
    pub fn idle_to_close(&self, used: DescriptorsInUse) -> u32 {
        let spare = (self.total / SPARE_DIVISOR).max(1);
        let wanted = used.clients.saturating_add(used.endpoints) + spare;
        wanted.saturating_sub(self.total)
    }
}
