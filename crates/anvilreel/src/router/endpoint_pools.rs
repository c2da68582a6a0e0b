//! The endpoints that this router sends work to, and their reported load.
//!
//! At the design size there are 7,100 endpoints, too many for every router to watch: of each pool
//! it watches the bounded subset that [`anvil_policy::subset`] chooses.

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

use super::pool_queue::PoolQueue;
use super::view::View;
use crate::channel_cache::ChannelCache;
use crate::lifecycle::Lifecycle;

/// Pause before a lost load stream is reopened.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Identifies a pool: a service and, for model runners, the model.
pub type PoolKey = (ServiceId, Option<ModelId>);

type PoolQueues = BTreeMap<PoolKey, Arc<PoolQueue>>;

/// A sidecar whose load is watched.
pub struct WatchedEndpoint {
    /// The sidecar.
    pub instance: Arc<Instance>,
    /// The endpoint's load, shared by the pools of all its models.
    pub state: Arc<EndpointState>,
    watch: JoinHandle<()>,
}

impl Drop for WatchedEndpoint {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

/// All pools of a router.
pub struct EndpointPools {
    /// Queues by pool; each request loads the map once.
    queues: Arc<ArcSwap<PoolQueues>>,
    watched: Mutex<BTreeMap<InstanceId, WatchedEndpoint>>,
    router: Instance,
    lifecycle: Lifecycle,
    channels: Arc<ChannelCache>,
}

impl EndpointPools {
    /// No endpoints yet.
    pub fn new(router: Instance, lifecycle: Lifecycle, channels: Arc<ChannelCache>) -> Self {
        Self {
            queues: Arc::default(),
            watched: Mutex::default(),
            router,
            lifecycle,
            channels,
        }
    }

    /// The queue of this pool.
    pub fn queue(&self, key: &PoolKey) -> Option<Arc<PoolQueue>> {
        self.queues.load().get(key).cloned()
    }

    /// Applies the endpoints of a new view.
    pub fn update(&self, view: &View) {
        let to_watch = self.endpoints_to_watch(view);
        let states = self.watch_all(&to_watch);
        let routers = u32::try_from(view.routers.len()).unwrap_or(u32::MAX);
        let mut queues = BTreeMap::clone(&self.queues.load());
        queues.retain(|key, queue| {
            if to_watch.contains_key(key) {
                return true;
            }
            // Requests that wait for the last endpoint are served if it is back in time.
            queue.set_pool(self.lifecycle.now(), Pool::default());
            !queue.close_if_idle()
        });
        for (key, instances) in &to_watch {
            let endpoints = instances.iter().filter_map(|i| states.get(&i.id)).cloned();
            let pool = Pool::new(endpoints.collect());
            let queue = queues
                .entry(key.clone())
                .or_insert_with(|| self.new_queue(key));
            queue.set_routers(routers);
            queue.set_pool(self.lifecycle.now(), pool);
        }
        self.queues.store(Arc::new(queues));
    }

    /// Admits waiting requests or refuses those whose waiting time is over. Must be called
    /// regularly.
    pub fn tick(&self) {
        let now = self.lifecycle.now();
        for queue in self.queues.load().values() {
            queue.tick(now);
        }
    }

    fn new_queue(&self, (service, model): &PoolKey) -> Arc<PoolQueue> {
        let chooser = Chooser::default().with_zone(self.router.zone.clone());
        let name = format!("{}/{service}/{model:?}", self.router.id);
        Arc::new(PoolQueue::new(
            service.clone(),
            chooser,
            xxh3_64(name.as_bytes()) ^ self.router.incarnation,
        ))
    }

