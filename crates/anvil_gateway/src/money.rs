//! What one request costs its organisation.

use std::sync::Arc;

use anvil_world::prelude::*;
use anvilreel::money::{Purse, Reservation};

/// Tokens set aside for one request. Dropping it settles what was used, however the request
/// ended: answered, failed, or left by its client.
pub struct Spend {
    purse: Arc<Purse>,
    reservation: Option<Reservation>,
    prompt: Tokens,
    output: Tokens,
    ran: bool,
}

impl Spend {
    /// Of a reservation that covers prompt and output at their most.
    pub fn new(purse: Arc<Purse>, reservation: Reservation, prompt: Tokens) -> Self {
        Self {
            purse,
            reservation: Some(reservation),
            prompt,
            output: 0,
            ran: false,
        }
    }

    /// An endpoint may have begun: the prompt counts from now on, once.
    pub fn begun(&mut self) {
        self.ran = true;
    }

    /// An endpoint said that it did not run the request.
    pub fn not_run(&mut self) {
        self.ran = false;
    }

    /// What it costs as it stands, in tokens; never more than was set aside.
    pub fn cost(&self) -> Tokens {
        let bound = self.reservation.as_ref().map_or(0, Reservation::bound);
        let cost = self.prompt.saturating_add(self.output);
        if self.ran { cost.min(bound) } else { 0 }
    }

    /// Output was handed to the client.
    pub fn delivered(&mut self, tokens: Tokens) {
        self.output = self.output.saturating_add(tokens);
    }
}

impl Drop for Spend {
    fn drop(&mut self) {
        let cost = self.cost();
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        if !self.ran {
            self.purse.release(reservation);
            return;
        }
        // The purse keeps a broken invariant and refuses everything after it; the loop that
        // talks to the ledger logs it.
        let _ = self.purse.settle(reservation, cost);
    }
}
