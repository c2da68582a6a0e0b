//! Forwards calls to the ledger for processes that can't reach it themselves.
//!
//! A network partition can cut routers off from every replica of the ledger while they still
//! reach other instances that are connected to it. Without relays, their settings go stale and
//! they can't draw on budgets until the partition heals. A relay beside each endpoint therefore
//! forwards their calls. It stores nothing and decides nothing. A forwarded reply is as reliable
//! as a direct one, because the ledger confirms by majority and followers apply only newer
//! versions.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{FollowScope, LedgerCall, LedgerReply, LedgerRequest};
use anvil_wire::{Handlers, ReplySender, Server, WireError};
use anvil_world::prelude::*;
use slog::Logger;
use tokio::time::timeout;

use crate::announce;
use crate::event;
use crate::events;
use crate::ledger_client::{LedgerClient, LedgerError};
use crate::lifecycle::Lifecycle;
use crate::metrics::{self, Metrics};
use crate::watcher::{FOLLOW_TIMEOUT, ReplicaWatcher};

/// Timeout of a forwarded call. Callers wait no longer than this for one route to the ledger.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for the reply of one replica. A commit takes about 10 ms.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(250);

/// Settings of a relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Name of the instance.
    pub id: InstanceId,
    /// Zone of the instance.
    pub zone: Zone,
    /// Address at which other processes connect.
    pub listen: SocketAddr,
    /// Address to bind, where it differs from the one above because connections are forwarded.
    pub bind: Option<SocketAddr>,
    /// Replicas of the ledger that are used at the start.
    pub ledger: Vec<SocketAddr>,
}

struct Relay {
    cfg: RelaySettings,
    watcher: Arc<ReplicaWatcher>,
    log: Logger,
    metrics: Metrics,
    lifecycle: Lifecycle,
}

/// Creates the relay's own ledger client, with the watcher that updates its replicas.
pub fn new_watcher(cfg: &RelaySettings) -> Arc<ReplicaWatcher> {
    let ledger = LedgerClient::new(&cfg.ledger).with_replica_timeout(REPLICA_TIMEOUT);
    Arc::new(ReplicaWatcher::new(ledger, cfg.id.clone(), &cfg.ledger))
}

/// Runs a relay until `stop` is ready.
pub async fn run(
    cfg: RelaySettings,
    watcher: Arc<ReplicaWatcher>,
    log: Logger,
    metrics: Metrics,
    stop: impl Future<Output = ()>,
) -> Result<(), WireError> {
    let server = Server::bind(cfg.bind.unwrap_or(cfg.listen)).await?;
    event!(log, events::RELAY_LISTENING, "addr" => cfg.listen.to_string());
    let relay = Arc::new(Relay {
        watcher,
        cfg,
        log,
        metrics,
        lifecycle: Lifecycle::begin(),
    });
    let handler = relay.clone();
    let handlers = Handlers::default().with::<LedgerCall, _, _>(move |req, tx| {
        let relay = handler.clone();
        async move { relay.handle(req, tx).await }
    });
    tokio::select! {
        () = stop => {}
        () = server.serve(handlers, std::future::pending()) => {}
        () = relay.watcher.run() => {}
        () = relay.announce() => {}
    }
    event!(relay.log, events::RELAY_STOPPED);
    Ok(())
}

impl Relay {
    async fn announce(&self) {
        let instance = Instance {
            id: self.cfg.id.clone(),
            incarnation: self.lifecycle.incarnation,
            role: Role::Relay,
            zone: self.cfg.zone.clone(),
            addr: self.cfg.listen,
            endpoint: None,
        };
        announce::run(&self.watcher.ledger, &self.lifecycle, &instance, || 0).await;
    }

    async fn handle(&self, req: LedgerRequest, tx: ReplySender<LedgerReply>) {
        if let LedgerRequest::Follow {
            instance,
            interest,
            version,
        } = req
        {
            self.forward_stream(instance, interest, version, tx).await;
            return;
        }
        self.metrics.count(metrics::RELAY_PASSED);
        // The command may have been applied although its reply was lost, so the caller must also
        // learn that the outcome is in doubt.
        let reply = match self
            .watcher
            .ledger
            .send_request(&req, FORWARD_TIMEOUT)
            .await
        {
            Ok(reply) => reply,
            Err(LedgerError::InDoubt) => {
                self.metrics.count(metrics::RELAY_IN_DOUBT);
                LedgerReply::InDoubt
            }
            Err(_) => {
                self.metrics.count(metrics::RELAY_NO_QUORUM);
                LedgerReply::NoQuorum
            }
        };
        // Fails only if the caller has disconnected.
        let _ = tx.finish(&reply).await;
    }

    async fn forward_stream(
        &self,
        instance: InstanceId,
        interest: FollowScope,
        version: LogIndex,
        mut tx: ReplySender<LedgerReply>,
    ) {
        let replica = self.watcher.followed_replica();
        let ledger = &self.watcher.ledger;
        let opening = ledger.follow(replica, instance, interest, version);
        let Ok(Ok(mut replies)) = timeout(FOLLOW_TIMEOUT, opening).await else {
            return;
        };
        self.metrics.count(metrics::RELAY_STREAMS);
        while let Ok(Ok(Some(reply))) = timeout(FOLLOW_TIMEOUT, replies.next()).await {
            if tx.send(&reply).await.is_err() {
                return;
            }
        }
    }
}
