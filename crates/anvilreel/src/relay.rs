//! Passes calls on to the ledger, for processes that can't reach it themselves.
//!
//! Failure: routers are cut off from every replica of the ledger, while they still reach other
//! instances that are not. It shows as settings that grow old and as budgets that can't be drawn
//! on, for as long as the cut lasts. A relay beside each endpoint asks the ledger for them. It
//! keeps nothing and decides nothing: what it passes on is as true as if it had been said directly,
//! because the ledger confirms by majority and followers take only what is newer.

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
use crate::life::Life;
use crate::metrics::{self, Metrics};
use crate::watcher::{SILENCE, Watcher};

/// Longest time that a call is passed on. Whoever asks waits no longer for one way.
const PASS_WITHIN: Duration = Duration::from_millis(900);
/// Longest wait for one replica's answer. A commit takes some 10 ms.
const ONE_REPLICA: Duration = Duration::from_millis(250);

/// What a relay is told at its start.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Name of the instance.
    pub id: InstanceId,
    /// Where it stands.
    pub zone: Zone,
    /// Where the other processes connect.
    pub listen: SocketAddr,
    /// Where this process listens, if the address above is passed on to it by something between.
    pub bind: Option<SocketAddr>,
    /// Replicas of the ledger that are known at the start.
    pub ledger: Vec<SocketAddr>,
}

struct Relay {
    cfg: RelaySettings,
    watcher: Arc<Watcher>,
    log: Logger,
    metrics: Metrics,
    life: Life,
}

/// The relay's own way to the ledger.
pub fn watcher(cfg: &RelaySettings) -> Arc<Watcher> {
    let ledger = LedgerClient::new(&cfg.ledger).with_patience(ONE_REPLICA);
    Arc::new(Watcher::new(ledger, cfg.id.clone(), &cfg.ledger))
}

/// Runs a relay until `stop` is ready.
pub async fn run(
    cfg: RelaySettings,
    watcher: Arc<Watcher>,
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
        life: Life::begin(),
    });
    let answering = relay.clone();
    let handlers = Handlers::default().with::<LedgerCall, _, _>(move |req, tx| {
        let relay = answering.clone();
        async move { relay.answer(req, tx).await }
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
            incarnation: self.life.incarnation,
            role: Role::Relay,
            zone: self.cfg.zone.clone(),
            addr: self.cfg.listen,
            endpoint: None,
        };
        announce::run(&self.watcher.ledger, &self.life, &instance).await;
    }

    async fn answer(&self, req: LedgerRequest, tx: ReplySender<LedgerReply>) {
        if let LedgerRequest::Follow {
            instance,
            interest,
            version,
        } = req
        {
            self.pass_stream(instance, interest, version, tx).await;
            return;
        }
        self.metrics.count(metrics::RELAY_PASSED);
        // The asker can't tell whether a lost answer was carried out, so a doubt stays a doubt.
        let reply = match self.watcher.ledger.ask(&req, PASS_WITHIN).await {
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
        // Fails only where the asker is gone.
        let _ = tx.finish(&reply).await;
    }

    async fn pass_stream(
        &self,
        instance: InstanceId,
        interest: FollowScope,
        version: LogIndex,
        mut tx: ReplySender<LedgerReply>,
    ) {
        let replica = self.watcher.followed();
        let ledger = &self.watcher.ledger;
        let opening = ledger.follow(replica, instance, interest, version);
        let Ok(Ok(mut replies)) = timeout(SILENCE, opening).await else {
            return;
        };
        self.metrics.count(metrics::RELAY_STREAMS);
        while let Ok(Ok(Some(reply))) = timeout(SILENCE, replies.next()).await {
            if tx.send(&reply).await.is_err() {
                return;
            }
        }
    }
}
