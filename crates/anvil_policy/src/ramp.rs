//! How fast work shifts back to an endpoint that was ejected.
//!
//! *Answers:* an endpoint that is well again, perhaps only for a moment.
//!
//! *Without it:* an endpoint whose answers are quick because it has so few goes from its trickle
//! to a full share at one judgement, is slow again under it, and is ejected again: the pool
//! swings.
//!
//! *How:* a share falls at once and rises by a bounded step a second.
//!
//! New and returned endpoints get no such ramp. Their limit begins at half of the slots
//! ([`crate::limit`]) and [`crate::choice`] counts what it sends at once; a ramp on top of that
//! was measured and taken out, because it gained nothing on any load with an endpoint or zone
//! that returns cold (`docs/design/04-decisions.md`, "Taken out").

use anvil_world::prelude::*;

use crate::endpoint::FULL_SHARE;

/// How fast a share rises.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RampRule {
    /// Rise a second, in thousandths.
    pub rise: u32,
}

impl Default for RampRule {
    fn default() -> Self {
        Self { rise: 500 }
    }
}

/// The share of one endpoint over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ramp {
    share: u32,
    at: Now,
}

impl Ramp {
    /// A full share from now on.
    pub fn full(now: Now) -> Self {
        Self {
            share: FULL_SHARE,
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
}
