//! Runs a ledger replica as a process: sockets, disk and clock around the core.
//!
//! [`start`] opens the data folder, listens, and runs the [`replica_task`]: the one task that owns
//! the replica's core and its applied state. A separate thread writes to the disk. Replicas receive
//! each other's messages over `links`. A replica with an empty data folder founds a ledger or
//! joins one (`bootstrap`).
//!
//! ```no_run
//! # async fn demo(cfg: anvil_world::settings::LedgerSettings, log: slog::Logger)
//! # -> Result<(), anvilreel::ledger_service::ServiceError> {
//! use anvilreel::ledger_service::{Tuning, start};
//!
//! let handle = start(cfg, Tuning::default(), log, std::future::pending()).await?;
//! println!("ledger at {}", handle.addr);
//! handle.stopped().await;
//! # Ok(()) }
//! ```

mod bootstrap;
mod check;
mod configured_names;
mod error;
pub mod events;
pub mod follow;
pub mod follow_frames;
pub mod grant_evidence;
mod handlers;
pub mod heartbeats;
mod links;
pub mod peer;
mod peer_addresses;
mod pending;
mod queries;
mod removal;
pub mod replica_task;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::CoreSettings;
use anvil_ledger::storage::{Disk, Storage, Writer};
use anvil_wire::Server;
use anvil_world::settings::LedgerSettings;
use slog::Logger;
use snafu::ResultExt;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

pub use configured_names::{ConfiguredNames, ParseNames};
pub use error::ServiceError;
use error::{DiskSnafu, ListenSnafu, MachineSnafu, MetricsSnafu, StorageSnafu, ThreadSnafu};
pub use peer_addresses::PeerAddresses;
pub use removal::{NoLeader, remove};
use replica_task::{Inbox, ReplicaTask};

use crate::event;
use crate::metrics::Metrics;

/// Inputs that may be queued for the replica task before their senders have to wait.
const INBOX_CAPACITY: usize = 65_536;

/// Parameters with defaults, which are not part of the settings file.
#[derive(Clone)]
pub struct Tuning {
    /// Timing and log retention of the core.
    pub core: CoreSettings,
    /// An instance whose heartbeats stop for this long gets no new work.
    pub silent_after: Duration,
    /// An instance is declared gone when its heartbeats stop for this long plus the time for which
    /// a router may serve without the ledger.
    pub gone_after: Duration,
    /// Entries between two snapshots.
    pub snapshot_entries: u64,
    /// Bytes of entries after which a snapshot is taken, also with fewer entries than that.
    pub snapshot_bytes: u64,
    /// Size in bytes at which a segment file of the log is closed. A file is removed when a
    /// snapshot covers all of it, so a small disk needs small files.
    pub segment_bytes: u64,
    /// Rule by which permanently lost replicas are removed from the ledger; `None` leaves that to
    /// an operator.
    pub auto_removal: Option<AutoRemoval>,
    /// Reads the names in a routing table; `None`: orders that name organisations or routes are
    /// refused.
    pub parse_names: Option<ParseNames>,
    /// Whether a replica that has failed ends, instead of answering every request with `Stopped`.
    pub stop_on_failure: bool,
    /// Destination of metrics, in place of the one in the settings.
    pub metrics: Option<Metrics>,
    /// Whether several entries share one sync; switched off only to measure its effect.
    pub group_commit: bool,
}

/// Rule by which a replica is removed from the ledger without an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AutoRemoval {
    /// Time without a response after which a replica counts as lost.
    pub unresponsive_for: Duration,
    /// No replica is removed below this number of voters: twice the number of disks that may be
    /// lost at the same time, plus one.
    pub min_voters: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            core: CoreSettings::default(),
            silent_after: Duration::from_secs(5),
            gone_after: Duration::from_secs(10),
            snapshot_entries: 10_000,
            snapshot_bytes: 64 << 20,
            segment_bytes: 16 << 20,
            auto_removal: None,
            parse_names: None,
            stop_on_failure: false,
            metrics: None,
            group_commit: true,
        }
    }
}

