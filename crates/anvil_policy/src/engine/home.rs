//! The home of a shared prefix: the engine to which all routers send it.
//!
//! *Load pattern:* many shared prefixes on engines of different speeds.
//!
//! *Without weights:* each engine is home to as many prefixes as any other. Slow ones have a queue
//! of prompts that find their prefix only there.
//!
//! *Mechanism:* weighted rendezvous hashing. An engine's chance to be the home of a prefix is
//! proportional to its weight, and if a weight changes, only prefixes of that engine move. Equal
//! weights give the same homes as no weights.
//!
//! *Thresholds:* weights are coarse steps of the learned speed, with hysteresis, so that routers
//! that learned slightly different speeds agree, and a prefix rarely moves.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::speed::{RelativeSpeed, STEPS_PER_DOUBLING};

/// Rank of an endpoint for a shared prefix among endpoints of equal weight: the one with the
/// highest rank is its home (rendezvous hashing). All routers compute the same rank, and when an
/// endpoint comes or goes, only the prefixes that it gains or loses move.
pub fn home_rank(shared_prefix: u64, endpoint: &str) -> u64 {
    xxh3_64_with_seed(endpoint.as_bytes(), shared_prefix)
}

/// Weight of an engine in the choice of homes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HomeWeight {
    /// Two steps double the weight.
    step: i8,
}

impl From<&RelativeSpeed> for HomeWeight {
    fn from(speed: &RelativeSpeed) -> Self {
        Self { step: speed.step() }
    }
}

/// Position of an endpoint in the order of homes.
#[derive(Debug, Clone, Copy)]
pub struct WeightedRank {
    rank: u64,
    weight: HomeWeight,
}

impl WeightedRank {
    /// Computes it for a shared prefix.
    pub fn new(shared_prefix: u64, endpoint: &str, weight: HomeWeight) -> Self {
        Self {
            rank: home_rank(shared_prefix, endpoint),
            weight,
        }
    }

    /// Whether this endpoint rather than the other one is the home.
    pub fn is_above(&self, other: &Self) -> bool {
        if self.weight == other.weight {
            return self.rank > other.rank;
        }
        self.score() > other.score()
    }

    /// The weight divided by an exponentially distributed number: the highest of several scores
    /// belongs to an endpoint with a probability proportional to its weight.
    fn score(&self) -> f64 {
        /// Bits of a rank that are used; with a half added they are exact in an `f64`.
        const BITS: u32 = 52;
        #[expect(clippy::cast_precision_loss, reason = "exact below 2^53")]
        let uniform = ((self.rank >> (u64::BITS - BITS)) as f64 + 0.5) / (1_u64 << BITS) as f64;
        let weight = (f64::from(self.weight.step) / STEPS_PER_DOUBLING).exp2();
        weight / -uniform.ln()
    }
}
