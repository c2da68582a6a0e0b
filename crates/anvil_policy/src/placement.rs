//! Plans which models are loaded on and unloaded from which endpoints.
//!
//! *Load pattern:* demand that shifts between models, and endpoints that are lost or added.
//!
//! *Without it:* the two endpoints of a model whose demand doubles are full while others are idle.
//! If everything is loaded at once, the rate-limited weight store serves all loads slowly, and none
//! is ready when it is needed.
//!
//! *Mechanism:* [`plan`] returns the next loads or an unload. The model that lacks the largest part
//! of its wanted replicas goes first; a model without any replica goes before all others. A replica
//! is placed in the zone with the fewest replicas of that model, on the endpoint with the most free
//! memory. No model is unloaded below its wanted number of replicas, or where it has runs.
//!
//! *Thresholds:* never more loads run at a time than the weight store has bandwidth for
//! ([`PlacementRule::max_concurrent_loads`]).

use std::collections::{BTreeMap, BTreeSet};

use anvil_world::prelude::*;

/// Bounds of placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRule {
    /// Loads that run at a time over the whole fleet: the bandwidth of the weight store divided by
    /// that of one endpoint, both in bytes a second.
    pub max_concurrent_loads: usize,
}

impl Default for PlacementRule {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 2,
        }
    }
}

/// Models of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelEndpoint {
    /// The instance of its sidecar.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Number of models it can hold.
    pub capacity: usize,
    /// Models it holds.
    pub loaded: BTreeSet<ModelId>,
    /// Models it is loading.
    pub loading_models: BTreeSet<ModelId>,
    /// Models that have runs on it.
    pub busy: BTreeSet<ModelId>,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
}

impl ModelEndpoint {
    fn has(&self, model: &ModelId) -> bool {
        self.loaded.contains(model) || self.loading_models.contains(model)
    }

    fn free(&self) -> usize {
        let used = self.loaded.len() + self.loading_models.len();
        self.capacity.saturating_sub(used)
    }
}

/// A planned change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Move {
    /// Load a model.
    Load {
        /// The endpoint.
        endpoint: InstanceId,
        /// The model.
        model: ModelId,
    },
    /// Unload a model that is not needed there, to free memory.
    Unload {
        /// The endpoint.
        endpoint: InstanceId,
        /// The model.
        model: ModelId,
    },
}

/// The next changes. The caller carries them out, updates its view of the endpoints, and plans
/// again.
pub fn plan(
    rule: &PlacementRule,
    wanted: &BTreeMap<ModelId, usize>,
    endpoints: &[ModelEndpoint],
) -> Vec<Move> {
    let mut endpoints: Vec<ModelEndpoint> = endpoints
        .iter()
        .filter(|endpoint| !endpoint.leaving)
        .cloned()
        .collect();
    let mut moves = Vec::new();
    let mut loading: usize = endpoints
        .iter()
        .map(|endpoint| endpoint.loading_models.len())
        .sum();
    while loading < rule.max_concurrent_loads {
        let Some(model) = most_lacking_model(wanted, &endpoints) else {
            break;
        };
        let Some(at) = best_endpoint(&endpoints, &model) else {
            moves.extend(unload_surplus(wanted, &endpoints, &model));
            break;
        };
        endpoints[at].loading_models.insert(model.clone());
        loading += 1;
        let endpoint = endpoints[at].id.clone();
        moves.push(Move::Load { endpoint, model });
    }
    moves
}

/// Number of replicas that a model needs for its demand, at least `min_replicas`, which is set by
/// the operator.
///
/// `demand` and `per_replica` are in tokens a second; `spare` is the part that is kept free for a
/// lost endpoint, such as 0.3.
pub fn replicas_for(demand: f64, per_replica: f64, spare: f64, min_replicas: usize) -> usize {
    let carried = (per_replica * (1.0 - spare)).max(1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float to integer cast saturates"
    )]
    let needed = (demand / carried).ceil() as usize;
    needed.max(min_replicas)
}

fn replicas(endpoints: &[ModelEndpoint], model: &ModelId) -> usize {
    endpoints
        .iter()
        .filter(|endpoint| endpoint.has(model))
        .count()
}

fn most_lacking_model(
    wanted: &BTreeMap<ModelId, usize>,
    endpoints: &[ModelEndpoint],
) -> Option<ModelId> {
    let lacking = wanted.iter().filter_map(|(model, want)| {
        let have = replicas(endpoints, model);
        // In thousandths, so that it can be ordered.
        (have < *want).then(|| (have * 1_000 / want, model))
    });
    lacking.min().map(|(_, model)| model.clone())
}

fn best_endpoint(endpoints: &[ModelEndpoint], model: &ModelId) -> Option<usize> {
    let in_zone = |zone: &Zone| {
        let same = endpoints.iter().filter(|endpoint| endpoint.zone == *zone);
        same.filter(|endpoint| endpoint.has(model)).count()
    };
    let fits = |endpoint: &ModelEndpoint| endpoint.free() > 0 && !endpoint.has(model);
    (0..endpoints.len())
        .filter(|at| fits(&endpoints[*at]))
        .min_by_key(|at| {
            let endpoint = &endpoints[*at];
            (
                in_zone(&endpoint.zone),
                usize::MAX - endpoint.free(),
                &endpoint.id,
            )
        })
}

fn unload_surplus(
    wanted: &BTreeMap<ModelId, usize>,
    endpoints: &[ModelEndpoint],
    needed: &ModelId,
) -> Option<Move> {
    let surplus = |model: &ModelId| {
        let want = wanted.get(model).copied().unwrap_or_default();
        replicas(endpoints, model).saturating_sub(want)
    };
    for endpoint in endpoints.iter().filter(|endpoint| !endpoint.has(needed)) {
        let idle = endpoint
            .loaded
            .iter()
            .filter(|model| !endpoint.busy.contains(*model));
        let candidate = idle.max_by_key(|model| surplus(model));
        if let Some(model) = candidate.filter(|model| surplus(model) > 0) {
            return Some(Move::Unload {
                endpoint: endpoint.id.clone(),
                model: model.clone(),
            });
        }
    }
    None
}
