//! Restarts and lost disks: nothing acknowledged is lost.

use std::time::Duration;

use anvil_ledger::storage::Disk;
use anvil_ledger::storage::recover::recover;
use anvil_ledger::storage::store::read_identity;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, Failure, PATIENCE, declare, top_up};

async fn survives_restart(size: usize) -> Result<(), Failure> {
    let mut cluster = Cluster::start(size).await?;
    declare(&cluster).await?;
    for number in 0..1_000 {
        cluster.propose(top_up(number)).await?;
    }
    cluster.stop_all().await;
    for number in 0..size {
        cluster.run(number).await?;
    }
    assert_eq!(cluster.budget("nairobi").await?.credited, 10_000);
    cluster.stop_all().await;
    Ok(())
}

/// An operator makes 1,000 top-ups; the only replica is stopped and started again. The budget
/// shows every token, because each top-up was on disk before it was answered.
#[tokio::test(flavor = "multi_thread")]
async fn one_replica_restarts_after_1000_changes() -> Result<(), Failure> {
    survives_restart(1).await
}

/// As above with three replicas that all stop: the log and the snapshots of any two are enough.
#[tokio::test(flavor = "multi_thread")]
async fn three_replicas_restart_after_1000_changes() -> Result<(), Failure> {
    survives_restart(3).await
}

/// A replica loses its disk and comes back empty; right after it has been taken in again, another
/// one is lost. Operators still read every token: the new disk counts only since it caught up.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_then_a_second_loss() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare(&cluster).await?;
    for number in 0..500 {
        cluster.propose(top_up(number)).await?;
    }
    cluster.stop(0).await;
    std::fs::remove_dir_all(cluster.folder.path().join("0"))?;
    cluster.run(0).await?;
    let repaired = async {
        while !votes_again(&cluster, 0) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, repaired).await?;
    let found = recover(&Disk::read_only(&cluster.folder.path().join("0")))?;
    assert!(found.base.index > 0, "no snapshot was fetched");
    cluster.stop(1).await;
    assert_eq!(cluster.budget("nairobi").await?.credited, 5_000);
    cluster.propose(top_up(500)).await?;
    assert_eq!(cluster.budget("nairobi").await?.credited, 5_010);
    cluster.stop_all().await;
    Ok(())
}

/// Whether the newest membership on a replica's disk names that very disk as a voter.
fn votes_again(cluster: &Cluster, number: usize) -> bool {
    let disk = Disk::read_only(&cluster.folder.path().join(number.to_string()));
    let Ok(Some(id)) = read_identity(&disk) else {
        return false;
    };
    let membership = cluster.membership(number);
    membership.is_some_and(|membership| membership.voters.contains_key(&id))
}