    /// The endpoints to watch, by pool.
    fn endpoints_to_watch(&self, view: &View) -> BTreeMap<PoolKey, Vec<Arc<Instance>>> {
        let mut to_watch: BTreeMap<PoolKey, Vec<Arc<Instance>>> = BTreeMap::new();
        for (service, instances) in &view.endpoints {
            for instance in instances {
                let Some(endpoint) = &instance.endpoint else {
                    continue;
                };
                if endpoint.models.is_empty() {
                    let pool = to_watch.entry((service.clone(), None)).or_default();
                    pool.push(instance.clone());
                }
                for model in &endpoint.models {
                    let key = (service.clone(), Some(model.clone()));
                    to_watch.entry(key).or_default().push(instance.clone());
                }
            }
        }
        for pool in to_watch.values_mut() {
            let all = pool.iter().map(|instance| (&instance.id, &instance.zone));
            let (router, zone) = (&self.router.id, &self.router.zone);
            let watched = SubsetRule::default().watched(router, zone, all);
            pool.retain(|instance| watched.contains(&instance.id));
        }
        to_watch
    }

    /// Starts and stops watches so that exactly these endpoints are watched; a new incarnation of a
    /// sidecar gets a new watch.
    fn watch_all(
        &self,
        to_watch: &BTreeMap<PoolKey, Vec<Arc<Instance>>>,
    ) -> BTreeMap<InstanceId, Arc<EndpointState>> {
        let all: BTreeMap<_, _> = to_watch.values().flatten().map(|i| (&i.id, i)).collect();
        // Each update leaves the map consistent, so a poisoned lock can be used.
        let mut endpoints_by_id = self.watched.lock().unwrap_or_else(PoisonError::into_inner);
        endpoints_by_id.retain(|id, watched_endpoint| {
            let now = all.get(id);
            now.is_some_and(|now| now.incarnation == watched_endpoint.instance.incarnation)
        });
        for (id, instance) in all {
            if !endpoints_by_id.contains_key(id) {
                endpoints_by_id.insert(id.clone(), self.watch(instance));
            }
        }
        endpoints_by_id
            .iter()
            .map(|(id, watched_endpoint)| (id.clone(), watched_endpoint.state.clone()))
            .collect()
    }

    fn watch(&self, instance: &Arc<Instance>) -> WatchedEndpoint {
        let slots = instance
            .endpoint
            .as_ref()
            .map_or(1, |endpoint| endpoint.slots);
        let state = EndpointState::new(instance.id.clone(), instance.zone.clone(), slots);
        let state = Arc::new(state);
        let channel = self.channels.channel(instance.addr);
        let watched = state.clone();
        let (queues, lifecycle) = (self.queues.clone(), self.lifecycle.clone());
        let watch = tokio::spawn(async move {
            let mut last = EndpointLoad {
                slots,
                ..EndpointLoad::default()
            };
            loop {
                if let Ok(mut replies) = channel.open::<SidecarCall>(&SidecarRequest::Watch).await {
                    while let Ok(Some(SidecarReply::Load(load))) = replies.next().await {
                        apply_load_report(
                            &queues.load(),
                            lifecycle.now(),
                            &watched,
                            &load_report(&load),
                        );
                        last = load;
                    }
                }
                // A sidecar whose load stream is down can't be sent work either, so it counts as
                // leaving. Otherwise work would be sent to a dead sidecar until the ledger declares
                // it lost, and requests with a key would wait some seconds for it.
                last.leaving = true;
                apply_load_report(
                    &queues.load(),
                    lifecycle.now(),
                    &watched,
                    &load_report(&last),
                );
                sleep(WATCH_RETRY_DELAY).await;
            }
        });
        WatchedEndpoint {
            instance: instance.clone(),
            state,
            watch,
        }
    }
}

/// Applies a load report in every pool that the endpoint belongs to.
fn apply_load_report(queues: &PoolQueues, now: Now, endpoint: &EndpointState, load: &LoadReport) {
    for queue in queues.values() {
        if queue.pool.load().get(&endpoint.id).is_some() {
            queue.report(now, endpoint, load);
        }
    }
}

fn load_report(load: &EndpointLoad) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        tokens_per_second: load.tokens_per_second,
        leaving: load.leaving,
    }
}
