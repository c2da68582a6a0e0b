//! A router as a process: callers' HTTP on one side, sidecars, routers and the ledger on the other.
//!
//! Read on: [`Router`], then `front` (what callers may ask), `chat_call` and `plain_call` (how it
//! becomes a checked job), `flow` (a job's life, around [`crate::request`]), `keepers` (who keeps
//! claims), `lane` and `places` (where work goes), `follow` and `view` (settings in force).

mod accept;
mod call;
mod chat;
mod chat_call;
mod flow;
mod follow;
mod front;
mod job;
mod keepers;
mod lane;
mod money_loop;
mod places;
mod plain_call;
mod refuse;
mod shape;
mod view;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_wire::msg::RouterCall;
use anvil_wire::{Handlers, Server, WireError};
use anvil_world::document::FleetDocument;
use anvil_world::prelude::*;
use anvil_world::settings::RouterSettings;
use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::claims::{ClaimBook, Tenure};
use crate::event;
use crate::events;
use crate::ledger_client::LedgerClient;
use crate::life::Life;
use crate::metrics::{Metrics, REQUESTS_OPEN};
use crate::money::{GrantPolicy, Purse};
use crate::peers::Peers;
use follow::{Follower, Following};
use places::Places;

pub use refuse::ErrorBody;

/// When to come back where another router or endpoint may take the work.
const SOON: Duration = Duration::from_secs(1);
/// Time between two looks at the queues and at what is kept.
const TICK: Duration = Duration::from_millis(100);
/// How long a planned stop waits between readiness going off and connections being closed, so
/// that the balancer sees it first.
const UNREADY_FIRST: Duration = Duration::from_millis(300);
/// How long a planned stop tries to give its grants back.
const GIVE_BACK: Duration = Duration::from_secs(5);

/// A router that can't start.
#[derive(Debug, Snafu)]
pub enum RouterError {
    /// The callers' address can't be listened on.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// Where.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The fleet's address can't be listened on.
    #[snafu(display("{source}"))]
    Wire {
        /// Why.
        source: WireError,
    },
}

/// What all parts of a router share.
pub(crate) struct Core {
    instance: Instance,
    life: Life,
    log: Logger,
    metrics: Metrics,
    ledger: Arc<LedgerClient>,
    peers: Arc<Peers>,
    following: Arc<Following>,
    places: Places,
    purse: Purse,
    money_wanted: Notify,
    claims: Mutex<ClaimBook>,
    tenure: Mutex<Tenure>,
    made_ids: AtomicU64,
    open: AtomicUsize,
}

