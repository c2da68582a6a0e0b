//! The quick start: all roles in one process, connected over TCP on loopback.
//!
//! The caller starts the endpoints ([`LocalSettings::engine`], [`LocalSettings::plain`]), because
//! the stand-ins are not part of this library.

mod demo;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use anvil_wire::WireError;
use anvil_world::prelude::*;
use anvil_world::settings::{
    DEFAULT_MEMORY_MB, EndpointKind, EndpointSettings, LedgerSettings, Peer, RouterSettings,
    SidecarSettings,
};
use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::event;
use crate::events;
use crate::ledger_client::{LedgerClient, LedgerError};
use crate::ledger_service::{self, LedgerHandle, ServiceError, Tuning};
use crate::metrics::Metrics;
use crate::router::{Router, RouterError};
use crate::sidecar::Sidecar;

pub use demo::{BEARER_KEY, BUDGET, INITIAL_CREDIT, MODEL, SERVICE, seed_demo};

/// Maximum time until all roles are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which readiness is checked.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of the quick start.
#[derive(Debug, Clone)]
pub struct LocalSettings {
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address of the ledger, for operators and for the other roles.
    pub ledger_listen: SocketAddr,
    /// The ledger's data folder.
    pub data: PathBuf,
    /// The stand-in engine's address.
    pub engine: SocketAddr,
    /// The stand-in plain service's address.
    pub plain: SocketAddr,
}

/// Error of the quick start.
#[derive(Debug, Snafu)]
pub enum LocalError {
    /// The ledger can't start.
    #[snafu(display("the ledger can't start: {source}"))]
    Ledger {
        /// Why.
        source: ServiceError,
    },
    /// The router can't start.
    #[snafu(display("the router can't start: {source}"))]
    Router {
        /// Why.
        source: RouterError,
    },
    /// A sidecar can't start.
    #[snafu(display("a sidecar can't start: {source}"))]
    Sidecar {
        /// Why.
        source: WireError,
    },
    /// The demo's documents or its credit can't be written to the ledger.
    #[snafu(display("the demo's settings can't be written: {source}"))]
    Seed {
        /// Why.
        source: LedgerError,
    },
    /// The roles did not become ready in time.
    #[snafu(display("the quick start was not ready within {after:?}"))]
    NotReady {
        /// The timeout.
        after: Duration,
    },
}

/// All roles, running.
pub struct LocalFleet {
    router: Router,
    sidecars: Vec<Sidecar>,
    ledger_handle: LedgerHandle,
    stop_ledger: oneshot::Sender<()>,
    /// Address at which operators reach the ledger.
    pub ledger: SocketAddr,
}

impl LocalFleet {
    /// Starts every role and returns when the router is ready for callers.
    pub async fn start(settings: &LocalSettings, log: &Logger) -> Result<Self, LocalError> {
        let (stop_ledger, stop_rx) = oneshot::channel();
        let ledger_handle = start_ledger(settings, log, stop_rx).await?;
        let ledger = ledger_handle.addr;
        demo::seed_demo(&LedgerClient::new(&[ledger]))
            .await
            .context(SeedSnafu)?;
        let mut sidecars = Vec::new();
        for endpoint in endpoints(settings) {
            let settings = sidecar_settings(ledger, endpoint);
            let started = Sidecar::start(&settings, log.clone(), Metrics::disabled("sidecar"));
            sidecars.push(started.await.context(SidecarSnafu)?);
        }
        let router = router_settings(settings.listen, ledger);
        let router = Router::start(&router, log.clone(), Metrics::disabled("router"));
        let local = Self {
            router: router.await.context(RouterSnafu)?,
            sidecars,
            ledger_handle,
            stop_ledger,
            ledger,
        };
        local.wait_ready().await?;
        event!(log, events::LOCAL_READY);
        Ok(local)
    }

    /// Address at which callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.router.addr()
    }

    /// Stops every role in the planned way.
    pub async fn stop(self) {
        self.router.stop().await;
        for sidecar in self.sidecars {
            sidecar.stop().await;
        }
        // Fails only if the ledger has stopped already.
        let _ = self.stop_ledger.send(());
        self.ledger_handle.stopped().await;
    }

    async fn wait_ready(&self) -> Result<(), LocalError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        // The number of endpoints proves nothing: after a crash the ledger still lists those of
        // the last incarnation.
        let routes_to_all = || {
            let mut all = self.sidecars.iter();
            all.all(|sidecar| self.router.routes_to(sidecar.addr()))
        };
        while !(self.router.is_ready() && routes_to_all()) {
            if Instant::now() > deadline {
                return Err(LocalError::NotReady {
                    after: READY_TIMEOUT,
                });
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

async fn start_ledger(
    settings: &LocalSettings,
    log: &Logger,
    stop_rx: oneshot::Receiver<()>,
) -> Result<LedgerHandle, LocalError> {
    let id = InstanceId::from("ledger-1");
    let cfg = LedgerSettings {
        id: id.clone(),
        zone: Zone::default(),
        wire_listen: settings.ledger_listen,
        bind: None,
        data: settings.data.clone(),
        founders: vec![Peer {
            id,
            addr: settings.ledger_listen,
        }],
        join: false,
        log_json: false,
        statsd: None,
    };
    // The ledger also stops if the sender is dropped.
    let stop = async move { drop(stop_rx.await) };
    let started = ledger_service::start(cfg, Tuning::default(), log.clone(), stop);
    started.await.context(LedgerSnafu)
}

fn endpoints(settings: &LocalSettings) -> [EndpointSettings; 2] {
    let engine = EndpointSettings {
        addr: settings.engine,
        service: "runners".into(),
        kind: EndpointKind::Engine,
        models: [ModelId::from(MODEL)].into(),
        slots: 16,
        checks_fencing: true,
    };
    let plain = EndpointSettings {
        addr: settings.plain,
        service: SERVICE.into(),
        kind: EndpointKind::Plain,
        models: [].into(),
        slots: 16,
        checks_fencing: false,
    };
    [engine, plain]
}

fn sidecar_settings(ledger: SocketAddr, endpoint: EndpointSettings) -> SidecarSettings {
    SidecarSettings {
        platform: None,
        id: format!("{}-1", endpoint.service).into(),
        zone: Zone::default(),
        wire_listen: loopback(),
        ledgers: vec![ledger],
        endpoint,
        buffer_bytes: 8 << 20,
        log_json: false,
        statsd: None,
    }
}

fn router_settings(listen: SocketAddr, ledger: SocketAddr) -> RouterSettings {
    RouterSettings {
        id: "router-1".into(),
        zone: Zone::default(),
        listen,
        wire_listen: loopback(),
        ledgers: vec![ledger],
        threads: 0,
        memory_mb: DEFAULT_MEMORY_MB,
        log_json: false,
        statsd: None,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
