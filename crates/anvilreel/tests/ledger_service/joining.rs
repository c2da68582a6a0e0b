//! Replicas with an empty disk that join a ledger while their settings name only some replicas, or
//! none.

use crate::cluster::{Cluster, Failure, declare_budget, top_up};

/// Guards against a replica with a new disk that joins as a learner and never votes; after the next
/// loss the ledger has no majority, so every change is refused, and after a restart of all replicas
/// nothing is served. A replica connects to the replicas in its settings and in its log, but the
/// log of a new disk is empty and the settings may not name the leader. It shows in the leader's
/// event `ledger_learner_silent` with `listens` false, and in the new replica's term of 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_new_disk_votes_when_its_settings_do_not_name_the_leader()
-> Result<(), Failure> {
    let mut cluster = Cluster::start(4).await?;
    declare_budget(&cluster).await?;
    let leader = cluster.leader().await?;
    let others: Vec<usize> = (0..4).filter(|number| *number != leader).collect();
    let &[newcomer, configured, lost] = others.as_slice() else {
        return Err("four replicas have three followers".into());
    };
    cluster.stop(newcomer).await;
    cluster.wipe(newcomer)?;
    cluster.known_peers.insert(newcomer, vec![configured, lost]);
    cluster.run(newcomer).await?;
    cluster.wait_until_voter(newcomer).await?;
    cluster.stop(lost).await;
    cluster.propose(top_up(1)).await?;
    assert_eq!(cluster.budget("nairobi").await?.credited, 10);
    cluster.stop_all().await;
    Ok(())
}

/// Guards against a replica that joins only through the replicas its settings named at its start.
/// If those no longer exist, it would never join, although its settings name running ones later,
/// and after the next loss no change would be accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_new_disk_joins_through_seeds_set_later() -> Result<(), Failure> {
    joins_through_a_later_seed(|leader| (leader + 1) % 4).await
}

/// As above, but the seed that is set later is the leader itself, so no other replica refers to it.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_new_disk_joins_through_a_later_seed_that_leads() -> Result<(), Failure> {
    joins_through_a_later_seed(|leader| leader).await
}

async fn joins_through_a_later_seed(seed: impl Fn(usize) -> usize) -> Result<(), Failure> {
    let mut cluster = Cluster::start(4).await?;
    declare_budget(&cluster).await?;
    let leader = cluster.leader().await?;
    let newcomer = (leader + 2) % 4;
    cluster.stop(newcomer).await;
    cluster.wipe(newcomer)?;
    cluster.known_peers.insert(newcomer, Vec::new());
    cluster.run(newcomer).await?;
    let seeds = [cluster.peers[seed(leader)].addr];
    let running = cluster.running[newcomer].as_ref();
    let running = running.ok_or("the replica was started above")?;
    running.peer_addresses.set_seeds(&seeds);
    cluster.wait_until_voter(newcomer).await?;
    cluster.stop_all().await;
    Ok(())
}
