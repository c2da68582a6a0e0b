//! The endpoint's load, for routers that watch it: the engine's own report, which lags and is
//! polled, and the sidecar's count of runs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::EndpointLoad;
use anvil_world::prelude::*;
use anvil_world::settings::EndpointSettings;
use bytes::Bytes;
use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::http::{CallPurpose, EndpointClient};

/// Interval at which the report is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a report, for its head and its body each.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Response of an engine to `GET /load`.
#[derive(Debug, Default, Deserialize)]
struct Report {
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    tokens_per_second: f64,
    #[serde(default)]
    models: BTreeSet<ModelId>,
}

/// The newest load, shared with all watching routers.
pub type Loads = watch::Sender<EndpointLoad>;

/// The load before the first report.
pub fn first_load(endpoint: &EndpointSettings) -> EndpointLoad {
    EndpointLoad {
        slots: endpoint.slots,
        models: endpoint.models.clone(),
        ..EndpointLoad::default()
    }
}

/// Polls the report for as long as the process runs.
pub async fn poll(client: EndpointClient, loads: Arc<Loads>) {
    loop {
        if let Some(report) = fetch_report(&client).await {
            loads.send_if_modified(|load| apply_report(load, report));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn fetch_report(client: &EndpointClient) -> Option<Report> {
    let response = client.send(CallPurpose::Other, "GET", "/load", &[], Bytes::new());
    let response = timeout(REPORT_TIMEOUT, response).await.ok()?.ok()?;
    let body = timeout(REPORT_TIMEOUT, response.into_body().collect())
        .await
        .ok()?
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn apply_report(load: &mut EndpointLoad, report: Report) -> bool {
    let before = load.clone();
    load.queued = report.queued;
    if report.slots > 0 {
        load.slots = report.slots;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast from a float saturates"
    )]
    let tokens_per_second = report.tokens_per_second as u32;
    load.tokens_per_second = tokens_per_second;
    load.models = report.models;
    *load != before
}
