//! What the ledger's processes use.

use std::time::{Duration, Instant};

use anvil_wire::Channel;
use anvil_wire::msg::{LedgerCall, LedgerReply, LedgerRequest, Query, QueryAnswer};
use tokio::time::sleep;

use super::bench::{Bench, PATIENCE, REST, Used, used};
use super::swarm;
use crate::fit::{Slope, point};
use crate::sample::{Filled, first_put};

/// Time between two looks at how far a change has spread.
const LOOK: Duration = Duration::from_millis(50);

/// Leader and a follower at one size.
struct Both {
    size: u64,
    leader: Used,
    follower: Used,
}

async fn both(bench: &Bench, size: u64) -> Both {
    sleep(REST).await;
    let all: Vec<_> = bench.replicas.iter().collect();
    let used = used(&all).await;
    let leader = bench.leader().await;
    let name = |at: usize| &bench.replicas[at].name;
    Both {
        size,
        leader: used[name(leader)],
        follower: used[name((leader + 1) % bench.replicas.len())],
    }
}

fn slope(all: &[Both], what: &'static str, unit: &'static str, of: impl Fn(&Both) -> u64) -> Slope {
    Slope {
        what,
        unit,
        points: all.iter().map(|both| point(both.size, of(both))).collect(),
    }
}

/// With so many sidecars that give signs of life and follow.
pub async fn members() -> Vec<Slope> {
    let mut all = Vec::new();
    for size in [150, 500, 1_500] {
        let bench = Bench::start().await;
        let leader = bench.ledgers[bench.leader().await];
        let _swarm = swarm::sidecars(size, leader, &bench.ledgers);
        sleep(REST).await;
        all.push(both(&bench, size).await);
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

/// Milliseconds until a change is known to be in force at so many sidecars; of five changes the
/// middle one.
pub async fn in_force() -> Slope {
    let mut points = Vec::new();
    for size in [150, 500, 1_500] {
        let bench = Bench::start().await;
        let leader = bench.lead().await;
        let _swarm = swarm::sidecars(size, leader.addr(), &bench.ledgers);
        sleep(REST * 2).await;
        let mut times = Vec::new();
        for number in 0..5 {
            times.push(spread(&leader, number).await);
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

async fn spread(leader: &Channel, number: u64) -> u64 {
    let start = Instant::now();
    let path = format!("organisations/new-{number}");
    let ask = LedgerRequest::Propose(first_put(&path, "", number));
    let applied = leader.call::<LedgerCall>(&ask, PATIENCE).await;
    let Ok(LedgerReply::Applied { index, .. }) = applied else {
        panic!("the change was not applied");
    };
    while start.elapsed() < PATIENCE * 3 {
        let ask = LedgerRequest::Query(Query::InForce(index));
        let reply = leader.call::<LedgerCall>(&ask, PATIENCE).await;
        if let Ok(LedgerReply::Read(QueryAnswer::InForce(spread))) = reply
            && spread.missing.is_empty()
        {
            break;
        }
        sleep(LOOK).await;
    }
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// With so many routers that send a batch of 50 reports every second.
pub async fn batches() -> Vec<Slope> {
    const REPORTS: u64 = 50;
    let mut all = Vec::new();
    for size in [20, 60, 180] {
        let bench = Bench::start().await;
        let leader = bench.lead().await;
        swarm::propose_all(&leader, Filled::budget_commands(REPORTS)).await;
        let _swarm = swarm::routers(size, REPORTS, &leader);
        all.push(both(&bench, size).await);
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

/// With so many claims of non-idempotent requests a second.
pub async fn claims() -> Vec<Slope> {
    let mut all = Vec::new();
    for size in [100, 300, 900] {
        let bench = Bench::start().await;
        let leader = bench.lead().await;
        let _swarm = swarm::claims(size, &leader);
        all.push(both(&bench, size).await);
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
