//! Which parts of prompts count as the same one.

use anvil_gateway::prompt_part_digest::{PartScope, at_all_versions, is_part};

/// Guards against blaming a part at another service, and against missing it at another version.
#[test]
fn parts_differ_by_service_and_version() {
    let scope = PartScope::new("desk", "v1");
    let newer = PartScope::new("desk", "v2");
    let part = scope.digest(u64::MAX);
    assert!(is_part(part) && part != newer.digest(u64::MAX));
    assert!(at_all_versions(part).contains(&newer.digest(u64::MAX)));
    assert_eq!(newer.at_version(part), newer.digest(u64::MAX));
    for other in [
        scope.digest(u64::MAX - 1),
        PartScope::new("shop", "v1").digest(u64::MAX),
    ] {
        assert!(!at_all_versions(part).contains(&other));
    }
}
