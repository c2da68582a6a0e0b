//! Starts the processes to be measured, and measures them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anvil_standins::load::fleet::free_addr;
use anvil_standins::load::fleet::process::Process;
use anvil_standins::load::usage::ProcessUsage;
use anvil_wire::Channel;
use anvil_wire::msg::{LedgerCall, LedgerReply, LedgerRequest, Query};
use anvil_world::prelude::*;
use anvil_world::settings::{DEFAULT_MEMORY_MB, LedgerSettings, Peer, RouterSettings};
use serde::Serialize;
use tempfile::TempDir;
use tokio::time::sleep;

/// Time over which processor time is measured.
pub const WINDOW: Duration = Duration::from_secs(6);
/// Time to settle before a measurement begins.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Replicas of the ledger.
const REPLICAS: usize = 3;

/// A ledger of three processes, and the folder of the settings of all processes started.
pub struct Bench {
    folder: TempDir,
    programs: PathBuf,
    /// Wire addresses of the replicas.
    pub ledgers: Vec<SocketAddr>,
    /// The replicas.
    pub replicas: Vec<Process>,
}

/// Usage of one process over a window.
#[derive(Debug, Clone, Copy)]
pub struct ProcessCost {
    /// Processor time, in microseconds a second.
    pub processor: u64,
    /// Memory at the end, in bytes.
    pub memory: u64,
}

impl Bench {
    /// Starts a ledger and waits until it has a leader.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let program = std::env::current_exe().expect("a running program has a path");
        let programs = program.ancestors().nth(2).map(Path::to_path_buf);
        let mut bench = Self {
            folder,
            programs: programs.expect("examples are built beside the daemons"),
            ledgers: (0..REPLICAS).map(|_| addr()).collect(),
            replicas: Vec::new(),
        };
        let founders: Vec<_> = (0..REPLICAS).map(|index| bench.peer(index)).collect();
        for peer in &founders {
            let settings = LedgerSettings {
                id: peer.id.clone(),
                zone: Zone::default(),
                wire_listen: peer.addr,
                bind: None,
                data: bench.folder.path().join(peer.id.as_ref()),
                founders: founders.clone(),
                join: false,
                log_json: true,
                statsd: None,
            };
            let replica = bench.spawn("anvilreel-ledger", &peer.id, &settings);
            bench.replicas.push(replica);
        }
        bench.leader().await;
        bench
    }

    fn peer(&self, index: usize) -> Peer {
        Peer {
            id: format!("ledger-{index}").into(),
            addr: self.ledgers[index],
        }
    }

    /// Starts a daemon with these settings.
    pub fn spawn(&self, program: &str, id: &str, settings: &impl Serialize) -> Process {
        let text = toml::to_string(settings).expect("settings can be written as TOML");
        let path = self.folder.path().join(format!("{id}.toml"));
        std::fs::write(&path, text).expect("the temporary folder is writable");
        Process::start(&self.programs.join(program), id, &path).expect("the daemons are built")
    }

    /// Starts a router; returns the address at which it listens to callers.
    pub fn router(&self, ledgers: Vec<SocketAddr>) -> (Process, SocketAddr) {
        let settings = RouterSettings {
            id: "router-0".into(),
            zone: Zone::default(),
            listen: addr(),
            wire_listen: addr(),
            ledgers,
            threads: 2,
            memory_mb: DEFAULT_MEMORY_MB,
            log_json: true,
            statsd: None,
        };
        let router = self.spawn("anvilreel-router", "router-0", &settings);
        (router, settings.listen)
    }

    /// Index of the leading replica.
    pub async fn leader(&self) -> usize {
        loop {
            for (index, addr) in self.ledgers.iter().enumerate() {
                let req = LedgerRequest::Query(Query::Status);
                let reply = Channel::new(*addr)
                    .call::<LedgerCall>(&req, CALL_TIMEOUT)
                    .await;
                if matches!(reply, Ok(LedgerReply::Read(_))) {
                    return index;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// A channel to the leader.
    pub async fn leader_channel(&self) -> Channel {
        Channel::new(self.ledgers[self.leader().await])
    }
}

/// Measures the usage of processes over one window.
pub async fn measure_usage(processes: &[&Process]) -> BTreeMap<String, ProcessCost> {
    let now = |p: &&Process| {
        let usage = p.id().and_then(ProcessUsage::of);
        (p.name.clone(), usage.unwrap_or_default())
    };
    let before: BTreeMap<_, _> = processes.iter().map(now).collect();
    sleep(WINDOW).await;
    let after = processes.iter().map(now);
    after
        .map(|(name, after)| {
            let spent = after.cpu_time.saturating_sub(before[&name].cpu_time);
            let cost = ProcessCost {
                processor: u64::try_from(spent.as_micros()).unwrap_or(u64::MAX) / WINDOW.as_secs(),
                memory: after.memory,
            };
            (name, cost)
        })
        .collect()
}

/// A free address on loopback.
pub fn addr() -> SocketAddr {
    free_addr().expect("loopback has free ports")
}
