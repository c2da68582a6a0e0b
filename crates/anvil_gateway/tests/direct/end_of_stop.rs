//! The last moments of a planned stop, before all connections are closed.

use std::time::Duration;

use tokio::time::sleep;

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, response};
use crate::leaving::{LONG_WAIT, STOP_MARGIN, assert_refused_as_leaving, start_with_grace};

const GRACE_PERIOD: Duration = Duration::from_secs(4);

/// Guards against a short request that is cut because its endpoint, which is sound, is silent for
/// 1.5 s across the end.
#[tokio::test]
async fn short_request_is_not_begun_if_a_silent_endpoint_would_be_cut() {
    let known: u32 = 100;
    let endpoint = TestEndpoint::start(move |number, req| {
        let ms = if number < known as usize { 30 } else { 1_500 };
        vec![
            Step::Pause(Duration::from_millis(ms)),
            Step::Send(response(req, "ran")),
        ]
    })
    .await;
    let gateway = start_with_grace(GRACE_PERIOD, &endpoint).await;
    for _ in 0..known {
        let mut client = Client::connect(gateway.addr).await;
        let response = client.request("/once/x", "id", LONG_WAIT).await;
        assert_eq!(response.status, 200);
    }
    gateway.gw.lifecycle.begin_drain();
    let before_end = Duration::from_millis(1_250);
    sleep(GRACE_PERIOD.saturating_sub(STOP_MARGIN + before_end)).await;
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "late", LONG_WAIT).await;
    assert_refused_as_leaving(&response);
    assert_eq!(endpoint.received().len(), known as usize);
}
