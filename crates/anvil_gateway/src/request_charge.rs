//! The cost of one request to its organisation.

use std::sync::Arc;

use anvil_policy::held_prompt::{ChargeEnd, ChargeProgress, LostAttempt};
use anvil_world::prelude::*;
use anvilreel::money::Reservation;
use tokio::time::Instant;

use crate::account::held_prompts::LostPrompt;
use crate::gateway::Gateway;

/// Tokens reserved for one request. Dropping it settles what was used, however the request ended:
/// answered, failed, or abandoned by its client. If it ended in doubt, its prompt is held.
pub struct RequestCharge {
    gw: Arc<Gateway>,
    reservation: Option<Reservation>,
    id: AttemptId,
    attempt: LostAttempt,
    output: Tokens,
    deadline: Instant,
    progress: ChargeProgress,
}

impl RequestCharge {
    /// Starts with a reservation that covers the prompt and the maximum output. `deadline` is when
    /// the client gives up.
    pub fn new(
        gw: Arc<Gateway>,
        reservation: Reservation,
        id: AttemptId,
        attempt: LostAttempt,
        deadline: Instant,
    ) -> Self {
        Self {
            gw,
            reservation: Some(reservation),
            id,
            attempt,
            output: 0,
            deadline,
            progress: ChargeProgress::default(),
        }
    }

    /// Records that an endpoint may have begun: from now on the prompt is charged, once.
    pub fn record_begun(&mut self) {
        self.progress.record_begun();
    }

    /// Records that the request did not run.
    pub fn record_not_run(&mut self) {
        self.progress.record_not_run();
    }

    /// Records that the charge can't be reversed any more. Returns the gateways to which it is
    /// reported, because they hold lost attempts of the same request.
    pub fn record_final(&mut self) -> Vec<InstanceId> {
        self.progress.record_final();
        self.report()
    }

    /// Records that the response to the client begins.
    pub fn record_answered(&mut self) {
        self.progress.record_answered();
    }

    /// The cost so far in tokens; at most the reserved amount.
    pub fn cost(&self) -> Tokens {
        if !self.progress.may_have_run() {
            return 0;
        }
        let cost = self.attempt.prompt.saturating_add(self.output);
        cost.min(self.bound())
    }

    /// Tokens of the prompt that are held if the request ends now.
    pub fn prompt_to_hold(&self) -> Tokens {
        let has_time = Instant::now() < self.deadline;
        if self.progress.end() == ChargeEnd::Hold && has_time {
            self.attempt.prompt.min(self.bound())
        } else {
            0
        }
    }

    /// Records output that was handed to the client.
    pub fn record_output(&mut self, tokens: Tokens) {
        self.progress.record_answered();
        self.output = self.output.saturating_add(tokens);
        // A notice may have come since the response began.
        self.report();
    }

    fn bound(&self) -> Tokens {
        self.reservation.as_ref().map_or(0, Reservation::bound)
    }

    fn report(&self) -> Vec<InstanceId> {
        if !self.progress.may_report() {
            return Vec::new();
        }
        self.gw.record_final_charge(self.attempt)
    }

    /// Holds the prompt while the client may retry the request.
    fn hold(&self, reservation: Reservation) {
        let attempt = LostAttempt {
            prompt: self.attempt.prompt.min(reservation.bound()),
            ..self.attempt
        };
        let lost = LostPrompt {
            id: self.id.clone(),
            attempt,
            reservation,
        };
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        self.gw.hold_prompt(lost, time_left);
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        // Reported before the prompt is held: a charge that may still be released stands for no
        // other.
        self.record_final();
        let cost = self.cost();
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        match self.progress.end() {
            ChargeEnd::Release => self.gw.grant_account.release(reservation),
            ChargeEnd::Hold => self.hold(reservation),
            ChargeEnd::Charge => {
                // On a broken invariant the grant account refuses everything that follows, and the
                // grant loop logs it.
                let _ = self.gw.grant_account.settle(reservation, cost);
            }
        }
    }
}
