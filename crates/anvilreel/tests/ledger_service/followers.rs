//! Events that a replica sends to its followers.

use std::time::{Duration, SystemTime};

use anvil_ledger::core::CoreSettings;
use anvil_ledger::storage::snapshot;
use anvil_wire::Channel;
use anvil_wire::msg::{
    FollowEvent, FollowScope, LedgerCall, LedgerReply, LedgerRequest, Query, QueryAnswer,
};
use anvil_world::command::ReplaceRouting;
use anvil_world::prelude::*;
use anvilreel::ledger_client::LedgerClient;
use anvilreel::watcher::ReplicaWatcher;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, Failure, TEST_TIMEOUT, declare_budget, free_addr, put, top_up};

/// Entries after which the replicas of the tests take a snapshot.
const SNAPSHOT_ENTRIES: u64 = 200;

/// Guards against followers that miss changes: at each replica, a router receives all documents
/// first, then each change with a higher version.
#[tokio::test(flavor = "multi_thread")]
async fn followers_receive_all_documents_then_changes() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    for peer in &cluster.peers {
        let channel = Channel::new(peer.addr);
        let follow = LedgerRequest::Follow {
            instance: "router-1".into(),
            interest: FollowScope::Router,
            version: 0,
        };
        let mut replies = channel.open::<LedgerCall>(&follow).await?;
        let first = timeout(TEST_TIMEOUT, replies.next()).await??;
        let Some(LedgerReply::Follow(FollowEvent::Full { version, tree, .. })) = first else {
            return Err(format!("{first:?}").into());
        };
        assert!(tree.contains_key(&TreePath::try_from("budgets/nairobi")?));
        let path = format!("models/at-{}", peer.id);
        cluster
            .propose(put("services/chat", "").or_else(|_| put("fleet", ""))?)
            .await?;
        cluster.propose(put(&path, "service = \"chat\"\n")?).await?;
        let path = TreePath::try_from(path.as_str())?;
        let changed = async {
            loop {
                match replies.next().await? {
                    Some(LedgerReply::Follow(FollowEvent::Delta {
                        version: newer,
                        tree,
                        ..
                    })) if tree.iter().any(|(changed, _)| *changed == path) => {
                        assert!(newer > version);
                        return Ok::<(), Failure>(());
                    }
                    Some(LedgerReply::Follow(FollowEvent::Full { .. })) | None => {
                        return Err("no delta".into());
                    }
                    Some(_) => {}
                }
            }
        };
        timeout(TEST_TIMEOUT, changed).await??;
    }
    cluster.stop_all().await;
    Ok(())
}

/// Guards against followers that stay at a replica without a majority. It is cut off from the other
/// replicas but not from the router, which would wait out its timeout at one such replica after the
/// other. Users would see 404 for a new route for seconds after it was acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_without_a_majority_ends_its_follow_streams() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    let channel = Channel::new(cluster.peers[0].addr);
    let req = LedgerRequest::Follow {
        instance: "router-1".into(),
        interest: FollowScope::Router,
        version: 0,
    };
    let mut replies = channel.open::<LedgerCall>(&req).await?;
    assert!(replies.next().await?.is_some());
    cluster.stop(1).await;
    cluster.stop(2).await;
    let stream_end = async { while let Ok(Some(_)) = replies.next().await {} };
    let within = CoreSettings::default().election_timeout * 2 + Duration::from_secs(1);
    assert!(
        timeout(within, stream_end).await.is_ok(),
        "the follow stream is still open"
    );
    cluster.stop_all().await;
    Ok(())
}

