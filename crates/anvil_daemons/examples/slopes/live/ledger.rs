//! What the ledger's processes use.

use tokio::time::sleep;

use super::bench::{Bench, REST, Used, used};
use super::swarm;
use crate::fit::{Slope, point};
use crate::sample::Filled;

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
