//! Counts the attempts of one request.
//!
//! Failure: endpoints die and stay on the platform's list for seconds. A request whose route allows
//! one attempt would be sent to one of them, be refused, come back and find the next one, while all
//! others are free. An endpoint that is unreachable, or whose address belongs to another
//! incarnation by now, has not received the request, so it does not count against the route's
//! limit.

use anvil_world::prelude::*;

use crate::attempt::{ANOTHER_HAS_IT, NotRun, Tried};

/// Maximum number of missing endpoints per request. Each takes up to the connect timeout; after
/// four in a row the client's own retry is the better choice.
const MOST_GONE: u32 = 4;

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct Tries {
    endpoints: Vec<InstanceId>,
    used: u32,
    gone: u32,
    arrived: bool,
}

impl Tries {
    /// Records the outcome of an attempt at an endpoint.
    pub fn note(&mut self, endpoint: InstanceId, tried: &Tried) {
        self.endpoints.push(endpoint);
        match tried {
            Tried::NotRun(NotRun::Unreachable(_)) => self.gone += 1,
            Tried::NotRun(NotRun::Refused(ANOTHER_HAS_IT)) => {
                self.gone += 1;
                self.arrived = true;
            }
            Tried::NotRun(_) | Tried::Doubt(_) | Tried::Answer(_) => {
                self.used += 1;
                self.arrived = true;
            }
        }
    }

    /// Endpoints that are not tried again.
    pub fn endpoints(&self) -> &[InstanceId] {
        &self.endpoints
    }

    /// Whether any endpoint has received the request; further ones then count against the retry
    /// budget.
    pub fn arrived(&self) -> bool {
        self.arrived
    }

    /// Whether no attempt has reached the endpoint it was meant for.
    pub fn found_nobody(&self) -> bool {
        self.used == 0
    }

    /// Resets the count of missing endpoints after the list has been updated.
    pub fn forget_gone(&mut self) {
        self.gone = 0;
    }

    /// Whether another attempt is allowed if `attempts` endpoints may receive the request.
    pub fn may_go_on(&self, attempts: u32) -> bool {
        self.used < attempts && self.gone < MOST_GONE
    }

    /// Whether the next attempt is the last one allowed.
    pub fn is_last(&self, attempts: u32) -> bool {
        self.used + 1 >= attempts
    }
}
