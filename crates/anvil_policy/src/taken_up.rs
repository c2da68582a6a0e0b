//! How long a stream that its client takes up waits for an endpoint of its software version.
//!
//! *Load pattern:* an endpoint or a router is lost with dozens of streams. Their clients take them
//! up at other routers within milliseconds, while the endpoints of their version are in pauses or
//! at limits.
//!
//! *Without it:* the router refuses them at once, as it refuses new requests. New requests may run
//! at any version and return when they are told to; a client that takes a stream up makes its few
//! attempts within a fraction of a second, and loses a stream of which it has paid and received a
//! part.
//!
//! *Mechanism:* where the time is known at which an endpoint of its version accepts a request, the
//! stream waits for it, for at most a part of its client's remaining time ([`max_wait`]). Streams
//! that wait are there at the first moment, so they would take every place before new requests
//! arrive. So after each few starts in a row the next place is left to other requests for a while
//! ([`TakenUpTurns`]).
//!
//! *Thresholds:* other requests get at least every fourth place if they arrive within a quarter of
//! a second; in that time, they arrive at a service that is in short supply.

use std::time::Duration;

use anvil_world::prelude::*;

use crate::waiting::MAX_TAKEN_UP_IN_A_ROW;

/// Maximum number of streams of one service that wait at a router. With prompts of up to 55 KB
/// each, they hold 3.5 MB.
const MAX_WAITING: u32 = 64;
/// A stream waits for at most this part of its client's remaining time, as a divisor: in the rest,
/// its client can take it up at another router.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Maximum duration of that turn.
const OTHERS_TURN: Duration = Duration::from_millis(250);
/// Longest time between two looks for an endpoint: meanwhile another one of the version may be
/// listed, or a limit may end.
const MAX_LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait of a stream whose client waits for this time.
pub fn max_wait(time_left: Duration) -> Duration {
    time_left / MAX_WAIT_DIVISOR
}

/// When a stream looks for an endpoint again, if the first one accepts a request after `wait`;
/// `None` if that is too late for it.
pub fn next_look(now: Now, wait: Duration, give_up_at: Now) -> Option<Now> {
    let accepted_at = now.checked_add(wait)?;
    (accepted_at <= give_up_at).then(|| accepted_at.min(now + MAX_LOOK_INTERVAL))
}

/// Turns of the streams that wait at one router for endpoints of one service.
#[derive(Debug, Clone, Default)]
pub struct TakenUpTurns {
    waiting: u32,
    /// Streams started since another request was, or since other requests had their turn.
    in_a_row: u32,
    /// End of the others' turn.
    others_until: Now,
}

impl TakenUpTurns {
    /// Counts a stream that is to wait; returns whether it may.
    pub fn try_join(&mut self) -> bool {
        let may_join = self.waiting < MAX_WAITING;
        self.waiting += u32::from(may_join);
        may_join
    }

    /// Records that a stream waits no longer.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Takes a turn to look for an endpoint; the error is the time until the next one. The turn
    /// counts as a start unless it is returned.
    pub fn try_take(&mut self, now: Now) -> Result<(), Duration> {
        if self.in_a_row >= MAX_TAKEN_UP_IN_A_ROW {
            self.in_a_row = 0;
            self.others_until = now + OTHERS_TURN;
        }
        if now < self.others_until {
            return Err(self.others_until.saturating_sub(now));
        }
        self.in_a_row += 1;
        Ok(())
    }

    /// Returns a turn in which no endpoint was found.
    pub fn give_back(&mut self) {
        self.in_a_row = self.in_a_row.saturating_sub(1);
    }

    /// Records that another request has started.
    pub fn record_other_start(&mut self) {
        self.in_a_row = 0;
        self.others_until = Duration::ZERO;
    }
}
