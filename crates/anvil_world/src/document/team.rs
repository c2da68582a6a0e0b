//! The document at `teams/NAME`.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::contract::Split;
use crate::ids::{ModelId, OrganisationId, ServiceId};
use crate::settings::{Problem, Validate};

/// Prefix of a stored bearer key digest, before the hexadecimal digits.
pub const KEY_HASH_PREFIX: &str = "sha256:";

/// The queue in which a team's requests wait.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// A person is waiting for the answer: counter staff, a customer on the phone.
    #[default]
    Interactive,
    /// Long-running work with a deadline of hours: summaries of histories and stock ledgers.
    Batch,
}

/// A team: its bearer keys, what they may use, and which budgets pay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDocument {
    /// The organisation it belongs to.
    pub organisation: OrganisationId,
    /// Digests of its bearer keys, each `sha256:` and 64 hexadecimal digits.
    pub keys: BTreeSet<Arc<str>>,
    /// Budgets that pay for its requests, with their weights.
    pub split: Split,
    /// Models it may use; empty means all.
    #[serde(default)]
    pub models: BTreeSet<ModelId>,
    /// Plain services it may use; empty means all.
    #[serde(default)]
    pub services: BTreeSet<ServiceId>,
    /// The queue of its requests.
    #[serde(default)]
    pub class: WorkClass,
}

impl TeamDocument {
    /// Whether it may use a model.
    pub fn allows_model(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.contains(model)
    }

    /// Whether it may use a plain service.
    pub fn allows_service(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

/// The digest of a bearer key in the form stored in [`TeamDocument::keys`].
pub fn key_hash(bearer: &[u8]) -> Arc<str> {
    use std::fmt::Write;
    let mut text = String::from(KEY_HASH_PREFIX);
    for byte in Sha256::digest(bearer) {
        // Writing to a `String` can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}

fn is_key_hash(text: &str) -> bool {
    text.strip_prefix(KEY_HASH_PREFIX).is_some_and(|hex| {
        hex.len() == 64 && hex.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
    })
}

impl Validate for TeamDocument {
    fn problems(&self) -> Vec<Problem> {
        let mut found = Problem::check_name("organisation", &self.organisation);
        for key in self.keys.iter().filter(|key| !is_key_hash(key)) {
            found.push(Problem::new(
                "keys",
                key.as_ref(),
                "sha256: and 64 lower-case hexadecimal digits (see `anvilreel hash-key`)",
            ));
        }
        for budget in self.split.budgets() {
            found.extend(Problem::check_name("split", budget));
        }
        found
    }
}
