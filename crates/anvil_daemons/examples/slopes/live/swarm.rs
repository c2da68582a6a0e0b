//! Fakes of sidecars and routers around a real ledger.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_wire::Channel;
use anvil_wire::msg::{
    FollowEvent, FollowScope, Heartbeat, LedgerCall, LedgerReply, LedgerRequest,
};
use anvil_world::prelude::*;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::bench::PATIENCE;
use crate::sample::{Filled, ask, report, sidecar};

/// Changes under way to the ledger at a time.
const AT_ONCE: usize = 256;

/// Tasks that end when this is dropped.
pub struct Swarm {
    _tasks: JoinSet<()>,
}

/// So many sidecars, each with a connection of its own to the leader for its sign of life every
/// second, and one to another replica that it follows.
pub fn sidecars(count: u64, leader: SocketAddr, follow: &[SocketAddr]) -> Swarm {
    let mut tasks = JoinSet::new();
    for at in 0..count {
        let replica = follow[usize::try_from(at).unwrap_or_default() % follow.len()];
        let version = Arc::new(AtomicU64::new(0));
        let life = live(
            sidecar(at),
            Channel::new(leader),
            version.clone(),
            at,
            count,
        );
        tasks.spawn(life);
        tasks.spawn(follower(sidecar(at).id, Channel::new(replica), version));
    }
    Swarm { _tasks: tasks }
}

async fn live(instance: Instance, leader: Channel, version: Arc<AtomicU64>, at: u64, count: u64) {
    // Spread over the second, as processes that started at any time are.
    sleep(Duration::from_millis(1_000 * at / count.max(1))).await;
    let mut every = interval(Duration::from_secs(1));
    loop {
        every.tick().await;
        let beat = LedgerRequest::Heartbeat(Heartbeat {
            instance: instance.clone(),
            version: version.load(Ordering::Relaxed),
            evidence: Vec::new(),
            leaving: false,
        });
        // One that is lost is followed by the next.
        let _ = leader.call::<LedgerCall>(&beat, PATIENCE).await;
    }
}

async fn follower(instance: InstanceId, replica: Channel, version: Arc<AtomicU64>) {
    let ask = LedgerRequest::Follow {
        instance,
        interest: FollowScope::Sidecar,
        version: 0,
    };
    let Ok(mut replies) = replica.open::<LedgerCall>(&ask).await else {
        return;
    };
    while let Ok(Some(LedgerReply::Follow(event))) = replies.next().await {
        version.fetch_max(version_of(&event), Ordering::Relaxed);
    }
}

fn version_of(event: &FollowEvent) -> LogIndex {
    match event {
        FollowEvent::Full { version, .. }
        | FollowEvent::Delta { version, .. }
        | FollowEvent::Current { version } => *version,
    }
}

/// So many routers, each with one batch of so many reports a second.
pub fn routers(count: u64, reports: u64, leader: &Channel) -> Swarm {
    let mut tasks = JoinSet::new();
    for at in 0..count {
        let leader = leader.clone();
        tasks.spawn(async move {
            sleep(Duration::from_millis(1_000 * at / count.max(1))).await;
            let mut own = Filled::default();
            let asks = (0..reports).map(|budget| ask(budget, 100_000)).collect();
            let first = own.batch(at, Vec::new(), asks);
            let Some(Answer::Grants(answer)) = propose(&leader, first).await else {
                return;
            };
            let mut every = interval(Duration::from_secs(1));
            let mut settled = 0;
            loop {
                every.tick().await;
                settled += 10;
                let all = answer.opened.iter().map(|g| report(g.id, settled));
                let batch = own.batch(at, all.collect(), Vec::new());
                propose(&leader, batch).await;
            }
        });
    }
    Swarm { _tasks: tasks }
}

/// So many claims a second.
pub fn claims(rate: u64, leader: &Channel) -> Swarm {
    let mut tasks = JoinSet::new();
    let leader = leader.clone();
    tasks.spawn(async move {
        let mut every = interval(Duration::from_secs(1) / u32::try_from(rate).unwrap_or(1));
        let mut claims = JoinSet::new();
        for at in 0.. {
            every.tick().await;
            let leader = leader.clone();
            claims.spawn(async move { propose(&leader, crate::sample::claim(at)).await });
            while claims.try_join_next().is_some() {}
        }
    });
    Swarm { _tasks: tasks }
}

/// Puts a command into the log.
pub async fn propose(leader: &Channel, command: Command) -> Option<Answer> {
    let ask = LedgerRequest::Propose(command);
    match leader.call::<LedgerCall>(&ask, PATIENCE).await {
        Ok(LedgerReply::Applied { answer, .. }) => Some(answer),
        _ => None,
    }
}

/// Puts commands into the log, many at a time.
pub async fn propose_all(leader: &Channel, commands: impl Iterator<Item = Command>) {
    let mut under_way = FuturesUnordered::new();
    for command in commands {
        under_way.push(propose(leader, command));
        if under_way.len() >= AT_ONCE {
            under_way.next().await;
        }
    }
    while under_way.next().await.is_some() {}
}
