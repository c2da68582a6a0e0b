//! Presence of instances, and removal of replicas.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_wire::msg::{Heartbeat, LedgerReply, LedgerRequest, Query, QueryAnswer};
use anvil_world::prelude::*;
use anvil_world::settings::{EndpointKind, EndpointSettings, SidecarSettings};
use anvilreel::ledger_service::remove;
use anvilreel::logs::discard;
use anvilreel::metrics::Metrics;
use anvilreel::sidecar::Sidecar;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, Failure, TEST_TIMEOUT, declare_budget, free_addr, put, top_up};

async fn presence_of_all(cluster: &Cluster) -> Result<Vec<Presence>, Failure> {
    let members = LedgerRequest::Query(Query::Members);
    match cluster.request(&members).await? {
        LedgerReply::Read(QueryAnswer::Members(members)) => {
            Ok(members.values().map(|member| member.presence).collect())
        }
        other => Err(format!("{other:?}").into()),
    }
}

async fn wait_for_presence(cluster: &Cluster, wanted: Presence) -> Result<(), Failure> {
    let polling = async {
        while presence_of_all(cluster).await? != [wanted] {
            sleep(Duration::from_millis(50)).await;
        }
        Ok::<(), Failure>(())
    };
    timeout(TEST_TIMEOUT, polling).await?
}

/// Waits until the present leader has received a heartbeat of an instance since its election.
async fn wait_for_heartbeat(cluster: &Cluster, id: &InstanceId) -> Result<(), Failure> {
    let any_version = LedgerRequest::Query(Query::InForce(0));
    let polling = async {
        loop {
            match cluster.request(&any_version).await? {
                LedgerReply::Read(QueryAnswer::InForce(rollout)) if rollout.there.contains(id) => {
                    return Ok::<(), Failure>(());
                }
                LedgerReply::Read(_) => sleep(Duration::from_millis(50)).await,
                other => return Err(format!("{other:?}").into()),
            }
        }
    };
    timeout(TEST_TIMEOUT, polling).await?
}

/// Guards against wrong presences of a router. It joins at its first heartbeat, is set to `Silent`
/// a short time after its heartbeats stop, and back to `Live` by the next one. When they stop for
/// longer than it may serve without the ledger, it is declared gone and fenced, so that its grants
/// can be reclaimed.
#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_router_is_declared_gone_and_fenced() -> Result<(), Failure> {
    let mut cluster = Cluster::start(1).await?;
    let fleet = put("fleet", "serve_out_of_touch = \"2s\"")?;
    cluster.propose(fleet).await?;
    let instance = Instance {
        id: "router-1".into(),
        incarnation: 7,
        role: Role::Router,
        zone: Zone::default(),
        addr: ([127, 0, 0, 1], 1).into(),
        endpoint: None,
    };
    let heartbeat = LedgerRequest::Heartbeat(Heartbeat {
        instance,
        version: 0,
        evidence: Vec::new(),
        leaving: false,
    });
    let LedgerReply::Alive(joined) = cluster.request(&heartbeat).await? else {
        return Err("the first heartbeat was not accepted".into());
    };
    assert_eq!(joined.presence, Presence::Live);
    wait_for_presence(&cluster, Presence::Silent).await?;
    let LedgerReply::Alive(returned) = cluster.request(&heartbeat).await? else {
        return Err("a heartbeat of an unresponsive instance was not answered".into());
    };
    assert_eq!(returned.presence, Presence::Live);
    assert_eq!(presence_of_all(&cluster).await?, [Presence::Live]);
    wait_for_presence(&cluster, Presence::Gone).await?;
    let LedgerReply::Alive(late) = cluster.request(&heartbeat).await? else {
        return Err("a heartbeat of a gone instance was not answered".into());
    };
    assert_eq!(late.presence, Presence::Gone);
    cluster.stop_all().await;
    Ok(())
}

/// Guards against a ledger that stops working when an operator removes a permanently lost instance:
/// the two replicas that are left still accept changes.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_is_removed_by_an_operator() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    cluster.stop(2).await;
    let addrs: Vec<_> = cluster.peers.iter().map(|peer| peer.addr).collect();
    let removal = async {
        loop {
            let _ = remove(&addrs, &cluster.peers[2].id).await;
            let status = cluster
                .request(&LedgerRequest::Query(Query::Status))
                .await?;
            if let LedgerReply::Read(QueryAnswer::Status(status)) = status
                && status.voters.len() == 2
            {
                return Ok::<(), Failure>(());
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(TEST_TIMEOUT, removal).await??;
    cluster.propose(top_up(1)).await?;
    cluster.stop_all().await;
    Ok(())
}

/// Guards against a sidecar that only knows the replicas in its settings. When the only one is
/// lost, its endpoint would get no more work until the sidecar is restarted, although the endpoint
/// and the ledger work.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_survives_the_loss_of_its_configured_replica() -> Result<(), Failure> {
    let mut cluster = Cluster::start(4).await?;
    declare_budget(&cluster).await?;
    let configured = cluster.leader().await?;
    let settings = SidecarSettings {
        platform: None,
        id: "sidecar-1".into(),
        zone: Zone::default(),
        wire_listen: ([127, 0, 0, 1], 0).into(),
        ledgers: vec![cluster.peers[configured].addr],
        endpoint: EndpointSettings {
            addr: free_addr()?,
            service: "desk".into(),
            kind: EndpointKind::Plain,
            models: BTreeSet::new(),
            slots: 16,
            checks_fencing: false,
        },
        buffer_bytes: 8 << 20,
        log_json: false,
        statsd: None,
    };
    let sidecar = Sidecar::start(&settings, discard(), Metrics::disabled("sidecar")).await?;
    wait_for_presence(&cluster, Presence::Live).await?;
    // The ledger has its heartbeat before it has the answer, which names the other replicas.
    let learning = async {
        while sidecar.known_replicas() < cluster.peers.len() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, learning).await?;
    cluster.stop(configured).await;
    // The new leader has received no heartbeats from before the loss.
    wait_for_heartbeat(&cluster, &settings.id).await?;
    wait_for_presence(&cluster, Presence::Live).await?;
    sidecar.kill().await;
    cluster.stop_all().await;
    Ok(())
}