/// Guards against routers that keep an older routing table in force although a newer one was
/// acknowledged: their replica hears the leader, lacks entries, and can't fetch a snapshot for now.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_lacks_entries_ends_its_follow_streams() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    let behind = (cluster.leader().await? + 1) % 3;
    propose_top_ups(&cluster, 0..SNAPSHOT_ENTRIES).await?;
    wait_for_snapshot(&cluster, behind).await?;
    cluster.stop(behind).await;
    propose_top_ups(&cluster, SNAPSHOT_ENTRIES..3 * SNAPSHOT_ENTRIES).await?;
    for other in (0..3).filter(|other| *other != behind) {
        wait_for_snapshot(&cluster, other).await?;
        std::fs::remove_file(cluster.settings(other).data.join(snapshot::NAME))?;
    }
    cluster.run(behind).await?;
    // Longer than the replica needs to hear from the leader.
    sleep(Duration::from_secs(1)).await;

    let follow = LedgerRequest::Follow {
        instance: "router-1".into(),
        interest: FollowScope::Router,
        version: 0,
    };
    let channel = Channel::new(cluster.peers[behind].addr);
    let mut replies = channel.open::<LedgerCall>(&follow).await?;
    let stream_end = async {
        while let Some(reply) = replies.next().await? {
            let confirms = matches!(reply, LedgerReply::Follow(FollowEvent::Current { .. }));
            assert!(!confirms, "an older state is called current");
        }
        Ok::<(), Failure>(())
    };
    timeout(TEST_TIMEOUT, stream_end).await??;
    cluster.stop_all().await;
    Ok(())
}

async fn propose_top_ups(cluster: &Cluster, numbers: std::ops::Range<u64>) -> Result<(), Failure> {
    for number in numbers {
        cluster.propose(top_up(number)).await?;
    }
    Ok(())
}

async fn wait_for_snapshot(cluster: &Cluster, number: usize) -> Result<(), Failure> {
    let file = cluster.settings(number).data.join(snapshot::NAME);
    let written = async {
        while !file.exists() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    Ok(timeout(TEST_TIMEOUT, written).await?)
}

/// Guards against new commands that wait behind copies of a large routing table, which an operator
/// resends after its acknowledgement was lost. A table that is in force is acknowledged without a
/// log entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_resent_routing_table_is_acknowledged_without_a_log_entry() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    let table = LedgerRequest::Propose(Command::ReplaceRouting(ReplaceRouting {
        operator: "op".into(),
        version: 7,
        text: "x".repeat(100_000).into(),
        credits: std::collections::BTreeMap::new(),
        at: SystemTime::UNIX_EPOCH,
    }));
    let LedgerReply::Applied { answer, .. } = cluster.request(&table).await? else {
        return Err("not applied".into());
    };
    assert_eq!(answer, Answer::Routing(7));
    let committed = |reply| match reply {
        LedgerReply::Read(QueryAnswer::Status(status)) => status.committed,
        other => panic!("{other:?}"),
    };
    let status = LedgerRequest::Query(Query::Status);
    let before = committed(cluster.request(&status).await?);
    for _ in 0..10 {
        let LedgerReply::Applied { answer, .. } = cluster.request(&table).await? else {
            return Err("not acknowledged again".into());
        };
        assert_eq!(answer, Answer::Routing(7));
    }
    assert_eq!(committed(cluster.request(&status).await?), before);
    cluster.stop_all().await;
    Ok(())
}

/// Guards against clients that forget the replicas that answer when their settings name replicas
/// that can't be reached. Operators and relays would get no answer from a healthy ledger until its
/// members change.
#[tokio::test(flavor = "multi_thread")]
async fn new_seeds_do_not_replace_replicas_that_answer() -> Result<(), Failure> {
    let mut cluster = Cluster::start(1).await?;
    let addrs = [cluster.peers[0].addr];
    let watcher = ReplicaWatcher::new(LedgerClient::new(&addrs), "operators-1".into(), &addrs);
    watcher.set_seeds(&[free_addr()?]);
    let within = Duration::from_secs(2);
    let answer = watcher.ledger.query(Query::Status, within).await;
    assert!(answer.is_ok(), "{answer:?}");
    cluster.stop_all().await;
    Ok(())
}
