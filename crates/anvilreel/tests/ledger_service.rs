//! Replicas over real TCP and real folders.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use anvil_ledger::core::{CoreSettings, Membership, Payload};
use anvil_ledger::storage::recover::recover;
use anvil_ledger::storage::store::read_identity;
use anvil_ledger::storage::{Disk, Op};
use anvil_wire::Channel;
use anvil_wire::msg::{
    FollowEvent, Heartbeat, Interest, LedgerCall, LedgerReply, LedgerRequest, Query, QueryAnswer,
};
use anvil_world::command::{Change, Edit, ReplaceRouting, TopUp, change_id};
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, Peer};
use anvilreel::ledger_service::{LedgerHandle, TakeOut, Tuning, remove, start, start_on};
use slog::{Discard, Drain, Logger, o};
use tempfile::TempDir;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

type Failure = Box<dyn std::error::Error + Send + Sync>;

const PATIENCE: Duration = Duration::from_secs(20);

fn free_addr() -> std::io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

struct Running {
    stop: oneshot::Sender<()>,
    handle: LedgerHandle,
}

struct Cluster {
    folder: TempDir,
    peers: Vec<Peer>,
    take_out: Option<TakeOut>,
    running: Vec<Option<Running>>,
}

impl Cluster {
    async fn start(size: usize) -> Result<Self, Failure> {
        Self::start_with(size, None).await
    }

    async fn start_with(size: usize, take_out: Option<TakeOut>) -> Result<Self, Failure> {
        let mut peers = Vec::new();
        for number in 0..size {
            let id = format!("ledger-{number}").into();
            let addr = free_addr()?;
            peers.push(Peer { id, addr });
        }
        let mut cluster = Self {
            folder: tempfile::tempdir()?,
            take_out,
            running: (0..size).map(|_| None).collect(),
            peers,
        };
        for number in 0..size {
            cluster.run(number).await?;
        }
        Ok(cluster)
    }

    fn settings(&self, number: usize) -> LedgerSettings {
        LedgerSettings {
            id: self.peers[number].id.clone(),
            zone: Zone::default(),
            wire_listen: self.peers[number].addr,
            bind: None,
            data: self.folder.path().join(number.to_string()),
            founders: self.peers.clone(),
            join: false,
            log_json: false,
            statsd: None,
        }
    }

    async fn run(&mut self, number: usize) -> Result<(), Failure> {
        let (stop, stopped) = oneshot::channel();
        let log = if std::env::var_os("LEDGER_LOG").is_some() {
            let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(plain).build().fuse();
            Logger::root(drain, o!("number" => number))
        } else {
            Logger::root(Discard, o!())
        };
        let stopped = async {
            let _ = stopped.await;
        };
        let tuning = Tuning {
            silent_after: Duration::from_millis(500),
            gone_after: Duration::from_secs(1),
            snapshot_every: 200,
            take_out: self.take_out,
            // A short log, so that a new disk has to fetch a snapshot.
            core: CoreSettings {
                trailing: 50,
                ..CoreSettings::default()
            },
            ..Tuning::default()
        };
        let handle = start(self.settings(number), tuning, log, stopped).await?;
        self.running[number] = Some(Running { stop, handle });
        Ok(())
    }

    async fn stop(&mut self, number: usize) {
        if let Some(running) = self.running[number].take() {
            let _ = running.stop.send(());
            running.handle.stopped().await;
        }
    }

    async fn stop_all(&mut self) {
        for number in 0..self.peers.len() {
            self.stop(number).await;
        }
    }

