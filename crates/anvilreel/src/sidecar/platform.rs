//! Polls the platform for whether this instance is leaving.
//!
//! Failure: the platform drains the instance while the ledger can't be reached from it, or before
//! the ledger has learned of it; work is sent to the endpoint until it is cut off. The sidecar asks
//! the platform itself and refuses new work even if every router still sends it. Only the
//! platform's own lag remains.

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_world::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::time::{sleep, timeout};

use super::Core;
use super::http::{CallPurpose, EndpointClient};
use crate::json_items;

/// Interval at which the list is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the list, for its head and its body each.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// An entry of the platform's list. Further fields are ignored.
#[derive(Debug, Deserialize)]
struct ListedInstance {
    id: InstanceId,
    presence: ListedPresence,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ListedPresence {
    Live,
    Leaving,
    /// A value that this version does not know; it changes nothing.
    #[serde(other)]
    Other,
}

/// Name of the list in a response.
const ENTRIES: &str = "instances";

/// Polls the list for as long as the process runs.
pub async fn poll(core: &Core, platform: EndpointClient) {
    // A platform that supports the filter sends one entry instead of the whole list.
    let path = format!("/instances?id={}", core.instance.id);
    loop {
        if let Some(leaving) = fetch_leaving(&platform, &path, &core.instance.id).await {
            let before = core
                .admission
                .platform_leaving
                .swap(leaving, Ordering::Relaxed);
            if before != leaving {
                core.publish_accepting();
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether the instance is listed as leaving. `None` if this is unknown and the last state is kept:
/// no response, or not listed (a lagging list does not contain a new instance yet).
async fn fetch_leaving(platform: &EndpointClient, path: &str, id: &InstanceId) -> Option<bool> {
    let response = platform.send(CallPurpose::Other, "GET", path, &[], Bytes::new());
    let response = timeout(LIST_TIMEOUT, response).await.ok()?.ok()?;
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect();
    let body = timeout(LIST_TIMEOUT, body).await.ok()?.ok()?;
    let list = json_items::read::<ListedInstance, IgnoredAny>(&body.to_bytes(), ENTRIES).ok()?;
    let own_entry = list.items.iter().find(|entry| entry.id == *id)?;
    match own_entry.presence {
        ListedPresence::Live => Some(false),
        ListedPresence::Leaving => Some(true),
        ListedPresence::Other => None,
    }
}
