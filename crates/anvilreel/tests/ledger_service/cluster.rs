//! A cluster of ledger replicas in this process, over real sockets and data folders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use anvil_ledger::core::{CoreSettings, Membership, Payload};
use anvil_ledger::storage::recover::recover;
use anvil_ledger::storage::store::read_identity;
use anvil_ledger::storage::{Disk, Op};
use anvil_wire::Channel;
use anvil_wire::msg::{LedgerCall, LedgerReply, LedgerRequest, LedgerStatus, Query, QueryAnswer};
use anvil_world::command::{Change, Edit, TopUp, change_id};
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, Peer};
use anvilreel::ledger_service::{
    AutoRemoval, ConfiguredNames, LedgerHandle, PeerAddresses, Tuning, open_disk, start_on,
};
use slog::{Discard, Drain, Logger, o};
use tempfile::TempDir;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

pub use crate::ports::free_addr;

/// Error of a test.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Timeout for conditions that must become true.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The names in a routing table of the tests: a line of organisations, then a line of routes.
fn parse_names(text: &str) -> Option<ConfiguredNames> {
    let (organisations, routes) = text.split_once('\n')?;
    let names = |line: &str| line.split_whitespace().map(Into::into).collect();
    Some(ConfiguredNames {
        organisations: names(organisations),
        routes: names(routes),
    })
}

/// A running replica.
pub struct Running {
    pub peer_addresses: PeerAddresses,
    pub stop: oneshot::Sender<()>,
    pub handle: LedgerHandle,
}

/// Replicas with their data folders; some may be stopped.
pub struct Cluster {
    pub folder: TempDir,
    pub peers: Vec<Peer>,
    pub auto_removal: Option<AutoRemoval>,
    /// Replicas named in a replica's settings, if they are not all of them; it can't found a ledger
    /// then.
    pub known_peers: BTreeMap<usize, Vec<usize>>,
    pub running: Vec<Option<Running>>,
    /// Time that each sync of a file takes in addition, in milliseconds.
    sync_delay: Arc<AtomicU64>,
}

/// A disk on which each sync of a file takes longer by so many milliseconds.
fn with_sync_delay(disk: Disk, delay_ms: Arc<AtomicU64>) -> Disk {
    Disk::new(move |op| {
        if matches!(op, Op::Sync(_)) {
            let delay = Duration::from_millis(delay_ms.load(Ordering::Relaxed));
            std::thread::sleep(delay);
        }
        disk.run(op)
    })
}

impl Cluster {
    /// The newest membership on a replica's disk.
    pub fn membership(&self, number: usize) -> Option<Membership> {
        let disk = Disk::read_only(&self.folder.path().join(number.to_string()));
        let found = recover(&disk).ok()?;
        let snapshot = found.snapshot.map(|snapshot| snapshot.meta.membership);
        let changes = found.entries.into_iter();
        let changes = changes.filter_map(|entry| match entry.payload {
            Payload::Membership(membership) => Some(membership),
            _ => None,
        });
        changes.last().or(snapshot)
    }

    pub async fn start(size: usize) -> Result<Self, Failure> {
        Self::start_with(size, None).await
    }

    pub async fn start_with(
        size: usize,
        auto_removal: Option<AutoRemoval>,
    ) -> Result<Self, Failure> {
        let mut cluster = Self::reserve(size)?;
        cluster.auto_removal = auto_removal;
        for number in 0..size {
            cluster.run(number).await?;
        }
        Ok(cluster)
    }

    /// Replicas none of which is running.
    pub fn reserve(size: usize) -> Result<Self, Failure> {
        let mut peers = Vec::new();
        for number in 0..size {
            let id = format!("ledger-{number}").into();
            let addr = free_addr()?;
            peers.push(Peer { id, addr });
        }
        Ok(Self {
            folder: tempfile::tempdir()?,
            auto_removal: None,
            known_peers: BTreeMap::new(),
            running: (0..size).map(|_| None).collect(),
            sync_delay: Arc::default(),
            peers,
        })
    }

    /// Has each sync of a file on all disks take longer by this time.
    pub fn delay_syncs(&self, delay: Duration) {
        let delay_ms = delay.as_millis().try_into().unwrap_or(u64::MAX);
        self.sync_delay.store(delay_ms, Ordering::Relaxed);
    }

    fn founders_of(&self, number: usize) -> Vec<Peer> {
        let Some(known) = self.known_peers.get(&number) else {
            return self.peers.clone();
        };
        known.iter().map(|at| self.peers[*at].clone()).collect()
    }

    /// Deletes the data folder of a stopped replica.
    pub fn wipe(&self, number: usize) -> Result<(), Failure> {
        Ok(std::fs::remove_dir_all(
            self.folder.path().join(number.to_string()),
        )?)
    }

