//! All roles in one process over real TCP on loopback: the quick start.
//!
//! The endpoints are started by the caller ([`LocalSettings::engine`], [`LocalSettings::plain`]),
//! because the stand-ins are no part of the library.

mod demo;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use anvil_wire::WireError;
use anvil_world::prelude::*;
use anvil_world::settings::{
    EndpointKind, EndpointSettings, LedgerSettings, Peer, RouterSettings, SidecarSettings,
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

pub use demo::{BUDGET, KEY, MODEL, PREPAID, SERVICE, seed};

/// Longest time until everything is ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Time between two looks at whether it is.
const LOOK: Duration = Duration::from_millis(5);

/// What the quick start is like.
#[derive(Debug, Clone)]
pub struct LocalSettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators and processes reach the ledger.
    pub ledger_listen: SocketAddr,
    /// The ledger's data folder.
    pub data: PathBuf,
    /// The stand-in engine's address.
    pub engine: SocketAddr,
    /// The stand-in plain service's address.
    pub plain: SocketAddr,
}

/// A quick start that failed.
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
    /// The demo's documents can't be written.
    #[snafu(display("the demo's settings can't be written: {source}"))]
    Seed {
        /// Why.
        source: LedgerError,
    },
    /// It took too long.
    #[snafu(display("not ready within {after:?}"))]
    NotReady {
        /// How long was waited.
        after: Duration,
    },
}

/// All roles, running.
pub struct Local {
    router: Router,
    sidecars: Vec<Sidecar>,
    running: LedgerHandle,
    stop_ledger: oneshot::Sender<()>,
    /// Where operators reach the ledger.
    pub ledger: SocketAddr,
}

impl Local {
    /// Starts every role and returns when callers are served.
    pub async fn start(settings: &LocalSettings, log: &Logger) -> Result<Self, LocalError> {
        let (stop_ledger, stopped) = oneshot::channel();
        let running = start_ledger(settings, log, stopped).await?;
        let ledger = running.addr;
        demo::seed(&LedgerClient::new(&[ledger]))
            .await
            .context(SeedSnafu)?;
        let mut sidecars = Vec::new();
        for endpoint in endpoints(settings) {
            let settings = sidecar_settings(ledger, endpoint);
            let started = Sidecar::start(&settings, log.clone(), Metrics::silent("sidecar"));
            sidecars.push(started.await.context(SidecarSnafu)?);
        }
        let router = router_settings(settings.listen, ledger);
        let router = Router::start(&router, log.clone(), Metrics::silent("router"));
        let local = Self {
            router: router.await.context(RouterSnafu)?,
            sidecars,
            running,
            stop_ledger,
            ledger,
        };
        local.wait_ready().await?;
        event!(log, events::LOCAL_READY);
        Ok(local)
    }

    /// Where callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.router.addr()
    }

    /// The planned stop of every role.
    pub async fn stop(self) {
        self.router.stop().await;
        for sidecar in self.sidecars {
            sidecar.stop().await;
        }
        // Fails only where the ledger has ended already.
        let _ = self.stop_ledger.send(());
        self.running.stopped().await;
    }

    async fn wait_ready(&self) -> Result<(), LocalError> {
        let deadline = Instant::now() + READY_WITHIN;
        // Counting endpoints would not do: after a crash the ledger still lists the last life's.
        let sees_all = || {
            let mut all = self.sidecars.iter();
            all.all(|sidecar| self.router.routes_to(sidecar.addr()))
        };
        while !(self.router.is_ready() && sees_all()) {
            if Instant::now() > deadline {
                return Err(LocalError::NotReady {
                    after: READY_WITHIN,
                });
            }
            sleep(LOOK).await;
        }
        Ok(())
    }
}

async fn start_ledger(
    settings: &LocalSettings,
    log: &Logger,
    stopped: oneshot::Receiver<()>,
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
    // A dropped sender stops the ledger too.
    let stop = async move { drop(stopped.await) };
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
        log_json: false,
        statsd: None,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
