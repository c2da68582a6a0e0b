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
use crate::lifecycle::Lifecycle;
use crate::runs::{Action, EndpointCommand, Event, ReaderId, RunId, Runs, RunsConfig};

/// Replies to one reader. The channel is unbounded, but holds little: the state machine has at most
/// one frame in flight for each reader.
pub type Replies = UnboundedReceiver<SidecarReply>;

struct HubState {
    runs: Runs,
    readers: BTreeMap<ReaderId, UnboundedSender<SidecarReply>>,
    drivers: BTreeMap<RunId, UnboundedSender<EndpointCommand>>,
    next_reader: ReaderId,
    /// Readers whose stream has not been closed; some of them have been sent their last reply.
    open_streams: usize,
}

/// All runs of a sidecar.
pub struct Hub {
    state: Mutex<HubState>,
    lifecycle: Lifecycle,
    log: Logger,
    client: EndpointClient,
}

impl Hub {
    /// A hub without runs.
    pub fn new(cfg: RunsConfig, lifecycle: Lifecycle, log: Logger, client: EndpointClient) -> Self {
        let state = HubState {
            runs: Runs::new(cfg),
            readers: BTreeMap::new(),
            drivers: BTreeMap::new(),
            next_reader: 1,
            open_streams: 0,
        };
        Self {
            state: Mutex::new(state),
            lifecycle,
            log,
            client,
        }
    }

    /// Registers a reader and feeds the event that `make` builds from its number; returns the
    /// replies.
    pub fn open_reader(
        self: &Arc<Self>,
        make: impl FnOnce(ReaderId) -> Event,
    ) -> (ReaderId, Replies) {
        let (tx, rx) = unbounded_channel();
        let mut state = self.lock();
        let reader = state.next_reader;
        state.next_reader += 1;
        state.open_streams += 1;
        state.readers.insert(reader, tx);
        self.feed_locked(&mut state, make(reader));
        (reader, rx)
    }

    /// Feeds an event that has no new reader.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let mut state = self.lock();
        self.feed_locked(&mut state, event);
    }

    /// Removes a reader whose stream was closed. To be called once for each reader.
    pub fn close_reader(self: &Arc<Self>, reader: ReaderId) {
        let mut state = self.lock();
        state.open_streams -= 1;
        state.readers.remove(&reader);
        self.feed_locked(&mut state, Event::ReaderGone { reader });
    }

    /// Removes the driver of a run that has ended at the endpoint.
    pub fn remove_driver(&self, run: RunId) {
        self.lock().drivers.remove(&run);
    }

    /// Logs that the connection to the endpoint broke during a run.
    pub fn log_broken_stream(&self, run: RunId, resumable: bool) {
        let log = &self.log;
        event!(log, events::SIDECAR_ENGINE_BROKEN, "run" => run, "resumable" => resumable);
    }

    /// Number of runs that have not ended. Checks every kept run, so it is meant for a planned stop
    /// and not for each request.
    pub fn live_runs(&self) -> usize {
        self.lock().runs.live()
    }

    /// Number of readers to which replies are still sent.
    pub fn open_streams(&self) -> usize {
        self.lock().open_streams
    }

    /// Number of runs in progress at the endpoint, for the load report.
    pub fn driver_count(&self) -> usize {
        self.lock().drivers.len()
    }

    /// Charge evidence that the ledger has not accepted yet.
    pub fn evidence(&self) -> Vec<ChargeEvidence> {
        self.lock().runs.evidence()
    }

    /// The ledger has accepted this evidence.
    pub fn acknowledge_evidence(&self, taken: &[(InstanceId, Incarnation)]) {
        let mut state = self.lock();
        for (router, incarnation) in taken {
            state.runs.acknowledge_evidence(router, *incarnation);
        }
    }

    fn feed_locked(self: &Arc<Self>, state: &mut HubState, event: Event) {
        for action in state.runs.handle(self.lifecycle.now(), event) {
            self.perform(state, action);
        }
    }

    fn perform(self: &Arc<Self>, state: &mut HubState, action: Action) {
        match action {
            Action::Reply { reader, reply } => {
                if let Some(tx) = state.readers.get(&reader) {
                    // Fails only if the reader has just disconnected, which its task reports
                    // itself.
                    let _ = tx.send(reply);
                }
            }
            Action::Close { reader } => drop(state.readers.remove(&reader)),
            Action::Endpoint { run, command } => self.send_command(state, run, command),
            Action::Violation(e) => {
                event!(self.log, events::SIDECAR_INVARIANT_BROKEN, "error" => e.to_string());
            }
        }
    }

    fn send_command(self: &Arc<Self>, state: &mut HubState, run: RunId, command: EndpointCommand) {
        let EndpointCommand::Begin(start) = command else {
            if let Some(tx) = state.drivers.get(&run) {
                // Fails only if the driver has just reported the end of the run.
                let _ = tx.send(command);
            }
            return;
        };
        let (tx, rx) = unbounded_channel();
        state.drivers.insert(run, tx);
        let driver = Driver {
            hub: self.clone(),
            client: self.client.clone(),
            run,
            start,
            commands: rx,
        };
        tokio::spawn(drive::drive(driver));
    }

    fn lock(&self) -> MutexGuard<'_, HubState> {
        // A panic elsewhere leaves the state as it was between two steps.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