    async fn ask(&self, req: &LedgerRequest) -> Result<LedgerReply, Failure> {
        let asking = async {
            loop {
                for peer in &self.peers {
                    let channel = Channel::new(peer.addr);
                    let within = Duration::from_secs(2);
                    let reply = channel.call::<LedgerCall>(req, within).await;
                    match reply {
                        Ok(
                            LedgerReply::NotLeader { .. }
                            | LedgerReply::NoQuorum
                            | LedgerReply::InDoubt
                            | LedgerReply::Stopped,
                        )
                        | Err(_) => {}
                        Ok(reply) => return reply,
                    }
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        Ok(timeout(PATIENCE, asking).await?)
    }

    async fn propose(&self, command: Command) -> Result<Answer, Failure> {
        match self.ask(&LedgerRequest::Propose(command)).await? {
            LedgerReply::Applied { answer, .. } => Ok(answer),
            other => Err(format!("{other:?}").into()),
        }
    }

    async fn budget(&self, id: &str) -> Result<Budget, Failure> {
        let query = LedgerRequest::Query(Query::Budget(id.into()));
        match self.ask(&query).await? {
            LedgerReply::Read(QueryAnswer::Budgets(budgets)) => {
                let budget = budgets.into_iter().next().ok_or("no budget")?;
                Ok(budget.budget)
            }
            other => Err(format!("{other:?}").into()),
        }
    }
}

fn put(path: &str, text: &str) -> Result<Command, Failure> {
    Ok(Command::Change(Change {
        id: change_id(SystemTime::now(), path),
        operator: "test".into(),
        path: TreePath::try_from(path)?,
        expected: 0,
        edit: Edit::Put(text.into()),
        at: SystemTime::UNIX_EPOCH,
    }))
}

fn top_up(number: u64) -> Command {
    Command::TopUp(TopUp {
        id: change_id(SystemTime::now(), &format!("top-up-{number}")),
        operator: "test".into(),
        budget: "nairobi".into(),
        amount: 10,
        at: SystemTime::UNIX_EPOCH,
    })
}

async fn declare(cluster: &Cluster) -> Result<(), Failure> {
    let organisation = put("organisations/coop", "weight = 1\n")?;
    cluster.propose(organisation).await?;
    let budget = put("budgets/nairobi", "organisation = \"coop\"\n")?;
    let answer = cluster.propose(budget).await?;
    assert!(matches!(answer, Answer::Changed(_)), "{answer:?}");
    Ok(())
}

async fn survives_restart(size: usize) -> Result<(), Failure> {
    let mut cluster = Cluster::start(size).await?;
    declare(&cluster).await?;
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

/// An operator makes 1,000 top-ups; the only replica is stopped and started again. The budget
/// shows every token, because each top-up was on disk before it was answered.
#[tokio::test(flavor = "multi_thread")]
async fn one_replica_restarts_after_1000_changes() -> Result<(), Failure> {
    survives_restart(1).await
}

/// As above with three replicas that all stop: the log and the snapshots of any two are enough.
#[tokio::test(flavor = "multi_thread")]
async fn three_replicas_restart_after_1000_changes() -> Result<(), Failure> {
    survives_restart(3).await
}

/// A replica loses its disk and comes back empty; right after it has been taken in again, another
/// one is lost. Operators still read every token: the new disk counts only since it caught up.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_then_a_second_loss() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare(&cluster).await?;
    for number in 0..500 {
        cluster.propose(top_up(number)).await?;
    }
    cluster.stop(0).await;
    std::fs::remove_dir_all(cluster.folder.path().join("0"))?;
    cluster.run(0).await?;
    let repaired = async {
        while !votes_again(&cluster, 0) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, repaired).await?;
    let found = recover(&Disk::read_only(&cluster.folder.path().join("0")))?;
    assert!(found.base.index > 0, "no snapshot was fetched");
    cluster.stop(1).await;
    assert_eq!(cluster.budget("nairobi").await?.credited, 5_000);
    cluster.propose(top_up(500)).await?;
    assert_eq!(cluster.budget("nairobi").await?.credited, 5_010);
    cluster.stop_all().await;
    Ok(())
}

/// Whether the newest membership on a replica's disk names that very disk as a voter.
fn votes_again(cluster: &Cluster, number: usize) -> bool {
    let folder = cluster.folder.path().join(number.to_string());
    let disk = Disk::read_only(&folder);
    let (Ok(Some(id)), Ok(found)) = (read_identity(&disk), recover(&disk)) else {
        return false;
    };
    let snapshot = found.snapshot.map(|snapshot| snapshot.meta.membership);
    let changes = found
        .entries
        .into_iter()
        .filter_map(|entry| match entry.payload {
            Payload::Membership(membership) => Some(membership),
            _ => None,
        });
    let newest = changes.last().or(snapshot);
    newest.is_some_and(|membership| membership.voters.contains_key(&id))
}

/// A router follows any replica: all documents first, then each change, in order of versions. A
/// sidecar is sent the fleet's document, itself and the fences only.
#[tokio::test(flavor = "multi_thread")]
async fn followers_get_all_then_changes() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare(&cluster).await?;
    for peer in &cluster.peers {
        let channel = Channel::new(peer.addr);
        let follow = LedgerRequest::Follow {
            instance: "router-1".into(),
            interest: Interest::Router,
            version: 0,
        };
        let mut replies = channel.open::<LedgerCall>(&follow).await?;
        let first = timeout(PATIENCE, replies.next()).await??;
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
        timeout(PATIENCE, changed).await??;
    }
    cluster.stop_all().await;
    Ok(())
}

async fn presence_of_all(cluster: &Cluster) -> Result<Vec<Presence>, Failure> {
    let members = LedgerRequest::Query(Query::Members);
    match cluster.ask(&members).await? {
        LedgerReply::Read(QueryAnswer::Members(members)) => {
            Ok(members.values().map(|member| member.presence).collect())
        }
        other => Err(format!("{other:?}").into()),
    }
}

async fn until_all_are(cluster: &Cluster, wanted: Presence) -> Result<(), Failure> {
    let look = async {
        while presence_of_all(cluster).await? != [wanted] {
            sleep(Duration::from_millis(50)).await;
        }
        Ok::<(), Failure>(())
    };
    timeout(PATIENCE, look).await?
}

/// A router gives signs of life, then falls silent. It is joined at its first one, kept from new
/// work after a short silence, and taken back by its next sign. After a silence longer than it
/// may serve out of touch it is declared gone and fenced, so that its grants can come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_router_is_gone_and_fenced() -> Result<(), Failure> {
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
    let LedgerReply::Alive(alive) = cluster.ask(&heartbeat).await? else {
        return Err("no sign of life taken".into());
    };
    assert_eq!(alive.presence, Presence::Live);
    until_all_are(&cluster, Presence::Silent).await?;
    let LedgerReply::Alive(back) = cluster.ask(&heartbeat).await? else {
        return Err("no answer to a sign of life after a silence".into());
    };
    assert_eq!(back.presence, Presence::Live);
    assert_eq!(presence_of_all(&cluster).await?, [Presence::Live]);
    until_all_are(&cluster, Presence::Gone).await?;
    let LedgerReply::Alive(late) = cluster.ask(&heartbeat).await? else {
        return Err("no answer to a late sign of life".into());
    };
    assert_eq!(late.presence, Presence::Gone);
    cluster.stop_all().await;
    Ok(())
}

/// Two of three replicas are gone. The third one says within seconds that no majority can be
/// reached, so that operators and routers know that nothing was done; it confirms no read, and a
/// follower is told no more that its settings are current.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_majority_nothing_is_claimed() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare(&cluster).await?;
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
        interest: Interest::Router,
        version: 0,
    };
    let mut replies = channel.open::<LedgerCall>(&follow).await?;
    let first = replies.next().await?;
    assert!(matches!(
        first,
        Some(LedgerReply::Follow(FollowEvent::Full { .. }))
    ));
    // Silence or the stream's end: nothing more may be said.
    let second = timeout(Duration::from_secs(3), replies.next()).await;
    let said = matches!(second, Ok(Ok(Some(_))));
    assert!(!said, "said to be current: {second:?}");
    cluster.stop_all().await;
    Ok(())
}

