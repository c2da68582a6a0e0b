//! The router process: serves callers over HTTP and talks to sidecars, other routers and the
//! ledger.
//!
//! Reading order: [`Router`]; `front` (the HTTP routes); `chat_call` and `plain_call` (how an HTTP
//! request becomes a validated job); `request_task` (runs one job, driving the state machine of
//! [`crate::request`]); `claim_holders` (stores and looks up request key claims); `pool_queue` and
//! `endpoint_pools` (admission and endpoint selection); `follow` and `view` (the settings in
//! force).

mod accept;
mod batch_loop;
mod call;
mod chat;
mod chat_call;
mod chat_encoder;
mod claim_holders;
mod connection;
mod endpoint_pools;
mod errors;
mod follow;
mod job;
mod plain_call;
mod pool_queue;
mod request_task;
mod routes;
mod view;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_http::limits::{MEDIUM_RECEIVE_BUFFER_BYTES, connections_bytes, request_budget};
use anvil_http::listener::CLIENT_BACKLOG;
use anvil_http::{Admission, MemoryBudget, listener};
use anvil_wire::msg::RouterCall;
use anvil_wire::{Handlers, Server, WireError};
use anvil_world::document::FleetDocument;
use anvil_world::prelude::*;
use anvil_world::settings::RouterSettings;
use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::channel_cache::ChannelCache;
use crate::claims::{ClaimStore, HolderHistory};
use crate::event;
use crate::events;
use crate::ledger_client::LedgerClient;
use crate::lifecycle::Lifecycle;
use crate::metrics::{Metrics, REQUESTS_OPEN};
use crate::money::{GrantAccount, GrantPolicy};
use endpoint_pools::EndpointPools;
use follow::{Follower, ViewState};

pub use errors::ErrorBody;

/// Retry-After given to callers when another router or endpoint may serve the request.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval at which queues are processed and gauges are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a planned stop reports "not ready" before it closes connections, so that the load
/// balancer notices first.
const UNREADY_DELAY: Duration = Duration::from_millis(300);
/// How long a planned stop waits for its grants to be returned to the ledger.
const GRANT_RETURN_TIMEOUT: Duration = Duration::from_secs(5);

/// The router could not start.
#[derive(Debug, Snafu)]
pub enum RouterError {
    /// Listening on the address for callers failed.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// Listening on the address for the fleet's own protocol failed.
    #[snafu(display("{source}"))]
    Wire {
        /// The error of the wire server.
        source: WireError,
    },
}

