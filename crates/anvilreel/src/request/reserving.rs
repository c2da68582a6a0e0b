//! Reservation of one exchange: made before the dispatch, and settled or released exactly once.

use std::time::Duration;

use anvil_wire::msg::{Payment, RunEnd, SidecarRequest, StartRequest, Work};
use anvil_world::prelude::*;

use super::exchange::{Exchange, StartState, Step};
use super::{Action, ExchangeError, Target};
use crate::money::{GrantAccount, Reservation, Shortage};

/// Longest pause between two reservation attempts, in case a notification was missed.
const RESERVE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl Exchange {
    /// Starts the run at the target, reserving tokens first if that has not been done.
    pub(super) fn reserve_or_start(&mut self) {
        if self.payment.is_some() {
            return self.restart();
        }
        self.step = Step::Reserving { until: None };
        self.actions.push(Action::Reserve);
    }

    pub(super) fn reserved(
        &mut self,
        now: Now,
        grant_account: &GrantAccount,
        reservation: Reservation,
    ) {
        if !matches!(self.step, Step::Reserving { .. }) {
            return self.actions.push(Action::Release(reservation));
        }
        self.payment = Some(grant_account.payment(&reservation, self.spec.price));
        self.reservation = Some(reservation);
        self.start(now);
    }

    pub(super) fn reservation_failed(&mut self, now: Now, shortage: Shortage) {
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
        self.actions
            .push(Action::SetTimer(end.min(now + RESERVE_RETRY_INTERVAL)));
    }

    pub(super) fn grants_changed(&mut self) {
        if matches!(self.step, Step::Reserving { until: Some(_) }) {
            self.retry_reservation();
        }
    }

    pub(super) fn retry_reservation(&mut self) {
        self.actions.push(Action::Reserve);
    }

    /// Sends the start. For a non-idempotent key this happens once, by the exchange whose claim was
    /// fresh.
    fn start(&mut self, now: Now) {
        let (Some(target), Some(payment)) = (self.target.clone(), self.payment.clone()) else {
            return;
        };
        let start = StartRequest {
            key: self.spec.key.clone(),
            life: target.incarnation,
            claim: self.spec.claim_id.clone(),
            attempt: self.attempt,
            body: self.spec.body_hash,
            payment,
            work: self.remaining_work(),
            once: self.spec.at_most_once,
            class: self.spec.class,
            time_left: self.spec.deadline.saturating_sub(now),
            keep: self.spec.retention,
            offset: self.delivered,
            prefix: self.prefix.clone().freeze(),
            prefix_tokens: self.delivered_tokens,
        };
        self.start_state = StartState::Sent;
        self.starts_sent += 1;
        self.step = Step::Reading;
        self.call(target, SidecarRequest::Start(Box::new(start)));
        self.last_start_call = self.dispatch;
    }

    /// Starts again with the existing reservation; the time left is calculated anew.
    fn restart(&mut self) {
        self.start(self.now);
    }

    /// The work, with the output limit reduced by what was delivered.
    fn remaining_work(&self) -> Work {
        let mut work = self.spec.work.clone();
        if let Work::Chat { max_output, .. } = &mut work {
            *max_output = max_output.saturating_sub(self.delivered_tokens);
        }
        work
    }

    /// Tokens charged to this exchange's reservation.
    fn own_charge(&self, end: &RunEnd) -> Tokens {
        let payer = self.payment.as_ref().map(Payment::reservation);
        if payer.as_ref() == Some(&end.paid_by) {
            end.charged.values().sum()
        } else {
            0
        }
    }

    /// Settles or releases the reservation, once.
    ///
    /// The sidecar's end names the reservation that was charged. If it is another one, another
    /// router's exchange began this run and pays for it. Without an end, idempotent work costs
    /// nothing (it yielded no complete answer), and a non-idempotent call that may have run costs
    /// its bound.
    pub(super) fn settle(&mut self, outcome: &Outcome, end: Option<&RunEnd>) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let cost = match (end, outcome) {
            (Some(end), _) => self.own_charge(end),
            (None, Outcome::Unknown(_))
                if self.spec.at_most_once && self.start_state != StartState::NotSent =>
            {
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
    /// A target that matches no sidecar, for a claim made before an endpoint is chosen.
    pub(super) fn unset() -> Self {
        Self::new("".into(), 0)
    }

    /// A target: one incarnation of a sidecar.
    pub fn new(sidecar: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            sidecar,
            incarnation,
        }
    }
}
