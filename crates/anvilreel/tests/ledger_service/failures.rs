//! Replicas that can't serve report it: no majority, or a failed disk.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvil_ledger::storage::{Disk, Op};
use anvil_wire::Channel;
use anvil_wire::msg::{FollowEvent, FollowScope, LedgerCall, LedgerReply, LedgerRequest, Query};
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, Peer};
use anvilreel::ledger_service::{PeerAddresses, Tuning, start_on};
use slog::{Discard, Logger, o};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, Failure, TEST_TIMEOUT, declare_budget, free_addr, put, top_up};

/// Guards against a replica without a majority that claims to be current. After the loss of two of
/// three replicas, the third one answers within seconds that there is no quorum, so that operators
/// and routers know that nothing was done. It confirms no read, and sends its followers no more
/// `Current` events.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_majority_nothing_is_confirmed() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare_budget(&cluster).await?;
    cluster.stop(1).await;
    cluster.stop(2).await;
    sleep(Duration::from_secs(3)).await;
    let channel = Channel::new(cluster.peers[0].addr);
    let within = Duration::from_secs(2);
    for req in [
        LedgerRequest::Propose(top_up(1)),
        LedgerRequest::Query(Query::Status),
    ] {
        let reply = channel.call::<LedgerCall>(&req, within).await?;
        assert_eq!(reply, LedgerReply::NoQuorum);
    }
    let follow = LedgerRequest::Follow {
        instance: "router-1".into(),
        interest: FollowScope::Router,
        version: 0,
    };
    let mut replies = channel.open::<LedgerCall>(&follow).await?;
    let first = replies.next().await?;
    assert!(matches!(
        first,
        Some(LedgerReply::Follow(FollowEvent::Full { .. }))
    ));
    // No further event may come: the stream stays idle or ends.
    let second = timeout(Duration::from_secs(3), replies.next()).await;
    let confirmed = matches!(second, Ok(Ok(Some(_))));
    assert!(
        !confirmed,
        "event from a replica without a majority: {second:?}"
    );
    cluster.stop_all().await;
    Ok(())
}

/// Guards against a replica that acknowledges what it can't store. When the disk is full, the
/// proposal in flight is in doubt, and from then on the replica answers `Stopped`.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_is_reported() -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    let full = Arc::new(AtomicBool::new(false));
    let inner = Disk::folder(folder.path())?;
    let is_full = full.clone();
    let disk = Disk::new(move |op| {
        if is_full.load(Ordering::Relaxed) && matches!(op, Op::Append(..)) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        inner.run(op)
    });
    let addr = free_addr()?;
    let id: InstanceId = "ledger-0".into();
    let cfg = LedgerSettings {
        id: id.clone(),
        zone: Zone::default(),
        wire_listen: addr,
        bind: None,
        data: folder.path().to_owned(),
        founders: vec![Peer { id, addr }],
        join: false,
        log_json: false,
        statsd: None,
    };
    let log = Logger::root(Discard, o!());
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async {
        let _ = stopped.await;
    };
    let handle = start_on(
        disk,
        cfg,
        Tuning::default(),
        PeerAddresses::default(),
        log,
        stopped,
    )
    .await?;
    let channel = Channel::new(addr);
    let within = Duration::from_secs(2);
    let req = LedgerRequest::Propose(put("organisations/coop", "")?);
    let ready = async {
        while !matches!(
            channel.call::<LedgerCall>(&req, within).await,
            Ok(LedgerReply::Applied { .. })
        ) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, ready).await?;
    full.store(true, Ordering::Relaxed);
    let req = LedgerRequest::Propose(put("organisations/union", "")?);
    let first = channel.call::<LedgerCall>(&req, within).await?;
    assert_eq!(first, LedgerReply::InDoubt);
    let second = channel.call::<LedgerCall>(&req, within).await?;
    assert_eq!(second, LedgerReply::Stopped);
    let _ = stop.send(());
    handle.stopped().await;
    Ok(())
}
