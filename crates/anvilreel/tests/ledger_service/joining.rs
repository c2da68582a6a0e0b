//! Replicas with an empty disk that join a ledger, knowing little of it.

use crate::cluster::{Cluster, Failure, declare_budget, top_up};

/// Users see every change refused from some moment on, and nothing served after a restart of all.
/// Before that a replica lost its disk and came back; its settings named two replicas, and a third one
/// led. It was taken in as a learner and never voted. With the next loss the ledger had no majority.
/// Cause: a replica hears whom its settings and its own log name, and the log of a new disk is empty.
/// Shown by the leader's line on a silent learner (`listens` false) and the newcomer's term of 0.
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

/// An instance is replaced, and its successor never joins the ledger; with the next loss nothing is
/// taken any more. Its settings named replicas that were gone when it started. They name living ones a
/// little later, and the running replica asked only those of its start.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_new_disk_joins_through_seeds_set_later() -> Result<(), Failure> {
    joins_through_a_later_seed(|leader| (leader + 1) % 4).await
}

/// As above; the seed that is named later is the leader itself, so nobody directs the newcomer to it.
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
    running.contacts.set_seeds(&seeds);
    cluster.wait_until_voter(newcomer).await?;
    cluster.stop_all().await;
    Ok(())
}
