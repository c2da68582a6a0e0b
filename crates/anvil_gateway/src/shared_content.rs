//! What a request has in common with others, as far as crashes can be blamed on it: parts of its
//! prompt, its path, its sender, its size.
//!
//! The digest of such a content names the service and the software version that run it: what crashes the
//! endpoints of one service or version may be sound at another.

use std::ops::RangeInclusive;

use anvil_world::prelude::*;
use http::Uri;
use sha2::{Digest, Sha256};

use crate::dialect::{ModelWork, PartId};
use crate::table::{Organisation, Route};

/// Maximum number of parts of one prompt that crashes can be blamed on.
const MAX_PARTS: usize = 64;

/// Bits of the version's hash, below the content's id.
const VERSION_BITS: u32 = 24;
const VERSION_MASK: ContentDigest = (1 << VERSION_BITS) - 1;
/// Bits of the content's id, below the service's hash.
const ID_BITS: u32 = 64;
/// Bits of the service's hash, below the kind.
const SERVICE_BITS: u32 = 24;
/// Bits of the kind. Those above are 0; the digest of a whole request is random there.
const KIND_BITS: u32 = 2;

/// One thing that a request has in common with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SharedContent {
    /// A part of its prompt; never the last one, which is its own.
    Part(PartId),
    /// Its host and path, without the query.
    Path(u64),
    /// Its organisation and route.
    Sender(u64),
    /// Its route and size, by powers of two: of the prompt in tokens, or of the body in bytes.
    Size(u64),
}

impl SharedContent {
    fn kind(self) -> ContentDigest {
        match self {
            Self::Part(_) => 0,
            Self::Path(_) => 1,
            Self::Sender(_) => 2,
            Self::Size(_) => 3,
        }
    }

    fn id(self) -> u64 {
        match self {
            Self::Part(id) | Self::Path(id) | Self::Sender(id) | Self::Size(id) => id,
        }
    }
}

/// What a request has in common with others.
pub fn of_request(
    route: &Route,
    organisation: Option<&Organisation>,
    uri: &Uri,
    work: Option<&ModelWork>,
    body_bytes: usize,
) -> Vec<SharedContent> {
    let organisation = organisation.map_or("", |organisation| &*organisation.id);
    let size = work.map_or(body_bytes as u64, |work| work.prompt);
    let size = u64::from(size.checked_ilog2().unwrap_or(0)).to_string();
    let parts = work.map_or(&[][..], |work| &work.parts);
    let shared_parts = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = shared_parts.iter().take(MAX_PARTS);
    let mut contents: Vec<_> = parts.map(|part| SharedContent::Part(part.id)).collect();
    contents.extend([
        SharedContent::Path(hash(&[&route.host, uri.path()])),
        SharedContent::Sender(hash(&[&route.host, &route.prefix, organisation])),
        SharedContent::Size(hash(&[&route.host, &route.prefix, &size])),
    ]);
    contents
}

/// Where a content runs: the service and the software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContentScope(ContentDigest);

impl ContentScope {
    /// The scope of endpoints of this service and version.
    pub fn new(service: &str, version: &str) -> Self {
        let shortened = |text, bits| ContentDigest::from(hash(&[text]) >> (u64::BITS - bits));
        let service = shortened(service, SERVICE_BITS) << (ID_BITS + VERSION_BITS);
        Self(service | shortened(version, VERSION_BITS))
    }

    /// The digest of the same content of the same service, at this scope's version.
    pub fn at_version(self, digest: ContentDigest) -> ContentDigest {
        digest & !VERSION_MASK | self.0 & VERSION_MASK
    }

    /// The digest of a content that runs there.
    pub fn digest(self, content: SharedContent) -> ContentDigest {
        let kind = content.kind() << (SERVICE_BITS + ID_BITS + VERSION_BITS);
        kind | self.0 | ContentDigest::from(content.id()) << VERSION_BITS
    }
}

/// Whether a digest is of a content that requests share. One in 16,384 whole requests looks like that.
pub fn is_shared(digest: ContentDigest) -> bool {
    digest >> (KIND_BITS + SERVICE_BITS + ID_BITS + VERSION_BITS) == 0
}

/// The digests of the same content at all versions of its service.
pub fn at_all_versions(digest: ContentDigest) -> RangeInclusive<ContentDigest> {
    digest & !VERSION_MASK..=digest | VERSION_MASK
}

/// Equal for equal texts.
fn hash(texts: &[&str]) -> u64 {
    let mut hash = Sha256::new();
    for text in texts {
        hash.update(text);
        // Separates the texts, so that moving a byte between two of them changes the hash.
        hash.update([0]);
    }
    let kept = hash.finalize().into_iter().take(8);
    kept.fold(0, |number, byte| number << 8 | u64::from(byte))
}
