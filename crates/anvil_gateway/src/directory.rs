//! Which endpoints there are, as the platform lists them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anvil_wire::msg::Listed;
use anvil_world::prelude::*;
use arc_swap::ArcSwap;

use crate::endpoint::Endpoint;

/// Endpoints of one service.
pub type Group = Vec<Arc<Endpoint>>;

/// For how long an endpoint that was leaving is still known as such after the list has dropped
/// it: some times the lag of the list. Afterwards the same name may be another life.
const REMEMBERED: Duration = Duration::from_secs(5);

/// All endpoints by service; replaced whole.
#[derive(Default)]
pub struct Directory {
    groups: ArcSwap<BTreeMap<ServiceId, Group>>,
    /// Endpoints that were leaving, with when they were last listed so.
    left: Mutex<BTreeMap<InstanceId, Instant>>,
    /// Endpoints in a row, by service, at whose address another life answered.
    replaced: Mutex<BTreeMap<ServiceId, usize>>,
}

/// Least number of endpoints in a row that were found replaced before a list is taken for old: one may
/// have crashed by itself.
const FEWEST_REPLACED: usize = 2;
/// Part of a service's endpoints that must be found replaced in a row, as a divisor. Those that are
/// asked in vain use up the tries that all gateways share.
const REPLACED_PART: usize = 3;

/// What a new list changed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Endpoints that came.
    pub came: Vec<InstanceId>,
    /// Endpoints that take no new work from now on.
    pub leaving: Vec<InstanceId>,
    /// Endpoints that are not listed any more.
    pub gone: Vec<InstanceId>,
    /// Of these, those that were not leaving.
    pub vanished: Vec<InstanceId>,
}

impl Changes {
    /// Whether the list said nothing new.
    pub fn is_empty(&self) -> bool {
        self.came.is_empty() && self.leaving.is_empty() && self.gone.is_empty()
    }
}

impl Directory {
    /// The endpoints of a service.
    pub fn group(&self, service: &str) -> Group {
        let groups = self.groups.load();
        groups.get(service).cloned().unwrap_or_default()
    }

    /// An endpoint by its id.
    pub fn find(&self, id: &InstanceId) -> Option<Arc<Endpoint>> {
        let groups = self.groups.load();
        let mut all = groups.values().flatten();
        all.find(|endpoint| endpoint.id == *id).cloned()
    }

    /// All endpoints.
    pub fn all(&self) -> Vec<Arc<Endpoint>> {
        let groups = self.groups.load();
        groups.values().flatten().cloned().collect()
    }

    /// The endpoints of a service that take work and are none of these; none while the list is older
    /// than its endpoints.
    pub fn open(&self, service: &str, tried: &[InstanceId]) -> Group {
        if self.is_old(service) {
            return Group::new();
        }
        let mut group = self.group(service);
        group.retain(|endpoint| !endpoint.is_leaving() && !tried.contains(&endpoint.id));
        group
    }

    /// Another life has the address of a listed endpoint.
    pub fn found_replaced(&self, service: &ServiceId) {
        *self.replaced().entry(service.clone()).or_default() += 1;
    }

    /// A listed endpoint has answered as the one that it is listed as.
    pub fn found_right(&self, service: &str) {
        self.replaced().remove(service);
    }

    /// Whether a service's list is older than its endpoints.
    ///
    /// Failure: all endpoints lose power and are back before the list names their new lives. Each
    /// request finds one replaced, then the next one, until no more tries are allowed, and is refused;
    /// a moment later the list is right.
    pub fn is_old(&self, service: &str) -> bool {
        let replaced = self.replaced().get(service).copied().unwrap_or_default();
        let listed = self.groups.load().get(service).map_or(0, Vec::len);
        replaced >= FEWEST_REPLACED && replaced * REPLACED_PART >= listed
    }

    fn replaced(&self) -> MutexGuard<'_, BTreeMap<ServiceId, usize>> {
        // A panic elsewhere leaves plain numbers, each of them true.
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether any endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.groups.load().is_empty()
    }

    /// How many take work, and how many of those are passed over for now.
    pub fn count(&self, now: Now) -> (u64, u64) {
        let groups = self.groups.load();
        let all = groups.values().flatten();
        let open: Vec<_> = all.filter(|endpoint| !endpoint.is_leaving()).collect();
        let shut = open.iter().filter(|endpoint| endpoint.load().is_shut(now));
        (open.len() as u64, shut.count() as u64)
    }

    /// Takes in a whole list. Endpoints in the same life at the same address keep their
    /// connections and what is known of them; those not listed get no new work.
    pub fn take(&self, list: &[Listed]) -> Changes {
        let old = self.groups.load();
        let mut known: BTreeMap<&InstanceId, &Arc<Endpoint>> = BTreeMap::new();
        for endpoint in old.values().flatten() {
            known.insert(&endpoint.id, endpoint);
        }
        // A panic elsewhere leaves names and times, each of them true.
        let mut left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        left.retain(|_, at| at.elapsed() < REMEMBERED);
        let mut changes = Changes::default();
        let mut groups: BTreeMap<ServiceId, Group> = BTreeMap::new();
        for listed in list {
            let same = known.remove(&listed.id).filter(|endpoint| {
                endpoint.addr == listed.addr && endpoint.service == listed.service
            });
            let endpoint = same.cloned().unwrap_or_else(|| {
                changes.came.push(listed.id.clone());
                Arc::new(Endpoint::new(listed))
            });
            // Failure: a list that lags names an endpoint as ready that an earlier one named as
            // leaving or no longer at all, and it gets work just before it goes.
            let leaves = listed.leaving || left.contains_key(&listed.id);
            if leaves && endpoint.leave() {
                changes.leaving.push(listed.id.clone());
            }
            if listed.leaving {
                left.insert(listed.id.clone(), Instant::now());
            }
            groups
                .entry(listed.service.clone())
                .or_default()
                .push(endpoint);
        }
        for (id, endpoint) in known {
            if endpoint.leave() {
                changes.vanished.push(id.clone());
            }
            endpoint.pool.clear();
            changes.gone.push(id.clone());
        }
        if !changes.is_empty() {
            self.groups.store(Arc::new(groups));
            self.replaced().clear();
        }
        changes
    }
}