    /// Whether the newest membership on a replica's disk names that disk as a voter.
    pub fn is_voter(&self, number: usize) -> bool {
        let disk = Disk::read_only(&self.folder.path().join(number.to_string()));
        let Ok(Some(id)) = read_identity(&disk) else {
            return false;
        };
        let membership = self.membership(number);
        membership.is_some_and(|membership| membership.voters.contains_key(&id))
    }

    /// Waits until a replica votes with its present disk.
    pub async fn wait_until_voter(&self, number: usize) -> Result<(), Failure> {
        let voting = async {
            while !self.is_voter(number) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        Ok(timeout(TEST_TIMEOUT, voting).await?)
    }

    pub async fn status(&self) -> Result<LedgerStatus, Failure> {
        match self.request(&LedgerRequest::Query(Query::Status)).await? {
            LedgerReply::Read(QueryAnswer::Status(status)) => Ok(status),
            other => Err(format!("{other:?}").into()),
        }
    }

    /// Number of the leading replica.
    pub async fn leader(&self) -> Result<usize, Failure> {
        let status = self.status().await?;
        let mut peers = self.peers.iter();
        let at = peers.position(|peer| peer.id == status.replica);
        Ok(at.ok_or("the leader is none of the replicas")?)
    }

    pub fn settings(&self, number: usize) -> LedgerSettings {
        LedgerSettings {
            id: self.peers[number].id.clone(),
            zone: Zone::default(),
            wire_listen: self.peers[number].addr,
            bind: None,
            data: self.folder.path().join(number.to_string()),
            founders: self.founders_of(number),
            join: self.known_peers.contains_key(&number),
            log_json: false,
            statsd: None,
        }
    }

    pub async fn run(&mut self, number: usize) -> Result<(), Failure> {
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
            snapshot_entries: 200,
            auto_removal: self.auto_removal,
            parse_names: Some(parse_names),
            // A short log, so that a replica with a new disk has to fetch a snapshot.
            core: CoreSettings {
                trailing_entries: 50,
                ..CoreSettings::default()
            },
            ..Tuning::default()
        };
        let cfg = self.settings(number);
        let peer_addresses = PeerAddresses::default();
        let disk = with_sync_delay(open_disk(&cfg)?, self.sync_delay.clone());
        let handle = start_on(disk, cfg, tuning, peer_addresses.clone(), log, stopped).await?;
        self.running[number] = Some(Running {
            peer_addresses,
            stop,
            handle,
        });
        Ok(())
    }

    pub async fn stop(&mut self, number: usize) {
        if let Some(running) = self.running[number].take() {
            let _ = running.stop.send(());
            running.handle.stopped().await;
        }
    }

    pub async fn stop_all(&mut self) {
        for number in 0..self.peers.len() {
            self.stop(number).await;
        }
    }

    pub async fn request(&self, req: &LedgerRequest) -> Result<LedgerReply, Failure> {
        let retrying = async {
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
        Ok(timeout(TEST_TIMEOUT, retrying).await?)
    }

    pub async fn propose(&self, command: Command) -> Result<Answer, Failure> {
        match self.request(&LedgerRequest::Propose(command)).await? {
            LedgerReply::Applied { answer, .. } => Ok(answer),
            other => Err(format!("{other:?}").into()),
        }
    }

    pub async fn budget(&self, id: &str) -> Result<Budget, Failure> {
        let query = LedgerRequest::Query(Query::Budget(id.into()));
        match self.request(&query).await? {
            LedgerReply::Read(QueryAnswer::Budgets(budgets)) => {
                let budget = budgets.into_iter().next().ok_or("no budget")?;
                Ok(budget.budget)
            }
            other => Err(format!("{other:?}").into()),
        }
    }
}

/// Creates a document.
pub fn put(path: &str, text: &str) -> Result<Command, Failure> {
    Ok(Command::Change(Change {
        id: change_id(SystemTime::now(), path),
        operator: "test".into(),
        path: TreePath::try_from(path)?,
        expected: 0,
        edit: Edit::Put(text.into()),
        at: SystemTime::UNIX_EPOCH,
    }))
}

/// Adds ten tokens to the budget `nairobi`.
pub fn top_up(number: u64) -> Command {
    Command::TopUp(TopUp {
        id: change_id(SystemTime::now(), &format!("top-up-{number}")),
        operator: "test".into(),
        budget: "nairobi".into(),
        amount: 10,
        at: SystemTime::UNIX_EPOCH,
    })
}

/// Declares the budget `nairobi` and its organisation.
pub async fn declare_budget(cluster: &Cluster) -> Result<(), Failure> {
    let organisation = put("organisations/coop", "weight = 1\n")?;
    cluster.propose(organisation).await?;
    let budget = put("budgets/nairobi", "organisation = \"coop\"\n")?;
    let answer = cluster.propose(budget).await?;
    assert!(matches!(answer, Answer::Changed(_)), "{answer:?}");
    Ok(())
}
