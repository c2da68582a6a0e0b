//! A ledger replica as a process: sockets, disk and clock around the core.
//!
//! [`start`] opens the data folder, listens, and runs the [`replica_task`]: one task that owns the
//! replica's core and its applied state. The disk has a thread of its own. Replicas hear each
//! other over [`links`]; an empty folder founds a ledger or joins one ([`bootstrap`]).
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
mod error;
pub mod events;
pub mod follow;
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

pub use error::ServiceError;
use error::{DiskSnafu, ListenSnafu, MachineSnafu, MetricsSnafu, StorageSnafu, ThreadSnafu};
pub use peer_addresses::Contacts;
pub use removal::{NoLeader, remove};
use replica_task::{Inbox, ReplicaTask};

use crate::event;
use crate::metrics::Metrics;

/// Events that may wait for the node before whoever sends them waits too.
const INBOX_CAPACITY: usize = 65_536;

/// What an operator need not set.
#[derive(Clone)]
pub struct Tuning {
    /// How fast replicas notice things.
    pub core: CoreSettings,
    /// An instance that gives no sign of life for this long gets no new work.
    pub silent_after: Duration,
    /// An instance that gives no sign of life for this long after the time that a router may
    /// serve out of touch is declared gone.
    pub gone_after: Duration,
    /// A snapshot is taken after this many entries.
    pub snapshot_every: u64,
    /// A snapshot is taken, too, after this many bytes of entries.
    pub snapshot_bytes: u64,
    /// A file of the log is closed when it is longer, in bytes. Files go when a snapshot covers
    /// them, so a small disk wants small ones.
    pub segment_bytes: u64,
    /// Replicas that are lost for good are taken out of the ledger; `None` leaves that to an
    /// operator.
    pub take_out: Option<TakeOut>,
    /// The process ends its replica when that can't go on, instead of saying so to all who ask.
    pub end_when_failed: bool,
    /// Where metrics go, in place of what the settings say.
    pub metrics: Option<Metrics>,
    /// One sync for many entries; off only to measure what that brings.
    pub group_commit: bool,
}

/// When a replica is taken out of the ledger without an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOut {
    /// After a silence of this length.
    pub after: Duration,
    /// Never below this many voters: twice the disks that may be lost at once, plus one.
    pub least: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            core: CoreSettings::default(),
            silent_after: Duration::from_secs(5),
            gone_after: Duration::from_secs(10),
            snapshot_every: 10_000,
            snapshot_bytes: 64 << 20,
            segment_bytes: 16 << 20,
            take_out: None,
            end_when_failed: false,
            metrics: None,
            group_commit: true,
        }
    }
}

/// A running replica.
pub struct LedgerHandle {
    /// Where it listens.
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl LedgerHandle {
    /// Returns when the replica has ended.
    pub async fn stopped(self) {
        // The task has no result, and a panic in it was logged by the runtime.
        let _ = self.task.await;
    }
}

/// Starts a replica; it runs until `stop` is ready.
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
        Contacts::default(),
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

/// Starts a replica on a folder that is open already, with contacts that may change while it runs.
pub async fn start_on(
    disk: Disk,
    cfg: LedgerSettings,
    tuning: Tuning,
    contacts: Contacts,
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
        contacts,
        disk: Disk::read_only(&cfg.data),
    };
    let (ended, mut task_ended) = watch::channel(false);
    let task = tokio::spawn(async move {
        let task = tokio::spawn(async move {
            let writer = replica_task.run(rx, stopping).await;
            // Somebody always listens here: the task around this one holds a receiver.
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
                // Either it has failed and is to end the process, or it has panicked.
                _ = task_ended.wait_for(|ended| *ended) => {}
            }
            // Somebody always listens here: this task holds a receiver.
            let _ = ending.send(true);
        });
        serving.await;
        founding.abort();
        links.abort();
        // A panic in the node was printed when it happened.
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
        // Fails only when the node has ended, and nobody waits for the report any more.
        let _ = inbox.blocking_send(replica_task::Input::Disk(report));
    };
    Writer::start(storage, group_commit, report).context(ThreadSnafu)
}
