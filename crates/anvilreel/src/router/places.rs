//! The endpoints that this router sends work to, and what it knows of their load.
//!
//! At the design size a router does not watch all 7,100 endpoints: of each pool it watches the
//! bounded subset that [`anvil_policy::subset`] chooses.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_policy::subset::SubsetRule;
use anvil_wire::msg::{EndpointLoad, SidecarCall, SidecarReply, SidecarRequest};
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::lane::Lane;
use super::view::View;
use crate::life::Life;
use crate::peers::Peers;

/// Pause before a lost watch is taken up again.
const WATCH_AGAIN: Duration = Duration::from_millis(500);

/// Names a pool: a service, and for model runners the model.
pub type PoolKey = (ServiceId, Option<ModelId>);

type Lanes = BTreeMap<PoolKey, Arc<Lane>>;

/// A sidecar with what the router knows of its endpoint.
pub struct Place {
    /// The sidecar.
    pub instance: Arc<Instance>,
    /// The endpoint's load, shared between the pools of all its models.
    pub state: Arc<EndpointState>,
    watch: JoinHandle<()>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

/// All pools of a router.
pub struct Places {
    /// Pools by name; requests load them once.
    lanes: Arc<ArcSwap<Lanes>>,
    watched: Mutex<BTreeMap<InstanceId, Place>>,
    router: Instance,
    life: Life,
    peers: Arc<Peers>,
}

impl Places {
    /// No endpoint yet.
    pub fn new(router: Instance, life: Life, peers: Arc<Peers>) -> Self {
        Self {
            lanes: Arc::default(),
            watched: Mutex::default(),
            router,
            life,
            peers,
        }
    }

    /// The pool of this name.
    pub fn lane(&self, key: &PoolKey) -> Option<Arc<Lane>> {
        self.lanes.load().get(key).cloned()
    }

    /// Takes in the endpoints of a new view.
    pub fn update(&self, view: &View) {
        let wanted = self.wanted(view);
        let states = self.watch_all(&wanted);
        let routers = u32::try_from(view.routers.len()).unwrap_or(u32::MAX);
        let mut lanes = BTreeMap::clone(&self.lanes.load());
        lanes.retain(|key, lane| {
            let known = wanted.contains_key(key);
            if !known {
                lane.set_pool(self.life.now(), Pool::default());
            }
            known
        });
        for (key, instances) in &wanted {
            let endpoints = instances.iter().filter_map(|i| states.get(&i.id)).cloned();
            let pool = Pool::new(endpoints.collect());
            let lane = lanes
                .entry(key.clone())
                .or_insert_with(|| self.new_lane(key));
            lane.set_routers(routers);
            lane.set_pool(self.life.now(), pool);
        }
        self.lanes.store(Arc::new(lanes));
    }

    /// Lets waiting requests in or gives up on them. To be called now and then.
    pub fn tick(&self) {
        let now = self.life.now();
        for lane in self.lanes.load().values() {
            lane.tick(now);
        }
    }

    fn new_lane(&self, (service, model): &PoolKey) -> Arc<Lane> {
        let chooser = Chooser::default().with_zone(self.router.zone.clone());
        let name = format!("{}/{service}/{model:?}", self.router.id);
        Arc::new(Lane::new(
            chooser,
            xxh3_64(name.as_bytes()) ^ self.router.incarnation,
        ))
    }

    /// The watched endpoints of each pool.
    fn wanted(&self, view: &View) -> BTreeMap<PoolKey, Vec<Arc<Instance>>> {
        let mut wanted: BTreeMap<PoolKey, Vec<Arc<Instance>>> = BTreeMap::new();
        for (service, instances) in &view.endpoints {
            for instance in instances {
                let Some(endpoint) = &instance.endpoint else {
                    continue;
                };
                if endpoint.models.is_empty() {
                    let pool = wanted.entry((service.clone(), None)).or_default();
                    pool.push(instance.clone());
                }
                for model in &endpoint.models {
                    let key = (service.clone(), Some(model.clone()));
                    wanted.entry(key).or_default().push(instance.clone());
                }
            }
        }
        for pool in wanted.values_mut() {
            let all = pool.iter().map(|instance| (&instance.id, &instance.zone));
            let (router, zone) = (&self.router.id, &self.router.zone);
            let watched = SubsetRule::default().watched(router, zone, all);
            pool.retain(|instance| watched.contains(&instance.id));
        }
        wanted
    }

    /// Watches what is wanted and forgets the rest; a new life of a sidecar starts anew.
    fn watch_all(
        &self,
        wanted: &BTreeMap<PoolKey, Vec<Arc<Instance>>>,
    ) -> BTreeMap<InstanceId, Arc<EndpointState>> {
        let all: BTreeMap<_, _> = wanted.values().flatten().map(|i| (&i.id, i)).collect();
        // A panic elsewhere leaves the map as it was between two steps.
        let mut places = self.watched.lock().unwrap_or_else(PoisonError::into_inner);
        places.retain(|id, place| {
            let now = all.get(id);
            now.is_some_and(|now| now.incarnation == place.instance.incarnation)
        });
        for (id, instance) in all {
            if !places.contains_key(id) {
                places.insert(id.clone(), self.watch(instance));
            }
        }
        places
            .iter()
            .map(|(id, place)| (id.clone(), place.state.clone()))
            .collect()
    }

    fn watch(&self, instance: &Arc<Instance>) -> Place {
        let slots = instance
            .endpoint
            .as_ref()
            .map_or(1, |endpoint| endpoint.slots);
        let state = EndpointState::new(instance.id.clone(), instance.zone.clone(), slots);
        let state = Arc::new(state);
        let channel = self.peers.to(instance.addr);
        let watched = state.clone();
        let (lanes, life) = (self.lanes.clone(), self.life.clone());
        let watch = tokio::spawn(async move {
            let mut last = EndpointLoad {
                slots,
                ..EndpointLoad::default()
            };
            loop {
                if let Ok(mut replies) = channel.open::<SidecarCall>(&SidecarRequest::Watch).await {
                    while let Ok(Some(SidecarReply::Load(load))) = replies.next().await {
                        take_report(&lanes.load(), life.now(), &watched, &report_of(&load));
                        last = load;
                    }
                }
                // Failure: a sidecar dies, and until the ledger has missed it work goes on being
                // sent there; it shows as requests with a key that wait some seconds for it. Whom
                // this router can't watch it can't send work to either.
                last.leaving = true;
                take_report(&lanes.load(), life.now(), &watched, &report_of(&last));
                sleep(WATCH_AGAIN).await;
            }
        });
        Place {
            instance: instance.clone(),
            state,
            watch,
        }
    }
}

/// Takes a report into every pool that the endpoint belongs to.
fn take_report(lanes: &Lanes, now: Now, endpoint: &EndpointState, load: &LoadReport) {
    for lane in lanes.values() {
        if lane.pool.load().get(&endpoint.id).is_some() {
            lane.report(now, endpoint, load);
        }
    }
}

fn report_of(load: &EndpointLoad) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        tokens_per_second: load.tokens_per_second,
        leaving: load.leaving,
    }
}