/// State shared by all parts of a router.
pub(crate) struct Core {
    instance: Instance,
    lifecycle: Lifecycle,
    log: Logger,
    metrics: Metrics,
    ledger: Arc<LedgerClient>,
    channels: Arc<ChannelCache>,
    view_state: Arc<ViewState>,
    pools: EndpointPools,
    grant_account: GrantAccount,
    batch_wanted: Notify,
    claims: Mutex<ClaimStore>,
    holder_history: Mutex<HolderHistory>,
    generated_ids: AtomicU64,
    open_requests: AtomicUsize,
    /// Callers' connections.
    connections: Admission,
    /// What the bodies of callers' requests hold.
    request_bodies: MemoryBudget,
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
    /// Starts listening and joins the fleet; serves callers as soon as the settings tree is loaded.
    pub async fn start(
        settings: &RouterSettings,
        log: Logger,
        metrics: Metrics,
    ) -> Result<Self, RouterError> {
        let addr = settings.listen;
        let listener = listener::bind(addr, MEDIUM_RECEIVE_BUFFER_BYTES, CLIENT_BACKLOG)
            .context(ListenSnafu { addr })?;
        let addr = listener.local_addr().context(ListenSnafu { addr })?;
        let server = Server::bind(settings.wire_listen)
            .await
            .context(WireSnafu)?;
        let wire_addr = server.addr().context(WireSnafu)?;
        let core = Arc::new(Core::new(settings, wire_addr, log, metrics));
        event!(core.log, events::ROUTER_LISTENING, "addr" => addr.to_string());
        let close = Arc::new(Notify::new());
        let serving = accept::serve(
            listener,
            routes::routes(&core),
            core.connections.clone(),
            core.lifecycle.clone(),
            close.clone(),
        );
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

    /// The address on which callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The address on which other processes of the fleet connect.
    pub fn wire_addr(&self) -> SocketAddr {
        self.wire_addr
    }

    /// Whether `/readyz` answers 200.
    pub fn is_ready(&self) -> bool {
        self.core.view_state.accepts_work() && !self.core.lifecycle.is_draining()
    }

    /// Whether the router currently sends work to the sidecar at this address, in the incarnation
    /// that the members' list names.
    pub fn routes_to(&self, sidecar: SocketAddr) -> bool {
        let view = self.core.view_state.view.load();
        let mut all = view.endpoints.values().flatten();
        all.any(|instance| instance.addr == sidecar)
    }

    /// Number of endpoints known to this router.
    pub fn endpoint_count(&self) -> usize {
        let view = self.core.view_state.view.load();
        view.endpoints.values().map(Vec::len).sum()
    }

    /// The newest version of the settings tree, members and fences applied by this router.
    pub fn view_version(&self) -> LogIndex {
        self.core.view_state.view.load().version
    }

    /// Number of routers known to this one, itself included.
    pub fn router_count(&self) -> usize {
        self.core.view_state.view.load().routers.len()
    }

    /// Planned stop: reports "not ready", accepts no new work, lets streams finish, hands claims
    /// over and returns its grants.
    pub async fn stop(self) {
        let core = &self.core;
        event!(core.log, events::ROUTER_LEAVING);
        core.lifecycle.begin_drain();
        sleep(UNREADY_DELAY).await;
        self.close.notify_one();
        // An error means that the serving task panicked; there is nothing left to wait for.
        let _ = self.serving.await;
        while core.open_requests.load(Ordering::Relaxed) > 0 {
            sleep(TICK_INTERVAL).await;
        }
        claim_holders::hand_over(core).await;
        batch_loop::return_grants(core, GRANT_RETURN_TIMEOUT).await;
        event!(core.log, events::ROUTER_STOPPED);
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Returns once the ledger has declared this incarnation over, because it was unresponsive for
    /// many minutes.
    ///
    /// After a long partition the incarnation is fenced and every sidecar refuses it. Unless the
    /// process starts a new incarnation, this router would refuse callers for ever.
    pub async fn incarnation_over(&self) {
        self.core.lifecycle.incarnation_over().await;
    }

    /// Frees the addresses for a new incarnation. Open requests run to their end.
    pub fn retire(self) {
        let Self {
            core,
            close,
            serving,
            mut tasks,
            ..
        } = self;
        core.lifecycle.begin_drain();
        // Callers reach the new incarnation at the same address, so nothing needs to be announced
        // before.
        close.notify_one();
        // The first task is the wire server; the new incarnation needs its address.
        tasks.remove(0).abort();
        tokio::spawn(async move {
            // An error means that the serving task panicked; there is nothing left to wait for.
            let _ = serving.await;
            while core.open_requests.load(Ordering::Relaxed) > 0 {
                sleep(TICK_INTERVAL).await;
            }
            for task in &tasks {
                task.abort();
            }
        });
    }

    /// Stops listening and stops all communication with the ledger at once. Requests in flight
    /// continue, as at a router that is partitioned from the ledger, until they are refused.
    pub fn kill(self) {
        self.serving.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn spawn_tasks(core: &Arc<Core>, server: Server) -> Vec<JoinHandle<()>> {
    let call_core = core.clone();
    let handlers = Handlers::default().with::<RouterCall, _, _>(move |req, tx| {
        let reply = claim_holders::answer(&call_core, req);
        async move {
            // Sending fails only if the caller has disconnected; it will ask again.
            let _ = tx.finish(&reply).await;
        }
    });
    let (view_core, pools_core) = (core.clone(), core.clone());
    let follower = Arc::new(Follower {
        view_state: core.view_state.clone(),
        ledger: core.ledger.clone(),
        instance: core.instance.clone(),
        log: core.log.clone(),
        metrics: core.metrics.clone(),
        on_change: Box::new(move |ledger_view, view| view_core.apply_view(ledger_view, view)),
        // Waiting requests look up the endpoint that they get in the view.
        on_published: Box::new(move |view| pools_core.pools.update(view)),
    });
    let (heartbeat_sender, tick_core, money_core) = (follower.clone(), core.clone(), core.clone());
    let lifecycle = core.lifecycle.clone();
    vec![
        tokio::spawn(server.serve(handlers, std::future::pending())),
        tokio::spawn(async move { follower.follow().await }),
        tokio::spawn(async move { heartbeat_sender.send_heartbeats(&lifecycle).await }),
        tokio::spawn(async move { tick_core.tick().await }),
        tokio::spawn(async move { batch_loop::run(&money_core).await }),
    ]
}

/// Counts a request as open until this guard is dropped.
pub(crate) struct OpenRequest(Arc<Core>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Core {
    fn new(
        settings: &RouterSettings,
        wire_addr: SocketAddr,
        log: Logger,
        metrics: Metrics,
    ) -> Self {
        let lifecycle = Lifecycle::begin();
        let instance = Instance {
            id: settings.id.clone(),
            incarnation: lifecycle.incarnation,
            role: Role::Router,
            zone: settings.zone.clone(),
            addr: wire_addr,
            endpoint: None,
        };
        let channels = Arc::new(ChannelCache::default());
        let fleet = FleetDocument::default();
        let window = fleet.keep_answers + fleet.request_timeout;
        let holder_history =
            HolderHistory::new(instance.zone.region.clone(), window, lifecycle.now());
        let policy = GrantPolicy::default();
        Self {
            pools: EndpointPools::new(instance.clone(), lifecycle.clone(), channels.clone()),
            grant_account: GrantAccount::new(instance.id.clone(), lifecycle.incarnation, policy),
            view_state: Arc::new(ViewState::new(lifecycle.clone())),
            ledger: Arc::new(LedgerClient::new(&settings.ledgers).with_reported_replicas()),
            instance,
            lifecycle,
            log,
            metrics,
            channels,
            batch_wanted: Notify::new(),
            claims: Mutex::default(),
            holder_history: Mutex::new(holder_history),
            generated_ids: AtomicU64::new(0),
            open_requests: AtomicUsize::new(0),
            connections: Admission::within_memory(connections_bytes(Some(settings.memory_bytes()))),
            request_bodies: request_budget(Some(settings.memory_bytes())),
        }
    }

    /// Generates an id for a request that came without one: unique in the fleet, also across
    /// restarts.
    fn next_id(&self) -> Arc<str> {
        let number = self.generated_ids.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:x}-{number:x}",
            self.instance.id, self.lifecycle.incarnation
        )
        .into()
    }

    fn lock_claims(&self) -> MutexGuard<'_, ClaimStore> {
        // Each update leaves the store consistent, so a poisoned lock can be used.
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_holder_history(&self) -> MutexGuard<'_, HolderHistory> {
        // Each update leaves the lists consistent, so a poisoned lock can be used.
        self.holder_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn track_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(self.clone())
    }

    fn apply_view(&self, ledger_view: &crate::ledger_view::LedgerView, view: &view::View) {
        if ledger_view.is_fenced(&self.instance.id, self.instance.incarnation) {
            self.grant_account.fence();
            if self.lifecycle.end_incarnation() {
                event!(self.log, events::ROUTER_FENCED);
            }
        }
        let mut holder_history = self.lock_holder_history();
        holder_history.set_window(view.fleet.keep_answers + view.fleet.request_timeout);
        holder_history.record_members(self.lifecycle.now(), view.routers.values());
        drop(holder_history);
        self.grant_account.set_horizon(view.fleet.grant_horizon);
    }

    async fn tick(&self) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.pools.tick();
            let open = self.open_requests.load(Ordering::Relaxed);
            self.metrics.gauge(REQUESTS_OPEN, open as u64);
        }
    }
}
