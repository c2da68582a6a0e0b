//! Memory and processor time of the replicas of the ledger.

use std::time::{Duration, Instant};

use anvil_wire::Channel;
use anvil_wire::msg::{LedgerCall, LedgerReply, LedgerRequest, Query, QueryAnswer};
use tokio::time::sleep;

use super::bench::{Bench, CALL_TIMEOUT, ProcessCost, SETTLE_TIME, measure_usage};
use super::swarm;
use crate::fit::{Slope, point};
use crate::sample::{FilledState, create_document};

/// Interval at which the rollout of a change is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Usage of the leader and one follower at one size.
struct LeaderAndFollower {
    size: u64,
    leader: ProcessCost,
    follower: ProcessCost,
}

async fn leader_and_follower(bench: &Bench, size: u64) -> LeaderAndFollower {
    sleep(SETTLE_TIME).await;
    let all: Vec<_> = bench.replicas.iter().collect();
    let usage = measure_usage(&all).await;
    let leader = bench.leader().await;
    let name = |number: usize| &bench.replicas[number].name;
    LeaderAndFollower {
        size,
        leader: usage[name(leader)],
        follower: usage[name((leader + 1) % bench.replicas.len())],
    }
}

fn slope(
    all: &[LeaderAndFollower],
    what: &'static str,
    unit: &'static str,
    cost: impl Fn(&LeaderAndFollower) -> u64,
) -> Slope {
    Slope {
        what,
        unit,
        points: all
            .iter()
            .map(|usage| point(usage.size, cost(usage)))
            .collect(),
    }
}

/// With `size` sidecars that send heartbeats and follow.
pub async fn members() -> Vec<Slope> {
    let mut all = Vec::new();
    for size in [150, 500, 1_500] {
        let bench = Bench::start().await;
        let leader = bench.ledgers[bench.leader().await];
        let _swarm = swarm::sidecars(size, leader, &bench.ledgers);
        sleep(SETTLE_TIME).await;
        all.push(leader_and_follower(&bench, size).await);
    }
    let unit = "us a second, an instance that lives and follows";
    vec![
        slope(&all, "ledger leader: processor", unit, |b| {
            b.leader.processor
        }),
        slope(&all, "ledger follower: processor", unit, |b| {
            b.follower.processor
        }),
        slope(&all, "ledger leader: memory", "bytes an instance", |b| {
            b.leader.memory
        }),
        slope(&all, "ledger follower: memory", "bytes an instance", |b| {
            b.follower.memory
        }),
    ]
}

/// Milliseconds until a change is reported to be in force at all of `size` sidecars; the median of
/// five changes.
pub async fn in_force() -> Slope {
    let mut points = Vec::new();
    for size in [150, 500, 1_500] {
        let bench = Bench::start().await;
        let leader = bench.leader_channel().await;
        let _swarm = swarm::sidecars(size, leader.addr(), &bench.ledgers);
        sleep(SETTLE_TIME * 2).await;
        let mut times = Vec::new();
        for number in 0..5 {
            times.push(rollout_time(&leader, number).await);
        }
        times.sort_unstable();
        points.push(point(size, times[2]));
    }
    Slope {
        what: "a change in force everywhere",
        unit: "ms a sidecar that follows",
        points,
    }
}

async fn rollout_time(leader: &Channel, number: u64) -> u64 {
    let start = Instant::now();
    let path = format!("organisations/new-{number}");
    let req = LedgerRequest::Propose(create_document(&path, "", number));
    let applied = leader.call::<LedgerCall>(&req, CALL_TIMEOUT).await;
    let Ok(LedgerReply::Applied { index, .. }) = applied else {
        panic!("the change was not applied");
    };
    while start.elapsed() < CALL_TIMEOUT * 3 {
        let req = LedgerRequest::Query(Query::InForce(index));
        let reply = leader.call::<LedgerCall>(&req, CALL_TIMEOUT).await;
        if let Ok(LedgerReply::Read(QueryAnswer::InForce(rollout))) = reply
            && rollout.missing.is_empty()
        {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// With `size` routers that send a batch of 50 reports every second.
pub async fn batches() -> Vec<Slope> {
    const REPORTS: u64 = 50;
    let mut all = Vec::new();
    for size in [20, 60, 180] {
        let bench = Bench::start().await;
        let leader = bench.leader_channel().await;
        swarm::propose_all(&leader, FilledState::budget_commands(REPORTS)).await;
        let _swarm = swarm::routers(size, REPORTS, &leader);
        all.push(leader_and_follower(&bench, size).await);
    }
    let unit = "us a batch of 50 reports";
    vec![
        slope(&all, "ledger leader: processor", unit, |b| {
            b.leader.processor
        }),
        slope(&all, "ledger follower: processor", unit, |b| {
            b.follower.processor
        }),
    ]
}

/// With `size` claims of non-idempotent requests per second.
pub async fn claims() -> Vec<Slope> {
    let mut all = Vec::new();
    for size in [100, 300, 900] {
        let bench = Bench::start().await;
        let leader = bench.leader_channel().await;
        let _swarm = swarm::claims(size, &leader);
        all.push(leader_and_follower(&bench, size).await);
    }
    let unit = "us a claim";
    vec![
        slope(&all, "ledger leader: processor", unit, |b| {
            b.leader.processor
        }),
        slope(&all, "ledger follower: processor", unit, |b| {
            b.follower.processor
        }),
    ]
}
