//! Simulated sidecars and routers around a real ledger.

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

use super::bench::CALL_TIMEOUT;
use crate::sample::{FilledState, grant_request, report, sidecar};

/// Maximum number of proposals in flight.
const MAX_IN_FLIGHT: usize = 256;

/// Tasks that are aborted when this is dropped.
pub struct Swarm {
    _tasks: JoinSet<()>,
}

/// Starts `count` sidecars. Each has its own connection to the leader, for a heartbeat every
/// second, and one to another replica that it follows.
pub fn sidecars(count: u64, leader: SocketAddr, follow: &[SocketAddr]) -> Swarm {
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let replica = follow[usize::try_from(number).unwrap_or_default() % follow.len()];
        let version = Arc::new(AtomicU64::new(0));
        let heartbeats = send_heartbeats(
            sidecar(number),
            Channel::new(leader),
            version.clone(),
            number,
            count,
        );
        tasks.spawn(heartbeats);
        tasks.spawn(follow_replica(
            sidecar(number).id,
            Channel::new(replica),
            version,
        ));
    }
    Swarm { _tasks: tasks }
}

async fn send_heartbeats(
    instance: Instance,
    leader: Channel,
    version: Arc<AtomicU64>,
    number: u64,
    count: u64,
) {
    // Spread over the second, like processes that were started at arbitrary times.
    sleep(Duration::from_millis(1_000 * number / count.max(1))).await;
    let mut ticks = interval(Duration::from_secs(1));
    loop {
        ticks.tick().await;
        let heartbeat = LedgerRequest::Heartbeat(Heartbeat {
            instance: instance.clone(),
            version: version.load(Ordering::Relaxed),
            evidence: Vec::new(),
            leaving: false,
        });
        // A lost heartbeat is not retried; the next one follows.
        let _ = leader.call::<LedgerCall>(&heartbeat, CALL_TIMEOUT).await;
    }
}

async fn follow_replica(instance: InstanceId, replica: Channel, version: Arc<AtomicU64>) {
    let req = LedgerRequest::Follow {
        instance,
        interest: FollowScope::Sidecar,
        version: 0,
    };
    let Ok(mut replies) = replica.open::<LedgerCall>(&req).await else {
        return;
    };
    while let Ok(Some(LedgerReply::Follow(event))) = replies.next().await {
        version.fetch_max(event_version(&event), Ordering::Relaxed);
    }
}

fn event_version(event: &FollowEvent) -> LogIndex {
    match event {
        FollowEvent::Full { version, .. }
        | FollowEvent::Delta { version, .. }
        | FollowEvent::Current { version } => *version,
    }
}

/// Starts `count` routers; each sends one batch of `reports` reports every second.
pub fn routers(count: u64, reports: u64, leader: &Channel) -> Swarm {
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let leader = leader.clone();
        tasks.spawn(async move {
            sleep(Duration::from_millis(1_000 * number / count.max(1))).await;
            let mut own = FilledState::default();
            let asks = (0..reports)
                .map(|budget| grant_request(budget, 100_000))
                .collect();
            let first = own.batch(number, Vec::new(), asks);
            let Some(Answer::Grants(answer)) = propose(&leader, first).await else {
                return;
            };
            let mut ticks = interval(Duration::from_secs(1));
            let mut settled = 0;
            loop {
                ticks.tick().await;
                settled += 10;
                let all = answer.opened.iter().map(|g| report(g.id, settled));
                let batch = own.batch(number, all.collect(), Vec::new());
                propose(&leader, batch).await;
            }
        });
    }
    Swarm { _tasks: tasks }
}

/// Sends `rate` claims every second.
pub fn claims(rate: u64, leader: &Channel) -> Swarm {
    let mut tasks = JoinSet::new();
    let leader = leader.clone();
    tasks.spawn(async move {
        let mut ticks = interval(Duration::from_secs(1) / u32::try_from(rate).unwrap_or(1));
        let mut claims = JoinSet::new();
        for number in 0.. {
            ticks.tick().await;
            let leader = leader.clone();
            claims.spawn(async move { propose(&leader, crate::sample::claim(number)).await });
            while claims.try_join_next().is_some() {}
        }
    });
    Swarm { _tasks: tasks }
}

/// Proposes a command; returns the answer, or `None` if it was not applied.
pub async fn propose(leader: &Channel, command: Command) -> Option<Answer> {
    let req = LedgerRequest::Propose(command);
    match leader.call::<LedgerCall>(&req, CALL_TIMEOUT).await {
        Ok(LedgerReply::Applied { answer, .. }) => Some(answer),
        _ => None,
    }
}

/// Proposes commands, many of them concurrently.
pub async fn propose_all(leader: &Channel, commands: impl Iterator<Item = Command>) {
    let mut in_flight = FuturesUnordered::new();
    for command in commands {
        in_flight.push(propose(leader, command));
        if in_flight.len() >= MAX_IN_FLIGHT {
            in_flight.next().await;
        }
    }
    while in_flight.next().await.is_some() {}
}