/// A running router.
pub struct Router {
    core: Arc<Core>,
    addr: SocketAddr,
    wire_addr: SocketAddr,
    close: Arc<Notify>,
    serving: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Router {
    /// Listens, joins the fleet and serves callers as soon as it has the settings tree.
    pub async fn start(
        settings: &RouterSettings,
        log: Logger,
        metrics: Metrics,
    ) -> Result<Self, RouterError> {
        let addr = settings.listen;
        let listener = TcpListener::bind(addr)
            .await
            .context(ListenSnafu { addr })?;
        let addr = listener.local_addr().context(ListenSnafu { addr })?;
        let server = Server::bind(settings.wire_listen)
            .await
            .context(WireSnafu)?;
        let wire_addr = server.addr().context(WireSnafu)?;
        let core = Arc::new(Core::new(settings, wire_addr, log, metrics));
        event!(core.log, events::ROUTER_LISTENING, "addr" => addr.to_string());
        let close = Arc::new(Notify::new());
        let serving = accept::serve(listener, front::routes(&core), close.clone());
        let serving = tokio::spawn(serving);
        let tasks = spawn_tasks(&core, server);
        Ok(Self {
            core,
            addr,
            wire_addr,
            close,
            serving,
            tasks,
        })
    }

    /// Where callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Where the fleet's processes connect.
    pub fn wire_addr(&self) -> SocketAddr {
        self.wire_addr
    }

    /// Whether it would answer `/readyz` with 200.
    pub fn is_ready(&self) -> bool {
        self.core.following.serves() && !self.core.life.is_leaving()
    }

    /// Whether this router sends work to the sidecar at this address, in its present life.
    pub fn sees(&self, sidecar: SocketAddr) -> bool {
        let view = self.core.following.view.load();
        let mut all = view.endpoints.values().flatten();
        all.any(|instance| instance.addr == sidecar)
    }

    /// Endpoints that this router knows of.
    pub fn endpoints(&self) -> usize {
        let view = self.core.following.view.load();
        view.endpoints.values().map(Vec::len).sum()
    }

    /// The newest version of tree, members and fences that is in force here.
    pub fn version(&self) -> LogIndex {
        self.core.following.view.load().version
    }

    /// Routers that this one knows of, itself included.
    pub fn peers(&self) -> usize {
        self.core.following.view.load().routers.len()
    }

    /// The planned stop: readiness off, no new work, streams finish, grants go back, claims are
    /// handed over.
    pub async fn stop(self) {
        let core = &self.core;
        event!(core.log, events::ROUTER_LEAVING);
        core.life.leave();
        sleep(UNREADY_FIRST).await;
        self.close.notify_one();
        // An error is a panic of the serving task, after which nothing is left to wait for.
        let _ = self.serving.await;
        while core.open.load(Ordering::Relaxed) > 0 {
            sleep(TICK).await;
        }
        keepers::hand_over(core).await;
        money_loop::give_back(core, GIVE_BACK).await;
        event!(core.log, events::ROUTER_STOPPED);
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Returns when the ledger holds this life to be over, after a silence of many minutes.
    ///
    /// Failure: a router behind a long partition comes back and is refused by every sidecar,
    /// for its life is fenced; without a new life it would refuse callers for ever.
    pub async fn over(&self) {
        self.core.life.ended().await;
    }

    /// Makes room for a new life on the same addresses. What is open goes on to its end.
    pub fn retire(self) {
        let Self {
            core,
            serving,
            mut tasks,
            ..
        } = self;
        core.life.leave();
        // The first task listens for the fleet; its address is wanted by the new life.
        tasks.remove(0).abort();
        tokio::spawn(async move {
            // An error is a panic of the serving task, after which nothing is left to wait for.
            let _ = serving.await;
            while core.open.load(Ordering::Relaxed) > 0 {
                sleep(TICK).await;
            }
            for task in &tasks {
                task.abort();
            }
        });
    }

    /// Stops listening and talking to the ledger at once. Requests under way go on as those of a
    /// router do that is cut off from the ledger, until they are refused.
    pub fn kill(self) {
        self.serving.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn spawn_tasks(core: &Arc<Core>, server: Server) -> Vec<JoinHandle<()>> {
    let answering = core.clone();
    let handlers = Handlers::default().with::<RouterCall, _, _>(move |req, tx| {
        let reply = keepers::answer(&answering, req);
        async move {
            // Whoever asked is gone and asks again.
            let _ = tx.finish(&reply).await;
        }
    });
    let changed = core.clone();
    let follower = Arc::new(Follower {
        following: core.following.clone(),
        ledger: core.ledger.clone(),
        instance: core.instance.clone(),
        log: core.log.clone(),
        metrics: core.metrics.clone(),
        changed: Box::new(move |held, view| changed.take_in(held, view)),
    });
    let (beating, ticking, paying) = (follower.clone(), core.clone(), core.clone());
    let life = core.life.clone();
    vec![
        tokio::spawn(server.serve(handlers, std::future::pending())),
        tokio::spawn(async move { follower.follow().await }),
        tokio::spawn(async move { beating.beat(&life).await }),
        tokio::spawn(async move { ticking.tick().await }),
        tokio::spawn(async move { money_loop::run(&paying).await }),
    ]
}

/// Counts a request as open until it is dropped.
pub(crate) struct Open(Arc<Core>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Core {
    fn new(
        settings: &RouterSettings,
        wire_addr: SocketAddr,
        log: Logger,
        metrics: Metrics,
    ) -> Self {
        let life = Life::begin();
        let instance = Instance {
            id: settings.id.clone(),
            incarnation: life.incarnation,
            role: Role::Router,
            zone: settings.zone.clone(),
            addr: wire_addr,
            endpoint: None,
        };
        let peers = Arc::new(Peers::default());
        let fleet = FleetDocument::default();
        let window = fleet.keep_answers + fleet.request_timeout;
        let tenure = Tenure::new(instance.zone.region.clone(), window, life.now());
        let policy = GrantPolicy::default();
        Self {
            places: Places::new(instance.clone(), life.clone(), peers.clone()),
            purse: Purse::new(instance.id.clone(), life.incarnation, policy),
            following: Arc::new(Following::new(life.clone())),
            ledger: Arc::new(LedgerClient::new(&settings.ledgers).with_learning()),
            instance,
            life,
            log,
            metrics,
            peers,
            money_wanted: Notify::new(),
            claims: Mutex::default(),
            tenure: Mutex::new(tenure),
            made_ids: AtomicU64::new(0),
            open: AtomicUsize::new(0),
        }
    }

    /// An id for a request that came without one: unique in the fleet, and over restarts.
    fn next_id(&self) -> Arc<str> {
        let number = self.made_ids.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:x}-{number:x}",
            self.instance.id, self.life.incarnation
        )
        .into()
    }

    fn claim_book(&self) -> MutexGuard<'_, ClaimBook> {
        // A panic elsewhere leaves the book as it was between two steps.
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tenure(&self) -> MutexGuard<'_, Tenure> {
        // A panic elsewhere leaves the lists as they were between two steps.
        self.tenure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(self: &Arc<Self>) -> Open {
        self.open.fetch_add(1, Ordering::Relaxed);
        Open(self.clone())
    }

    fn take_in(&self, held: &crate::held::Held, view: &view::View) {
        if held.is_fenced(&self.instance.id, self.instance.incarnation) {
            self.purse.fence();
            if self.life.end() {
                event!(self.log, events::ROUTER_FENCED);
            }
        }
        let mut tenure = self.tenure();
        tenure.set_window(view.fleet.keep_answers + view.fleet.request_timeout);
        tenure.note(self.life.now(), view.routers.values());
        drop(tenure);
        self.purse.set_horizon(view.fleet.grant_horizon);
        self.places.update(view);
    }

    async fn tick(&self) {
        loop {
            sleep(TICK).await;
            self.places.tick();
            let open = self.open.load(Ordering::Relaxed);
            self.metrics.gauge(REQUESTS_OPEN, open as u64);
        }
    }
}
