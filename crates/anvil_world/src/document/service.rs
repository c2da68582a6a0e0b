//! The document at `services/NAME`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::contract::Price;
use crate::settings::{Check, Problem};

/// What kind of endpoints a service has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model runners behind `/v1/chat/completions`.
    #[default]
    Models,
    /// A plain service behind `/services/NAME/...`.
    Plain,
}

/// A service: endpoints that can stand in for each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceDocument {
    /// Model runners or a plain service.
    pub kind: ServiceKind,
    /// What a call of a plain service costs.
    pub price: Price,
    /// First path segments of calls that may be repeated although their method is not `GET`.
    /// Every other call that is not `GET` or `HEAD` runs at most once.
    pub repeatable: BTreeSet<Arc<str>>,
    /// Longest time a call may take; nothing means the fleet's.
    #[serde(with = "humantime_serde")]
    pub timeout: Option<Duration>,
}

impl ServiceDocument {
    /// Whether a call may be run again. `tail` is what follows `/services/NAME/`.
    pub fn may_repeat(&self, method: &str, tail: &str) -> bool {
        let first = tail.split(['/', '?']).next().unwrap_or_default();
        matches!(method, "GET" | "HEAD") || self.repeatable.contains(first)
    }
}

impl Check for ServiceDocument {
    fn problems(&self) -> Vec<Problem> {
        Vec::new()
    }
}
