//! Prepaid requests while the ledger is down.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::endpoint::{Step, TestEndpoint, chunk, event, stream_end, stream_head};
use crate::processes::{GATEWAYS, Processes, TestRequest};

const OUTAGE: Duration = Duration::from_secs(8);

/// Sends prepaid requests to each gateway for this time. Returns how many were served and refused.
async fn send_for(processes: &Processes, time: Duration, pause: Duration) -> (u32, u32) {
    let end = Instant::now() + time;
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < end {
        for gateway in 0..GATEWAYS {
            let request = TestRequest::prompt("/once/", "p").paid();
            if processes.send(gateway, &request).await.status == 200 {
                served += 1;
            } else {
                refused += 1;
            }
        }
        sleep(pause).await;
    }
    (served, refused)
}

/// Guards against requests that are refused within a second of an outage of the ledger, although
/// much of the budget is left: a gateway that holds grants for an outage pays for requests all
/// through it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_paid_for_while_the_ledger_is_down() {
    let endpoint = TestEndpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Send(stream_end()),
        ]
    })
    .await;
    let listed = format!("a {}", endpoint.addr);
    let horizon = OUTAGE + Duration::from_secs(1);
    let mut processes = Processes::start_with_outage_horizon(horizon, move || listed.clone()).await;
    let _ = send_for(
        &processes,
        Duration::from_secs(5),
        Duration::from_millis(100),
    )
    .await;
    processes.stop_ledger().await;
    let (served, refused) = send_for(&processes, OUTAGE, Duration::from_millis(400)).await;
    assert!(
        served >= 30 && refused == 0,
        "{served} served, {refused} refused"
    );
}
