//! Claiming a key: whether this exchange runs it, or reads what runs already.
//!
//! A non-idempotent key is claimed in the ledger, on a majority's disks, before the call leaves.
//! Any other named key is claimed at two routers side by side; where they don't agree, or one of
//! them can't be reached, the ledger decides between what they said. A holder's first claim
//! stands, so whoever dispatched on two equal answers left the same answer for everyone after.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use anvil_wire::msg::{PlacedClaim, ProbeAnswer, RunEnd, SidecarReply, SidecarRequest};
use anvil_world::command::Claim;
use anvil_world::prelude::*;

use super::exchange::{Exchange, Step};
use super::{Action, ClaimAnswer, Dispatch, Holder, Target, generation_key};

/// When to come back when the claim's holders can't be reached.
const RETRY: Duration = Duration::from_secs(2);

/// Answers of the holders so far.
#[derive(Debug, Default)]
pub(super) struct Claiming {
    waiting: BTreeSet<Holder>,
    stands: BTreeMap<Holder, (Target, BodyHash)>,
}

impl Exchange {
    /// Claims the key for the present target.
    pub(super) fn claim(&mut self) {
        let mut claiming = Claiming::default();
        if !self.spec.once {
            for holder in self.spec.holders.clone() {
                claiming.waiting.insert(Holder::Router(holder.clone()));
                let claim = self.placed_claim();
                self.actions.push(Action::PutClaim { holder, claim });
            }
        }
        let nobody = claiming.waiting.is_empty();
        self.step = Step::Claiming(claiming);
        if nobody {
            self.ask_ledger(None);
        }
    }

    pub(super) fn claimed(&mut self, holder: Holder, answer: ClaimAnswer) {
        let Step::Claiming(claiming) = &mut self.step else {
            return;
        };
        if !claiming.waiting.remove(&holder) {
            return;
        }
        match answer {
            ClaimAnswer::Stands {
                target,
                body,
                id,
                fresh,
                settled,
            } => {
                if body != self.spec.body {
                    return self.refuse(Refusal::new(Reason::KeyReused(body)));
                }
                if holder == Holder::Ledger {
                    self.claim_id = id;
                    return self.decided_by_ledger(target, fresh, settled.as_ref());
                }
                claiming.stands.insert(holder, (target, body));
            }
            ClaimAnswer::Lost if holder == Holder::Ledger => return self.undecided(),
            ClaimAnswer::Lost => {}
        }
        if claiming.waiting.is_empty() {
            self.decide();
        }
    }

    /// Both routers have answered or are lost.
    fn decide(&mut self) {
        let Step::Claiming(claiming) = &mut self.step else {
            return;
        };
        let targets: BTreeSet<Target> = claiming.stands.values().map(|(t, _)| t.clone()).collect();
        let agreed = claiming.stands.len() == crate::claims::HOLDERS && targets.len() == 1;
        if let Some(target) = targets.first().filter(|_| agreed) {
            return self.stands(target.clone());
        }
        if targets.is_empty() {
            return self.nobody_vouches();
        }
        // What another exchange claimed may be decided already; ours can't be.
        let ours = self.target.as_ref();
        let other = targets.iter().find(|target| Some(*target) != ours);
        let wanted = other.cloned();
        self.ask_ledger(wanted.as_ref());
    }

    /// No holder can say whether the key was claimed before: both were lost, or hold it since a
    /// short time. Then the sidecars are asked, before the ledger takes a new claim.
    ///
    /// Why no start can still be under way: whoever was to send one got its claim before the
    /// holders were declared lost, and the time for that is longer than a start may wait.
    fn nobody_vouches(&mut self) {
        if self.probed {
            return self.ask_ledger(None);
        }
        if self.spec.suspects.is_empty() {
            let refusal = Refusal::new(Reason::LedgerUnreachable);
            return self.refuse(refusal.with_retry_after(RETRY));
        }
        self.probed = true;
        self.probe_suspects();
    }

    fn ask_ledger(&mut self, wanted: Option<&Target>) {
        let mut claiming = match std::mem::replace(&mut self.step, Step::New) {
            Step::Claiming(claiming) => claiming,
            _ => Claiming::default(),
        };
        claiming.waiting.insert(Holder::Ledger);
        self.step = Step::Claiming(claiming);
        self.put_ledger_claim(wanted);
    }

