//! Keeps the router's view of settings and members current, and sends heartbeats to the ledger.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_wire::msg::{FollowScope, Heartbeat, LedgerReply};
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use slog::Logger;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::view::{View, ViewBuilder};
use crate::event;
use crate::events;
use crate::ledger_client::LedgerClient;
use crate::ledger_view::LedgerView;
use crate::lifecycle::Lifecycle;
use crate::metrics::{Metrics, SETTINGS_VERSION};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time without a message from the followed replica before another one is tried.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before another replica is followed.
const REPLICA_SWITCH_PAUSE: Duration = Duration::from_millis(100);

/// The current view and the time of the last contact with the ledger.
pub struct ViewState {
    /// The current view; each request loads it once.
    pub view: ArcSwap<View>,
    /// Notified after each change of the view, with its version.
    pub changes: watch::Sender<LogIndex>,
    /// When a replica last confirmed that it is connected, in milliseconds of [`Lifecycle::now`]
    /// plus 1; 0 for never.
    last_contact: AtomicU64,
    lifecycle: Lifecycle,
}

impl ViewState {
    /// Starts with an empty view and no contact.
    pub fn new(lifecycle: Lifecycle) -> Self {
        Self {
            view: ArcSwap::default(),
            changes: watch::Sender::new(0),
            last_contact: AtomicU64::new(0),
            lifecycle,
        }
    }

    /// How long the router has been disconnected from the ledger.
    pub fn disconnected_for(&self) -> Duration {
        let last_contact = self.last_contact.load(Ordering::Relaxed);
        let last_contact = Duration::from_millis(last_contact.saturating_sub(1));
        self.lifecycle.now().saturating_sub(last_contact)
    }

    /// Whether new work may be accepted: the settings tree is loaded and not too old.
    ///
    /// A router that is cut off for long would serve by settings that have been replaced everywhere
    /// else. After the configured time it refuses requests and fails its readiness check.
    pub fn accepts_work(&self) -> bool {
        let view = self.view.load();
        !view.is_empty() && self.disconnected_for() <= view.fleet.serve_out_of_touch
    }

    fn record_contact(&self) {
        let millis = u64::try_from(self.lifecycle.now().as_millis()).unwrap_or(u64::MAX - 1);
        self.last_contact.store(millis + 1, Ordering::Relaxed);
    }
}

/// Callback with the replicated settings and the view built from them.
pub type OnViewChange = Box<dyn Fn(&LedgerView, &View) + Send + Sync>;
/// Callback with a view that requests use already.
pub type OnViewPublished = Box<dyn Fn(&View) + Send + Sync>;

/// Dependencies of the loops that follow the ledger and send heartbeats.
pub struct Follower {
    /// Where the view is published.
    pub view_state: Arc<ViewState>,
    /// Client for the ledger.
    pub ledger: Arc<LedgerClient>,
    /// The router's own instance.
    pub instance: Instance,
    /// Logger.
    pub log: Logger,
    /// Metrics, for the gauge of the settings version.
    pub metrics: Metrics,
    /// Called before a new view is published.
    pub on_change: OnViewChange,
    /// Called after a new view was published.
    pub on_published: OnViewPublished,
}

impl Follower {
    /// Follows one replica after another for as long as the process runs.
    pub async fn follow(&self) {
        let mut ledger_view = LedgerView::default();
        let mut view_builder = ViewBuilder::default();
        let mut connected = true;
        // Routers start at different replicas, so that no single replica has to serve all of them.
        let mut replica = usize::try_from(self.instance.incarnation % 7).unwrap_or(0);
        loop {
            let received_any = self
                .follow_one(replica, &mut ledger_view, &mut view_builder, &mut connected)
                .await;
            if !received_any && connected {
                event!(self.log, events::ROUTER_OUT_OF_TOUCH);
                connected = false;
            }
            replica += 1;
            sleep(REPLICA_SWITCH_PAUSE).await;
        }
    }

    /// Follows one replica until it is unresponsive; returns whether it sent anything.
    async fn follow_one(
        &self,
        replica: usize,
        ledger_view: &mut LedgerView,
        view_builder: &mut ViewBuilder,
        connected: &mut bool,
    ) -> bool {
        let id = self.instance.id.clone();
        let opening = self
            .ledger
            .follow(replica, id, FollowScope::Router, ledger_view.version);
        let Ok(Ok(mut replies)) = timeout(FOLLOW_TIMEOUT, opening).await else {
            return false;
        };
        let mut received_any = false;
        while let Ok(Ok(Some(LedgerReply::Follow(event)))) =
            timeout(FOLLOW_TIMEOUT, replies.next()).await
        {
            received_any = true;
            if !*connected {
                event!(self.log, events::ROUTER_IN_TOUCH);
                *connected = true;
            }
            self.view_state.record_contact();
            if ledger_view.apply(event) {
                self.put_in_force(ledger_view, view_builder);
            }
        }
        received_any
    }

    fn put_in_force(&self, ledger_view: &LedgerView, view_builder: &mut ViewBuilder) {
        let (view, skipped) = view_builder.build(ledger_view);
        for skipped in skipped {
            let path = skipped.path.to_string();
            let error = skipped.error.to_string();
            event!(self.log, events::ROUTER_DOCUMENT_SKIPPED, "path" => path, "error" => error);
        }
        (self.on_change)(ledger_view, &view);
        let first = self.view_state.view.load().is_empty();
        let version = view.version;
        self.metrics.gauge(SETTINGS_VERSION, view.version);
        event!(self.log, events::ROUTER_SETTINGS_IN_FORCE, "version" => view.version);
        let view = Arc::new(view);
        self.view_state.view.store(view.clone());
        (self.on_published)(&view);
        self.view_state.changes.send_replace(version);
        if first {
            event!(self.log, events::ROUTER_READY);
        }
    }

    /// Sends a heartbeat every second until the task is aborted; while the router is leaving, the
    /// heartbeats say so.
    pub async fn send_heartbeats(&self, lifecycle: &Lifecycle) {
        loop {
            self.send_heartbeat(lifecycle).await;
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn send_heartbeat(&self, lifecycle: &Lifecycle) {
        let heartbeat = Heartbeat {
            instance: self.instance.clone(),
            version: self.view_state.view.load().version,
            evidence: Vec::new(),
            leaving: lifecycle.is_draining(),
        };
        // A lost heartbeat is made up for by the next one.
        if let Ok(reply) = self.ledger.heartbeat(heartbeat, HEARTBEAT_INTERVAL).await
            && reply.presence == Presence::Gone
            && lifecycle.end_incarnation()
        {
            event!(self.log, events::ROUTER_FENCED);
        }
    }
}
