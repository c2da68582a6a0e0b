//! What followers of a replica are told.

use std::time::{Duration, SystemTime};

use anvil_ledger::core::CoreSettings;
use anvil_wire::Channel;
use anvil_wire::msg::{
    FollowEvent, FollowScope, LedgerCall, LedgerReply, LedgerRequest, Query, QueryAnswer,
};
use anvil_world::command::ReplaceRouting;
use anvil_world::prelude::*;
use anvilreel::ledger_client::LedgerClient;
use anvilreel::watcher::Watcher;
use tokio::time::timeout;

use crate::cluster::{Cluster, Failure, TEST_TIMEOUT, declare_budget, free_addr, put};

/// A router follows any replica: all documents first, then each change, in order of versions. A
/// sidecar is sent the fleet's document, itself and the fences only.
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

/// A router follows a replica that is cut off from the other replicas, not from the router. It
/// shows as a new route answered with 404 for seconds after it was acknowledged. The replica loses
/// its majority, says nothing more, and the router waits out its whole patience with silence, at
/// one such replica after the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_without_a_majority_ends_its_follow_streams() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    let channel = Channel::new(cluster.peers[0].addr);
    let ask = LedgerRequest::Follow {
        instance: "router-1".into(),
        interest: FollowScope::Router,
        version: 0,
    };
    let mut replies = channel.open::<LedgerCall>(&ask).await?;
    assert!(replies.next().await?.is_some());
    cluster.stop(1).await;
    cluster.stop(2).await;
    let stream_end = async { while let Ok(Some(_)) = replies.next().await {} };
    let within = CoreSettings::default().election_timeout * 2 + Duration::from_secs(1);
    assert!(timeout(within, stream_end).await.is_ok(), "left in silence");
    cluster.stop_all().await;
    Ok(())
}

/// An operator's acknowledgement is lost and it sends the same large routing table again and again.
/// Were each copy put into the log, what is new would wait behind megabytes. A table that is in force
/// is acknowledged without the log.
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
    let LedgerReply::Applied { answer, .. } = cluster.ask(&table).await? else {
        return Err("not applied".into());
    };
    assert_eq!(answer, Answer::Routing(7));
    let committed = |reply| match reply {
        LedgerReply::Read(QueryAnswer::Status(status)) => status.committed,
        other => panic!("{other:?}"),
    };
    let status = LedgerRequest::Query(Query::Status);
    let before = committed(cluster.ask(&status).await?);
    for _ in 0..10 {
        let LedgerReply::Applied { answer, .. } = cluster.ask(&table).await? else {
            return Err("not acknowledged again".into());
        };
        assert_eq!(answer, Answer::Routing(7));
    }
    assert_eq!(committed(cluster.ask(&status).await?), before);
    cluster.stop_all().await;
    Ok(())
}

/// Operators and relays get no answer from a ledger that is well, for as long as its members don't
/// change. Their settings have come to name replicas that can't be reached, and the ones that answered
/// until then were forgotten for them.
#[tokio::test(flavor = "multi_thread")]
async fn new_seeds_do_not_replace_replicas_that_answer() -> Result<(), Failure> {
    let mut cluster = Cluster::start(1).await?;
    let addrs = [cluster.peers[0].addr];
    let watcher = Watcher::new(LedgerClient::new(&addrs), "operators-1".into(), &addrs);
    watcher.set_seeds(&[free_addr()?]);
    let within = Duration::from_secs(2);
    let answer = watcher.ledger.query(Query::Status, within).await;
    assert!(answer.is_ok(), "{answer:?}");
    cluster.stop_all().await;
    Ok(())
}