/// A running replica.
pub struct LedgerHandle {
    /// The address on which it listens.
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl LedgerHandle {
    /// Returns when the replica has stopped.
    pub async fn stopped(self) {
        // The task has no result, and the runtime has logged a panic in it.
        let _ = self.task.await;
    }
}

/// Starts a replica; it runs until `stop` completes.
pub async fn start(
    cfg: LedgerSettings,
    tuning: Tuning,
    log: Logger,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<LedgerHandle, ServiceError> {
    start_on(
        open_disk(&cfg)?,
        cfg,
        tuning,
        PeerAddresses::default(),
        log,
        stop,
    )
    .await
}

/// Opens the data folder that the settings name.
pub fn open_disk(cfg: &LedgerSettings) -> Result<Disk, ServiceError> {
    let data = cfg.data.display().to_string();
    Disk::folder(&cfg.data).context(DiskSnafu { data })
}

/// Starts a replica on a data folder that is open already, with peer addresses that may change
/// while it runs.
pub async fn start_on(
    disk: Disk,
    cfg: LedgerSettings,
    tuning: Tuning,
    peer_addresses: PeerAddresses,
    log: Logger,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<LedgerHandle, ServiceError> {
    let new_id = rand::random();
    let (storage, found) = Storage::open(disk.clone(), new_id).context(StorageSnafu)?;
    let storage = storage.with_segment_bytes(tuning.segment_bytes);
    let listen = cfg.bind.unwrap_or(cfg.wire_listen);
    let server = Server::bind(listen).await.context(ListenSnafu)?;
    let addr = server.addr().context(ListenSnafu)?;
    let (inbox, rx) = mpsc::channel(INBOX_CAPACITY);
    let id = storage.id();
    let writer = start_writer(storage, tuning.group_commit, &inbox)?;
    let metrics = match tuning.metrics.clone() {
        Some(metrics) => metrics,
        None => Metrics::new("ledger", cfg.statsd).context(MetricsSnafu)?,
    };
    let setup = replica_task::Setup {
        id,
        instance: cfg.id.clone(),
        disk,
        writer,
        tuning,
        log: log.clone(),
        metrics,
    };
    let (replica_task, status) =
        ReplicaTask::new(setup, found, inbox.clone()).context(MachineSnafu)?;
    event!(log, events::LEDGER_LISTENING, "addr" => addr.to_string(), "replica" => format!("{id:x}"));
    let (ending, stopping) = watch::channel(false);
    let replica = handlers::ReplicaHandle {
        inbox,
        status,
        stopping: stopping.clone(),
        peer_addresses,
        follow_frames: follow_frames::FollowFrames::default(),
        disk: Disk::read_only(&cfg.data),
        may_found: !cfg.join,
    };
    let (ended, mut task_ended) = watch::channel(false);
    let task = tokio::spawn(async move {
        let task = tokio::spawn(async move {
            let writer = replica_task.run(rx, stopping).await;
            // Can't fail: the enclosing task holds a receiver.
            let _ = ended.send(true);
            writer
        });
        let links = tokio::spawn(links::run(
            replica.clone(),
            id,
            cfg.clone(),
            addr,
            log.clone(),
        ));
        let founding = tokio::spawn(bootstrap::run(replica.clone(), id, cfg, addr, log.clone()));
        let serving = server.serve(handlers::all(&replica), async move {
            tokio::select! {
                () = stop => {}
                // The replica task has failed and is set to end the replica then, or it has panicked.
                _ = task_ended.wait_for(|ended| *ended) => {}
            }
            // Can't fail: this task holds a receiver.
            let _ = ending.send(true);
        });
        serving.await;
        founding.abort();
        links.abort();
        // A panic in the replica task was printed when it happened.
        if let Ok(writer) = task.await {
            let _ = tokio::task::spawn_blocking(move || writer.finish()).await;
        }
        event!(log, events::LEDGER_STOPPED);
    });
    Ok(LedgerHandle { addr, task })
}

fn start_writer(
    storage: Storage,
    group_commit: bool,
    inbox: &Inbox,
) -> Result<Writer, ServiceError> {
    let inbox = inbox.clone();
    let report = move |report| {
        // Fails only when the replica task has ended; the report is of no use then.
        let _ = inbox.blocking_send(replica_task::Input::DiskReport(report));
    };
    Writer::start(storage, group_commit, report).context(ThreadSnafu)
}
