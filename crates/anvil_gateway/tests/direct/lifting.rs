//! An operator lifts the quarantine of a request, at a ledger with several gateways.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvil_world::command::QuarantineTarget;
use anvil_world::content::from_hex;
use anvilreel::operator::{QuarantinedContent, lift_quarantine, status};
use tokio::time::{Instant, sleep};

use crate::crashing_endpoints::{CrashingEndpoints, KNOWN_WITHIN, TOLERATED_LATE_ARRIVALS};
use crate::endpoint::{ReceivedRequest, Step, response};
use crate::gateway::SERVICE;
use crate::processes::{GATEWAYS, Processes};

/// Body of the request that crashes each endpoint, until the endpoints are repaired.
const CRASHING_BODY: &str = "crash";
/// Crashes that it takes to quarantine a request.
const QUARANTINE_CRASHES: usize = 3;
/// Time in which an acknowledged order has to be in force at all gateways.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(1);

/// Whether the endpoints of the only test here are repaired.
static REPAIRED: AtomicBool = AtomicBool::new(false);

fn behave(req: &ReceivedRequest) -> Vec<Step> {
    if req.body == CRASHING_BODY.as_bytes() && !REPAIRED.load(Ordering::Relaxed) {
        vec![Step::Crash]
    } else {
        vec![Step::Send(response(req, "ran"))]
    }
}

async fn status_at(processes: &Processes, gateway: u8) -> u16 {
    let sent = processes.send_request(gateway, "/once/x", CRASHING_BODY);
    sent.await.status
}

async fn send_repeatedly(processes: &Processes, duration: Duration) {
    let started_at = Instant::now();
    for gateway in (0..GATEWAYS).cycle() {
        if started_at.elapsed() > duration {
            break;
        }
        status_at(processes, gateway).await;
        sleep(Duration::from_millis(100)).await;
    }
}

async fn quarantined(processes: &Processes) -> Vec<QuarantinedContent> {
    let status = status(&processes.operator()).await.expect("a status");
    status.quarantined.expect("known")
}

async fn lift(processes: &Processes, target: QuarantineTarget) {
    let operator = processes.operator();
    let lifted = lift_quarantine(&operator, target, "repaired".into(), None).await;
    let lifted = lifted.expect("acknowledged");
    assert!(
        !lifted.receipt.resent && lifted.spread.is_rolled_out(),
        "{lifted}"
    );
}

/// Guards against a sound request that is refused for an hour after its endpoints were repaired; against
/// an order that protects a request which still crashes endpoints; and against a power failure that
/// brings a lifted quarantine back.
#[tokio::test(flavor = "multi_thread")]
async fn operator_lifts_a_quarantine_at_all_gateways() {
    let endpoints = CrashingEndpoints::new(behave);
    let mut processes = endpoints.start_processes().await;
    send_repeatedly(&processes, 2 * KNOWN_WITHIN).await;
    let listed = quarantined(&processes).await;
    let request = listed.iter().find(|content| !content.shared);
    let request = request.expect("the request in the status");
    assert_eq!(request.endpoints.len(), QUARANTINE_CRASHES);
    let digest = from_hex(&request.content).expect("a digest");

    // Too early: it still crashes endpoints, and is blamed for three more crashes.
    endpoints.forget_arrivals();
    lift(&processes, QuarantineTarget::Content(digest)).await;
    send_repeatedly(&processes, 2 * KNOWN_WITHIN).await;
    assert!(endpoints.crashing_arrivals().len() >= QUARANTINE_CRASHES);
    let late = endpoints.late_arrivals(QUARANTINE_CRASHES);
    assert!(late <= TOLERATED_LATE_ARRIVALS, "{late} more crashes");
    for gateway in 0..GATEWAYS {
        assert_eq!(status_at(&processes, gateway).await, 503);
    }

    REPAIRED.store(true, Ordering::Relaxed);
    lift(&processes, QuarantineTarget::Service(SERVICE.into())).await;
    sleep(IN_FORCE_WITHIN).await;
    for gateway in 0..GATEWAYS {
        assert_eq!(status_at(&processes, gateway).await, 200);
    }
    processes.lose_power().await;
    for gateway in 0..GATEWAYS {
        assert_eq!(status_at(&processes, gateway).await, 200);
    }
    assert_eq!(quarantined(&processes).await, []);
}
