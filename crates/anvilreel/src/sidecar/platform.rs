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
use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use super::Core;
use super::http::EndpointClient;

/// Interval at which the list is polled.
const EVERY: Duration = Duration::from_secs(1);
/// Time-out of the list, for its head and its body each.
const PATIENCE: Duration = Duration::from_secs(2);

/// An entry of the platform's list. Further fields are ignored.
#[derive(Debug, Deserialize)]
struct Listed {
    id: InstanceId,
    presence: Listing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Listing {
    Live,
    Leaving,
    /// A value that this version does not know; it changes nothing.
    #[serde(other)]
    Other,
}

#[derive(Debug, Deserialize)]
struct List {
    instances: Vec<Listed>,
}

/// Polls the list for as long as the process runs.
pub async fn watch(core: &Core, platform: EndpointClient) {
    // A platform that supports the filter sends one entry instead of the whole list.
    let tail = format!("/instances?id={}", core.instance.id);
    loop {
        if let Some(leaving) = ask(&platform, &tail, &core.instance.id).await {
            let before = core.gate.platform_leaving.swap(leaving, Ordering::Relaxed);
            if before != leaving {
                core.show_leaving();
            }
        }
        sleep(EVERY).await;
    }
}

/// Whether the instance is listed as leaving. `None` if this is unknown and the last state is kept:
/// no response, or not listed (a lagging list does not contain a new instance yet).
async fn ask(platform: &EndpointClient, tail: &str, id: &InstanceId) -> Option<bool> {
    let answer = platform.send("GET", tail, &[], Bytes::new());
    let answer = timeout(PATIENCE, answer).await.ok()?.ok()?;
    let body = timeout(PATIENCE, answer.into_body().collect()).await;
    let body = body.ok()?.ok()?;
    let list: List = serde_json::from_slice(&body.to_bytes()).ok()?;
    let own = list.instances.iter().find(|listed| listed.id == *id)?;
    match own.presence {
        Listing::Live => Some(false),
        Listing::Leaving => Some(true),
        Listing::Other => None,
    }
}
