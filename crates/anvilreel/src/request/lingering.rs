//! What is left to do for a request whose caller has its final answer.
//!
//! Failure: the payer gives up on a sidecar that it can't reach, and frees what it reserved. The
//! run goes on there; the caller comes back, is led to it by the claim and gets the whole answer,
//! and nobody is billed. So the reservation stays until the sidecar has said what it charged, or
//! its life is over.

use std::time::Duration;

use anvil_wire::msg::{ProbeAnswer, RunEnd, SidecarReply, SidecarRequest};
use anvil_world::prelude::*;

use super::exchange::{Exchange, Started, Step};
use super::{Action, ClaimAnswer, Event, Holder};

/// Time between two questions.
const ASK_AGAIN: Duration = Duration::from_secs(2);

impl Exchange {
    /// Whether a run may still charge what is reserved.
    pub(super) fn may_be_charged(&self, outcome: &Outcome, end: Option<&RunEnd>) -> bool {
        let begun = self.start != Started::No || self.left_behind.is_some();
        let open = self.reservation.is_some() && begun;
        let known = end.is_some() || !matches!(outcome, Outcome::Unknown(_));
        open && !known
    }

    /// Waits for the sidecar's word, for as long as the answer may be kept there.
    pub(super) fn linger(&mut self) {
        if self.start == Started::No {
            self.target = self.left_behind.take();
        }
        let left = self.spec.deadline.saturating_sub(self.now);
        let until = self.now + left + self.spec.keep;
        self.step = Step::Lingering { until };
        self.actions.push(Action::WakeAt(self.now + ASK_AGAIN));
    }

    /// The only events that count for a lingering request.
    pub(super) fn lingering(&mut self, now: Now, until: Now, event: Event) {
        match event {
            Event::Reply {
                dispatch,
                reply: SidecarReply::Probed(answer),
            } if dispatch == self.dispatch => self.hear(answer),
            Event::Gone(target) if self.target.as_ref() == Some(&target) => self.doubt(),
            Event::Claimed {
                holder: Holder::Ledger,
                answer,
            } => self.doubt_decided(answer),
            Event::Wake if now >= until => self.let_go(None),
            Event::Wake if self.target.is_none() => self.doubt(),
            Event::Wake => self.ask(now),
            Event::Reserved(reservation) => self.actions.push(Action::Release(reservation)),
            _ => {}
        }
    }

    /// Nobody can say any more whether the call ran.
    ///
    /// A non-idempotent one is billed then, for it may have run. But a claim that was freed was
    /// freed on a sidecar's word that its call will never run; billing that would bill the key
    /// twice, once for nothing. So the ledger is asked whether our claim still stands.
    fn doubt(&mut self) {
        if !self.spec.once {
            return self.let_go(None);
        }
        let target = self.target.take();
        self.actions.push(Action::WakeAt(self.now + ASK_AGAIN));
        self.put_ledger_claim(target.as_ref());
    }

    fn doubt_decided(&mut self, answer: ClaimAnswer) {
        let ClaimAnswer::Stands { id, .. } = answer else {
            return;
        };
        if id != self.spec.claim_id {
            self.start = Started::No;
        }
        self.let_go(None);
    }

    fn ask(&mut self, now: Now) {
        let Some(target) = self.target.clone() else {
            return self.doubt();
        };
        let key = self.spec.key.clone();
        self.actions.push(Action::WakeAt(now + ASK_AGAIN));
        let life = target.life;
        let req = if self.spec.once {
            let claim = Some(self.spec.claim_id.clone());
            SidecarRequest::Forbid { key, life, claim }
        } else if self.spec.named {
            SidecarRequest::Probe { key }
        } else {
            SidecarRequest::Cancel { key, life }
        };
        self.call(target, req);
    }

    fn hear(&mut self, answer: ProbeAnswer) {
        match answer {
            ProbeAnswer::Running { .. } => {}
            ProbeAnswer::Ended(end) => self.let_go(Some(&end)),
            ProbeAnswer::OtherLife => self.doubt(),
            ProbeAnswer::Unheard | ProbeAnswer::Forbidden => {
                // It never ran, so nothing is owed, not even for a doubt.
                self.start = Started::No;
                self.let_go(None);
            }
        }
    }

    fn let_go(&mut self, end: Option<&RunEnd>) {
        let cost = Outcome::Unknown(Doubt::SidecarLost);
        self.settle(&cost, end);
        self.step = Step::Finished;
    }
}