    fn decided_by_ledger(&mut self, target: Target, fresh: bool, settled: Option<&Outcome>) {
        if !self.spec.once {
            return self.stands(target);
        }
        self.claim_ours = fresh;
        if fresh {
            return self.reserve_or_start();
        }
        self.target = Some(target);
        self.known_complete = matches!(settled, Some(Outcome::Completed(_)));
        // A completed one is read again from its sidecar; a doubt stays a doubt.
        match settled {
            Some(Outcome::Unknown(doubt)) => self.finish(Outcome::Unknown(*doubt), None),
            _ => self.attach(),
        }
    }

    /// This target runs the key, whoever claimed it.
    fn stands(&mut self, target: Target) {
        self.claim_ours = self.target.as_ref() == Some(&target);
        self.target = Some(target);
        if self.claim_ours {
            return self.reserve_or_start();
        }
        if self.delivered > 0 && self.attempt > 0 {
            // The caller has the front of another run's answer; this one can't be its rest.
            return self.finish(Outcome::Unknown(Doubt::SidecarLost), None);
        }
        self.attach();
    }

    /// The ledger can't be reached. Nothing may be started; what runs may still be read.
    fn undecided(&mut self) {
        let refusal = Refusal::new(Reason::LedgerUnreachable).with_retry_after(RETRY);
        let Step::Claiming(claiming) = &self.step else {
            return;
        };
        let ours = self.target.as_ref();
        let mut targets = claiming.stands.values().map(|(target, _)| target);
        let other = targets.find(|target| Some(*target) != ours).cloned();
        if let Some(target) = other {
            self.target = Some(target);
            self.claim_ours = false;
            return self.attach();
        }
        if self.attempt > 0 {
            return self.finish(Outcome::Unknown(Doubt::SidecarLost), None);
        }
        self.refuse(refusal);
    }

    /// Asks the suspects, one after the other, whether they know the key.
    pub(super) fn probe_suspects(&mut self) {
        let left = self.spec.suspects.clone();
        self.step = Step::Probing { left };
        self.probe_next();
    }

    fn probe_next(&mut self) {
        let Step::Probing { left } = &mut self.step else {
            return;
        };
        let Some(target) = left.pop() else {
            return self.ask_ledger(None);
        };
        let key = self.spec.key.clone();
        self.suspect = Some(target.clone());
        self.call(target, SidecarRequest::Probe { key });
    }

    /// A suspect has answered, or can't.
    pub(super) fn probed(&mut self, dispatch: Dispatch, reply: Option<&SidecarReply>) {
        if dispatch != self.dispatch {
            return;
        }
        match reply {
            // A run that its endpoint lost is no find: it was continued where the claim leads to.
            Some(SidecarReply::Probed(ProbeAnswer::Ended(end))) if is_lost(end) => {
                self.probe_next();
            }
            Some(SidecarReply::Probed(ProbeAnswer::Running { .. } | ProbeAnswer::Ended(_))) => {
                // Not read at once: whether the body is the same, the claim or the start tells.
                self.target = self.suspect.take();
                self.ask_ledger(None);
            }
            Some(SidecarReply::Probed(_)) => self.probe_next(),
            // One that can't be asked may have run it; a second run would be a second bill.
            _ => self.finish(Outcome::Unknown(Doubt::SidecarLost), None),
        }
    }

    fn placed_claim(&self) -> PlacedClaim {
        let target = self.wanted(None);
        PlacedClaim {
            key: generation_key(&self.spec.key, self.generation),
            body: self.spec.body,
            sidecar: target.sidecar,
            incarnation: target.life,
            keep: self.spec.keep + self.spec.deadline.saturating_sub(self.now),
        }
    }

    pub(super) fn put_ledger_claim(&mut self, other: Option<&Target>) {
        let target = self.wanted(other);
        let claim = Claim {
            id: self.spec.claim_id.clone(),
            key: generation_key(&self.spec.key, self.generation),
            body: self.spec.body,
            sidecar: target.sidecar,
            incarnation: target.life,
            at: SystemTime::UNIX_EPOCH,
        };
        self.actions.push(Action::PutLedgerClaim(claim));
    }

    fn wanted(&self, other: Option<&Target>) -> Target {
        let wanted = other.or(self.target.as_ref());
        wanted.cloned().unwrap_or_else(Target::nobody)
    }
}

fn is_lost(end: &RunEnd) -> bool {
    end.outcome == Outcome::Unknown(Doubt::EndpointLost)
}
