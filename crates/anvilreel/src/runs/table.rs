//! The table of runs, and the dispatch of events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_wire::msg::{ChargeEvidence, ProbeAnswer, SidecarReply};
use anvil_world::prelude::*;

use super::charges::Charges;
use super::readers::Reader;
use super::run::Run;
use super::{Action, Event, ReaderId, RunId};

/// How long a forbidden key is remembered. A router whose start arrives later than this has been
/// fenced in the meantime.
pub(super) const FORBIDDEN_RETENTION: Duration = Duration::from_hours(1);

pub(super) type ForbiddenStart = (RequestKey, Option<ClaimId>);

/// Limits of the runs of one sidecar.
#[derive(Debug, Clone)]
pub struct RunsConfig {
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Maximum bytes of output kept for all runs together.
    pub buffer_bytes: u64,
    /// How long a non-idempotent key is remembered; longer than the ledger keeps claims.
    pub once_retention: Duration,
}

/// All runs of one sidecar.
#[derive(Debug)]
pub struct Runs {
    pub(super) cfg: RunsConfig,
    pub(super) table: BTreeMap<RunId, Run>,
    pub(super) by_key: BTreeMap<RequestKey, RunId>,
    pub(super) readers: BTreeMap<ReaderId, Reader>,
    /// Forbidden starts, by key and claim, with the time until which they are remembered. No claim
    /// means every start of the key.
    pub(super) forbidden: BTreeMap<ForbiddenStart, Now>,
    pub(super) fenced: BTreeMap<InstanceId, Incarnation>,
    pub(super) pending_evidence: BTreeSet<InstanceId>,
    pub(super) charges: Charges,
    pub(super) leaving: bool,
    pub(super) kept_bytes: u64,
    /// Whether the engines of live runs are paused.
    pub(super) engines_paused: bool,
    pub(super) next_run: RunId,
    pub(super) actions: Vec<Action>,
}

impl Runs {
    /// A state without runs.
    pub fn new(cfg: RunsConfig) -> Self {
        Self {
            cfg,
            table: BTreeMap::new(),
            by_key: BTreeMap::new(),
            readers: BTreeMap::new(),
            forbidden: BTreeMap::new(),
            fenced: BTreeMap::new(),
            pending_evidence: BTreeSet::new(),
            charges: Charges::default(),
            leaving: false,
            kept_bytes: 0,
            engines_paused: false,
            next_run: 1,
            actions: Vec::new(),
        }
    }

    /// Handles one event; returns the actions to perform, in order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Start { reader, start } => self.start(now, reader, *start),
            Event::Attach {
                reader,
                key,
                offset,
            } => self.attach(reader, &key, offset),
            Event::Cancel {
                reader,
                key,
                incarnation,
            } => self.cancel(now, reader, key, incarnation),
            Event::Probe { reader, key } => self.reply_probed(reader, self.probe(&key)),
            Event::Forbid {
                reader,
                key,
                incarnation,
                claim,
            } => self.forbid(now, reader, (key, claim), incarnation),
            Event::ReaderReady { reader } => self.reader_ready(reader),
            Event::ReaderGone { reader } => self.remove_reader(reader),
            Event::Endpoint { run, event } => self.endpoint_event(now, run, event),
            Event::Leaving => self.leaving = true,
            Event::NoLongerLeaving => self.leaving = false,
            Event::Fenced {
                router,
                incarnation,
            } => self.fence(router, incarnation),
            Event::OnceRetention(keep) => self.cfg.once_retention = keep,
            Event::Tick => self.tick(now),
        }
        self.enforce_buffer_limit();
        std::mem::take(&mut self.actions)
    }

    /// Number of runs that have not ended.
    pub fn live(&self) -> usize {
        self.table.values().filter(|run| run.is_live()).count()
    }

    /// Bytes of output kept for all runs together.
    pub fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// Whether new runs are refused because the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Charges to grants that are still open.
    pub fn charges(&self) -> &Charges {
        &self.charges
    }

    /// Charge evidence for the ledger: for each fenced router without a live run here, until the
    /// ledger has accepted it.
    ///
    /// The evidence is final: the fence was applied here before, so no further start of the fenced
    /// incarnations is accepted, and all runs that were accepted have ended.
    pub fn evidence(&self) -> Vec<ChargeEvidence> {
        let fenced = self.pending_evidence.iter().filter_map(|router| {
            let incarnation = *self.fenced.get(router)?;
            let is_final = !self.has_live_run(router, incarnation);
            is_final.then(|| self.charges.evidence(router, incarnation))
        });
        fenced.collect()
    }

    /// The ledger has accepted the evidence of a fenced router.
    pub fn acknowledge_evidence(&mut self, router: &InstanceId, incarnation: Incarnation) {
        if self.fenced.get(router) == Some(&incarnation) {
            self.pending_evidence.remove(router);
            self.charges.forget_incarnations(router, incarnation);
        }
    }

    /// Whether a live run is paid by one of a router's incarnations up to this one.
    fn has_live_run(&self, router: &InstanceId, incarnation: Incarnation) -> bool {
        self.table.values().any(|run| {
            let payment = &run.start.payment;
            run.is_live() && payment.router == *router && payment.incarnation <= incarnation
        })
    }

    fn fence(&mut self, router: InstanceId, incarnation: Incarnation) {
        let known = self.fenced.get(&router).copied().unwrap_or_default();
        if incarnation > known {
            self.pending_evidence.insert(router.clone());
            self.fenced.insert(router, incarnation);
        }
    }

    pub(super) fn probe(&self, key: &RequestKey) -> ProbeAnswer {
        match self.run_for_key(key) {
            Some(run) => match &run.end {
                Some(ended) => ProbeAnswer::Ended(ended.end.clone()),
                None => ProbeAnswer::Running {
                    length: run.output.length(),
                },
            },
            None if self.forbidden.contains_key(&(key.clone(), None)) => ProbeAnswer::Forbidden,
            None => ProbeAnswer::Unheard,
        }
    }

    pub(super) fn run_for_key(&self, key: &RequestKey) -> Option<&Run> {
        self.table.get(self.by_key.get(key)?)
    }

    pub(super) fn reply_probed(&mut self, reader: ReaderId, answer: ProbeAnswer) {
        self.last_reply(reader, SidecarReply::Probed(answer));
    }

    pub(super) fn last_reply(&mut self, reader: ReaderId, reply: SidecarReply) {
        self.actions.push(Action::Reply { reader, reply });
        self.actions.push(Action::Close { reader });
    }
}
