//! What a replica answers over the wire.

use std::time::Duration;

use anvil_ledger::core::{Envelope, ReplicaId};
use anvil_ledger::storage::snapshot;
use anvil_wire::msg::{FollowEvent, LedgerCall, LedgerReply, LedgerRequest};
use anvil_wire::{Handlers, ReplySender};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use super::follow::{Follower, version_of};
use super::peer::{PeerCall, PeerReply, PeerRequest};
use super::peer_addresses::Contacts;
use super::pending::ReplyTx;
use super::replica_task::{Inbox, Input, ReplicaStatus};

/// Time between two ticks of a follow stream on which nothing changes. A follower leaves after
/// some of them have failed to come, so this bounds how long it believes a replica that is cut off.
const CURRENT_INTERVAL: Duration = Duration::from_millis(300);
/// A replica that has nothing true to say for so long sends its followers away. Shorter than an
/// election, and followers that all replicas send away would do nothing but come back.
const MAX_SILENCE: Duration = Duration::from_millis(500);
/// Changes within this time go to a follower as one.
const COALESCE_WINDOW: Duration = Duration::from_millis(20);
/// Messages that wait for one replica.
const MESSAGE_QUEUE_LEN: usize = 4_096;
/// Messages sent as one.
const MAX_ENVELOPES_PER_REPLY: usize = 64;
/// Bytes of a snapshot sent as one.
const CHUNK_BYTES: usize = 1 << 20;

/// What handlers need of the node.
#[derive(Clone)]
pub struct ReplicaHandle {
    /// The way to it.
    pub inbox: Inbox,
    /// What everybody may know of it.
    pub status: watch::Receiver<ReplicaStatus>,
    /// Whether the process is ending.
    pub stopping: watch::Receiver<bool>,
    /// Where others are, beyond what the log names.
    pub contacts: Contacts,
    /// The data folder.
    pub disk: anvil_ledger::storage::Disk,
}

impl ReplicaHandle {
    /// Sends and waits for the answer; `None` when the node has ended.
    pub async fn request<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.inbox.send(input(tx)).await.ok()?;
        rx.await.ok()
    }

    async fn reply(&self, input: impl FnOnce(ReplyTx) -> Input) -> LedgerReply {
        self.request(input).await.unwrap_or(LedgerReply::Stopped)
    }

    async fn stopped(&self) {
        let mut stopping = self.stopping.clone();
        // An error means that the process has ended, too.
        let _ = stopping.wait_for(|stop| *stop).await;
    }
}

/// All handlers of a replica.
pub fn all(replica: &ReplicaHandle) -> Handlers {
    let ledger = replica.clone();
    let peer = replica.clone();
    Handlers::default()
        .with::<LedgerCall, _, _>(move |req, tx| {
            let replica = ledger.clone();
            async move { handle_ledger(&replica, req, tx).await }
        })
        .with::<PeerCall, _, _>(move |req, tx| {
            let replica = peer.clone();
            async move { handle_peer(&replica, req, tx).await }
        })
}

async fn handle_ledger(replica: &ReplicaHandle, req: LedgerRequest, tx: ReplySender<LedgerReply>) {
    let reply = match req {
        LedgerRequest::Propose(command) => {
            let command = Box::new(command);
            replica.reply(|reply| Input::Propose(command, reply)).await
        }
        LedgerRequest::Query(query) => replica.reply(|reply| Input::Query(query, reply)).await,
        LedgerRequest::Heartbeat(heartbeat) => {
            let heartbeat = Box::new(heartbeat);
            let input = |reply| Input::Heartbeat(heartbeat, reply);
            replica.reply(input).await
        }
        LedgerRequest::Follow {
            instance,
            interest,
            version,
        } => {
            let follower = Follower {
                instance,
                interest,
                version,
            };
            follow(replica, follower, tx).await;
            return;
        }
    };
    // Fails only where the asker is gone.
    let _ = tx.finish(&reply).await;
}

/// Sends a follower what it lacks, now and whenever that changes.
async fn follow(replica: &ReplicaHandle, mut follower: Follower, mut tx: ReplySender<LedgerReply>) {
    let mut status = replica.status.clone();
    let mut last_event_at = Instant::now();
    loop {
        if let Some(event) = next_event(replica, &status, &follower).await {
            last_event_at = Instant::now();
            follower.version = follower.version.max(version_of(&event));
            let reply = LedgerReply::Follow(event);
            tokio::select! {
                sent = tx.send(&reply) => if sent.is_err() {
                    return;
                },
                () = replica.stopped() => return,
            }
        }
        // Failure: a replica without a majority keeps its followers in silence while another one
        // could tell them what has changed. The end of the stream sends them on at once.
        if last_event_at.elapsed() >= MAX_SILENCE
            || !wait_for_change(replica, &mut status, &follower, &mut tx).await
        {
            return;
        }
    }
}

