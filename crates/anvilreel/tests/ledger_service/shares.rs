//! Operators' orders that set shares, at replicas over real sockets.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use anvil_wire::msg::{AuditFilter, LedgerReply, LedgerRequest, Query, QueryAnswer};
use anvil_world::command::{Denial, ReplaceRouting, SetShare, change_id};
use anvil_world::prelude::*;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, Failure, TEST_TIMEOUT};
use crate::quarantines::{PreviousReplica, is_changed, order_until};

fn organisation() -> ShareTarget {
    ShareTarget::Organisation("co-op".into())
}

fn route() -> ShareTarget {
    ShareTarget::Route("desk".into())
}

fn order(target: ShareTarget, reason: &str) -> Result<Command, Failure> {
    Ok(Command::SetShare(SetShare {
        id: change_id(SystemTime::now(), &format!("{target}")),
        operator: "wanjiru".into(),
        target,
        factor: "4".parse()?,
        before: ShareFactor::ONE,
        reason: reason.into(),
        at: SystemTime::UNIX_EPOCH,
    }))
}

async fn configure(cluster: &Cluster, version: RoutingVersion, names: &str) -> Result<(), Failure> {
    let routing = ReplaceRouting {
        operator: "wanjiru".into(),
        version,
        text: names.into(),
        credits: BTreeMap::new(),
        at: SystemTime::UNIX_EPOCH,
    };
    cluster.propose(Command::ReplaceRouting(routing)).await?;
    Ok(())
}

async fn shares(cluster: &Cluster) -> Result<Vec<ShareTarget>, Failure> {
    let query = LedgerRequest::Query(Query::Shares);
    match cluster.request(&query).await? {
        LedgerReply::Read(QueryAnswer::Shares(shares)) => {
            Ok(shares.all().keys().cloned().collect())
        }
        other => Err(format!("{other:?}").into()),
    }
}

/// Guards against an acknowledged order that is lost with the processes of all replicas, and
/// against one that is refused when it is sent again, because its name has been removed from the
/// configuration since.
#[tokio::test(flavor = "multi_thread")]
async fn order_survives_a_restart_of_all_replicas() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    configure(&cluster, 1, "co-op\ndesk").await?;
    let order = order(organisation(), "a sale")?;
    order_until(&cluster, &order, is_changed).await?;
    cluster.stop_all().await;
    for number in 0..3 {
        cluster.run(number).await?;
    }
    assert_eq!(shares(&cluster).await?, [organisation()]);
    configure(&cluster, 2, "\n").await?;
    let again = order_until(&cluster, &order, is_changed).await?;
    assert!(matches!(again, Answer::Changed(receipt) if receipt.resent));
    cluster.stop_all().await;
    Ok(())
}

/// Guards against an order for a mistyped name, or without a reason, that is acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn order_that_names_nothing_in_the_configuration_is_refused() -> Result<(), Failure> {
    let mut cluster = Cluster::start(1).await?;
    let without_table = cluster.propose(order(organisation(), "a sale")?).await?;
    assert!(matches!(
        without_table,
        Answer::Denied(Denial::Settings { .. })
    ));
    configure(&cluster, 1, "desk\nco-op").await?;
    for target in [organisation(), route()] {
        let answer = cluster.propose(order(target, "a sale")?).await?;
        assert!(
            matches!(answer, Answer::Denied(Denial::Unknown { .. })),
            "{answer:?}"
        );
    }
    configure(&cluster, 2, "co-op\ndesk").await?;
    let without_reason = cluster.propose(order(organisation(), " ")?).await?;
    assert!(matches!(
        without_reason,
        Answer::Denied(Denial::Settings { .. })
    ));
    assert_eq!(shares(&cluster).await?, []);
    cluster.stop_all().await;
    Ok(())
}

/// Guards against orders that make every event for routers large, and against a full table in which
/// nothing can be changed.
#[tokio::test(flavor = "multi_thread")]
async fn orders_beyond_the_maximum_are_refused() -> Result<(), Failure> {
    const MAX_SHARES: usize = 256;
    let mut cluster = Cluster::start(1).await?;
    let names: Vec<_> = (0..=MAX_SHARES).map(|at| format!("o{at}")).collect();
    configure(&cluster, 1, &format!("{}\n", names.join(" "))).await?;
    let target = |name: &str| ShareTarget::Organisation(name.into());
    for name in &names[..MAX_SHARES] {
        let answer = cluster.propose(order(target(name), "a sale")?).await?;
        assert!(is_changed(&answer), "{answer:?}");
    }
    let excess = order(target(&names[MAX_SHARES]), "a sale")?;
    let answer = cluster.propose(excess.clone()).await?;
    assert!(matches!(answer, Answer::Denied(Denial::Settings { .. })));
    let Command::SetShare(mut end) = order(target(&names[0]), "over")? else {
        return Err("another command".into());
    };
    end.id = change_id(SystemTime::now(), "end");
    end.factor = ShareFactor::ONE;
    let answer = cluster.propose(Command::SetShare(end)).await?;
    assert!(is_changed(&answer), "{answer:?}");
    assert!(is_changed(&cluster.propose(excess).await?));
    cluster.stop_all().await;
    Ok(())
}

/// Guards against a share that waits for a later organisation or route of the same name, and
/// against one that is dropped although its name is still configured.
#[tokio::test(flavor = "multi_thread")]
async fn share_of_a_removed_name_is_dropped() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    configure(&cluster, 1, "co-op\ndesk").await?;
    for target in [organisation(), route()] {
        order_until(&cluster, &order(target, "a sale")?, is_changed).await?;
    }
    configure(&cluster, 2, "co-op\nshop").await?;
    let dropped = async {
        while shares(&cluster).await? != [organisation()] {
            sleep(Duration::from_millis(50)).await;
        }
        Ok::<_, Failure>(())
    };
    timeout(TEST_TIMEOUT, dropped).await??;
    configure(&cluster, 3, "co-op\ndesk").await?;
    assert_eq!(shares(&cluster).await?, [organisation()]);
    let filter = AuditFilter {
        operator: Some("ledger".into()),
        ..AuditFilter::default()
    };
    let query = LedgerRequest::Query(Query::Audit(filter));
    let LedgerReply::Read(QueryAnswer::Audit(lines)) = cluster.request(&query).await? else {
        return Err("no audit trail".into());
    };
    assert_eq!(*lines[0].subject, *"shares/routes/desk");
    assert_eq!(lines[0].before.as_deref(), Some("factor 4"));
    cluster.stop_all().await;
    Ok(())
}

/// Guards against an entry that a replica of the previous build can't decode, at which it would
/// stop.
#[tokio::test(flavor = "multi_thread")]
async fn order_is_denied_while_a_replica_of_the_previous_build_is_a_member() -> Result<(), Failure>
{
    let (mut cluster, previous) = PreviousReplica::start().await?;
    configure(&cluster, 1, "co-op\ndesk").await?;
    let order = order(organisation(), "a sale")?;
    order_until(&cluster, &order, |answer| previous.is_denial(answer)).await?;
    assert_eq!(shares(&cluster).await?, []);
    previous.remove(&cluster).await?;
    order_until(&cluster, &order, is_changed).await?;
    assert_eq!(shares(&cluster).await?, [organisation()]);
    previous.serving.abort();
    cluster.stop_all().await;
    Ok(())
}
