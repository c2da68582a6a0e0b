//! Keeps the router's view current, and tells the ledger that the router lives.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_wire::msg::{Heartbeat, Interest, LedgerReply};
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use slog::Logger;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::view::{View, ViewMaker};
use crate::event;
use crate::events;
use crate::held::Held;
use crate::ledger_client::LedgerClient;
use crate::life::Life;
use crate::metrics::{Metrics, SETTINGS_VERSION};

/// Time between two signs of life.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Longest wait for anything from a followed replica before another one is tried.
const SILENCE: Duration = Duration::from_secs(3);
/// Pause before another replica is followed.
const AGAIN: Duration = Duration::from_millis(100);

/// What the router follows of the ledger.
pub struct Following {
    /// The present view; requests load it once.
    pub view: ArcSwap<View>,
    /// Told after each change of the view.
    pub changes: watch::Sender<LogIndex>,
    /// When a replica last confirmed to be in touch, in milliseconds of [`Life::now`] plus 1; 0
    /// for never.
    touched: AtomicU64,
    life: Life,
}

impl Following {
    /// Nothing followed yet.
    pub fn new(life: Life) -> Self {
        Self {
            view: ArcSwap::default(),
            changes: watch::Sender::new(0),
            touched: AtomicU64::new(0),
            life,
        }
    }

    /// For how long the router has been out of touch with the ledger.
    pub fn out_of_touch(&self) -> Duration {
        let touched = self.touched.load(Ordering::Relaxed);
        let touched = Duration::from_millis(touched.saturating_sub(1));
        self.life.now().saturating_sub(touched)
    }

    /// Whether new work may be taken: there is a tree and it is not too old.
    ///
    /// Failure: a router cut off for long serves on settings that were replaced everywhere
    /// else. Past the configured time it refuses and leaves the balancer.
    pub fn serves(&self) -> bool {
        let view = self.view.load();
        !view.is_empty() && self.out_of_touch() <= view.fleet.serve_out_of_touch
    }

    fn touch(&self) {
        let millis = u64::try_from(self.life.now().as_millis()).unwrap_or(u64::MAX - 1);
        self.touched.store(millis + 1, Ordering::Relaxed);
    }
}

/// Called with what is held and the view of it.
pub type Changed = Box<dyn Fn(&Held, &View) + Send + Sync>;

/// What the loops need.
pub struct Follower {
    /// Where the view goes.
    pub following: Arc<Following>,
    /// The way to the ledger.
    pub ledger: Arc<LedgerClient>,
    /// The router itself.
    pub instance: Instance,
    /// For log lines.
    pub log: Logger,
    /// For the version's gauge.
    pub metrics: Metrics,
    /// Called after the view changed.
    pub changed: Changed,
}

impl Follower {
    /// Follows one replica after the other, for as long as the process lives.
    pub async fn follow(&self) {
        let mut held = Held::default();
        let mut maker = ViewMaker::default();
        let mut in_touch = true;
        // Routers start at different replicas, so that no replica spreads to all of them.
        let mut replica = usize::try_from(self.instance.incarnation % 7).unwrap_or(0);
        loop {
            let heard = self
                .follow_one(replica, &mut held, &mut maker, &mut in_touch)
                .await;
            if !heard && in_touch {
                event!(self.log, events::ROUTER_OUT_OF_TOUCH);
                in_touch = false;
            }
            replica += 1;
            sleep(AGAIN).await;
        }
    }

    /// Follows one replica until it falls silent; returns whether it said anything.
    async fn follow_one(
        &self,
        replica: usize,
        held: &mut Held,
        maker: &mut ViewMaker,
        in_touch: &mut bool,
    ) -> bool {
        let id = self.instance.id.clone();
        let opening = self
            .ledger
            .follow(replica, id, Interest::Router, held.version);
        let Ok(Ok(mut replies)) = timeout(SILENCE, opening).await else {
            return false;
        };
        let mut heard = false;
        while let Ok(Ok(Some(LedgerReply::Follow(event)))) = timeout(SILENCE, replies.next()).await
        {
            heard = true;
            if !*in_touch {
                event!(self.log, events::ROUTER_IN_TOUCH);
                *in_touch = true;
            }
            self.following.touch();
            if held.apply(event) {
                self.bring_in_force(held, maker);
            }
        }
        heard
    }

    fn bring_in_force(&self, held: &Held, maker: &mut ViewMaker) {
        let (view, skipped) = maker.make(held);
        for skipped in skipped {
            let path = skipped.path.to_string();
            let error = skipped.error.to_string();
            event!(self.log, events::ROUTER_DOCUMENT_SKIPPED, "path" => path, "error" => error);
        }
        (self.changed)(held, &view);
        let first = self.following.view.load().is_empty();
        let version = view.version;
        self.metrics.gauge(SETTINGS_VERSION, view.version);
        event!(self.log, events::ROUTER_SETTINGS_IN_FORCE, "version" => view.version);
        self.following.view.store(Arc::new(view));
        self.following.changes.send_replace(version);
        if first {
            event!(self.log, events::ROUTER_READY);
        }
    }

    /// Sends a sign of life every second, until `stop`; the last one says that it leaves.
    pub async fn beat(&self, life: &Life) {
        loop {
            self.beat_once(life).await;
            sleep(HEARTBEAT).await;
        }
    }

    async fn beat_once(&self, life: &Life) {
        let heartbeat = Heartbeat {
            instance: self.instance.clone(),
            version: self.following.view.load().version,
            evidence: Vec::new(),
            leaving: life.is_leaving(),
        };
        // A lost sign of life is followed by the next one.
        if let Ok(reply) = self.ledger.heartbeat(heartbeat, HEARTBEAT).await
            && reply.presence == Presence::Gone
            && life.end()
        {
            event!(self.log, events::ROUTER_FENCED);
        }
    }
}
