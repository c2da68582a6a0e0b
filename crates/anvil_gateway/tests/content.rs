//! Which requests are the same.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_gateway::request_digest::digest;
use anvil_gateway::table::{Organisation, Repeat, Route};
use anvil_world::prelude::*;
use bytes::Bytes;
use http::Method;

fn content(
    organisation: &str,
    host: &str,
    method: &Method,
    path: &str,
    body: &str,
) -> RequestDigest {
    let organisation = Organisation {
        id: organisation.into(),
        class: None,
        prepaid: true,
    };
    let route = Route {
        name: "route".into(),
        host: host.into(),
        prefix: "/".into(),
        repeat: Repeat::Once,
        timeout: Duration::from_secs(1),
        target: Duration::from_secs(1),
        gap: None,
        class: 1,
        services: Vec::new(),
        attempts: 1,
        public: false,
    };
    let uri = path.parse().expect("a path");
    let body = Bytes::copy_from_slice(body.as_bytes());
    digest(Some(&organisation), &route, method, &uri, &body)
}

/// Guards against one caller's request being held for another one's, and against one that is never known again.
#[test]
fn requests_are_the_same_only_if_all_of_them_is() {
    let one = || content("a", "h", &Method::POST, "/x?q=1", "body");
    assert_eq!(one(), one());
    let others = [
        content("b", "h", &Method::POST, "/x?q=1", "body"),
        content("a", "g", &Method::POST, "/x?q=1", "body"),
        content("a", "h", &Method::PUT, "/x?q=1", "body"),
        content("a", "h", &Method::POST, "/y?q=1", "body"),
        content("a", "h", &Method::POST, "/x?q=2", "body"),
        content("a", "h", &Method::POST, "/x?q=1", "other"),
        content("a", "h", &Method::POST, "/x?q=1body", ""),
    ];
    let all: BTreeSet<_> = others.into_iter().chain([one()]).collect();
    assert_eq!(all.len(), others.len() + 1);
}
