//! Counts the attempts of one request.
//!
//! Failure: endpoints die and stay on the platform's list for seconds. A request whose route allows
//! one attempt would be sent to one of them, be refused, come back and find the next one, while all
//! others are free. An endpoint that is unreachable, or whose address belongs to another
//! incarnation by now, has not received the request, so it does not count against the route's
//! limit. Nor does one that refuses a request which it was to take over from a silent endpoint: the
//! refusal would end a response that has begun, while others are free.

use anvil_world::prelude::*;

use crate::attempt::{AttemptOutcome, MISDIRECTED_STATUS, NotRun};

/// Maximum number of missing endpoints per request. Each takes up to the connect timeout; after
/// four in a row the client's own retry is the better choice.
const MAX_MISSING_ENDPOINTS: u32 = 4;

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct AttemptCounter {
    endpoints: Vec<InstanceId>,
    counted: u32,
    missing: u32,
    was_received: bool,
    /// Whether the last of the endpoints has not responded yet.
    is_in_flight: bool,
}

impl AttemptCounter {
    /// Records that an attempt at an endpoint begins. It counts until its outcome is known.
    pub fn begin(&mut self, endpoint: InstanceId) {
        self.endpoints.push(endpoint);
        self.is_in_flight = true;
    }

    /// Records the outcome of an attempt at an endpoint. `is_replacement` if it took over from a silent
    /// one.
    pub fn record(&mut self, endpoint: InstanceId, outcome: &AttemptOutcome, is_replacement: bool) {
        if std::mem::take(&mut self.is_in_flight) {
            self.endpoints.pop();
        }
        if let AttemptOutcome::NotRun(NotRun::NotAccepting | NotRun::Withheld(_)) = outcome {
            return;
        }
        self.endpoints.push(endpoint);
        match outcome {
            AttemptOutcome::NotRun(NotRun::Unreachable(_)) => self.missing += 1,
            AttemptOutcome::NotRun(NotRun::Refused(MISDIRECTED_STATUS)) => {
                self.missing += 1;
                self.was_received = true;
            }
            AttemptOutcome::NotRun(_) if is_replacement => {
                self.missing += 1;
                self.was_received = true;
            }
            AttemptOutcome::NotRun(_) | AttemptOutcome::Doubt(_) | AttemptOutcome::Response(_) => {
                self.counted += 1;
                self.was_received = true;
            }
        }
    }

    /// Endpoints that are not tried again.
    pub fn endpoints(&self) -> &[InstanceId] {
        &self.endpoints
    }

    /// Whether any endpoint has received the request; further ones then count against the retry
    /// budget.
    pub fn was_received(&self) -> bool {
        self.was_received
    }

    /// Whether no attempt has reached the endpoint it was meant for.
    pub fn reached_none(&self) -> bool {
        self.counted == 0
    }

    /// Resets the count of missing endpoints after the list has been updated.
    pub fn reset_missing(&mut self) {
        self.missing = 0;
    }

    /// Whether another attempt is allowed if `max_attempts` endpoints may receive the request.
    pub fn may_continue(&self, max_attempts: u32) -> bool {
        let counted = self.counted + u32::from(self.is_in_flight);
        counted < max_attempts && self.missing < MAX_MISSING_ENDPOINTS
    }
}
