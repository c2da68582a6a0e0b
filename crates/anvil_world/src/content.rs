//! Digests of what crashes can be blamed on: whole requests, and what requests share.
//!
//! The digest of a shared content names the service and the software version that run it, so that the
//! ledger can find all contents of a service. The digest of a whole request is a hash of the request.

use std::ops::RangeInclusive;

use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::ids::ContentDigest;

/// Bits of the version's hash, below the content's id.
const VERSION_BITS: u32 = 24;
const VERSION_MASK: ContentDigest = (1 << VERSION_BITS) - 1;
/// Bits of the content's id, below the service's hash.
const ID_BITS: u32 = 64;
/// Bits of the service's hash, below the kind.
const SERVICE_BITS: u32 = 24;
/// Bits of the kind. Those above are 0; the digest of a whole request is random there.
const KIND_BITS: u32 = 2;
/// Hexadecimal digits of a digest.
const HEX_DIGITS: usize = 32;

/// A service, as the digests of its shared contents name it.
pub type ServiceDigest = u128;

/// One thing that a request has in common with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SharedContent {
    /// A part of its prompt; never the last one, which is its own.
    Part(u64),
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

/// Where a content runs: the service and the software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContentScope(ContentDigest);

impl ContentScope {
    /// The scope of endpoints of this service and version.
    pub fn new(service: &str, version: &str) -> Self {
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

fn shortened(text: &str, bits: u32) -> ContentDigest {
    ContentDigest::from(hash(&[text]) >> (u64::BITS - bits))
}

/// The digest that stands for an endpoint of a service. No request has it, so it is never suspect: clearing
/// it changes nothing at any build, and tells the ledger which service a crashed endpoint belongs to.
pub fn of_endpoint(service: &str, endpoint: &str) -> ContentDigest {
    ContentScope::new(service, "").digest(SharedContent::Path(endpoint_id(endpoint)))
}

/// What [`of_endpoint`] has in common for all services.
pub fn endpoint_id(endpoint: &str) -> u64 {
    hash(&["endpoint", endpoint])
}

/// The service and the id in a digest that may stand for an endpoint.
pub fn service_and_id(digest: ContentDigest) -> Option<(ServiceDigest, u64)> {
    let id = digest >> VERSION_BITS & ContentDigest::from(u64::MAX);
    // Within 64 bits by the mask.
    Some((service_of(digest)?, u64::try_from(id).ok()?))
}

/// Whether a digest is of a content that requests share. One in 16,384 whole requests looks like that.
pub fn is_shared(digest: ContentDigest) -> bool {
    digest >> (KIND_BITS + SERVICE_BITS + ID_BITS + VERSION_BITS) == 0
}

/// The service whose requests share a content; `None` for a whole request, which names none.
pub fn service_of(digest: ContentDigest) -> Option<ServiceDigest> {
    let service = digest >> (ID_BITS + VERSION_BITS) & ((1 << SERVICE_BITS) - 1);
    is_shared(digest).then_some(service)
}

/// What the digests of a service's shared contents have in common.
pub fn service_digest(service: &str) -> ServiceDigest {
    shortened(service, SERVICE_BITS)
}

/// The digests of the same content at all versions of its service.
pub fn at_all_versions(digest: ContentDigest) -> RangeInclusive<ContentDigest> {
    digest & !VERSION_MASK..=digest | VERSION_MASK
}

/// Equal for equal texts.
pub fn hash(texts: &[&str]) -> u64 {
    let mut hash = Sha256::new();
    for text in texts {
        hash.update(text);
        // Separates the texts, so that moving a byte between two of them changes the hash.
        hash.update([0]);
    }
    let kept = hash.finalize().into_iter().take(8);
    kept.fold(0, |number, byte| number << 8 | u64::from(byte))
}

/// A digest as hexadecimal text, as the log has it.
pub fn to_hex(digest: ContentDigest) -> String {
    format!("{digest:032x}")
}

/// Text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("found {found:?}; a content is named by the 32 hexadecimal digits of its digest"))]
pub struct DigestError {
    /// The rejected text.
    pub found: String,
}

/// The digest that [`to_hex`] has written.
pub fn from_hex(text: &str) -> Result<ContentDigest, DigestError> {
    let is_hex = text.len() == HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let digest = ContentDigest::from_str_radix(text, 16).ok();
    let found = || DigestError { found: text.into() };
    digest.filter(|_| is_hex).ok_or_else(found)
}
