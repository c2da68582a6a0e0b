//! A sidecar as a process: it runs beside one endpoint and forwards requests to it, after the last
//! check of whether they may run.
//!
//! [`Sidecar`] starts and stops the process. `requests` answers routers, `hub` holds the state
//! machine [`crate::runs`], `drive` performs one run at the endpoint (`engine` and `http` are its
//! protocols), and `load` polls the endpoint's load. `follow` keeps up with the ledger and sends
//! heartbeats, `endpoint_pause` keeps the pauses that the endpoint asks for, `admission` decides
//! whether the endpoint accepts new work, `platform` polls the platform for whether it is leaving,
//! and `orders` passes orders with their fencing numbers to the endpoint.

mod admission;
mod drive;
mod endpoint_pause;
mod engine;
mod follow;
mod http;
mod hub;
mod load;
mod orders;
mod platform;
mod requests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::SidecarCall;
use anvil_wire::{Handlers, Server, WireError};
use anvil_world::prelude::*;
use anvil_world::settings::{EndpointKind, SidecarSettings};
use slog::Logger;
use tokio::time::sleep;

use self::http::EndpointClient;
use crate::event;
use crate::events;
use crate::ledger_client::LedgerClient;
use crate::lifecycle::Lifecycle;
use crate::metrics::{Metrics, RUNS_OPEN};
use crate::runs::{Event, RunsConfig};
use admission::Admission;
use hub::Hub;
use load::{Loads, first_load};

/// Interval at which a planned stop checks whether runs or readers are left.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a non-idempotent key is remembered until the fleet document is known.
const DEFAULT_ONCE_RETENTION: Duration = Duration::from_hours(25);
/// How long a stopped sidecar still answers: longer than routers take to notice that it is leaving.
const LINGER: Duration = Duration::from_millis(500);

/// State shared by all parts of a sidecar.
pub(crate) struct Core {
    instance: Instance,
    lifecycle: Lifecycle,
    log: Logger,
    metrics: Metrics,
    ledger: LedgerClient,
    client: EndpointClient,
    admission: Admission,
    hub: Arc<Hub>,
    loads: Arc<Loads>,
    highest: orders::HighestFence,
}

