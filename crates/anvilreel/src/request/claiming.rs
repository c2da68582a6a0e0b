//! Claiming a key: decides whether this exchange runs it, or reads the run of another one.
//!
//! A non-idempotent key is claimed in the ledger, committed by a majority to disk, before the call
//! is sent. Any other caller-chosen key is claimed at two routers in parallel; if their answers
//! differ or one of them can't be reached, the ledger decides between the answers. A holder keeps
//! the first claim it receives, so once an exchange has dispatched on two equal answers, every
//! later one gets the same answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use anvil_wire::msg::{IdempotentClaim, ProbeAnswer, RunEnd, SidecarReply, SidecarRequest};
use anvil_world::command::Claim;
use anvil_world::prelude::*;

use super::exchange::{Exchange, Step};
use super::{Action, ClaimAnswer, Dispatch, Holder, Target, generation_key};

/// Retry-After when the claim's holders can't be reached.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The holders' answers so far.
#[derive(Debug, Default)]
pub(super) struct Claiming {
    awaited: BTreeSet<Holder>,
    recorded: BTreeMap<Holder, (Target, BodyHash)>,
}

impl Exchange {
    /// Claims the key for the current target.
    pub(super) fn claim(&mut self) {
        let mut claiming = Claiming::default();
        if !self.spec.at_most_once {
            for holder in self.spec.holders.clone() {
                claiming.awaited.insert(Holder::Router(holder.clone()));
                let claim = self.placed_claim();
                self.actions.push(Action::PutClaim { holder, claim });
            }
        }
        let no_router = claiming.awaited.is_empty();
        self.step = Step::Claiming(claiming);
        if no_router {
            self.claim_in_ledger(None);
        }
    }

    pub(super) fn claim_answered(&mut self, holder: Holder, answer: ClaimAnswer) {
        let Step::Claiming(claiming) = &mut self.step else {
            return;
        };
        if !claiming.awaited.remove(&holder) {
            return;
        }
        match answer {
            ClaimAnswer::Recorded {
                target,
                body,
                id,
                fresh,
                settled,
            } => {
                if body != self.spec.body_hash {
                    return self.refuse(Refusal::new(Reason::KeyReused(body)));
                }
                if holder == Holder::Ledger {
                    self.claim_id = id;
                    return self.ledger_answered(target, fresh, settled.as_ref());
                }
                claiming.recorded.insert(holder, (target, body));
            }
            ClaimAnswer::Unavailable if holder == Holder::Ledger => return self.without_ledger(),
            ClaimAnswer::Unavailable => {}
        }
        if claiming.awaited.is_empty() {
            self.resolve_answers();
        }
    }

    /// Decides once both routers have answered or failed.
    fn resolve_answers(&mut self) {
        let Step::Claiming(claiming) = &mut self.step else {
            return;
        };
        let targets: BTreeSet<Target> =
            claiming.recorded.values().map(|(t, _)| t.clone()).collect();
        let agreed =
            claiming.recorded.len() == crate::claims::HOLDERS_PER_CLAIM && targets.len() == 1;
        if let Some(target) = targets.first().filter(|_| agreed) {
            return self.adopt_claim(target.clone());
        }
        if targets.is_empty() {
            return self.no_recorded_claim();
        }
        // Another exchange may already have acted on its claim; this one has not.
        let own_target = self.target.as_ref();
        let other = targets.iter().find(|target| Some(*target) != own_target);
        let competing = other.cloned();
        self.claim_in_ledger(competing.as_ref());
    }

    /// No holder can confirm whether the key was claimed before: both were lost, or have held it
    /// only for a short time. Then the candidate sidecars are probed before the ledger accepts a
    /// new claim.
    ///
    /// No earlier start can still be in flight: its sender got the claim before the holders were
    /// declared lost, and that takes longer than a start may wait.
    fn no_recorded_claim(&mut self) {
        if self.candidates_probed {
            return self.claim_in_ledger(None);
        }
        if self.spec.probe_candidates.is_empty() {
            let refusal = Refusal::new(Reason::LedgerUnreachable);
            return self.refuse(refusal.with_retry_after(CLAIM_RETRY_AFTER));
        }
        self.candidates_probed = true;
        self.probe_candidates();
    }

    fn claim_in_ledger(&mut self, competing: Option<&Target>) {
        let mut claiming = match std::mem::replace(&mut self.step, Step::New) {
            Step::Claiming(claiming) => claiming,
            _ => Claiming::default(),
        };
        claiming.awaited.insert(Holder::Ledger);
        self.step = Step::Claiming(claiming);
        self.put_ledger_claim(competing);
    }

