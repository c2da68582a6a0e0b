//! Holds the state machine of the runs and performs its actions: replies go to readers, commands to
//! the drivers of runs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvil_wire::msg::{ChargeEvidence, SidecarReply};
use anvil_world::prelude::*;
use slog::Logger;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::drive::{self, Driver};
use super::http::EndpointClient;
use crate::event;
use crate::events;
use crate::life::Life;
use crate::runs::{Action, EngineCommand, Event, ReaderId, RunId, Runs, RunsConfig};

/// Replies to one reader. The channel is unbounded, but holds little: the state machine has at most
/// one frame in flight for each reader.
pub type Replies = UnboundedReceiver<SidecarReply>;

struct Desk {
    runs: Runs,
    readers: BTreeMap<ReaderId, UnboundedSender<SidecarReply>>,
    drivers: BTreeMap<RunId, UnboundedSender<EngineCommand>>,
    next_reader: ReaderId,
}

/// All runs of a sidecar.
pub struct Hub {
    desk: Mutex<Desk>,
    life: Life,
    log: Logger,
    client: EndpointClient,
}

impl Hub {
    /// A hub without runs.
    pub fn new(cfg: RunsConfig, life: Life, log: Logger, client: EndpointClient) -> Self {
        let desk = Desk {
            runs: Runs::new(cfg),
            readers: BTreeMap::new(),
            drivers: BTreeMap::new(),
            next_reader: 1,
        };
        Self {
            desk: Mutex::new(desk),
            life,
            log,
            client,
        }
    }

    /// Registers a reader and feeds the event that `make` builds from its number; returns the
    /// replies.
    pub fn ask(self: &Arc<Self>, make: impl FnOnce(ReaderId) -> Event) -> (ReaderId, Replies) {
        let (tx, rx) = unbounded_channel();
        let mut desk = self.desk();
        let reader = desk.next_reader;
        desk.next_reader += 1;
        desk.readers.insert(reader, tx);
        self.feed_locked(&mut desk, make(reader));
        (reader, rx)
    }

    /// Feeds an event that has no new reader.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let mut desk = self.desk();
        self.feed_locked(&mut desk, event);
    }

    /// Removes a reader whose stream was closed.
    pub fn gone(self: &Arc<Self>, reader: ReaderId) {
        let mut desk = self.desk();
        desk.readers.remove(&reader);
        self.feed_locked(&mut desk, Event::Gone { reader });
    }

    /// Removes the driver of a run that has ended at the endpoint.
    pub fn driven(&self, run: RunId) {
        self.desk().drivers.remove(&run);
    }

    /// Logs that the connection to the endpoint broke during a run.
    pub fn broken(&self, run: RunId, resumable: bool) {
        let log = &self.log;
        event!(log, events::SIDECAR_ENGINE_BROKEN, "run" => run, "resumable" => resumable);
    }

    /// Number of runs that have not ended. Checks every kept run, so it is meant for a planned stop
    /// and not for each request.
    pub fn live(&self) -> usize {
        self.desk().runs.live()
    }

    /// Number of runs in progress at the endpoint, for the load report.
    pub fn driving(&self) -> usize {
        self.desk().drivers.len()
    }

    /// Charge evidence that the ledger has not accepted yet.
    pub fn evidence(&self) -> Vec<ChargeEvidence> {
        self.desk().runs.evidence()
    }

    /// The ledger has accepted this evidence.
    pub fn evidence_taken(&self, taken: &[(InstanceId, Incarnation)]) {
        let mut desk = self.desk();
        for (router, incarnation) in taken {
            desk.runs.evidence_taken(router, *incarnation);
        }
    }

    fn feed_locked(self: &Arc<Self>, desk: &mut Desk, event: Event) {
        for action in desk.runs.handle(self.life.now(), event) {
            self.act(desk, action);
        }
    }

    fn act(self: &Arc<Self>, desk: &mut Desk, action: Action) {
        match action {
            Action::Reply { reader, reply } => {
                if let Some(tx) = desk.readers.get(&reader) {
                    // Fails only if the reader has just disconnected, which its task reports
                    // itself.
                    let _ = tx.send(reply);
                }
            }
            Action::Close { reader } => drop(desk.readers.remove(&reader)),
            Action::Engine { run, command } => self.command(desk, run, command),
            Action::Violation(e) => {
                event!(self.log, events::SIDECAR_INVARIANT_BROKEN, "error" => e.to_string());
            }
        }
    }

    fn command(self: &Arc<Self>, desk: &mut Desk, run: RunId, command: EngineCommand) {
        let EngineCommand::Begin(start) = command else {
            if let Some(tx) = desk.drivers.get(&run) {
                // Fails only if the driver has just reported the end of the run.
                let _ = tx.send(command);
            }
            return;
        };
        let (tx, rx) = unbounded_channel();
        desk.drivers.insert(run, tx);
        let driver = Driver {
            hub: self.clone(),
            client: self.client.clone(),
            run,
            start,
            commands: rx,
        };
        tokio::spawn(drive::drive(driver));
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        // A panic elsewhere leaves the state as it was between two steps.
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
