//! Identifies equal requests by a digest of everything except the request id.

pub use anvil_world::content::to_hex;
use anvil_world::prelude::*;
use bytes::Bytes;
use http::{Method, Uri};
use sha2::{Digest, Sha256};

use crate::dialect::ModelWork;
use crate::table::{Organisation, Route};

/// Bytes of the hash that are kept.
const DIGEST_BYTES: usize = 16;

/// Equal only for requests of the same organisation, host, method, path, query and body.
pub fn digest(
    organisation: Option<&Organisation>,
    route: &Route,
    method: &Method,
    uri: &Uri,
    body: &Bytes,
) -> ContentDigest {
    let organisation = organisation.map_or("", |organisation| &*organisation.id);
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let mut hash = Sha256::new();
    for part in [organisation, &*route.host, method.as_str(), path] {
        hash.update(part);
        // Separates the parts, so that moving a byte between two of them changes the digest.
        hash.update([0]);
    }
    hash.update(body);
    truncated(hash)
}

/// Digest of a request and the model's work: requests may have equal bodies and name their prompts'
/// parts in headers. `digest` is that of the request.
pub fn with_work(digest: ContentDigest, work: &ModelWork) -> ContentDigest {
    let mut hash = Sha256::new();
    hash.update(digest.to_be_bytes());
    hash.update(work.prompt.to_be_bytes());
    hash.update(work.max_output.to_be_bytes());
    for part in &work.parts {
        hash.update(part.id.to_be_bytes());
        hash.update(part.tokens.to_be_bytes());
    }
    truncated(hash)
}

fn truncated(hash: Sha256) -> ContentDigest {
    let kept = hash.finalize().into_iter().take(DIGEST_BYTES);
    kept.fold(0, |number, byte| number << 8 | ContentDigest::from(byte))
}
