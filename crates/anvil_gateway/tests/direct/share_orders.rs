//! An operator sets the share of a route, at a ledger with several gateways.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::operator::{OperatorError, set_share, status};
use tokio::time::{Instant, sleep};

use crate::endpoint::{Step, TestEndpoint, response};
use crate::processes::{GATEWAYS, Processes, TestRequest};

/// Time in which the engine processes a request; it has eight slots.
const WORK: Duration = Duration::from_millis(50);
/// Pause between two pairs of requests, one on each route: three times what the engine serves.
const PAUSE: Duration = Duration::from_millis(4);
/// How long each load lasts.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Time in which an acknowledged order has to be in force at all gateways.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(1);

async fn start() -> Processes {
    let respond = |_, req: &_| vec![Step::Pause(WORK), Step::Send(response(req, "ran"))];
    let endpoint = TestEndpoint::start(respond).await;
    let list = format!("engine-1 {}", endpoint.addr);
    Processes::start(move || list.clone()).await
}

async fn order(processes: &Processes, name: &str, factor: &str) -> Result<(), OperatorError> {
    let factor = factor.parse().expect("a factor");
    let route = ShareTarget::Route(name.into());
    let operator = processes.operator();
    let set = set_share(&operator, route, factor, "a sale".into(), None).await?;
    assert!(
        !set.receipt.resent && set.spread.is_rolled_out(),
        "{}",
        set.spread
    );
    Ok(())
}

/// How many requests of the route `once` are answered for one of the route `idempotent`, while a
/// gateway gets the same number of both.
async fn ratio_of_answers(processes: &Arc<Processes>, gateway: u8) -> f64 {
    let started_at = Instant::now();
    let mut sending = Vec::new();
    while started_at.elapsed() < LOAD_TIME {
        for (at, path) in ["/once/x", "/idempotent/x"].into_iter().enumerate() {
            let processes = processes.clone();
            sending.push(tokio::spawn(async move {
                let req = TestRequest {
                    path: path.into(),
                    headers: "content-length: 0\r\nx-tokens: 10,1\r\n".into(),
                };
                (at, processes.send(gateway, &req).await.status == 200)
            }));
        }
        sleep(PAUSE).await;
    }
    let mut answered = [0_u32; 2];
    for response in sending {
        let (at, ok) = response.await.expect("a response");
        answered[at] += u32::from(ok);
    }
    f64::from(answered[0]) / f64::from(answered[1].max(1))
}

/// Guards against an order that is acknowledged and not in force at a gateway a second later, or
/// not after a power failure; and against one for a mistyped name that is acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn operator_sets_the_share_of_a_route_at_all_gateways() {
    let mut processes = start().await;
    let refused = order(&processes, "onec", "4").await;
    assert!(
        matches!(refused, Err(OperatorError::Denied { .. })),
        "{refused:?}"
    );
    order(&processes, "once", "4").await.expect("acknowledged");
    let processes = {
        sleep(IN_FORCE_WITHIN).await;
        let shared = Arc::new(processes);
        for gateway in 0..GATEWAYS {
            let ratio = ratio_of_answers(&shared, gateway).await;
            assert!((2.0..8.0).contains(&ratio), "{ratio} at gateway {gateway}");
        }
        processes = Arc::into_inner(shared).expect("all requests have ended");
        processes.lose_power().await;
        let status = status(&processes.operator()).await.expect("a status");
        let expected = BTreeMap::from([("routes/once".to_owned(), 4.0)]);
        assert_eq!(status.shares, Some(expected));
        Arc::new(processes)
    };
    let ratio = ratio_of_answers(&processes, 0).await;
    assert!((2.0..8.0).contains(&ratio), "{ratio} after the restart");
    order(&processes, "once", "1").await.expect("acknowledged");
    sleep(IN_FORCE_WITHIN).await;
    let ratio = ratio_of_answers(&processes, 0).await;
    assert!((0.6..1.6).contains(&ratio), "{ratio} without a share");
}
