//! The document at `services/NAME`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::contract::Price;
use crate::settings::{Problem, Validate};

/// The kind of a service's endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model runners behind `/v1/chat/completions`.
    #[default]
    Models,
    /// A plain service behind `/services/NAME/...`.
    Plain,
}

/// A service: a pool of interchangeable endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceDocument {
    /// The kind of its endpoints.
    pub kind: ServiceKind,
    /// Price of a call; used for plain services.
    pub price: Price,
    /// First path segments of calls that may be retried after they may have run, although their
    /// method is not `GET`. Every other call that is not `GET` or `HEAD` runs at most once.
    pub repeatable: BTreeSet<Arc<str>>,
    /// Maximum time of a call; `None` means the fleet's `request_timeout`.
    #[serde(with = "humantime_serde")]
    pub timeout: Option<Duration>,
}

impl ServiceDocument {
    /// Whether a call may run more than once. `tail` is the part of the path after `/services/NAME/`.
    pub fn may_repeat(&self, method: &str, tail: &str) -> bool {
        let first = tail.split(['/', '?']).next().unwrap_or_default();
        matches!(method, "GET" | "HEAD") || self.repeatable.contains(first)
    }
}

impl Validate for ServiceDocument {
    fn problems(&self) -> Vec<Problem> {
        Vec::new()
    }
}
