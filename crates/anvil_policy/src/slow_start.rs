//! How fast work shifts to an endpoint that is new, cold or well again.
//!
//! *Answers:* an endpoint that returns cold, and an availability zone that returns whole.
//!
//! *Without it:* a returned endpoint is the emptiest of all, so every router sends it its next
//! request in the same moment. Its prefix cache is empty, every prompt is prefilled whole, the
//! first tokens come late, and it is ejected again: the pool swings.
//!
//! *How:* a share rises by a bounded step a second and falls at once. The bound holds for every
//! cause of a rise, so a healed zone's work comes back over the same seconds.

use anvil_world::prelude::*;

use crate::endpoint::FULL_SHARE;

/// How fast a share rises.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RampRule {
    /// Share of a new or returned endpoint, in thousandths.
    pub first: u32,
    /// Rise a second, in thousandths.
    pub rise: u32,
}

impl Default for RampRule {
    fn default() -> Self {
        Self {
            first: 300,
            rise: 500,
        }
    }
}

/// The share of one endpoint over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ramp {
    share: u32,
    at: Now,
}

impl Ramp {
    /// An endpoint that was there when the router started: no herd can form over it, because
    /// nobody has other endpoints to move work from.
    pub fn full(now: Now) -> Self {
        Self {
            share: FULL_SHARE,
            at: now,
        }
    }

    /// An endpoint that came, or came back, while the router was serving.
    pub fn cold(rule: &RampRule, now: Now) -> Self {
        Self {
            share: rule.first,
            at: now,
        }
    }

    /// Moves towards a target and gives the share for now, in thousandths.
    pub fn advance(&mut self, rule: &RampRule, now: Now, target: u32) -> u32 {
        let passed = now.saturating_sub(self.at).as_millis();
        let rise = u128::from(rule.rise) * passed / 1_000;
        let rise = u32::try_from(rise).unwrap_or(FULL_SHARE);
        // A rise too small for a whole thousandth keeps its time, or frequent calls would hold
        // the share down for ever.
        if rise > 0 || target <= self.share {
            self.at = now;
        }
        self.share = target.min(self.share.saturating_add(rise));
        self.share
    }

    /// The share as of the last [`Ramp::advance`], in thousandths.
    pub fn share(&self) -> u32 {
        self.share
    }
}
