//! Which contents count as the same one.

use anvil_gateway::shared_content::{ContentScope, SharedContent, at_all_versions, is_shared};

/// Guards against blaming a content at another service, or another kind of content, and against missing
/// it at another version.
#[test]
fn contents_differ_by_service_version_and_kind() {
    let scope = ContentScope::new("desk", "v1");
    let newer = ContentScope::new("desk", "v2");
    let part = SharedContent::Part(u64::MAX);
    let digest = scope.digest(part);
    assert!(is_shared(digest) && digest != newer.digest(part));
    assert!(at_all_versions(digest).contains(&newer.digest(part)));
    assert_eq!(newer.at_version(digest), newer.digest(part));
    for other in [
        scope.digest(SharedContent::Part(u64::MAX - 1)),
        scope.digest(SharedContent::Path(u64::MAX)),
        scope.digest(SharedContent::Sender(u64::MAX)),
        scope.digest(SharedContent::Size(u64::MAX)),
        ContentScope::new("shop", "v1").digest(part),
    ] {
        assert!(is_shared(other) && !at_all_versions(digest).contains(&other));
    }
}
