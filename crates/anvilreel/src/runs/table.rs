//! The table of runs, and where each event goes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_wire::msg::{ChargeEvidence, ProbeAnswer, SidecarReply};
use anvil_world::prelude::*;

use super::charges::Charges;
use super::readers::Reader;
use super::run::Run;
use super::{Action, Event, ReaderId, RunId};

/// How long a forbidden key is remembered. A router whose dispatch is later than this has been
/// fenced meanwhile.
pub(super) const KEEP_FORBIDDEN: Duration = Duration::from_hours(1);

pub(super) type Forbidden = (RequestKey, Option<ClaimId>);

/// What a sidecar's runs are bounded by.
#[derive(Debug, Clone)]
pub struct RunsConfig {
    /// This life of the sidecar.
    pub life: Incarnation,
    /// Most bytes of output kept for all runs together.
    pub buffer_bytes: u64,
    /// For how long a non-idempotent key is remembered; longer than the ledger keeps claims.
    pub keep_once: Duration,
}

/// All runs of one sidecar.
#[derive(Debug)]
pub struct Runs {
    pub(super) cfg: RunsConfig,
    pub(super) table: BTreeMap<RunId, Run>,
    pub(super) by_key: BTreeMap<RequestKey, RunId>,
    pub(super) readers: BTreeMap<ReaderId, Reader>,
    /// By key and claim; no claim means every start of the key.
    pub(super) forbidden: BTreeMap<Forbidden, Now>,
    pub(super) fenced: BTreeMap<InstanceId, Incarnation>,
    pub(super) unsent: BTreeSet<InstanceId>,
    pub(super) charges: Charges,
    pub(super) leaving: bool,
    pub(super) kept: u64,
    /// Whether engines were told to pause.
    pub(super) full: bool,
    pub(super) next: RunId,
    pub(super) actions: Vec<Action>,
}

impl Runs {
    /// No runs.
    pub fn new(cfg: RunsConfig) -> Self {
        Self {
            cfg,
            table: BTreeMap::new(),
            by_key: BTreeMap::new(),
            readers: BTreeMap::new(),
            forbidden: BTreeMap::new(),
            fenced: BTreeMap::new(),
            unsent: BTreeSet::new(),
            charges: Charges::default(),
            leaving: false,
            kept: 0,
            full: false,
            next: 1,
            actions: Vec::new(),
        }
    }

    /// Takes one event and says what to do, in order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Start { reader, start } => self.start(now, reader, *start),
            Event::Attach {
                reader,
                key,
                offset,
            } => self.attach(reader, &key, offset),
            Event::Cancel { reader, key, life } => self.cancel(now, reader, key, life),
            Event::Probe { reader, key } => self.answer(reader, self.probe(&key)),
            Event::Forbid {
                reader,
                key,
                life,
                claim,
            } => self.forbid(now, reader, (key, claim), life),
            Event::Ready { reader } => self.ready(reader),
            Event::Gone { reader } => self.gone(reader),
            Event::Engine { run, event } => self.engine(now, run, event),
            Event::Leaving => self.leaving = true,
            Event::Returned => self.leaving = false,
            Event::Fenced {
                router,
                incarnation,
            } => self.fence(router, incarnation),
            Event::KeepOnce(keep) => self.cfg.keep_once = keep,
            Event::Tick => self.tick(now),
        }
        self.relieve();
        std::mem::take(&mut self.actions)
    }

    /// Runs that the endpoint works on.
    pub fn live(&self) -> usize {
        self.table.values().filter(|run| run.is_live()).count()
    }

    /// Bytes of output kept for all runs.
    pub fn kept_bytes(&self) -> u64 {
        self.kept
    }

    /// Whether the endpoint takes nothing new.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// What was charged and is not closed yet.
    pub fn charges(&self) -> &Charges {
        &self.charges
    }

    /// Evidence for the ledger: of each fenced router none of whose runs goes on here, until it
    /// is taken.
    ///
    /// Why it is final: the fence was in force here before, so that no start of these lives is
    /// accepted any more, and what was accepted has ended.
    pub fn evidence(&self) -> Vec<ChargeEvidence> {
        let fenced = self.unsent.iter().filter_map(|router| {
            let incarnation = *self.fenced.get(router)?;
            let settled = !self.goes_on(router, incarnation);
            settled.then(|| self.charges.evidence(router, incarnation))
        });
        fenced.collect()
    }

    /// The ledger has taken a fenced router's evidence.
    pub fn evidence_taken(&mut self, router: &InstanceId, incarnation: Incarnation) {
        if self.fenced.get(router) == Some(&incarnation) {
            self.unsent.remove(router);
            self.charges.taken(router, incarnation);
        }
    }

    /// Whether a run paid by a router's lives up to this one is live.
    fn goes_on(&self, router: &InstanceId, incarnation: Incarnation) -> bool {
        self.table.values().any(|run| {
            let payment = &run.start.payment;
            run.is_live() && payment.router == *router && payment.incarnation <= incarnation
        })
    }

    fn fence(&mut self, router: InstanceId, incarnation: Incarnation) {
        let known = self.fenced.get(&router).copied().unwrap_or_default();
        if incarnation > known {
            self.unsent.insert(router.clone());
            self.fenced.insert(router, incarnation);
        }
    }

    pub(super) fn probe(&self, key: &RequestKey) -> ProbeAnswer {
        match self.run_of(key) {
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

    pub(super) fn run_of(&self, key: &RequestKey) -> Option<&Run> {
        self.table.get(self.by_key.get(key)?)
    }

    pub(super) fn answer(&mut self, reader: ReaderId, answer: ProbeAnswer) {
        self.last_reply(reader, SidecarReply::Probed(answer));
    }

    pub(super) fn last_reply(&mut self, reader: ReaderId, reply: SidecarReply) {
        self.actions.push(Action::Reply { reader, reply });
        self.actions.push(Action::Close { reader });
    }
}
