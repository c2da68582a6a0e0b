//! Counts one request's tries.
//!
//! Failure: endpoints die and stay on the platform's list for seconds. A request whose route allows
//! one try meets one of them, is turned away, comes back and meets the next, while all the others
//! are free. An endpoint that could not be reached, or at whose address another one answers, has
//! not been asked at all, so it uses up no try.

use anvil_world::prelude::*;

use crate::attempt::{ANOTHER_HAS_IT, NotRun, Tried};

/// Endpoints that one request may find gone. Each costs up to the time to connect, and a fleet of
/// which four in a row are gone is better left to the client's own return.
const MOST_GONE: u32 = 4;

/// One request's tries so far.
#[derive(Debug, Default)]
pub struct Tries {
    endpoints: Vec<InstanceId>,
    used: u32,
    gone: u32,
    arrived: bool,
}

impl Tries {
    /// Notes what came of sending it to an endpoint.
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

    /// Whether any endpoint has got it: every later arrival counts against the shared budget.
    pub fn arrived(&self) -> bool {
        self.arrived
    }

    /// Whether every endpoint that was tried was gone, or none was there to be tried.
    pub fn found_nobody(&self) -> bool {
        self.used == 0
    }

    /// Endpoints in new lives are there: those that were gone count no more.
    pub fn forget_gone(&mut self) {
        self.gone = 0;
    }

    /// Whether one more endpoint may be tried, of so many that may get it.
    pub fn may_go_on(&self, attempts: u32) -> bool {
        self.used < attempts && self.gone < MOST_GONE
    }

    /// Whether the next endpoint is the last one that may get it.
    pub fn is_last(&self, attempts: u32) -> bool {
        self.used + 1 >= attempts
    }
}
