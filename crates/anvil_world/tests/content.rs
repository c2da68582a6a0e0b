//! Digests of contents as text, and what they tell of a service.

use anvil_world::content::{
    ContentScope, SharedContent, from_hex, service_digest, service_of, to_hex,
};

/// Guards against an order that names another content than the one that the log shows.
#[test]
fn digest_is_read_as_the_log_writes_it() {
    for digest in [0, 0xff11, u128::MAX] {
        assert_eq!(from_hex(&to_hex(digest)), Ok(digest));
    }
    for wrong in [
        "",
        "ff",
        &"f".repeat(33),
        &"g".repeat(32),
        &format!("+{}", "1".repeat(31)),
    ] {
        assert!(from_hex(wrong).is_err(), "{wrong}");
    }
}

/// Guards against an order for one service that lifts quarantines of another one, or misses those of
/// another software version.
#[test]
fn shared_content_names_its_service_at_any_version() {
    let content = SharedContent::Path(7);
    for version in ["v1", "v2"] {
        let digest = ContentScope::new("desk", version).digest(content);
        assert_eq!(service_of(digest), Some(service_digest("desk")));
        assert_ne!(service_of(digest), Some(service_digest("shop")));
        let request = digest | 1 << 127;
        assert_eq!(service_of(request), None);
    }
}
