//! Links to other replicas, over which this one receives their messages.
//!
//! Each replica opens one stream to every other one and receives messages on it, so that they
//! arrive in order and each costs only a few bytes of framing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::{ReplicaId, SnapshotMeta};
use anvil_wire::{Channel, Replies, WireError};
use anvil_world::settings::LedgerSettings;
use bytes::{Bytes, BytesMut};
use slog::Logger;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::events;
use super::handlers::ReplicaHandle;
use super::peer::{PeerCall, PeerReply, PeerRequest};
use super::replica_task::Input;
use crate::event;

/// Pause before a lost link is opened again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// A link without messages for this long is opened again. A leader sends several heartbeats a
/// second, but two followers have no messages for each other.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a query for the kinds of commands that a replica applies, and the delay before it is repeated.
/// Only operators' orders wait for the reply.
const KINDS_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for fetching a whole snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_mins(2);

/// Keeps a link to every replica that the settings or the log name, and to the leader that this
/// replica was referred to.
pub async fn run(
    replica: ReplicaHandle,
    id: ReplicaId,
    cfg: LedgerSettings,
    own: SocketAddr,
    log: Logger,
) {
    let mut known = BTreeSet::new();
    // Dropping this set, when the task ends, ends the links.
    let mut links = JoinSet::new();
    let mut status = replica.status.clone();
    let mut learned = replica.peer_addresses.subscribe();
    loop {
        let named = cfg.founders.iter().filter(|peer| peer.id != cfg.id);
        let mut wanted: Vec<_> = named.map(|peer| peer.addr).collect();
        wanted.extend(status.borrow_and_update().peers.values());
        wanted.extend(learned.borrow_and_update().leader);
        for addr in wanted.into_iter().filter(|addr| *addr != own) {
            if known.insert(addr) {
                links.spawn(receive_messages(replica.clone(), id, addr, log.clone()));
            }
        }
        let changed = tokio::select! {
            changed = status.changed() => changed,
            changed = learned.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

async fn receive_messages(replica: ReplicaHandle, id: ReplicaId, addr: SocketAddr, log: Logger) {
    let channel = Channel::new(addr);
    let mut up = false;
    while !*replica.stopping.borrow() {
        let opened = channel.open::<PeerCall>(&PeerRequest::Listen { id }).await;
        log_change(&log, addr, &mut up, opened.as_ref().err());
        if let Ok(replies) = opened {
            tokio::select! {
                () = forward_messages(&replica, replies) => {}
                () = ask_command_kinds(&replica, &channel, addr) => {}
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Forwards messages until the link ends.
async fn forward_messages(replica: &ReplicaHandle, mut replies: Replies<PeerReply>) {
    while let Ok(Ok(Some(PeerReply::Envelopes(envelopes)))) =
        timeout(IDLE_TIMEOUT, replies.next()).await
    {
        let forwarded = replica.inbox.send(Input::Messages(envelopes)).await;
        if forwarded.is_err() {
            return;
        }
    }
}

/// Asks which commands a replica applies, at each new link, since it may have returned with another
/// build. One of an earlier build does not know the question. Never returns.
async fn ask_command_kinds(replica: &ReplicaHandle, channel: &Channel, addr: SocketAddr) {
    loop {
        let asked = channel.call::<PeerCall>(&PeerRequest::CommandKinds, KINDS_TIMEOUT);
        let kinds = match asked.await {
            Ok(PeerReply::CommandKinds(kinds)) => kinds,
            _ => 0,
        };
        // Fails only if the replica task has ended, and with it the process.
        let _ = replica.inbox.send(Input::CommandKinds(addr, kinds)).await;
        if kinds > 0 {
            std::future::pending::<()>().await;
        }
        sleep(KINDS_TIMEOUT).await;
    }
}

/// Logs when a link comes up or is lost, and nothing while its state is unchanged.
fn log_change(log: &Logger, addr: SocketAddr, up: &mut bool, failure: Option<&WireError>) {
    match failure {
        None if !*up => event!(log, events::LEDGER_LINK_UP, "addr" => addr.to_string()),
        Some(e) if *up => event!(
            log, events::LEDGER_LINK_LOST,
            "addr" => addr.to_string(), "why" => e.to_string()
        ),
        _ => {}
    }
    *up = failure.is_none();
}

/// Fetches a replica's newest snapshot.
pub async fn fetch(addr: SocketAddr) -> Option<(SnapshotMeta, Bytes)> {
    timeout(FETCH_TIMEOUT, fetch_snapshot(addr))
        .await
        .ok()
        .flatten()
}

async fn fetch_snapshot(addr: SocketAddr) -> Option<(SnapshotMeta, Bytes)> {
    let channel = Channel::new(addr);
    let mut replies = channel.open::<PeerCall>(&PeerRequest::Fetch).await.ok()?;
    let PeerReply::Snapshot(meta) = replies.next().await.ok()?? else {
        return None;
    };
    let mut data = BytesMut::new();
    while let Some(reply) = replies.next().await.ok()? {
        let PeerReply::Chunk(chunk) = reply else {
            return None;
        };
        data.extend_from_slice(&chunk);
    }
    Some((meta, data.freeze()))
}
