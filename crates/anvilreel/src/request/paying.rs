//! Money of one exchange: reserved before the dispatch, settled or released once.

use std::time::Duration;

use anvil_wire::msg::{Payment, RunEnd, SidecarRequest, Start, Work};
use anvil_world::prelude::*;

use super::exchange::{Exchange, Started, Step};
use super::{Action, ExchangeError, Target};
use crate::money::{Purse, Reservation, Shortage};

/// Longest pause between two tries while waiting for money, in case a wake-up was missed.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

impl Exchange {
    /// Starts at the target, after reserving where that has not been done.
    pub(super) fn reserve_or_start(&mut self) {
        if self.payment.is_some() {
            return self.start_again();
        }
        self.step = Step::Reserving { until: None };
        self.actions.push(Action::Reserve);
    }

    pub(super) fn reserved(&mut self, now: Now, purse: &Purse, reservation: Reservation) {
        if !matches!(self.step, Step::Reserving { .. }) {
            return self.actions.push(Action::Release(reservation));
        }
        self.payment = Some(purse.payment(&reservation, self.spec.price));
        self.reservation = Some(reservation);
        self.start(now);
    }

    pub(super) fn short(&mut self, now: Now, shortage: Shortage) {
        let Step::Reserving { until } = &mut self.step else {
            return;
        };
        let (end, otherwise) = match shortage {
            Shortage::Refused(refusal) => return self.refuse(refusal),
            Shortage::WaitFor { until, otherwise } => (until, otherwise),
        };
        let end = *until.get_or_insert(end);
        if now >= end {
            return self.refuse(otherwise);
        }
        self.actions.push(Action::WakeAt(end.min(now + LOOK_AGAIN)));
    }

    pub(super) fn money_changed(&mut self) {
        if matches!(self.step, Step::Reserving { until: Some(_) }) {
            self.reserve_again();
        }
    }

    pub(super) fn reserve_again(&mut self) {
        self.actions.push(Action::Reserve);
    }

    /// Sends the start. A non-idempotent one is sent once, by the maker of a fresh claim.
    fn start(&mut self, now: Now) {
        let (Some(target), Some(payment)) = (self.target.clone(), self.payment.clone()) else {
            return;
        };
        let start = Start {
            key: self.spec.key.clone(),
            life: target.life,
            claim: self.spec.claim_id.clone(),
            attempt: self.attempt,
            body: self.spec.body,
            payment,
            work: self.work_left(),
            once: self.spec.once,
            class: self.spec.class,
            time_left: self.spec.deadline.saturating_sub(now),
            keep: self.spec.keep,
            offset: self.delivered,
            prefix: self.prefix.clone().freeze(),
            prefix_tokens: self.delivered_tokens,
        };
        self.start = Started::Sent;
        self.starts += 1;
        self.step = Step::Reading;
        self.call(target, SidecarRequest::Start(Box::new(start)));
        self.start_call = self.dispatch;
    }

    /// Starts with what was reserved before; the time left is told anew by the next wake-up.
    fn start_again(&mut self) {
        self.start(self.now);
    }

    /// The work with the output limit that is left after the prefix.
    fn work_left(&self) -> Work {
        let mut work = self.spec.work.clone();
        if let Work::Chat { max_output, .. } = &mut work {
            *max_output = max_output.saturating_sub(self.delivered_tokens);
        }
        work
    }

    /// The charge under our reservation, in tokens.
    fn ours(&self, end: &RunEnd) -> Tokens {
        let payer = self.payment.as_ref().map(Payment::payer);
        if payer.as_ref() == Some(&end.paid_by) {
            end.charged.values().sum()
        } else {
            0
        }
    }

    /// Settles or releases what is reserved, once.
    ///
    /// The sidecar's end says whose reservation carries the charge. Where it is not ours, another
    /// router's exchange began this run and pays for it. Without an end, idempotent work costs
    /// nothing (no whole answer came of it), and a non-idempotent call that may have run costs
    /// its bound.
    pub(super) fn settle(&mut self, outcome: &Outcome, end: Option<&RunEnd>) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let cost = match (end, outcome) {
            (Some(end), _) => self.ours(end),
            (None, Outcome::Unknown(_)) if self.spec.once && self.start != Started::No => {
                reservation.bound()
            }
            (None, _) => 0,
        };
        let bound = reservation.bound();
        if cost > bound {
            let charged = cost;
            let e = ExchangeError::OverCharged { bound, charged };
            self.actions.push(Action::Violation(e));
        }
        let cost = cost.min(bound);
        self.actions.push(if cost == 0 {
            Action::Release(reservation)
        } else {
            Action::Settle { reservation, cost }
        });
    }
}

impl Target {
    /// A target that no sidecar is: what a claim names before an endpoint is chosen.
    pub(super) fn nobody() -> Self {
        Self::new("".into(), 0)
    }

    /// One life of a sidecar.
    pub fn new(sidecar: InstanceId, life: Incarnation) -> Self {
        Self { sidecar, life }
    }
}
