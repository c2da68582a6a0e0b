//! Identifies a part of prompts by its id, its service and the software version that runs it: a part
//! that crashes the endpoints of one service or version may be sound at another.

use std::ops::RangeInclusive;

use anvil_world::prelude::*;
use sha2::{Digest, Sha256};

use crate::dialect::PartId;

/// Bits of the version's hash, below the part's id.
const VERSION_BITS: u32 = 24;
const VERSION_MASK: ContentDigest = (1 << VERSION_BITS) - 1;
/// Bits of the part's id, below the service's hash.
const PART_BITS: u32 = 64;
/// Bits below the highest ones, which are 0; those of a request are random.
const USED_BITS: u32 = 112;

/// Where a part runs: the service and the software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartScope(ContentDigest);

impl PartScope {
    /// The scope of endpoints of this service and version.
    pub fn new(service: &str, version: &str) -> Self {
        let service = hash(service) << (PART_BITS + VERSION_BITS);
        Self(service | hash(version))
    }

    /// The digest of the same part of the same service, at this scope's version.
    pub fn at_version(self, digest: ContentDigest) -> ContentDigest {
        digest & !VERSION_MASK | self.0 & VERSION_MASK
    }

    /// The digest of a part that runs there.
    pub fn digest(self, part: PartId) -> ContentDigest {
        self.0 | ContentDigest::from(part) << VERSION_BITS
    }
}

/// Whether a digest is of a part. One in 65,536 requests looks like a part.
pub fn is_part(digest: ContentDigest) -> bool {
    digest >> USED_BITS == 0
}

/// The digests of the same part at all versions of its service.
pub fn at_all_versions(digest: ContentDigest) -> RangeInclusive<ContentDigest> {
    digest & !VERSION_MASK..=digest | VERSION_MASK
}

/// Equal for equal texts; as long as the version's hash.
fn hash(text: &str) -> ContentDigest {
    let hash = Sha256::digest(text);
    let kept = hash.iter().take(VERSION_BITS as usize / 8);
    kept.fold(0, |number, byte| number << 8 | ContentDigest::from(*byte))
}
