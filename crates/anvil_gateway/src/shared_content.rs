//! What a request has in common with others, as far as crashes can be blamed on it: parts of its
//! prompt, its path, its sender, its size.
//!
//! The digest of such a content names the service and the software version that run it: what crashes the
//! endpoints of one service or version may be sound at another.

use anvil_world::content::hash;
pub use anvil_world::content::{ContentScope, SharedContent, at_all_versions, is_shared};
use http::Uri;

use crate::dialect::ModelWork;
use crate::table::{Organisation, Route};

/// Maximum number of parts of one prompt that crashes can be blamed on.
const MAX_PARTS: usize = 64;

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
