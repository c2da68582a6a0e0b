//! Which requests have the same digest.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_gateway::regions::AllowedRegions;
use anvil_gateway::request_digest::digest;
use anvil_gateway::table::{Organisation, RetryMode, Route};
use anvil_world::prelude::*;
use bytes::Bytes;
use http::Method;

fn digest_of(
    organisation: &str,
    host: &str,
    method: &Method,
    path: &str,
    body: &str,
) -> ContentDigest {
    let organisation = Organisation {
        id: organisation.into(),
        priority_class: None,
        is_prepaid: true,
        regions: AllowedRegions::default(),
    };
    let route = Route {
        name: "route".into(),
        host: host.into(),
        prefix: "/".into(),
        retry_mode: RetryMode::AtMostOnce,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        max_gap: None,
        priority_class: 1,
        services: Vec::new(),
        max_attempts: 1,
        public: false,
        regions: AllowedRegions::default(),
    };
    let uri = path.parse().expect("a path");
    let body = Bytes::copy_from_slice(body.as_bytes());
    digest(Some(&organisation), &route, method, &uri, &body)
}

/// Guards against two different requests sharing a digest, which would quarantine the wrong one,
/// and against equal requests with different digests, which would never be recognised.
#[test]
fn digest_depends_on_every_part_of_the_request() {
    let reference = || digest_of("a", "h", &Method::POST, "/x?q=1", "body");
    assert_eq!(reference(), reference());
    let variants = [
        digest_of("b", "h", &Method::POST, "/x?q=1", "body"),
        digest_of("a", "g", &Method::POST, "/x?q=1", "body"),
        digest_of("a", "h", &Method::PUT, "/x?q=1", "body"),
        digest_of("a", "h", &Method::POST, "/y?q=1", "body"),
        digest_of("a", "h", &Method::POST, "/x?q=2", "body"),
        digest_of("a", "h", &Method::POST, "/x?q=1", "other"),
        digest_of("a", "h", &Method::POST, "/x?q=1body", ""),
    ];
    let all: BTreeSet<_> = variants.into_iter().chain([reference()]).collect();
    assert_eq!(all.len(), variants.len() + 1);
}
