//! Which endpoints hold which models, and which load is ordered next.
//!
//! *Answers:* demand that moves between models, and endpoints lost or added.
//!
//! *Without it:* a model whose demand doubles has its two endpoints full beside idle ones; and
//! when everything is ordered at once, the rate-limited weight store serves all loads slowly, so
//! that none is ready when it is needed.
//!
//! *How:* [`plan`] names the next load or unload, never more loads at a time than the store
//! carries ([`PlacementRule::loads_at_once`]). The model that lacks most, as a part of its
//! wanted replicas, is first; a model without any replica goes before all others. A replica goes
//! to the zone that has fewest of that model, there to the endpoint with most free memory.
//! Nothing is unloaded below the wanted number, and nothing that runs work.

use std::collections::{BTreeMap, BTreeSet};

use anvil_world::prelude::*;

/// Bounds of moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRule {
    /// Loads that run at a time over the whole fleet: the weight store's bytes a second divided
    /// by the bytes a second that one endpoint takes.
    pub loads_at_once: usize,
}

impl Default for PlacementRule {
    fn default() -> Self {
        Self { loads_at_once: 2 }
    }
}

/// An endpoint as a place for models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Its sidecar's instance.
    pub id: InstanceId,
    /// Where it stands.
    pub zone: Zone,
    /// Models it can hold.
    pub capacity: usize,
    /// Models it holds.
    pub holds: BTreeSet<ModelId>,
    /// Models it loads now.
    pub loads: BTreeSet<ModelId>,
    /// Models that have runs on it.
    pub busy: BTreeSet<ModelId>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl Host {
    fn has(&self, model: &ModelId) -> bool {
        self.holds.contains(model) || self.loads.contains(model)
    }

    fn free(&self) -> usize {
        let used = self.holds.len() + self.loads.len();
        self.capacity.saturating_sub(used)
    }
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Move {
    /// Load a model.
    Load {
        /// Where.
        host: InstanceId,
        /// What.
        model: ModelId,
    },
    /// Drop a model that is not needed there, to make room.
    Unload {
        /// Where.
        host: InstanceId,
        /// What.
        model: ModelId,
    },
}

/// The next orders. Carry them out, look again, and ask again.
pub fn plan(rule: &PlacementRule, wanted: &BTreeMap<ModelId, usize>, hosts: &[Host]) -> Vec<Move> {
    let mut hosts: Vec<Host> = hosts.iter().filter(|host| !host.leaving).cloned().collect();
    let mut moves = Vec::new();
    let mut loading: usize = hosts.iter().map(|host| host.loads.len()).sum();
    while loading < rule.loads_at_once {
        let Some(model) = neediest(wanted, &hosts) else {
            break;
        };
        let Some(at) = best_host(&hosts, &model) else {
            moves.extend(make_room(wanted, &hosts, &model));
            break;
        };
        hosts[at].loads.insert(model.clone());
        loading += 1;
        let host = hosts[at].id.clone();
        moves.push(Move::Load { host, model });
    }
    moves
}

/// How many replicas a model is to have for its demand.
///
/// `demand` and `each` in tokens a second; `spare` is the part that stays free for a lost
/// endpoint, such as 0.3. At least the operator's number.
pub fn replicas_for(demand: f64, each: f64, spare: f64, at_least: usize) -> usize {
    let carried = (each * (1.0 - spare)).max(1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float to integer cast saturates"
    )]
    let needed = (demand / carried).ceil() as usize;
    needed.max(at_least)
}

fn replicas(hosts: &[Host], model: &ModelId) -> usize {
    hosts.iter().filter(|host| host.has(model)).count()
}

fn neediest(wanted: &BTreeMap<ModelId, usize>, hosts: &[Host]) -> Option<ModelId> {
    let lacking = wanted.iter().filter_map(|(model, want)| {
        let have = replicas(hosts, model);
        // In thousandths, so that it can be ordered.
        (have < *want).then(|| (have * 1_000 / want, model))
    });
    lacking.min().map(|(_, model)| model.clone())
}

fn best_host(hosts: &[Host], model: &ModelId) -> Option<usize> {
    let in_zone = |zone: &Zone| {
        let same = hosts.iter().filter(|host| host.zone == *zone);
        same.filter(|host| host.has(model)).count()
    };
    let fits = |host: &Host| host.free() > 0 && !host.has(model);
    (0..hosts.len())
        .filter(|at| fits(&hosts[*at]))
        .min_by_key(|at| {
            let host = &hosts[*at];
            (in_zone(&host.zone), usize::MAX - host.free(), &host.id)
        })
}

fn make_room(wanted: &BTreeMap<ModelId, usize>, hosts: &[Host], needed: &ModelId) -> Option<Move> {
    let surplus = |model: &ModelId| {
        let want = wanted.get(model).copied().unwrap_or_default();
        replicas(hosts, model).saturating_sub(want)
    };
    for host in hosts.iter().filter(|host| !host.has(needed)) {
        let idle = host
            .holds
            .iter()
            .filter(|model| !host.busy.contains(*model));
        let most = idle.max_by_key(|model| surplus(model));
        if let Some(model) = most.filter(|model| surplus(model) > 0) {
            return Some(Move::Unload {
                host: host.id.clone(),
                model: model.clone(),
            });
        }
    }
    None
}
