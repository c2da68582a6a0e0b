//! Counts the descriptors of clients and endpoints against the process's limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use anvil_policy::descriptors::{DescriptorPlan, DescriptorsInUse};

/// Descriptors in use, and how many may be.
#[derive(Debug)]
pub struct DescriptorBudget {
    /// `None` if the number is not limited.
    plan: Option<DescriptorPlan>,
    clients: AtomicU32,
    endpoints: AtomicU32,
}

/// Whose connection a descriptor is for.
#[derive(Debug, Clone, Copy)]
enum Holder {
    Client,
    Endpoint,
}

/// One descriptor in use. Held next to its socket, and dropped after it.
#[derive(Debug)]
pub struct DescriptorGuard {
    budget: Arc<DescriptorBudget>,
    holder: Holder,
}

impl DescriptorBudget {
    /// A budget for a process that may open `limit` descriptors; `None` if that is not limited.
    pub fn new(limit: Option<u32>) -> Self {
        Self {
            plan: limit.map(DescriptorPlan::new),
            clients: AtomicU32::new(0),
            endpoints: AtomicU32::new(0),
        }
    }

    /// Whether the number is limited.
    pub fn is_limited(&self) -> bool {
        self.plan.is_some()
    }

    /// Descriptors in use.
    pub fn in_use(&self) -> DescriptorsInUse {
        DescriptorsInUse {
            clients: self.clients.load(Ordering::Relaxed),
            endpoints: self.endpoints.load(Ordering::Relaxed),
        }
    }

    /// Whether another client may be accepted.
    pub fn has_room_for_client(&self) -> bool {
        let used = self.in_use();
        self.plan.is_none_or(|plan| plan.has_room_for_client(used))
    }

    /// Number of idle connections to endpoints to close now.
    pub fn idle_to_close(&self) -> u32 {
        let used = self.in_use();
        self.plan.map_or(0, |plan| plan.idle_to_close(used))
    }

    /// Counts a client that was accepted.
    pub fn client(self: &Arc<Self>) -> DescriptorGuard {
        self.guard(Holder::Client)
    }

    /// Counts a connection to an endpoint that is about to be opened; `None` if there is no room for it.
    pub fn endpoint(self: &Arc<Self>) -> Option<DescriptorGuard> {
        // Concurrent tasks may exceed the plan by one descriptor each; the reserved ones cover that.
        let used = self.in_use();
        let has_room = self
            .plan
            .is_none_or(|plan| plan.has_room_for_endpoint(used));
        has_room.then(|| self.guard(Holder::Endpoint))
    }

    fn guard(self: &Arc<Self>, holder: Holder) -> DescriptorGuard {
        self.count_of(holder).fetch_add(1, Ordering::Relaxed);
        DescriptorGuard {
            budget: self.clone(),
            holder,
        }
    }

    fn count_of(&self, holder: Holder) -> &AtomicU32 {
        match holder {
            Holder::Client => &self.clients,
            Holder::Endpoint => &self.endpoints,
        }
    }
}

impl Drop for DescriptorGuard {
    fn drop(&mut self) {
        let count = self.budget.count_of(self.holder);
        count.fetch_sub(1, Ordering::Relaxed);
    }
}
