//! Handlers of a replica's requests from clients and from other replicas.

use std::time::Duration;

use anvil_ledger::core::{Envelope, ReplicaId};
use anvil_ledger::storage::snapshot;
use anvil_wire::msg::{FollowEvent, LedgerCall, LedgerReply, LedgerRequest};
use anvil_wire::{Handlers, ReplySender, WireError};
use anvil_world::command::COMMAND_KINDS;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use super::follow::Follower;
use super::follow_frames::{FollowFrame, FollowFrames};
use super::peer::{PeerCall, PeerReply, PeerRequest};
use super::peer_addresses::PeerAddresses;
use super::pending::ReplyTx;
use super::replica_task::{Inbox, Input, ReplicaStatus};

/// Interval of `Current` events on a follow stream without changes. A follower disconnects after
/// several of them are missing, so this bounds for how long it trusts a replica that is cut off.
const CURRENT_INTERVAL: Duration = Duration::from_millis(300);
/// A replica that can't confirm its state for this long closes its follow streams, so that
/// followers move to another one. With a limit shorter than an election, followers would be sent
/// away by all replicas and only reconnect again and again.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(500);
/// Changes within this time are sent to a follower as one event.
const COALESCE_WINDOW: Duration = Duration::from_millis(20);
/// Messages queued for one replica.
const MESSAGE_QUEUE_LEN: usize = 4_096;
/// Maximum number of messages sent in one reply.
const MAX_ENVELOPES_PER_REPLY: usize = 64;
/// Size of one chunk of a snapshot.
const CHUNK_BYTES: usize = 1 << 20;

/// Access to the replica task for handlers and for the tasks that connect to other replicas.
#[derive(Clone)]
pub struct ReplicaHandle {
    /// Input channel of the replica task.
    pub inbox: Inbox,
    /// Status of the replica.
    pub status: watch::Receiver<ReplicaStatus>,
    /// Whether the process is ending.
    pub stopping: watch::Receiver<bool>,
    /// Addresses of other replicas, beyond those in the log's membership.
    pub peer_addresses: PeerAddresses,
    /// Encoded events for followers.
    pub follow_frames: FollowFrames,
    /// The data folder.
    pub disk: anvil_ledger::storage::Disk,
    /// Whether the process was started to found a ledger, and not to join one.
    pub may_found: bool,
}

impl ReplicaHandle {
    /// Sends an input and waits for its answer; `None` if the replica task has ended.
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
        // An error means that the process has ended as well.
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
    // Fails only if the caller has disconnected.
    let _ = tx.finish(&reply).await;
}

/// Sends a follower the changes that it lacks, until the stream ends.
async fn follow(replica: &ReplicaHandle, mut follower: Follower, mut tx: ReplySender<LedgerReply>) {
    let mut status = replica.status.clone();
    let mut last_event_at = Instant::now();
    loop {
        let Ok(frame) = next_frame(replica, &status, &follower).await else {
            // The event is too large; another replica may have a smaller one, of fewer changes.
            return;
        };
        if let Some(frame) = frame {
            last_event_at = Instant::now();
            follower.version = follower.version.max(frame.to);
            tokio::select! {
                sent = tx.send_encoded(frame.reply) => if sent.is_err() {
                    return;
                },
                () = replica.stopped() => return,
            }
        }
        // Without this limit, a replica without a majority would keep its followers waiting while
        // another replica could send them newer changes. They move on as soon as the stream ends.
        if last_event_at.elapsed() >= UNCONFIRMED_TIMEOUT
            || !wait_for_change(replica, &mut status, &follower, &mut tx).await
        {
            return;
        }
    }
}

/// The changes since the follower's version, or `Current` if there are none. Returns `None` while
/// the replica is disconnected, lacks committed entries or is behind the follower, so that the
/// follower moves to another one.
async fn next_frame(
    replica: &ReplicaHandle,
    status: &watch::Receiver<ReplicaStatus>,
    follower: &Follower,
) -> Result<Option<FollowFrame>, WireError> {
    let (version, current) = {
        let status = status.borrow();
        (status.version, status.current)
    };
    let is_newer = version > follower.version;
    let is_current = current && version == follower.version;
    if !is_newer && !is_current {
        return Ok(None);
    }
    if let Some(frame) = replica.follow_frames.find(follower, version) {
        return Ok(Some(frame));
    }
    let event = if is_newer {
        let follower = follower.clone();
        let input = |reply| Input::CatchUp(follower, reply);
        replica.request(input).await.flatten()
    } else {
        Some(FollowEvent::Current { version })
    };
    let encode = |event| replica.follow_frames.encode(follower, event);
    event.map(encode).transpose()
}

/// Waits for a newer version or for the next `Current` event; false if the follower has
/// disconnected or the process is stopping.
async fn wait_for_change(
    replica: &ReplicaHandle,
    status: &mut watch::Receiver<ReplicaStatus>,
    follower: &Follower,
    tx: &mut ReplySender<LedgerReply>,
) -> bool {
    let newer = async {
        let newer_status =
            status.wait_for(|current_status| current_status.version > follower.version);
        // An error means that the replica task has ended; the process ends soon after.
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
        // The caller sends an event after a timeout, too.
        _ = timeout(CURRENT_INTERVAL, newer) => true,
    }
}

async fn handle_peer(replica: &ReplicaHandle, req: PeerRequest, mut tx: ReplySender<PeerReply>) {
    let reply = match req {
        PeerRequest::Hello => replica.request(Input::Hello).await.map(PeerReply::Hello),
        PeerRequest::MayFound => Some(PeerReply::MayFound(replica.may_found)),
        PeerRequest::CommandKinds => Some(PeerReply::CommandKinds(COMMAND_KINDS)),
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
    // Fails only if the caller has disconnected.
    let _ = tx.send(&reply.unwrap_or(PeerReply::Nothing)).await;
}

/// Sends another replica the core's messages to it, in order, several in one reply if several are
/// queued.
async fn send_messages(replica: &ReplicaHandle, id: ReplicaId, mut tx: ReplySender<PeerReply>) {
    let (queue, mut rx) = mpsc::channel(MESSAGE_QUEUE_LEN);
    if replica
        .inbox
        .send(Input::Subscribe(id, queue))
        .await
        .is_err()
    {
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

/// Sends the newest snapshot in chunks.
async fn send_snapshot(replica: &ReplicaHandle, mut tx: ReplySender<PeerReply>) {
    let disk = replica.disk.clone();
    let loaded = tokio::task::spawn_blocking(move || snapshot::load(&disk)).await;
    let Ok(Ok(Some(snapshot))) = loaded else {
        // Fails only if the caller has disconnected; the same holds for the sends below.
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
