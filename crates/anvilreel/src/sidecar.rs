//! A sidecar as a process: it stands beside one endpoint and is the last gate before it.
//!
//! Read on: [`Sidecar`], then `hub` (the shell around [`crate::runs`]), `drive` (the endpoint's
//! side of a run), `gate` (whether the endpoint is leaving), `platform`
//! (the platform's word on that), `orders` (fencing numbers).

mod admission;
mod drive;
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
use crate::life::Life;
use crate::metrics::{Metrics, RUNS_OPEN};
use crate::runs::{Event, RunsConfig};
use admission::Gate;
use hub::Hub;
use load::{Loads, first_load};

/// Pause between two looks at the runs that a planned stop waits for.
const STOP_LOOK: Duration = Duration::from_millis(50);
/// How long a once-only key is remembered before the fleet's document is known.
const KEEP_ONCE: Duration = Duration::from_hours(25);
/// How long a stopped sidecar still answers: longer than it takes routers to see that it leaves.
const LINGER: Duration = Duration::from_millis(500);

/// What all parts of a sidecar share.
pub(crate) struct Core {
    instance: Instance,
    life: Life,
    log: Logger,
    metrics: Metrics,
    ledger: LedgerClient,
    client: EndpointClient,
    gate: Gate,
    hub: Arc<Hub>,
    loads: Arc<Loads>,
    highest: orders::Highest,
}

/// A running sidecar.
pub struct Sidecar {
    core: Arc<Core>,
    addr: SocketAddr,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Sidecar {
    /// Listens, joins the fleet and takes work.
    pub async fn start(
        settings: &SidecarSettings,
        log: Logger,
        metrics: Metrics,
    ) -> Result<Self, WireError> {
        let server = Server::bind(settings.wire_listen).await?;
        let addr = server.addr()?;
        let core = Arc::new(Core::new(settings, addr, log, metrics));
        event!(core.log, events::SIDECAR_LISTENING, "addr" => addr.to_string());
        let answering = core.clone();
        let handlers = Handlers::default()
            .with::<SidecarCall, _, _>(move |req, tx| requests::answer(answering.clone(), req, tx));
        let mut tasks = vec![tokio::spawn(server.serve(handlers, std::future::pending()))];
        let (following, beating) = (core.clone(), core.clone());
        tasks.push(tokio::spawn(
            async move { follow::follow(&following).await },
        ));
        tasks.push(tokio::spawn(async move { follow::beat(&beating).await }));
        if settings.endpoint.kind == EndpointKind::Engine {
            let polling = load::poll(core.client.clone(), core.loads.clone());
            tasks.push(tokio::spawn(polling));
        }
        if let Some(platform) = settings.platform {
            let (watching, platform) = (core.clone(), EndpointClient::new(platform));
            tasks.push(tokio::spawn(async move {
                platform::watch(&watching, platform).await;
            }));
        }
        Ok(Self { core, addr, tasks })
    }

    /// Where routers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Which life of the instance this is.
    pub fn life(&self) -> Incarnation {
        self.core.life.incarnation
    }

    /// The planned stop: no new work, runs finish, and their ends are read.
    pub async fn stop(self) {
        self.core.life.leave();
        self.core.show_leaving();
        event!(self.core.log, events::SIDECAR_LEAVING);
        while self.core.hub.live() > 0 {
            sleep(STOP_LOOK).await;
        }
        sleep(LINGER).await;
        event!(self.core.log, events::SIDECAR_STOPPED);
        self.kill();
    }

    /// Returns when the ledger holds this life to be over, after a silence of many minutes.
    ///
    /// Failure: the evidence of a life that was declared gone is no longer asked for, so work
    /// that it took would be billed to nobody. It must end like a crash, and a new one begin.
    pub async fn over(&self) {
        self.core.life.ended().await;
    }

    /// Stops at once, as a crash does.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Core {
    fn new(settings: &SidecarSettings, addr: SocketAddr, log: Logger, metrics: Metrics) -> Self {
        let life = Life::begin();
        let endpoint = Endpoint {
            service: settings.endpoint.service.clone(),
            models: settings.endpoint.models.clone(),
            slots: settings.endpoint.slots,
            checks_fencing: settings.endpoint.checks_fencing,
        };
        let instance = Instance {
            id: settings.id.clone(),
            incarnation: life.incarnation,
            role: Role::Sidecar,
            zone: settings.zone.clone(),
            addr,
            endpoint: Some(endpoint),
        };
        let client = EndpointClient::new(settings.endpoint.addr);
        let cfg = RunsConfig {
            life: life.incarnation,
            buffer_bytes: settings.buffer_bytes,
            keep_once: KEEP_ONCE,
        };
        let hub = Hub::new(cfg, life.clone(), log.clone(), client.clone());
        let hub = Arc::new(hub);
        Self {
            gate: Gate::new(instance.id.clone(), life.clone()),
            instance,
            life,
            log,
            metrics,
            ledger: LedgerClient::new(&settings.ledgers).with_learning(),
            client,
            hub,
            loads: Arc::new(Loads::new(first_load(&settings.endpoint))),
            highest: orders::Highest::default(),
        }
    }

    /// The instance with the models that its engine holds now.
    fn present_instance(&self) -> Instance {
        let mut instance = self.instance.clone();
        if let Some(endpoint) = &mut instance.endpoint {
            endpoint.models.clone_from(&self.loads.borrow().models);
        }
        instance
    }

    fn count_runs(&self) {
        let running = self.hub.driving();
        self.metrics.gauge(RUNS_OPEN, running as u64);
        self.loads
            .send_modify(|load| load.running = u32::try_from(running).unwrap_or(u32::MAX));
    }

    fn show_leaving(&self) {
        let leaving = self.gate.is_leaving();
        self.hub.feed(if leaving {
            Event::Leaving
        } else {
            Event::Returned
        });
        self.loads
            .send_if_modified(|load| std::mem::replace(&mut load.leaving, leaving) != leaving);
    }
}
