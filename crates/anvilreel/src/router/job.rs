//! One caller's request after it was checked, and the pieces of its answer.

use std::time::Duration;

use anvil_policy::prefix::{PrefixHash, PrefixRule};
use anvil_wire::msg::{Head, Work};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use bytes::Bytes;
use tokio::time::Instant;

use super::view::{Team, View};
use crate::claims::placement;
use crate::request::{Spec, Target};

/// A checked request.
#[derive(Debug, Clone)]
pub struct Job {
    /// What names it across retries and routers.
    pub key: RequestKey,
    /// Names this exchange's claim in the ledger.
    pub claim_id: ClaimId,
    /// Whether the caller chose the key, so that it may come again.
    pub callers_key: bool,
    /// Hash of the body and of what else makes the request.
    pub body: BodyHash,
    /// What to do.
    pub work: Work,
    /// Whether it may run at most once, ever.
    pub once: bool,
    /// How it waits.
    pub class: WorkClass,
    /// Who is served fairly.
    pub organisation: OrganisationId,
    /// Who pays.
    pub split: Split,
    /// What the work costs.
    pub price: Price,
    /// The most that it can cost, in tokens.
    pub bound: Tokens,
    /// The service whose endpoints can run it.
    pub service: ServiceId,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must have ended.
    pub deadline: Instant,
    /// How long it may wait for its turn or for money.
    pub patience: Duration,
    /// How long its answer is kept for a retry.
    pub keep: Duration,
}

impl Job {
    /// The model, for a chat.
    pub fn model(&self) -> Option<&ModelId> {
        match &self.work {
            Work::Chat { model, .. } => Some(model),
            Work::Plain { .. } => None,
        }
    }

    /// Time left until its deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A part of an answer, in the order in which a caller gets it.
#[derive(Debug)]
pub enum Piece {
    /// Status and headers of a plain service.
    Head(Head),
    /// More output.
    Bytes(Bytes),
    /// The answer is whole and its charge is held in two processes.
    End {
        /// Why the engine stopped.
        finish: std::sync::Arc<str>,
        /// Measured use.
        usage: Usage,
    },
    /// It did not run.
    Refused(Refusal),
    /// It may have run.
    Doubt(Doubt),
}

impl Job {
    /// A request of a team, with everything that its kind of work does not decide.
    pub fn new(view: &View, team: &Team, timeout: Duration) -> Self {
        let arrived = Instant::now();
        Self {
            key: RequestKey {
                team: team.id.clone(),
                id: "".into(),
            },
            claim_id: "".into(),
            callers_key: false,
            body: BodyHash::default(),
            work: Work::Plain {
                method: "".into(),
                tail: "".into(),
                headers: Vec::new(),
                body: Bytes::new(),
            },
            once: false,
            class: team.document.class,
            organisation: team.document.organisation.clone(),
            split: team.document.split.clone(),
            price: Price::default(),
            bound: 0,
            service: "".into(),
            arrived,
            deadline: arrived + timeout,
            patience: view.fleet.queue_timeout,
            keep: view.fleet.keep_answers,
        }
    }
}

/// How long a finished answer is kept whose key no caller can come back with: only its router
/// may still have to read it again after a broken stream.
const UNNAMED_KEEP: Duration = Duration::from_secs(10);
/// Bytes that a prompt token takes on average; only for estimates, never for money.
pub(super) const USUAL_TOKEN_BYTES: u64 = 4;

impl Job {
    /// Hashes of the prompt's prefixes; none for a plain call. The caller's JSON stands for the
    /// prompt: requests of one client that share a beginning have it in the same bytes.
    pub(super) fn prefix_hashes(&self, rule: &PrefixRule) -> Vec<PrefixHash> {
        match &self.work {
            Work::Chat { model, body, .. } => rule.hashes(model, body),
            Work::Plain { .. } => Vec::new(),
        }
    }

    /// Prompt tokens and output limit, as estimates of time need them.
    pub fn expected(&self) -> (Tokens, Tokens) {
        match &self.work {
            Work::Chat {
                body, max_output, ..
            } => {
                let bytes = u64::try_from(body.len()).unwrap_or(u64::MAX);
                (bytes / USUAL_TOKEN_BYTES, *max_output)
            }
            Work::Plain { .. } => (0, 0),
        }
    }
}

impl Job {
    /// What the request's state machine is told.
    pub(super) fn spec(&self, core: &super::Core) -> Spec {
        let view = core.following.view.load();
        let region = &core.instance.zone.region;
        let holders = if self.callers_key && !self.once {
            placement(&self.key, region, view.routers.values())
        } else {
            Vec::new()
        };
        Spec {
            key: self.key.clone(),
            claim_id: self.claim_id.clone(),
            named: self.callers_key,
            body: self.body,
            once: self.once,
            split: self.split.clone(),
            price: self.price,
            bound: self.bound,
            work: self.work.clone(),
            class: self.class,
            deadline: core.life.now() + self.time_left(),
            keep: if self.callers_key {
                self.keep
            } else {
                UNNAMED_KEEP
            },
            suspects: self.suspects(core, &view, &holders),
            holders,
        }
    }

    /// Sidecars that may run the key already although no router can vouch that they don't.
    ///
    /// Failure: both routers that kept a key's claim are lost while its run goes on; the caller
    /// retries. It would show as a second run and a second bill. So while the key's holders have
    /// changed lately, the sidecars that can run it are asked.
    fn suspects(&self, core: &super::Core, view: &View, holders: &[InstanceId]) -> Vec<Target> {
        if holders.is_empty() || core.tenure().is_settled(core.life.now(), &self.key) {
            return Vec::new();
        }
        // One that the ledger does not hear of is passed over. Waiting for its word would answer
        // "unknown" to every caller's key for as long as it is away, because of a run that only
        // a caller who lost both holders of the claim can have left there.
        let able = view.sidecars.values().filter(|instance| {
            let endpoint = instance.endpoint.as_ref();
            let serves = endpoint.is_some_and(|endpoint| endpoint.service == self.service);
            serves && !view.silent.contains(&instance.id)
        });
        able.map(|instance| Target::new(instance.id.clone(), instance.incarnation))
            .collect()
    }
}
