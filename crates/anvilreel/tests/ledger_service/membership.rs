//! Replicas that move to another address, and replicas that are removed.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_ledger::core::Membership;
use anvil_world::prelude::*;
use anvilreel::ledger_service::AutoRemoval;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, Failure, TEST_TIMEOUT, declare_budget, free_addr, top_up};

/// Guards against a moved replica whose votes and acknowledgements are lost. It restarts with its
/// disk at another address and another replica is lost; the remaining two go on, because the leader
/// has recorded the new address.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_moves_to_another_address_still_votes() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    cluster.stop(2).await;
    let old = cluster.peers[2].addr;
    cluster.peers[2].addr = free_addr()?;
    assert_ne!(cluster.peers[2].addr, old);
    cluster.run(2).await?;
    let moved = async {
        while !is_listed(&cluster, 2) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, moved).await?;
    cluster.stop(1).await;
    cluster.propose(top_up(1)).await?;
    assert_eq!(cluster.budget("nairobi").await?.credited, 10);
    cluster.stop_all().await;
    Ok(())
}

/// Whether the newest membership on the first replica's disk has a replica's present address.
fn is_listed(cluster: &Cluster, number: usize) -> bool {
    let addr = cluster.peers[number].addr;
    let listed = |membership: Membership| membership.voters.values().any(|site| site.addr == addr);
    cluster.membership(0).is_some_and(listed)
}

/// Guards against a permanently lost replica that stays a voter without an operator to remove it:
/// it would count in the majority, and the next loss would stop the ledger. It is removed after its
/// timeout, but never when fewer than three voters would remain.
#[tokio::test(flavor = "multi_thread")]
async fn a_permanently_lost_replica_is_removed() -> Result<(), Failure> {
    let rule = AutoRemoval {
        unresponsive_for: Duration::from_secs(2),
        min_voters: 3,
    };
    let mut cluster = Cluster::start_with(4, Some(rule)).await?;
    declare_budget(&cluster).await?;
    cluster.stop(3).await;
    let shrunk = async {
        while cluster.status().await?.voters.len() > 3 {
            sleep(Duration::from_millis(100)).await;
        }
        Ok::<(), Failure>(())
    };
    timeout(TEST_TIMEOUT, shrunk).await??;
    // Two of four voters would be no majority.
    cluster.stop(2).await;
    cluster.propose(top_up(1)).await?;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(cluster.status().await?.voters.len(), 3);
    // A replica that comes back with its disk votes again, so that the one that is still
    // unresponsive can be removed.
    cluster.run(3).await?;
    let expected: BTreeSet<InstanceId> = [0, 1, 3].map(|n| cluster.peers[n].id.clone()).into();
    let joined = async {
        while BTreeSet::from_iter(cluster.status().await?.voters) != expected {
            sleep(Duration::from_millis(100)).await;
        }
        Ok::<(), Failure>(())
    };
    timeout(TEST_TIMEOUT, joined).await??;
    cluster.stop_all().await;
    Ok(())
}
