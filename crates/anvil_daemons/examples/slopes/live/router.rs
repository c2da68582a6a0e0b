//! Memory and processor time of a router, by the size of the fleet and its settings.

use std::time::Duration;

use anvil_standins::client::Client;
use anvil_wire::Channel;
use tokio::time::sleep;

use super::bench::{Bench, SETTLE_TIME, measure_usage};
use super::swarm;
use crate::fit::{Slope, point};
use crate::sample::{FilledState, create_document};

/// Changes in one measuring window.
const CHANGES: u64 = 30;

/// With `size` teams in the tree, first idle and then with a change every 200 ms.
pub async fn teams() -> Vec<Slope> {
    let (mut memory, mut change) = (Vec::new(), Vec::new());
    for size in [1_000, 4_000, 16_000] {
        let bench = Bench::start().await;
        let leader = bench.leader_channel().await;
        swarm::propose_all(&leader, FilledState::budget_commands(100)).await;
        swarm::propose_all(&leader, FilledState::team_commands(size, 100)).await;
        let (router, listen) = bench.router(bench.ledgers.clone());
        ready(listen).await;
        sleep(SETTLE_TIME).await;
        let idle = measure_usage(&[&router]).await[&router.name];
        memory.push(point(size, idle.memory));
        let measured = [&router];
        let (busy, ()) = tokio::join!(measure_usage(&measured), changes(&leader));
        let spent = busy[&router.name].processor.saturating_sub(idle.processor);
        change.push(point(
            size,
            spent * super::bench::WINDOW.as_secs() / CHANGES,
        ));
    }
    vec![
        Slope {
            what: "router: memory",
            unit: "bytes a team in the tree",
            points: memory,
        },
        Slope {
            what: "router: processor for one change",
            unit: "us a team in the tree",
            points: change,
        },
    ]
}

async fn changes(leader: &Channel) {
    for number in 0..CHANGES {
        let path = format!("organisations/new-{number}");
        swarm::propose(leader, create_document(&path, "", 2_000_000 + number)).await;
        sleep(super::bench::WINDOW / u32::try_from(CHANGES).unwrap_or(1)).await;
    }
}

/// With `size` sidecars in the fleet that send heartbeats.
pub async fn members() -> Vec<Slope> {
    let (mut memory, mut processor) = (Vec::new(), Vec::new());
    for size in [150, 500, 1_500] {
        let bench = Bench::start().await;
        let leader = bench.leader_channel().await;
        swarm::propose_all(&leader, FilledState::budget_commands(1)).await;
        let (router, listen) = bench.router(bench.ledgers.clone());
        ready(listen).await;
        let addr = bench.ledgers[bench.leader().await];
        let _swarm = swarm::sidecars(size, addr, &bench.ledgers);
        sleep(SETTLE_TIME * 2).await;
        let usage = measure_usage(&[&router]).await[&router.name];
        memory.push(point(size, usage.memory));
        processor.push(point(size, usage.processor));
    }
    vec![
        Slope {
            what: "router: memory",
            unit: "bytes a sidecar in the fleet",
            points: memory,
        },
        Slope {
            what: "router: processor at rest",
            unit: "us a second, a sidecar in the fleet",
            points: processor,
        },
    ]
}

async fn ready(listen: std::net::SocketAddr) {
    let url = format!("http://{listen}/readyz");
    let client = Client::default();
    loop {
        let answer = client.get(&url).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}
