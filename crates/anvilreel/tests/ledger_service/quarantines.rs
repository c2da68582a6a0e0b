//! Operators' orders that lift quarantines, at replicas over real sockets.

use std::time::{Duration, SystemTime};

use anvil_ledger::core::{ReplicaId, Site};
use anvil_wire::msg::{LedgerReply, LedgerRequest, Query, QueryAnswer};
use anvil_wire::{Call, Handlers, Server};
use anvil_world::command::{Denial, LiftQuarantine, QuarantineTarget, ReportCrash, change_id};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use anvilreel::ledger_service::peer::{Hello, PeerReply};
use anvilreel::ledger_service::remove;
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, Failure, TEST_TIMEOUT};

/// The digest of a whole request.
const REQUEST: ContentDigest = 7 << 120;

fn order(id: &str, reason: &str) -> Command {
    Command::LiftQuarantine(LiftQuarantine {
        id: change_id(SystemTime::now(), id),
        operator: "wanjiru".into(),
        target: QuarantineTarget::Content(REQUEST),
        contents: Vec::new(),
        reason: reason.into(),
        at: SystemTime::UNIX_EPOCH,
    })
}

async fn crash_three(cluster: &Cluster) -> Result<(), Failure> {
    for endpoint in ["a", "b", "c"] {
        let report = ReportCrash {
            endpoint: endpoint.into(),
            contents: vec![(REQUEST, CrashedRun::BeforeOutput)],
            at: SystemTime::UNIX_EPOCH,
        };
        cluster.propose(Command::ReportCrash(report)).await?;
    }
    Ok(())
}

async fn is_quarantined(cluster: &Cluster) -> Result<bool, Failure> {
    let query = LedgerRequest::Query(Query::Suspects);
    match cluster.request(&query).await? {
        LedgerReply::Read(QueryAnswer::Suspects(suspects)) => {
            let suspect = suspects.get(&REQUEST);
            let left = suspect.map(|suspect| suspect.quarantine_remaining(SystemTime::now()));
            Ok(left.is_some_and(|left| !left.is_zero()))
        }
        other => Err(format!("{other:?}").into()),
    }
}

/// Sends an order until no replica is left that the leader has not heard from.
pub async fn order_until(
    cluster: &Cluster,
    order: &Command,
    is_expected: impl Fn(&Answer) -> bool,
) -> Result<Answer, Failure> {
    let ordering = async {
        loop {
            let answer = cluster.propose(order.clone()).await?;
            if is_expected(&answer) {
                return Ok(answer);
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(TEST_TIMEOUT, ordering).await?
}

pub fn is_changed(answer: &Answer) -> bool {
    matches!(answer, Answer::Changed(_))
}

/// Guards against an acknowledged order that is lost with the processes of all replicas, or that a
/// replica applies again.
#[tokio::test(flavor = "multi_thread")]
async fn order_survives_a_restart_of_all_replicas() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    crash_three(&cluster).await?;
    assert!(is_quarantined(&cluster).await?);
    let order = order("one", "repaired");
    let first = order_until(&cluster, &order, is_changed).await?;
    assert!(!is_quarantined(&cluster).await?);
    cluster.stop_all().await;
    for number in 0..3 {
        cluster.run(number).await?;
    }
    assert!(!is_quarantined(&cluster).await?);
    crash_three(&cluster).await?;
    let again = order_until(&cluster, &order, is_changed).await?;
    let (Answer::Changed(first), Answer::Changed(again)) = (first, again) else {
        return Err("no receipts".into());
    };
    assert!(again.resent && again.revision == first.revision);
    assert!(is_quarantined(&cluster).await?);
    cluster.stop_all().await;
    Ok(())
}

/// Guards against an order in the audit trail that doesn't say why it was given.
#[tokio::test(flavor = "multi_thread")]
async fn order_without_a_reason_is_refused() -> Result<(), Failure> {
    let mut cluster = Cluster::start(1).await?;
    crash_three(&cluster).await?;
    let answer = cluster.propose(order("one", " ")).await?;
    assert!(
        matches!(answer, Answer::Denied(Denial::Settings { .. })),
        "{answer:?}"
    );
    assert!(is_quarantined(&cluster).await?);
    cluster.stop_all().await;
    Ok(())
}

/// Requests between replicas as the previous build has them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum PreviousRequest {
    Hello,
    Listen { id: ReplicaId },
    Join { id: ReplicaId, site: Site },
    Remove(InstanceId),
    Fetch,
}

struct PreviousCall;

impl Call for PreviousCall {
    const PATH: &'static str = "/peer";
    type Req = PreviousRequest;
    type Resp = PeerReply;
}

/// A replica of the previous build, beside two of this one.
pub struct PreviousReplica {
    instance: InstanceId,
    /// The task that stands in for it.
    pub serving: JoinHandle<()>,
}

impl PreviousReplica {
    /// Starts it, and two replicas of this build.
    pub async fn start() -> Result<(Cluster, Self), Failure> {
        let mut cluster = Cluster::reserve(3)?;
        let peer = cluster.peers[2].clone();
        let server = Server::bind(peer.addr).await?;
        let previous = Self {
            serving: tokio::spawn(serve_previous_build(server, peer.id.clone())),
            instance: peer.id,
        };
        for number in 0..2 {
            cluster.run(number).await?;
        }
        Ok((cluster, previous))
    }

    /// Whether an order was denied because of this replica alone. The other replica of this build
    /// confirms within a moment.
    pub fn is_denial(&self, answer: &Answer) -> bool {
        matches!(answer, Answer::Denied(Denial::NotApplicable { replicas }) if **replicas == *self.instance)
    }

    /// Removes it from the membership.
    pub async fn remove(&self, cluster: &Cluster) -> Result<(), Failure> {
        let addrs: Vec<_> = cluster.peers.iter().map(|peer| peer.addr).collect();
        remove(&addrs, &self.instance).await?;
        Ok(())
    }
}

/// A voter that listens to other replicas like the previous build, and does nothing else.
async fn serve_previous_build(server: Server, instance: InstanceId) {
    let handlers = Handlers::default().with::<PreviousCall, _, _>(move |req, tx| {
        let hello = PeerReply::Hello(Hello {
            id: 1,
            instance: instance.clone(),
            ledger: 0,
        });
        async move {
            match req {
                // Fails only if the caller has disconnected.
                PreviousRequest::Hello => drop(tx.finish(&hello).await),
                PreviousRequest::Listen { .. } => {
                    let _open = tx;
                    std::future::pending::<()>().await;
                }
                _ => {}
            }
        }
    });
    server.serve(handlers, std::future::pending()).await;
}

/// Guards against an entry that a replica of the previous build can't decode, at which it would stop: the
/// order is denied while such a replica is a member, and names it.
#[tokio::test(flavor = "multi_thread")]
async fn order_is_denied_while_a_replica_of_the_previous_build_is_a_member() -> Result<(), Failure>
{
    let (mut cluster, previous) = PreviousReplica::start().await?;
    crash_three(&cluster).await?;
    let order = order("one", "repaired");
    order_until(&cluster, &order, |answer| previous.is_denial(answer)).await?;
    assert!(is_quarantined(&cluster).await?);
    previous.remove(&cluster).await?;
    order_until(&cluster, &order, is_changed).await?;
    assert!(!is_quarantined(&cluster).await?);
    previous.serving.abort();
    cluster.stop_all().await;
    Ok(())
}