/// What is new, or that nothing is. Nothing at all while out of touch or behind the follower:
/// silence tells it to look elsewhere.
async fn next_event(
    replica: &ReplicaHandle,
    status: &watch::Receiver<ReplicaStatus>,
    follower: &Follower,
) -> Option<FollowEvent> {
    let current_status = status.borrow().clone();
    if current_status.version > follower.version {
        let follower = follower.clone();
        let input = |reply| Input::CatchUp(follower, reply);
        return replica.request(input).await.flatten();
    }
    let version = current_status.version;
    let current = current_status.connected && version == follower.version;
    current.then_some(FollowEvent::Current { version })
}

/// Waits for a newer version or for the next tick; false when the follower or the process is
/// leaving.
async fn wait_for_change(
    replica: &ReplicaHandle,
    status: &mut watch::Receiver<ReplicaStatus>,
    follower: &Follower,
    tx: &mut ReplySender<LedgerReply>,
) -> bool {
    let newer = async {
        let newer_status =
            status.wait_for(|current_status| current_status.version > follower.version);
        // An error means that the node has ended; the process follows.
        let ended = newer_status.await.is_err();
        sleep(if ended {
            CURRENT_INTERVAL
        } else {
            COALESCE_WINDOW
        })
        .await;
    };
    tokio::select! {
        () = tx.cancelled() => false,
        () = replica.stopped() => false,
        // Either way there is something to say.
        _ = timeout(CURRENT_INTERVAL, newer) => true,
    }
}

async fn handle_peer(replica: &ReplicaHandle, req: PeerRequest, mut tx: ReplySender<PeerReply>) {
    let reply = match req {
        PeerRequest::Hello => replica.request(Input::Hello).await.map(PeerReply::Hello),
        PeerRequest::Join { id, site } => {
            let joined = replica.request(|reply| Input::Join(id, site, reply)).await;
            joined.map(|joined| match joined {
                Ok(()) => PeerReply::Joining,
                Err(leader) => PeerReply::NotLeader { leader },
            })
        }
        PeerRequest::Remove(instance) => {
            let removed = replica
                .request(|reply| Input::Remove(instance, reply))
                .await;
            removed.map(|removed| match removed {
                Ok(()) => PeerReply::Removing,
                Err(leader) => PeerReply::NotLeader { leader },
            })
        }
        PeerRequest::Listen { id } => {
            send_messages(replica, id, tx).await;
            return;
        }
        PeerRequest::Fetch => {
            send_snapshot(replica, tx).await;
            return;
        }
    };
    // Fails only where the asker is gone.
    let _ = tx.send(&reply.unwrap_or(PeerReply::Nothing)).await;
}

/// Sends a replica what the core has to tell it, in order, many at once where many wait.
async fn send_messages(replica: &ReplicaHandle, id: ReplicaId, mut tx: ReplySender<PeerReply>) {
    let (queue, mut rx) = mpsc::channel(MESSAGE_QUEUE_LEN);
    if replica.inbox.send(Input::Listen(id, queue)).await.is_err() {
        return;
    }
    let mut envelopes: Vec<Envelope> = Vec::new();
    loop {
        let count = tokio::select! {
            count = rx.recv_many(&mut envelopes, MAX_ENVELOPES_PER_REPLY) => count,
            () = tx.cancelled() => return,
            () = replica.stopped() => return,
        };
        if count == 0 {
            return;
        }
        let reply = PeerReply::Envelopes(std::mem::take(&mut envelopes));
        tokio::select! {
            sent = tx.send(&reply) => if sent.is_err() {
                return;
            },
            () = replica.stopped() => return,
        }
    }
}

/// Sends the newest snapshot.
async fn send_snapshot(replica: &ReplicaHandle, mut tx: ReplySender<PeerReply>) {
    let disk = replica.disk.clone();
    let loaded = tokio::task::spawn_blocking(move || snapshot::load(&disk)).await;
    let Ok(Ok(Some(snapshot))) = loaded else {
        // Fails only where the asker is gone; so do the sends below.
        let _ = tx.send(&PeerReply::Nothing).await;
        return;
    };
    if tx.send(&PeerReply::Snapshot(snapshot.meta)).await.is_err() {
        return;
    }
    let mut rest = snapshot.data;
    while !rest.is_empty() {
        let chunk = rest.split_to(CHUNK_BYTES.min(rest.len()));
        if tx.send(&PeerReply::Chunk(chunk)).await.is_err() {
            return;
        }
    }
}
