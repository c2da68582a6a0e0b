//! Shares of an overloaded service, set by operators.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{OrganisationId, RouteName};

/// Thousandths in a factor of 1.
const UNIT: u32 = 1_000;
/// Minimum factor, in thousandths.
const MIN: u32 = UNIT / 10;
/// Maximum factor, in thousandths.
const MAX: u32 = 10 * UNIT;

/// A factor from 0.1 to 10 in steps of a thousandth. Encoded as a whole number of thousandths, so
/// that all replicas compute the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct ShareFactor(u32);

/// A factor that is no number, or not within the bounds.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("found the factor {found:?}; allowed are 0.1 to 10"))]
pub struct ShareFactorError {
    /// The rejected factor, as given or in thousandths.
    found: String,
}

impl ShareFactor {
    /// The factor that has no effect.
    pub const ONE: Self = Self(UNIT);

    /// The factor as a number.
    pub fn get(self) -> f64 {
        f64::from(self.0) / f64::from(UNIT)
    }
}

impl TryFrom<u32> for ShareFactor {
    type Error = ShareFactorError;

    fn try_from(thousandths: u32) -> Result<Self, Self::Error> {
        if (MIN..=MAX).contains(&thousandths) {
            return Ok(Self(thousandths));
        }
        let found = format!("{thousandths} thousandths");
        Err(ShareFactorError { found })
    }
}

impl From<ShareFactor> for u32 {
    fn from(factor: ShareFactor) -> Self {
        factor.0
    }
}

impl FromStr for ShareFactor {
    type Err = ShareFactorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ShareFactorError { found: text.into() };
        let factor: f64 = text.parse().map_err(|_| invalid())?;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float to integer cast saturates, and the bounds are checked"
        )]
        let thousandths = (factor * f64::from(UNIT)).round() as u32;
        Self::try_from(thousandths).map_err(|_| invalid())
    }
}

impl fmt::Display for ShareFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.get())
    }
}

/// Whose requests a factor applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ShareTarget {
    /// All requests of an organisation.
    Organisation(OrganisationId),
    /// All requests on a route.
    Route(RouteName),
}

impl fmt::Display for ShareTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Organisation(name) => write!(f, "organisations/{name}"),
            Self::Route(name) => write!(f, "routes/{name}"),
        }
    }
}

/// The factors in force, without those of 1.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shares(BTreeMap<ShareTarget, ShareFactor>);

impl Shares {
    /// Sets a factor; [`ShareFactor::ONE`] removes it.
    pub fn set(&mut self, target: ShareTarget, factor: ShareFactor) {
        if factor == ShareFactor::ONE {
            self.0.remove(&target);
        } else {
            self.0.insert(target, factor);
        }
    }

    /// The factor of an organisation or a route.
    pub fn factor(&self, target: &ShareTarget) -> ShareFactor {
        self.0.get(target).copied().unwrap_or(ShareFactor::ONE)
    }

    /// Whether a route has a factor.
    pub fn has_routes(&self) -> bool {
        let last = self.0.last_key_value();
        matches!(last, Some((ShareTarget::Route(_), _)))
    }

    /// All factors but those of 1.
    pub fn all(&self) -> &BTreeMap<ShareTarget, ShareFactor> {
        &self.0
    }
}