/// The disk is full. The change under way is in doubt, and from then on the replica says that it
/// has stopped, instead of acknowledging what it can't keep.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_is_said() -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    let full = Arc::new(AtomicBool::new(false));
    let inner = Disk::folder(folder.path())?;
    let told = full.clone();
    let disk = Disk::new(move |op| {
        if told.load(Ordering::Relaxed) && matches!(op, Op::Append(..)) {
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
    let handle = start_on(disk, cfg, Tuning::default(), log, stopped).await?;
    let channel = Channel::new(addr);
    let within = Duration::from_secs(2);
    let ask = LedgerRequest::Propose(put("organisations/coop", "")?);
    let ready = async {
        while !matches!(
            channel.call::<LedgerCall>(&ask, within).await,
            Ok(LedgerReply::Applied { .. })
        ) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, ready).await?;
    full.store(true, Ordering::Relaxed);
    let ask = LedgerRequest::Propose(put("organisations/union", "")?);
    let first = channel.call::<LedgerCall>(&ask, within).await?;
    assert_eq!(first, LedgerReply::InDoubt);
    let second = channel.call::<LedgerCall>(&ask, within).await?;
    assert_eq!(second, LedgerReply::Stopped);
    let _ = stop.send(());
    handle.stopped().await;
    Ok(())
}

/// An instance is lost for good and an operator takes it out. The two that are left go on, and
/// after one more loss and its replacement nothing is missed.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_is_taken_out_for_good() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare(&cluster).await?;
    cluster.stop(2).await;
    let addrs: Vec<_> = cluster.peers.iter().map(|peer| peer.addr).collect();
    let gone = async {
        loop {
            let _ = remove(&addrs, &cluster.peers[2].id).await;
            let status = cluster.ask(&LedgerRequest::Query(Query::Status)).await?;
            if let LedgerReply::Read(QueryAnswer::Status(status)) = status
                && status.voters.len() == 2
            {
                return Ok::<(), Failure>(());
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(PATIENCE, gone).await??;
    cluster.propose(top_up(1)).await?;
    cluster.stop_all().await;
    Ok(())
}

/// A replica comes back with its disk at another address, and another one is lost. The two go on:
/// the leader has noted the address, so the votes and acknowledgements of the moved one count.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_moves_to_another_address() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare(&cluster).await?;
    cluster.stop(2).await;
    let old = cluster.peers[2].addr;
    cluster.peers[2].addr = free_addr()?;
    assert_ne!(cluster.peers[2].addr, old);
    cluster.run(2).await?;
    let moved = async {
        while !is_listed(&cluster, 2) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, moved).await?;
    cluster.stop(1).await;
    cluster.propose(top_up(1)).await?;
    assert_eq!(cluster.budget("nairobi").await?.credited, 10);
    cluster.stop_all().await;
    Ok(())
}

/// Whether the newest membership on the first replica's disk has another one's present address.
fn is_listed(cluster: &Cluster, number: usize) -> bool {
    let disk = Disk::read_only(&cluster.folder.path().join("0"));
    let Ok(found) = recover(&disk) else {
        return false;
    };
    let changes = found
        .entries
        .into_iter()
        .filter_map(|entry| match entry.payload {
            Payload::Membership(membership) => Some(membership),
            _ => None,
        });
    let peer = &cluster.peers[number];
    let listed = |membership: Membership| {
        membership
            .voters
            .into_values()
            .any(|site| site.addr == peer.addr)
    };
    changes.last().is_some_and(listed)
}

/// A router follows a replica that is cut off from the other replicas, not from the router. It
/// shows as a new route answered with 404 for seconds after it was acknowledged. The replica loses
/// its majority, says nothing more, and the router waits out its whole patience with silence, at
/// one such replica after the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_out_of_touch_sends_its_followers_away() -> Result<(), Failure> {
    let mut cluster = Cluster::start(3).await?;
    declare(&cluster).await?;
    let channel = Channel::new(cluster.peers[0].addr);
    let ask = LedgerRequest::Follow {
        instance: "router-1".into(),
        interest: Interest::Router,
        version: 0,
    };
    let mut replies = channel.open::<LedgerCall>(&ask).await?;
    assert!(replies.next().await?.is_some());
    cluster.stop(1).await;
    cluster.stop(2).await;
    let sent_away = async { while let Ok(Some(_)) = replies.next().await {} };
    let within = CoreSettings::default().election * 2 + Duration::from_secs(1);
    assert!(timeout(within, sent_away).await.is_ok(), "left in silence");
    cluster.stop_all().await;
    Ok(())
}

/// An operator's acknowledgement is lost and it sends the same large routing table again and again.
/// Were each copy put into the log, what is new would wait behind megabytes. A table that is in force
/// is acknowledged without the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_table_sent_again_is_acknowledged_without_the_log() -> Result<(), Failure> {
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

/// Four instances keep the ledger; one is gone for good and nobody is there to say so. Left in, it
/// counts in the majority, and the next loss stops the ledger. It is taken out after its silence;
/// below three voters none is.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_lost_for_good_is_taken_out() -> Result<(), Failure> {
    let rule = TakeOut {
        after: Duration::from_secs(2),
        least: 3,
    };
    let mut cluster = Cluster::start_with(4, Some(rule)).await?;
    declare(&cluster).await?;
    cluster.stop(3).await;
    let voters = |reply| match reply {
        LedgerReply::Read(QueryAnswer::Status(status)) => status.voters.len(),
        other => panic!("{other:?}"),
    };
    let status = LedgerRequest::Query(Query::Status);
    let shrunk = async {
        while voters(cluster.ask(&status).await?) > 3 {
            sleep(Duration::from_millis(100)).await;
        }
        Ok::<(), Failure>(())
    };
    timeout(PATIENCE, shrunk).await??;
    // Two of four would have been no majority.
    cluster.stop(2).await;
    cluster.ask(&LedgerRequest::Propose(top_up(1))).await?;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(voters(cluster.ask(&status).await?), 3);
    // Whoever comes back with its disk joins again.
    cluster.run(3).await?;
    let joined = async {
        while voters(cluster.ask(&status).await?) < 4 {
            sleep(Duration::from_millis(100)).await;
        }
        Ok::<(), Failure>(())
    };
    timeout(PATIENCE, joined).await??;
    cluster.stop_all().await;
    Ok(())
}