    fn ledger_answered(&mut self, target: Target, fresh: bool, settled: Option<&Outcome>) {
        if !self.spec.at_most_once {
            return self.adopt_claim(target);
        }
        self.owns_claim = fresh;
        if fresh {
            return self.reserve_or_start();
        }
        self.target = Some(target);
        self.completed_in_ledger = matches!(settled, Some(Outcome::Completed(_)));
        // A completed run is read again from its sidecar; an unknown outcome stays unknown.
        match settled {
            Some(Outcome::Unknown(doubt)) => self.finish(Outcome::Unknown(*doubt), None),
            _ => self.attach(),
        }
    }

    /// Continues with the target that runs the key, whoever claimed it.
    fn adopt_claim(&mut self, target: Target) {
        self.owns_claim = self.target.as_ref() == Some(&target);
        self.target = Some(target);
        if self.owns_claim {
            return self.reserve_or_start();
        }
        if self.delivered > 0 && self.attempt > 0 {
            // The caller has the first part of another run's answer, and this run can't supply the
            // rest of it.
            return self.finish(Outcome::Unknown(UnknownCause::SidecarLost), None);
        }
        self.attach();
    }

    /// The ledger can't be reached. Nothing may be started; an existing run may still be read.
    fn without_ledger(&mut self) {
        let refusal = Refusal::new(Reason::LedgerUnreachable).with_retry_after(CLAIM_RETRY_AFTER);
        let Step::Claiming(claiming) = &self.step else {
            return;
        };
        let own_target = self.target.as_ref();
        let mut targets = claiming.recorded.values().map(|(target, _)| target);
        let other = targets.find(|target| Some(*target) != own_target).cloned();
        if let Some(target) = other {
            self.target = Some(target);
            self.owns_claim = false;
            return self.attach();
        }
        if self.attempt > 0 {
            return self.finish(Outcome::Unknown(UnknownCause::SidecarLost), None);
        }
        self.refuse(refusal);
    }

    /// Asks the candidate sidecars, one after another, whether they know the key.
    pub(super) fn probe_candidates(&mut self) {
        let remaining = self.spec.probe_candidates.clone();
        self.step = Step::Probing { remaining };
        self.probe_next();
    }

    fn probe_next(&mut self) {
        let Step::Probing { remaining } = &mut self.step else {
            return;
        };
        let Some(target) = remaining.pop() else {
            return self.claim_in_ledger(None);
        };
        let key = self.spec.key.clone();
        self.probed_target = Some(target.clone());
        self.call(target, SidecarRequest::Probe { key });
    }

    /// Handles a candidate's answer, or `None` if it could not be asked.
    pub(super) fn probe_answered(&mut self, dispatch: Dispatch, reply: Option<&SidecarReply>) {
        if dispatch != self.dispatch {
            return;
        }
        match reply {
            // A run that lost its endpoint does not count: it was continued on the target that the
            // claim names.
            Some(SidecarReply::Probed(ProbeAnswer::Ended(end))) if lost_its_endpoint(end) => {
                self.probe_next();
            }
            Some(SidecarReply::Probed(ProbeAnswer::Running { .. } | ProbeAnswer::Ended(_))) => {
                // The run is not read yet: the claim, or the sidecar's answer to the start, shows
                // whether the body is the same.
                self.target = self.probed_target.take();
                self.claim_in_ledger(None);
            }
            Some(SidecarReply::Probed(_)) => self.probe_next(),
            // A sidecar that can't be asked may have run the key; running it again could charge it
            // twice.
            _ => self.finish(Outcome::Unknown(UnknownCause::SidecarLost), None),
        }
    }

    fn placed_claim(&self) -> IdempotentClaim {
        let target = self.target_to_claim(None);
        IdempotentClaim {
            key: generation_key(&self.spec.key, self.generation),
            body: self.spec.body_hash,
            sidecar: target.sidecar,
            incarnation: target.incarnation,
            keep: self.spec.retention + self.spec.deadline.saturating_sub(self.now),
        }
    }

    pub(super) fn put_ledger_claim(&mut self, other: Option<&Target>) {
        let target = self.target_to_claim(other);
        let claim = Claim {
            id: self.spec.claim_id.clone(),
            key: generation_key(&self.spec.key, self.generation),
            body: self.spec.body_hash,
            sidecar: target.sidecar,
            incarnation: target.incarnation,
            at: SystemTime::UNIX_EPOCH,
        };
        self.actions.push(Action::PutLedgerClaim(claim));
    }

    fn target_to_claim(&self, other: Option<&Target>) -> Target {
        let to_claim = other.or(self.target.as_ref());
        to_claim.cloned().unwrap_or_else(Target::unset)
    }
}

fn lost_its_endpoint(end: &RunEnd) -> bool {
    end.outcome == Outcome::Unknown(UnknownCause::EndpointLost)
}
