//! The known endpoints by service, as the platform lists them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::incarnation;
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use tokio::time::Instant;

use crate::endpoint::Endpoint;
use crate::wait::{ServiceQueue, Wake};

/// Endpoints of one service.
pub type EndpointGroup = Vec<Arc<Endpoint>>;

/// All endpoints by service; replaced as a whole.
pub struct Directory {
    /// How far a list may lag behind the endpoints.
    max_lag: Duration,
    groups: ArcSwap<BTreeMap<ServiceId, EndpointGroup>>,
    /// By service: requests that wait for its endpoints. Kept while no endpoint is listed.
    queues: Mutex<BTreeMap<ServiceId, Arc<ServiceQueue>>>,
    /// Availability zones whose endpoints receive no new requests.
    evacuated_zones: ArcSwap<BTreeSet<ZoneId>>,
    /// Leaving endpoints, listed or not, with the time when that was first known; for as long as a lagging
    /// list may name them as ready.
    recently_leaving: Mutex<BTreeMap<InstanceId, Instant>>,
    /// By service: number of consecutive endpoints whose address another incarnation has taken
    /// over.
    replaced: Mutex<BTreeMap<ServiceId, usize>>,
}

/// Consecutive replaced endpoints from which on the list counts as stale. A single one may just
/// have crashed.
const MIN_REPLACED: usize = 2;
/// The list counts as stale if this part of a service's endpoints, given as a divisor, was found
/// replaced. Each attempt at a replaced endpoint uses up the retry budget shared by all gateways.
const REPLACED_DIVISOR: usize = 3;

/// What a new list changed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Endpoints that were added.
    pub added: Vec<InstanceId>,
    /// Of these, the ones that were leaving and have started again under their ids.
    pub restarted: Vec<InstanceId>,
    /// Endpoints that accept no new requests from now on.
    pub leaving: Vec<InstanceId>,
    /// Endpoints that are no longer listed.
    pub removed: Vec<InstanceId>,
    /// Of these, the ones that had not been leaving.
    pub vanished: Vec<InstanceId>,
}

impl Changes {
    /// Whether the list changed nothing.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.leaving.is_empty() && self.removed.is_empty()
    }
}

impl Directory {
    /// Without endpoints; lists may lag by `max_lag`.
    pub fn new(max_lag: Duration) -> Self {
        Self {
            max_lag,
            groups: ArcSwap::default(),
            queues: Mutex::default(),
            evacuated_zones: ArcSwap::default(),
            recently_leaving: Mutex::default(),
            replaced: Mutex::default(),
        }
    }

    /// The endpoints of a service.
    pub fn service_endpoints(&self, service: &str) -> EndpointGroup {
        let groups = self.groups.load();
        groups.get(service).cloned().unwrap_or_default()
    }

    /// The queue of a service; `None` if no endpoint is listed.
    pub fn queue(&self, service: &str) -> Option<Arc<ServiceQueue>> {
        let groups = self.groups.load();
        let endpoint = groups.get(service)?.first()?;
        Some(endpoint.queue.clone())
    }

    /// Number of requests that wait for endpoints.
    pub fn count_waiting(&self) -> u64 {
        let queues = self.queues();
        queues
            .values()
            .map(|queue| u64::from(queue.waiting()))
            .sum()
    }

    fn queues(&self) -> MutexGuard<'_, BTreeMap<ServiceId, Arc<ServiceQueue>>> {
        // Sound after a panic elsewhere: each queue is valid by itself.
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue_of(&self, service: &ServiceId) -> Arc<ServiceQueue> {
        let mut queues = self.queues();
        let queue = queues.entry(service.clone());
        let queue = queue.or_insert_with(|| Arc::new(ServiceQueue::new(service.clone())));
        queue.clone()
    }

    /// An endpoint by its id.
    pub fn find(&self, id: &InstanceId) -> Option<Arc<Endpoint>> {
        let groups = self.groups.load();
        let mut all = groups.values().flatten();
        all.find(|endpoint| endpoint.id == *id).cloned()
    }

    /// All endpoints.
    pub fn all_endpoints(&self) -> Vec<Arc<Endpoint>> {
        let groups = self.groups.load();
        groups.values().flatten().cloned().collect()
    }

    /// Closes up to `count` idle connections, of all endpoints in turn. Returns how many were closed.
    pub fn close_idle(&self, count: u32) -> u32 {
        let groups = self.groups.load();
        let mut closed = 0;
        loop {
            let closed_before = closed;
            for endpoint in groups.values().flatten() {
                if closed >= count {
                    return closed;
                }
                closed += u32::from(endpoint.pool.close_oldest_idle());
            }
            if closed == closed_before {
                return closed;
            }
        }
    }

    /// The availability zones whose endpoints receive no new requests.
    pub fn evacuated_zones(&self) -> Arc<BTreeSet<ZoneId>> {
        self.evacuated_zones.load_full()
    }

    /// Replaces them.
    pub fn set_evacuated_zones(&self, zones: Arc<BTreeSet<ZoneId>>) {
        self.evacuated_zones.store(zones);
    }

