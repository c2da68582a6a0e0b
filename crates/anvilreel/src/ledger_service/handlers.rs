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
use super::pending::Reply;
use super::replica_task::{Inbox, Input, Public};

/// Time between two ticks of a follow stream on which nothing changes. A follower leaves after
/// some of them have failed to come, so this bounds how long it believes a replica that is cut off.
const CURRENT: Duration = Duration::from_millis(300);
/// A replica that has nothing true to say for so long sends its followers away. Shorter than an
/// election, and followers that all replicas send away would do nothing but come back.
const MUTE: Duration = Duration::from_millis(500);
/// Changes within this time go to a follower as one.
const GATHER: Duration = Duration::from_millis(20);
/// Messages that wait for one replica.
const OUTBOX: usize = 4_096;
/// Messages sent as one.
const ENVELOPES: usize = 64;
/// Bytes of a snapshot sent as one.
const CHUNK: usize = 1 << 20;

/// What handlers need of the node.
#[derive(Clone)]
pub struct Reach {
    /// The way to it.
    pub inbox: Inbox,
    /// What everybody may know of it.
    pub public: watch::Receiver<Public>,
    /// Whether the process is ending.
    pub stopping: watch::Receiver<bool>,
    /// Where others are, beyond what the log names.
    pub contacts: Contacts,
    /// The data folder.
    pub disk: anvil_ledger::storage::Disk,
}

impl Reach {
    /// Sends and waits for the answer; `None` when the node has ended.
    pub async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.inbox.send(input(tx)).await.ok()?;
        rx.await.ok()
    }

    async fn reply(&self, input: impl FnOnce(Reply) -> Input) -> LedgerReply {
        self.ask(input).await.unwrap_or(LedgerReply::Stopped)
    }

    async fn stopped(&self) {
        let mut stopping = self.stopping.clone();
        // An error means that the process has ended, too.
        let _ = stopping.wait_for(|stop| *stop).await;
    }
}

/// All handlers of a replica.
pub fn all(reach: &Reach) -> Handlers {
    let ledger = reach.clone();
    let peer = reach.clone();
    Handlers::default()
        .with::<LedgerCall, _, _>(move |req, tx| {
            let reach = ledger.clone();
            async move { answer(&reach, req, tx).await }
        })
        .with::<PeerCall, _, _>(move |req, tx| {
            let reach = peer.clone();
            async move { answer_peer(&reach, req, tx).await }
        })
}

async fn answer(reach: &Reach, req: LedgerRequest, tx: ReplySender<LedgerReply>) {
    let reply = match req {
        LedgerRequest::Propose(command) => {
            let command = Box::new(command);
            reach.reply(|reply| Input::Propose(command, reply)).await
        }
        LedgerRequest::Query(query) => reach.reply(|reply| Input::Query(query, reply)).await,
        LedgerRequest::Heartbeat(heartbeat) => {
            let heartbeat = Box::new(heartbeat);
            let input = |reply| Input::Heartbeat(heartbeat, reply);
            reach.reply(input).await
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
            follow(reach, follower, tx).await;
            return;
        }
    };
    // Fails only where the asker is gone.
    let _ = tx.finish(&reply).await;
}

/// Sends a follower what it lacks, now and whenever that changes.
async fn follow(reach: &Reach, mut follower: Follower, mut tx: ReplySender<LedgerReply>) {
    let mut public = reach.public.clone();
    let mut spoke = Instant::now();
    loop {
        if let Some(event) = next_event(reach, &public, &follower).await {
            spoke = Instant::now();
            follower.version = follower.version.max(version_of(&event));
            let reply = LedgerReply::Follow(event);
            tokio::select! {
                sent = tx.send(&reply) => if sent.is_err() {
                    return;
                },
                () = reach.stopped() => return,
            }
        }
        // Failure: a replica without a majority keeps its followers in silence while another one
        // could tell them what has changed. The end of the stream sends them on at once.
        if spoke.elapsed() >= MUTE || !wait(reach, &mut public, &follower, &mut tx).await {
            return;
        }
    }
}

