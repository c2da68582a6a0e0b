//! Restarts and lost disks lose nothing that was acknowledged.

use anvil_ledger::storage::Disk;
use anvil_ledger::storage::recover::recover;

use crate::cluster::{Cluster, Failure, declare_budget, top_up};

async fn survives_restart(size: usize) -> Result<(), Failure> {
    let mut cluster = Cluster::start(size).await?;
    declare_budget(&cluster).await?;
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

/// Guards against acknowledged changes that are lost when the only replica restarts: each top-up is
/// on disk before it is answered.
#[tokio::test(flavor = "multi_thread")]
async fn one_replica_restarts_after_1000_changes() -> Result<(), Failure> {
    survives_restart(1).await
}

/// As above for three replicas that all stop: the logs and snapshots of any two are enough.
#[tokio::test(flavor = "multi_thread")]
async fn three_replicas_restart_after_1000_changes() -> Result<(), Failure> {
    survives_restart(3).await
}

/// Guards against data that is lost when a second replica fails right after another one has
/// replaced its disk: the replica with the new disk becomes a voter only once it has caught up.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_loss_after_a_replaced_disk_loses_no_data() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    for number in 0..500 {
        cluster.propose(top_up(number)).await?;
    }
    cluster.stop(0).await;
    cluster.wipe(0)?;
    cluster.run(0).await?;
    cluster.wait_until_voter(0).await?;
    let found = recover(&Disk::read_only(&cluster.folder.path().join("0")))?;
    assert!(found.base.index > 0, "no snapshot was fetched");
    cluster.stop(1).await;
    assert_eq!(cluster.budget("nairobi").await?.credited, 5_000);
    cluster.propose(top_up(500)).await?;
    assert_eq!(cluster.budget("nairobi").await?.credited, 5_010);
    cluster.stop_all().await;
    Ok(())
}
