//! Callers whose timeouts are shorter than a commit on slow disks.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::Payload;
use anvil_ledger::machine::decode;
use anvil_ledger::storage::Disk;
use anvil_ledger::storage::recover::recover;
use anvil_world::command::{GrantBatch, GrantRequest, Order, OrderKind};
use anvil_world::prelude::*;
use anvilreel::ledger_client::LedgerClient;

use crate::cluster::{Cluster, Failure, declare_budget, top_up};

/// Time of one sync on a slow disk.
const SLOW_SYNC: Duration = Duration::from_millis(400);
/// Longest wait of a router for the answer to a batch, as gateways have it.
const BATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a call to one replica: shorter than a commit on slow disks.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without an answer after which a second replica is called, as gateways have it.
const HEDGE_DELAY: Duration = Duration::from_millis(50);

/// A cluster with tokens in the budget `nairobi`, whose disks are slow from now on.
async fn slow_cluster(routers: usize) -> Result<Cluster, Failure> {
    let cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    for number in 0..routers {
        cluster.propose(top_up(number as u64)).await?;
    }
    cluster.delay_syncs(SLOW_SYNC);
    Ok(cluster)
}

fn batch(router: usize) -> Command {
    Command::GrantBatch(GrantBatch {
        router: format!("router-{router}").into(),
        incarnation: 1,
        seq: 1,
        reports: Vec::new(),
        asks: vec![GrantRequest {
            budget: "nairobi".into(),
            wanted: 10,
            least: 10,
        }],
    })
}

fn addrs(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.peers.iter().map(|peer| peer.addr).collect()
}

/// How many copies of a command a replica's log holds.
fn copies(cluster: &Cluster, number: usize, command: &Command) -> Result<usize, Failure> {
    let disk = Disk::read_only(&cluster.folder.path().join(number.to_string()));
    let found = recover(&disk)?;
    let is_copy = |payload: &Payload| match payload {
        Payload::Data(data) => decode(data).is_ok_and(|held| held == *command),
        _ => false,
    };
    let entries = found.entries.iter();
    Ok(entries.filter(|entry| is_copy(&entry.payload)).count())
}

/// Guards against routers that never get a grant while the ledger commits: each call is given up before the
/// commit, and the resent batch waits for an entry of its own.
#[tokio::test(flavor = "multi_thread")]
async fn resent_batches_are_answered_although_commits_outlast_the_calls() -> Result<(), Failure> {
    const ROUTERS: usize = 4;
    const TRIES: usize = 4;
    let mut cluster = slow_cluster(ROUTERS).await?;
    let calls = (0..ROUTERS).map(|router| {
        let ledger = LedgerClient::new(&addrs(&cluster))
            .with_replica_timeout(CALL_TIMEOUT)
            .with_hedge(HEDGE_DELAY);
        async move {
            for _ in 0..TRIES {
                let answer = ledger.propose(batch(router), BATCH_TIMEOUT).await;
                if matches!(answer, Ok(Answer::Grants(_))) {
                    return true;
                }
            }
            false
        }
    });
    let answered = futures::future::join_all(calls).await;
    cluster.delay_syncs(Duration::ZERO);
    assert_eq!(answered, [true; ROUTERS], "routers that were answered");
    let leader = cluster.leader().await?;
    for router in 0..ROUTERS {
        let copies = copies(&cluster, leader, &batch(router))?;
        assert_eq!(copies, 1, "copies of router {router}'s batch in the log");
    }
    cluster.stop_all().await;
    Ok(())
}

/// Guards against a copy of a batch in the log for each hedge interval: a follower refers the caller back to the
/// leader, and the first call ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_whose_hedge_is_referred_back_is_appended_once() -> Result<(), Failure> {
    let mut cluster = slow_cluster(1).await?;
    let leader = cluster.leader().await?;
    let ledger = LedgerClient::new(&addrs(&cluster)).with_hedge(HEDGE_DELAY);
    let answer = ledger.propose(batch(0), Duration::from_secs(4)).await;
    assert!(matches!(answer, Ok(Answer::Grants(_))), "{answer:?}");
    cluster.delay_syncs(Duration::ZERO);
    let copies = copies(&cluster, leader, &batch(0))?;
    assert_eq!(copies, 1, "copies of the batch in the log");
    cluster.stop_all().await;
    Ok(())
}

/// Guards against equal orders of two operators that share a fencing number because they share a log entry.
#[tokio::test(flavor = "multi_thread")]
async fn equal_orders_in_flight_get_numbers_of_their_own() -> Result<(), Failure> {
    let mut cluster = slow_cluster(0).await?;
    let order = Command::Order(Order {
        sidecar: "sidecar-1".into(),
        kind: OrderKind::SetRole("decode".into()),
    });
    let (first, second) = tokio::join!(cluster.propose(order.clone()), cluster.propose(order));
    let (first, second) = (first?, second?);
    assert!(matches!(first, Answer::Fencing(_)), "{first:?}");
    assert_ne!(first, second);
    cluster.stop_all().await;
    Ok(())
}
