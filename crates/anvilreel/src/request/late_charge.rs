//! Awaits the sidecar's charge for a request whose caller already has its final answer.
//!
//! If the payer released its reservation when it gives up on a sidecar that it can't reach, the run
//! could continue there. The caller would retry, be directed to the run by the claim and get the
//! whole answer, and nobody would be charged. So the reservation is kept until the sidecar has
//! reported its charge, or its incarnation is over.

use std::time::Duration;

use anvil_wire::msg::{ProbeAnswer, RunEnd, SidecarReply, SidecarRequest};
use anvil_world::prelude::*;

use super::exchange::{Exchange, StartState, Step};
use super::{Action, ClaimAnswer, Event, Holder};

/// Interval between two queries for the charge.
const CHARGE_QUERY_INTERVAL: Duration = Duration::from_secs(2);

impl Exchange {
    /// Whether a run may still be charged to the reservation.
    pub(super) fn may_be_charged(&self, outcome: &Outcome, end: Option<&RunEnd>) -> bool {
        let begun = self.start_state != StartState::NotSent || self.abandoned_target.is_some();
        let open = self.reservation.is_some() && begun;
        let known = end.is_some() || !matches!(outcome, Outcome::Unknown(_));
        open && !known
    }

    /// Waits for the sidecar's report for as long as the answer may be kept there.
    pub(super) fn await_charge(&mut self) {
        if self.start_state == StartState::NotSent {
            self.target = self.abandoned_target.take();
        }
        let left = self.spec.deadline.saturating_sub(self.now);
        let until = self.now + left + self.spec.retention;
        self.step = Step::AwaitingCharge { until };
        self.actions
            .push(Action::SetTimer(self.now + CHARGE_QUERY_INTERVAL));
    }

    /// Handles the only events that matter while the charge is awaited.
    pub(super) fn handle_awaiting_charge(&mut self, now: Now, until: Now, event: Event) {
        match event {
            Event::Reply {
                dispatch,
                reply: SidecarReply::Probed(answer),
            } if dispatch == self.dispatch => self.charge_answered(answer),
            Event::TargetGone(target) | Event::TargetUnresponsive(target)
                if self.target.as_ref() == Some(&target) =>
            {
                self.verify_claim();
            }
            Event::Claimed {
                holder: Holder::Ledger,
                answer,
            } => self.claim_verified(answer),
            Event::TimerFired if now >= until => self.settle_late(None),
            Event::TimerFired if self.target.is_none() => self.verify_claim(),
            Event::TimerFired => self.query_charge(now),
            Event::Reserved(reservation) => self.actions.push(Action::Release(reservation)),
            _ => {}
        }
    }

    /// Nobody can tell any longer whether the call ran.
    ///
    /// A non-idempotent call is then charged, for it may have run. But a claim is released only if
    /// a sidecar has confirmed that its call will never run; charging that as well would charge the
    /// key twice, once for nothing. So the ledger is asked whether this request's claim is still
    /// the recorded one.
    fn verify_claim(&mut self) {
        if !self.spec.at_most_once {
            return self.settle_late(None);
        }
        let target = self.target.take();
        self.actions
            .push(Action::SetTimer(self.now + CHARGE_QUERY_INTERVAL));
        self.put_ledger_claim(target.as_ref());
    }

    fn claim_verified(&mut self, answer: ClaimAnswer) {
        let ClaimAnswer::Recorded { id, .. } = answer else {
            return;
        };
        if id != self.spec.claim_id {
            self.start_state = StartState::NotSent;
        }
        self.settle_late(None);
    }

    fn query_charge(&mut self, now: Now) {
        let Some(target) = self.target.clone() else {
            return self.verify_claim();
        };
        let key = self.spec.key.clone();
        self.actions
            .push(Action::SetTimer(now + CHARGE_QUERY_INTERVAL));
        let life = target.incarnation;
        let req = if self.spec.at_most_once {
            let claim = Some(self.spec.claim_id.clone());
            SidecarRequest::Forbid { key, life, claim }
        } else if self.spec.has_caller_key {
            SidecarRequest::Probe { key }
        } else {
            SidecarRequest::Cancel { key, life }
        };
        self.call(target, req);
    }

    fn charge_answered(&mut self, answer: ProbeAnswer) {
        match answer {
            ProbeAnswer::Running { .. } => {}
            ProbeAnswer::Ended(end) => self.settle_late(Some(&end)),
            ProbeAnswer::OtherLife => self.verify_claim(),
            ProbeAnswer::Unheard | ProbeAnswer::Forbidden => {
                // The key never ran, so nothing is charged, not even for an unknown outcome.
                self.start_state = StartState::NotSent;
                self.settle_late(None);
            }
        }
    }

    fn settle_late(&mut self, end: Option<&RunEnd>) {
        let cost = Outcome::Unknown(UnknownCause::SidecarLost);
        self.settle(&cost, end);
        self.step = Step::Finished;
    }
}
