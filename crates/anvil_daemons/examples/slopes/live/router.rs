//! What a router uses for what it knows of the fleet.

use std::time::Duration;

use anvil_standins::client::Client;
use anvil_wire::Channel;
use tokio::time::sleep;

use super::bench::{Bench, REST, used};
use super::swarm;
use crate::fit::{Slope, point};
use crate::sample::{Filled, first_put};

/// Changes of a team in a window.
const CHANGES: u64 = 30;

/// With so many teams in the tree, and a change of one every 200 ms.
pub async fn teams() -> Vec<Slope> {
    let (mut memory, mut change) = (Vec::new(), Vec::new());
    for size in [1_000, 4_000, 16_000] {
        let bench = Bench::start().await;
        let leader = bench.lead().await;
        swarm::propose_all(&leader, Filled::budget_commands(100)).await;
        swarm::propose_all(&leader, Filled::team_commands(size, 100)).await;
        let (router, listen) = bench.router(bench.ledgers.clone());
        ready(listen).await;
        sleep(REST).await;
        let idle = used(&[&router]).await[&router.name];
        memory.push(point(size, idle.memory));
        let measured = [&router];
        let (busy, ()) = tokio::join!(used(&measured), changes(&leader));
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
    for at in 0..CHANGES {
        let path = format!("organisations/new-{at}");
        swarm::propose(leader, first_put(&path, "", 2_000_000 + at)).await;
        sleep(super::bench::WINDOW / u32::try_from(CHANGES).unwrap_or(1)).await;
    }
}

/// With so many sidecars in the fleet that give signs of life.
pub async fn members() -> Vec<Slope> {
    let (mut memory, mut processor) = (Vec::new(), Vec::new());
    for size in [150, 500, 1_500] {
        let bench = Bench::start().await;
        let leader = bench.lead().await;
        swarm::propose_all(&leader, Filled::budget_commands(1)).await;
        let (router, listen) = bench.router(bench.ledgers.clone());
        ready(listen).await;
        let addr = bench.ledgers[bench.leader().await];
        let _swarm = swarm::sidecars(size, addr, &bench.ledgers);
        sleep(REST * 2).await;
        let used = used(&[&router]).await[&router.name];
        memory.push(point(size, used.memory));
        processor.push(point(size, used.processor));
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