/// What is new, or that nothing is. Nothing at all while out of touch or behind the follower:
/// silence tells it to look elsewhere.
async fn next_event(
    reach: &Reach,
    public: &watch::Receiver<Public>,
    follower: &Follower,
) -> Option<FollowEvent> {
    let seen = public.borrow().clone();
    if seen.version > follower.version {
        let follower = follower.clone();
        let input = |reply| Input::CatchUp(follower, reply);
        return reach.ask(input).await.flatten();
    }
    let version = seen.version;
    let current = seen.in_touch && version == follower.version;
    current.then_some(FollowEvent::Current { version })
}

/// Waits for a newer version or for the next tick; false when the follower or the process is
/// leaving.
async fn wait(
    reach: &Reach,
    public: &mut watch::Receiver<Public>,
    follower: &Follower,
    tx: &mut ReplySender<LedgerReply>,
) -> bool {
    let newer = async {
        let seen = public.wait_for(|seen| seen.version > follower.version);
        // An error means that the node has ended; the process follows.
        let ended = seen.await.is_err();
        sleep(if ended { CURRENT } else { GATHER }).await;
    };
    tokio::select! {
        () = tx.cancelled() => false,
        () = reach.stopped() => false,
        // Either way there is something to say.
        _ = timeout(CURRENT, newer) => true,
    }
}

async fn answer_peer(reach: &Reach, req: PeerRequest, mut tx: ReplySender<PeerReply>) {
    let reply = match req {
        PeerRequest::Hello => reach.ask(Input::Hello).await.map(PeerReply::Hello),
        PeerRequest::Join { id, site } => {
            let joined = reach.ask(|reply| Input::Join(id, site, reply)).await;
            joined.map(|joined| match joined {
                Ok(()) => PeerReply::Joining,
                Err(leader) => PeerReply::NotLeader { leader },
            })
        }
        PeerRequest::Remove(instance) => {
            let removed = reach.ask(|reply| Input::Remove(instance, reply)).await;
            removed.map(|removed| match removed {
                Ok(()) => PeerReply::Removing,
                Err(leader) => PeerReply::NotLeader { leader },
            })
        }
        PeerRequest::Listen { id } => {
            speak(reach, id, tx).await;
            return;
        }
        PeerRequest::Fetch => {
            hand_out(reach, tx).await;
            return;
        }
    };
    // Fails only where the asker is gone.
    let _ = tx.send(&reply.unwrap_or(PeerReply::Nothing)).await;
}

/// Sends a replica what the core has to tell it, in order, many at once where many wait.
async fn speak(reach: &Reach, id: ReplicaId, mut tx: ReplySender<PeerReply>) {
    let (queue, mut rx) = mpsc::channel(OUTBOX);
    if reach.inbox.send(Input::Listen(id, queue)).await.is_err() {
        return;
    }
    let mut envelopes: Vec<Envelope> = Vec::new();
    loop {
        let count = tokio::select! {
            count = rx.recv_many(&mut envelopes, ENVELOPES) => count,
            () = tx.cancelled() => return,
            () = reach.stopped() => return,
        };
        if count == 0 {
            return;
        }
        let reply = PeerReply::Envelopes(std::mem::take(&mut envelopes));
        tokio::select! {
            sent = tx.send(&reply) => if sent.is_err() {
                return;
            },
            () = reach.stopped() => return,
        }
    }
}

/// Sends the newest snapshot.
async fn hand_out(reach: &Reach, mut tx: ReplySender<PeerReply>) {
    let disk = reach.disk.clone();
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
        let chunk = rest.split_to(CHUNK.min(rest.len()));
        if tx.send(&PeerReply::Chunk(chunk)).await.is_err() {
            return;
        }
    }
}
