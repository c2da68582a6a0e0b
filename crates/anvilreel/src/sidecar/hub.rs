//! The shell around the runs' state machine: readers on one side, endpoint drivers on the other.

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

/// Replies for one reader. Unbounded, and still bounded: the state machine has one frame under
/// way for each reader.
pub type Replies = UnboundedReceiver<SidecarReply>;

struct Desk {
    runs: Runs,
    readers: BTreeMap<ReaderId, UnboundedSender<SidecarReply>>,
    drivers: BTreeMap<RunId, UnboundedSender<EngineCommand>>,
    next_reader: ReaderId,
}

/// All runs of a sidecar, fed from sockets and clocks.
pub struct Hub {
    desk: Mutex<Desk>,
    life: Life,
    log: Logger,
    client: EndpointClient,
}

impl Hub {
    /// No runs.
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

    /// Feeds an event that a reader waits on; `make` gets the reader's number.
    pub fn ask(self: &Arc<Self>, make: impl FnOnce(ReaderId) -> Event) -> (ReaderId, Replies) {
        let (tx, rx) = unbounded_channel();
        let mut desk = self.desk();
        let reader = desk.next_reader;
        desk.next_reader += 1;
        desk.readers.insert(reader, tx);
        self.feed_locked(&mut desk, make(reader));
        (reader, rx)
    }

    /// Feeds any other event.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let mut desk = self.desk();
        self.feed_locked(&mut desk, event);
    }

    /// A reader's stream is gone.
    pub fn gone(self: &Arc<Self>, reader: ReaderId) {
        let mut desk = self.desk();
        desk.readers.remove(&reader);
        self.feed_locked(&mut desk, Event::Gone { reader });
    }

    /// A run's driver has nothing more to do.
    pub fn driven(&self, run: RunId) {
        self.desk().drivers.remove(&run);
    }

    /// The endpoint broke off in mid-answer.
    pub fn broken(&self, run: RunId, resumable: bool) {
        let log = &self.log;
        event!(log, events::SIDECAR_ENGINE_BROKEN, "run" => run, "resumable" => resumable);
    }

    /// Runs that the endpoint works on. Looks at every kept run: for a stop, not for a request.
    pub fn live(&self) -> usize {
        self.desk().runs.live()
    }

    /// Runs that are driven at the endpoint, for its load.
    pub fn driving(&self) -> usize {
        self.desk().drivers.len()
    }

    /// Evidence that the ledger has not taken yet.
    pub fn evidence(&self) -> Vec<ChargeEvidence> {
        self.desk().runs.evidence()
    }

    /// The ledger has taken this evidence.
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
                    // Fails only where the reader has just gone, which it says itself.
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
                // Fails only where the driver has just said the run's last word.
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
        // A panic elsewhere leaves the desk as it was between two steps.
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
