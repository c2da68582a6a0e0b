//! The cost of one request to its organisation.

use std::sync::Arc;

use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, Reservation};

/// Tokens reserved for one request. Dropping it settles what was used, however the request ended:
/// answered, failed, or abandoned by its client.
pub struct RequestCharge {
    grant_account: Arc<GrantAccount>,
    reservation: Option<Reservation>,
    prompt: Tokens,
    output: Tokens,
    may_have_run: bool,
}

impl RequestCharge {
    /// Starts with a reservation that covers the prompt and the maximum output.
    pub fn new(grant_account: Arc<GrantAccount>, reservation: Reservation, prompt: Tokens) -> Self {
        Self {
            grant_account,
            reservation: Some(reservation),
            prompt,
            output: 0,
            may_have_run: false,
        }
    }

    /// Records that an endpoint may have begun: from now on the prompt is charged, once.
    pub fn record_begun(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the request did not run.
    pub fn record_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// The cost so far in tokens; at most the reserved amount.
    pub fn cost(&self) -> Tokens {
        let bound = self.reservation.as_ref().map_or(0, Reservation::bound);
        let cost = self.prompt.saturating_add(self.output);
        if self.may_have_run {
            cost.min(bound)
        } else {
            0
        }
    }

    /// Records output that was handed to the client.
    pub fn record_output(&mut self, tokens: Tokens) {
        self.output = self.output.saturating_add(tokens);
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        let cost = self.cost();
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        if !self.may_have_run {
            self.grant_account.release(reservation);
            return;
        }
        // On a broken invariant the grant account refuses everything that follows, and the grant
        // loop logs it.
        let _ = self.grant_account.settle(reservation, cost);
    }
}