    /// Whether a service has endpoints that would accept requests, but all of them are in evacuated
    /// zones.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let evacuated = self.evacuated_zones.load();
        let mut accepting = self.service_endpoints(service);
        accepting.retain(|endpoint| !endpoint.is_leaving());
        let mut zones = accepting.iter().map(|endpoint| &endpoint.zone);
        !accepting.is_empty() && zones.all(|zone| evacuated.contains(zone))
    }

    /// The endpoints of a service that accept requests, without those in `tried` and in evacuated
    /// zones. Empty while the list is stale.
    pub fn available(&self, service: &str, tried: &[InstanceId]) -> EndpointGroup {
        if self.is_stale(service) {
            return EndpointGroup::new();
        }
        let evacuated = self.evacuated_zones.load();
        let mut endpoints = self.service_endpoints(service);
        endpoints.retain(|endpoint| {
            !endpoint.is_leaving()
                && !evacuated.contains(&endpoint.zone)
                && !tried.contains(&endpoint.id)
        });
        endpoints
    }

    /// Records that another incarnation answers at the address of a listed endpoint.
    pub fn record_replaced(&self, service: &ServiceId) {
        *self.replaced().entry(service.clone()).or_default() += 1;
    }

    /// Records that a listed endpoint answered under its listed id.
    pub fn record_match(&self, service: &str) {
        self.replaced().remove(service);
    }

    /// Whether a service's list is stale.
    ///
    /// Failure: all endpoints lose power and return before the list names their new incarnations.
    /// Without this check each request finds one endpoint after the other replaced until its
    /// attempts are used up, and is refused although the list becomes correct a moment later.
    pub fn is_stale(&self, service: &str) -> bool {
        let replaced = self.replaced().get(service).copied().unwrap_or_default();
        let listed = self.groups.load().get(service).map_or(0, Vec::len);
        replaced >= MIN_REPLACED && replaced * REPLACED_DIVISOR >= listed
    }

    fn replaced(&self) -> MutexGuard<'_, BTreeMap<ServiceId, usize>> {
        // Sound after a panic elsewhere: each count is valid by itself.
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.groups.load().is_empty()
    }

    /// Number of endpoints that accept requests, and how many of these are on cooldown.
    pub fn count_available(&self, now: Now) -> (u64, u64) {
        let groups = self.groups.load();
        let all = groups.values().flatten();
        let available: Vec<_> = all.filter(|endpoint| !endpoint.is_leaving()).collect();
        let on_cooldown = available
            .iter()
            .filter(|endpoint| endpoint.load().is_on_cooldown(now));
        (available.len() as u64, on_cooldown.count() as u64)
    }

    /// Applies a complete list that has just been read.
    pub fn apply_list(&self, list: &[ListedEndpoint]) -> Changes {
        self.apply_list_of_age(list, Duration::ZERO)
    }

    /// Applies a complete list that was read `age` ago. An endpoint with the same id, address, service and
    /// version keeps its connections and statistics, unless it has started again; endpoints that are not
    /// listed receive no new requests.
    pub fn apply_list_of_age(&self, list: &[ListedEndpoint], age: Duration) -> Changes {
        let previous = self.groups.load();
        let mut known: BTreeMap<&InstanceId, &Arc<Endpoint>> = BTreeMap::new();
        for endpoint in previous.values().flatten() {
            known.insert(&endpoint.id, endpoint);
        }
        // Sound after a panic elsewhere: each entry is valid by itself.
        let mut recently_leaving = self
            .recently_leaving
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        recently_leaving
            .retain(|_, since| !incarnation::is_new(since.elapsed(), age, self.max_lag));
        let mut changes = Changes::default();
        let mut groups: BTreeMap<ServiceId, EndpointGroup> = BTreeMap::new();
        for listed in list {
            let previous = known.remove(&listed.id);
            let has_restarted = !listed.leaving
                && previous.is_some_and(|endpoint| endpoint.has_restarted(age, self.max_lag));
            let unchanged = previous.filter(|endpoint| endpoint.is_listed_as(listed));
            let unchanged = unchanged.filter(|_| !has_restarted);
            if unchanged.is_none()
                && let Some(replaced) = previous
            {
                // Requests that were meant for it must not reach its successor.
                replaced.mark_leaving();
                replaced.pool.clear();
            }
            // Failure: a lagging list names an endpoint as ready that an earlier list had as
            // leaving or no longer had, so it would receive requests just before it stops.
            if unchanged.is_none() && !listed.leaving && recently_leaving.contains_key(&listed.id) {
                continue;
            }
            let endpoint = unchanged.cloned().unwrap_or_else(|| {
                changes.added.push(listed.id.clone());
                Arc::new(Endpoint::new(listed, self.queue_of(&listed.service)))
            });
            if has_restarted {
                changes.restarted.push(listed.id.clone());
            }
            if listed.leaving && endpoint.mark_leaving() {
                changes.leaving.push(listed.id.clone());
            }
            if listed.leaving {
                remember_leaving(&mut recently_leaving, &endpoint);
            }
            groups
                .entry(listed.service.clone())
                .or_default()
                .push(endpoint);
        }
        for (id, endpoint) in known {
            if endpoint.mark_leaving() {
                changes.vanished.push(id.clone());
            } else {
                // It may have stated so itself, and lists that lag may still name it as ready.
                remember_leaving(&mut recently_leaving, endpoint);
            }
            endpoint.pool.clear();
            changes.removed.push(id.clone());
        }
        if !changes.is_empty() {
            self.groups.store(Arc::new(groups));
            self.replaced().clear();
        }
        if !changes.added.is_empty() {
            // A new endpoint has room for several requests: each that finds some wakes the next.
            for queue in self.queues().values() {
                queue.free_place(Wake::Timer);
            }
        }
        changes
    }
}

fn remember_leaving(recently_leaving: &mut BTreeMap<InstanceId, Instant>, endpoint: &Endpoint) {
    if let Some(since) = endpoint.leaving_since() {
        recently_leaving.insert(endpoint.id.clone(), since);
    }
}
