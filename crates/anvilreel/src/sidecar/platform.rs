//! Asks the platform whether this instance is leaving.
//!
//! Failure: the platform empties the instance while the ledger can't be reached from it, or before
//! the ledger has heard. It would show as work that is sent to an endpoint until it is cut off.
//! The sidecar asks the platform itself, so that the last gate closes although everybody else
//! still sends; the platform's own lag is all that is left.

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_world::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use super::Core;
use super::http::EndpointClient;

/// Time between two looks at the list.
const EVERY: Duration = Duration::from_secs(1);
/// Longest wait for the list.
const PATIENCE: Duration = Duration::from_secs(2);

/// One line of the platform's list; what else stands there is of no interest.
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
    /// A word that this build does not know says nothing.
    #[serde(other)]
    Other,
}

#[derive(Debug, Deserialize)]
struct List {
    instances: Vec<Listed>,
}

/// Looks at the list for as long as the process lives.
pub async fn watch(core: &Core, platform: EndpointClient) {
    // A platform that can filter sends one line instead of the whole list.
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

/// Whether the instance is listed as leaving. `None` where that is not known: no answer, or not
/// listed (a lagging list does not know a new instance yet), and then nothing changes.
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
