//! Replicas in this process, and the calls to them.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime};

use anvil_wire::Channel;
use anvil_wire::msg::{LedgerCall, LedgerReply, LedgerRequest, Query, QueryAnswer};
use anvil_world::command::{Change, Edit, TopUp, change_id};
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, Peer};
use anvilreel::ledger_service::{LedgerHandle, Tuning, start};
use slog::{Discard, Logger, o};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Any error that ends the run.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Concurrent writers that fill a ledger.
const CONCURRENT_PROPOSALS: usize = 256;

struct Running {
    stop: oneshot::Sender<()>,
    handle: LedgerHandle,
}

/// The replicas of one ledger.
pub struct Ledger {
    data: PathBuf,
    tuning: Tuning,
    peers: Vec<Peer>,
    running: Vec<Option<Running>>,
}

impl Ledger {
    /// Starts a new ledger with this many replicas.
    pub async fn start(data: &Path, size: usize, tuning: Tuning) -> Result<Self, Failure> {
        let mut peers = Vec::new();
        for number in 0..size {
            let addr = TcpListener::bind(("127.0.0.1", 0))?.local_addr()?;
            let id = format!("ledger-{number}").into();
            peers.push(Peer { id, addr });
        }
        let mut ledger = Self {
            data: data.to_owned(),
            tuning,
            running: (0..size).map(|_| None).collect(),
            peers,
        };
        ledger.start_all().await?;
        Ok(ledger)
    }

    /// Starts all replicas.
    pub async fn start_all(&mut self) -> Result<(), Failure> {
        for number in 0..self.peers.len() {
            self.start_one(number).await?;
        }
        Ok(())
    }

    /// Starts one replica.
    pub async fn start_one(&mut self, number: usize) -> Result<(), Failure> {
        let cfg = LedgerSettings {
            id: self.peers[number].id.clone(),
            zone: Zone::default(),
            wire_listen: self.peers[number].addr,
            bind: None,
            data: self.data.join(number.to_string()),
            founders: self.peers.clone(),
            join: false,
            log_json: false,
            statsd: None,
        };
        let (stop, stopped) = oneshot::channel();
        let stopped = async {
            let _ = stopped.await;
        };
        let log = Logger::root(Discard, o!());
        let handle = start(cfg, self.tuning.clone(), log, stopped).await?;
        self.running[number] = Some(Running { stop, handle });
        Ok(())
    }

    /// Stops one replica.
    pub async fn stop_one(&mut self, number: usize) {
        if let Some(running) = self.running[number].take() {
            let _ = running.stop.send(());
            running.handle.stopped().await;
        }
    }

    /// Stops all replicas.
    pub async fn stop_all(&mut self) {
        for number in 0..self.peers.len() {
            self.stop_one(number).await;
        }
    }

    /// Waits for the replica that answers a linearizable read.
    pub async fn leader(&self) -> (usize, Channel) {
        loop {
            for (number, peer) in self.peers.iter().enumerate() {
                let req = LedgerRequest::Query(Query::Status);
                let channel = Channel::new(peer.addr);
                let reply = channel.call::<LedgerCall>(&req, CALL_TIMEOUT).await;
                if let Ok(LedgerReply::Read(QueryAnswer::Status(_))) = reply {
                    return (number, channel);
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Proposes a command and waits until it is applied.
pub async fn propose(channel: &Channel, command: Command) -> Result<Answer, Failure> {
    let req = LedgerRequest::Propose(command);
    match channel.call::<LedgerCall>(&req, CALL_TIMEOUT).await? {
        LedgerReply::Applied { answer, .. } => Ok(answer),
        other => Err(format!("{other:?}").into()),
    }
}

/// The command that creates a document.
pub fn put(path: &str, text: &str) -> Result<Command, Failure> {
    Ok(Command::Change(Change {
        id: change_id(SystemTime::now(), path),
        operator: "bench".into(),
        path: TreePath::try_from(path)?,
        expected: 0,
        edit: Edit::Put(text.into()),
        at: SystemTime::now(),
    }))
}

/// A top-up of the single budget.
pub fn top_up(text: &str) -> Command {
    Command::TopUp(TopUp {
        id: change_id(SystemTime::now(), text),
        operator: "bench".into(),
        budget: "budget-0".into(),
        amount: 1,
        at: SystemTime::now(),
    })
}

/// Creates the organisation and the single budget.
pub async fn create_budget(channel: &Channel) -> Result<(), Failure> {
    propose(channel, put("organisations/coop", "")?).await?;
    let budget = put("budgets/budget-0", "organisation = \"coop\"\n")?;
    propose(channel, budget).await?;
    Ok(())
}

/// Proposes commands, `CONCURRENT_PROPOSALS` of them concurrently.
pub async fn propose_all(channel: &Channel, commands: Vec<Command>) -> Result<(), Failure> {
    let commands = Arc::new(commands);
    let next = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..CONCURRENT_PROPOSALS {
        let (channel, commands, next) = (channel.clone(), commands.clone(), next.clone());
        tasks.spawn(async move {
            while let Some(command) = commands.get(next.fetch_add(1, Ordering::Relaxed)) {
                propose(&channel, command.clone()).await?;
            }
            Ok::<(), Failure>(())
        });
    }
    while let Some(result) = tasks.join_next().await {
        result??;
    }
    Ok(())
}