/// A running sidecar.
pub struct Sidecar {
    core: Arc<Core>,
    addr: SocketAddr,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Sidecar {
    /// Listens, joins the fleet and accepts work.
    pub async fn start(
        settings: &SidecarSettings,
        log: Logger,
        metrics: Metrics,
    ) -> Result<Self, WireError> {
        let server = Server::bind(settings.wire_listen).await?;
        let addr = server.addr()?;
        let core = Arc::new(Core::new(settings, addr, log, metrics));
        event!(core.log, events::SIDECAR_LISTENING, "addr" => addr.to_string());
        let handler_core = core.clone();
        let handlers = Handlers::default().with::<SidecarCall, _, _>(move |req, tx| {
            requests::handle_request(handler_core.clone(), req, tx)
        });
        let mut tasks = vec![tokio::spawn(server.serve(handlers, std::future::pending()))];
        let (follower, sender) = (core.clone(), core.clone());
        tasks.push(tokio::spawn(async move { follow::follow(&follower).await }));
        tasks.push(tokio::spawn(
            async move { follow::heartbeat(&sender).await },
        ));
        let pausing = core.clone();
        tasks.push(tokio::spawn(async move {
            endpoint_pause::publish(&pausing).await;
        }));
        if settings.endpoint.kind == EndpointKind::Engine {
            let polling = load::poll(core.client.clone(), core.loads.clone());
            tasks.push(tokio::spawn(polling));
        }
        if let Some(platform) = settings.platform {
            let (platform_core, platform) = (
                core.clone(),
                EndpointClient::new(platform, core.lifecycle.clone()),
            );
            tasks.push(tokio::spawn(async move {
                platform::poll(&platform_core, platform).await;
            }));
        }
        Ok(Self { core, addr, tasks })
    }

    /// Address at which routers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Incarnation of this sidecar.
    pub fn incarnation(&self) -> Incarnation {
        self.core.lifecycle.incarnation
    }

    /// Number of the ledger's replicas that it knows, from its settings and from answers to heartbeats.
    pub fn known_replicas(&self) -> usize {
        self.core.ledger.len()
    }

    /// The planned stop: refuses new work, waits until all runs have ended and routers have read
    /// their output, and lingers so that the last replies arrive.
    ///
    /// A caller that reads slowly receives output long after its run has ended. A router stops
    /// reading at the request's deadline, and a router that is unresponsive loses its connection, so
    /// the wait is bounded.
    pub async fn stop(self) {
        self.core.lifecycle.begin_drain();
        self.core.publish_accepting();
        event!(self.core.log, events::SIDECAR_LEAVING);
        while self.core.hub.live_runs() > 0 || self.core.hub.open_streams() > 0 {
            sleep(STOP_POLL_INTERVAL).await;
        }
        sleep(LINGER).await;
        event!(self.core.log, events::SIDECAR_STOPPED);
        self.kill().await;
    }

    /// Returns when the ledger reports that this incarnation is over, after minutes without
    /// heartbeats.
    ///
    /// Failure: the ledger no longer asks for the evidence of an incarnation that it declared gone,
    /// so work accepted by it would be charged to nobody. The sidecar has to end as after a crash,
    /// and a new incarnation start.
    pub async fn incarnation_over(&self) {
        self.core.lifecycle.incarnation_over().await;
    }

    /// Stops immediately, like a crash, and returns when its address refuses connections.
    pub async fn kill(self) {
        for task in self.tasks {
            task.abort();
            // An aborted task ends with an error; its listener is closed then.
            let _ = task.await;
        }
    }
}

impl Core {
    fn new(settings: &SidecarSettings, addr: SocketAddr, log: Logger, metrics: Metrics) -> Self {
        let lifecycle = Lifecycle::begin();
        let endpoint = Endpoint {
            service: settings.endpoint.service.clone(),
            models: settings.endpoint.models.clone(),
            slots: settings.endpoint.slots,
            checks_fencing: settings.endpoint.checks_fencing,
        };
        let instance = Instance {
            id: settings.id.clone(),
            incarnation: lifecycle.incarnation,
            role: Role::Sidecar,
            zone: settings.zone.clone(),
            addr,
            endpoint: Some(endpoint),
        };
        let client = EndpointClient::new(settings.endpoint.addr, lifecycle.clone());
        let cfg = RunsConfig {
            incarnation: lifecycle.incarnation,
            buffer_bytes: settings.buffer_bytes,
            once_retention: DEFAULT_ONCE_RETENTION,
        };
        let hub = Hub::new(cfg, lifecycle.clone(), log.clone(), client.clone());
        let hub = Arc::new(hub);
        Self {
            admission: Admission::new(instance.id.clone(), lifecycle.clone()),
            instance,
            lifecycle,
            log,
            metrics,
            ledger: LedgerClient::new(&settings.ledgers).with_reported_replicas(),
            client,
            hub,
            loads: Arc::new(Loads::new(first_load(&settings.endpoint))),
            highest: orders::HighestFence::default(),
        }
    }

    /// The instance, with the models that its engine has loaded now.
    fn current_instance(&self) -> Instance {
        let mut instance = self.instance.clone();
        if let Some(endpoint) = &mut instance.endpoint {
            endpoint.models.clone_from(&self.loads.borrow().models);
        }
        instance
    }

    fn publish_run_count(&self) {
        let running = self.hub.driver_count();
        self.metrics.gauge(RUNS_OPEN, running as u64);
        self.loads
            .send_modify(|load| load.running = u32::try_from(running).unwrap_or(u32::MAX));
    }

    /// Tells the runs and all watching routers whether new work is accepted. To both, an endpoint in a
    /// pause is one that is leaving, until it no longer is.
    fn publish_accepting(&self) {
        let leaving = self.admission.is_leaving() || self.client.pause().is_paused();
        self.hub.feed(if leaving {
            Event::Leaving
        } else {
            Event::NoLongerLeaving
        });
        self.loads
            .send_if_modified(|load| std::mem::replace(&mut load.leaving, leaving) != leaving);
    }
}
