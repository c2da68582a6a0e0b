//! Operators' orders to evacuate a zone: the last acknowledged one is in force.

use std::time::{Duration, SystemTime};

use anvil_wire::msg::{LedgerReply, LedgerRequest, Query, QueryAnswer};
use anvil_world::command::{Change, Denial, Edit, change_id};
use anvil_world::document::ZoneDocument;
use anvil_world::prelude::*;
use anvilreel::evacuation::{self, EvacuationError, EvacuationOrder};
use anvilreel::ledger_client::LedgerClient;
use anvilreel::moment::Moment;
use tokio::time::sleep;

use crate::cluster::{Cluster, Failure, TEST_TIMEOUT};

fn client(cluster: &Cluster) -> LedgerClient {
    let addrs: Vec<_> = cluster.peers.iter().map(|peer| peer.addr).collect();
    LedgerClient::new(&addrs)
}

fn order(evacuated: bool) -> EvacuationOrder {
    EvacuationOrder {
        zone: "z-a".into(),
        evacuated,
        operator: "wanjiru".into(),
    }
}

async fn commit(ledger: &LedgerClient, evacuated: bool) -> Result<Revision, EvacuationError> {
    evacuation::commit(ledger, &order(evacuated), Moment::now(), TEST_TIMEOUT).await
}

async fn entry(cluster: &Cluster) -> Result<TreeEntry, Failure> {
    let query = LedgerRequest::Query(Query::Tree("zones/".into()));
    match cluster.request(&query).await? {
        LedgerReply::Read(QueryAnswer::Tree(tree)) => {
            let entry = tree.get(&TreePath::Zone("z-a".into()));
            Ok(entry.cloned().ok_or("no order")?)
        }
        other => Err(format!("{other:?}").into()),
    }
}

/// The order that a process would send after it has read this revision.
fn change(expected: Revision, evacuated: bool) -> Command {
    Command::Change(Change {
        id: change_id(SystemTime::now(), "delayed"),
        operator: "wanjiru".into(),
        path: TreePath::Zone("z-a".into()),
        expected,
        edit: Edit::Put(ZoneDocument { evacuated }.to_text().into()),
        at: SystemTime::UNIX_EPOCH,
    })
}

fn assert_conflict(answer: &Answer) {
    assert!(
        matches!(answer, Answer::Denied(Denial::Conflict { .. })),
        "{answer:?}"
    );
}

/// Guards against an evacuation that is begun again by a delayed order, after the operator has
/// finished it through another process.
#[tokio::test(flavor = "multi_thread")]
async fn delayed_order_is_refused_after_a_later_one() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    let ledger = client(&cluster);
    // Finishing an evacuation that never began changes nothing, and still overtakes its beginning.
    commit(&ledger, false).await?;
    let answer = cluster.propose(change(0, true)).await?;
    assert_conflict(&answer);
    let begun = commit(&ledger, true).await?;
    commit(&ledger, true).await?;
    let answer = cluster.propose(change(begun, false)).await?;
    assert_conflict(&answer);
    assert_eq!(&*entry(&cluster).await?.text, "evacuated = true\n");
    cluster.stop_all().await;
    Ok(())
}

/// Guards against orders of two operators at once that fail, or get lost, because both read the same
/// revision.
#[tokio::test(flavor = "multi_thread")]
async fn orders_of_several_operators_at_once_are_all_committed() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    let ledger = client(&cluster);
    let orders = (0..8).map(|number| commit(&ledger, number % 2 == 0));
    let mut revisions = Vec::new();
    for result in futures::future::join_all(orders).await {
        revisions.push(result?);
    }
    let newest = revisions.iter().max();
    assert_eq!(newest, Some(&entry(&cluster).await?.revision));
    cluster.stop_all().await;
    Ok(())
}

/// Guards against an acknowledged evacuation that is lost with the processes of all replicas, or
/// with a snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_survives_a_restart_of_all_replicas() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    let ledger = client(&cluster);
    // More orders than entries between two snapshots.
    for number in 0..150 {
        commit(&ledger, number % 2 == 0).await?;
    }
    let revision = commit(&ledger, true).await?;
    cluster.stop_all().await;
    for number in 0..3 {
        cluster.run(number).await?;
    }
    let entry = entry(&cluster).await?;
    assert_eq!(
        (entry.revision, &*entry.text),
        (revision, "evacuated = true\n")
    );
    cluster.stop_all().await;
    Ok(())
}

/// Guards against an order that a process commits after it was frozen, when the operator has long
/// given up on it.
#[tokio::test(flavor = "multi_thread")]
async fn old_order_is_not_committed() -> Result<(), Failure> {
    let mut cluster = Cluster::start(1).await?;
    let ledger = client(&cluster);
    commit(&ledger, false).await?;
    let received = Moment::now();
    sleep(Duration::from_millis(60)).await;
    let max_age = Duration::from_millis(50);
    let result = evacuation::commit(&ledger, &order(true), received, max_age).await;
    assert!(
        matches!(result, Err(EvacuationError::TooLate)),
        "{result:?}"
    );
    assert_eq!(&*entry(&cluster).await?.text, "evacuated = false\n");
    cluster.stop_all().await;
    Ok(())
}
