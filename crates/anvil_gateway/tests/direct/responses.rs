//! Non-streamed responses: complete, for the right client, run at most once; refusals are correct.

use std::time::{Duration, Instant};

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, not_run, refusal_with, response, response_with};
use crate::gateway::TestGateway;

/// Guards against a second, late response on a kept connection being delivered as the response to
/// the next request, from another client. Only the id tells them apart.
#[tokio::test]
async fn second_response_on_a_connection_is_not_delivered_to_another_client() {
    let duplicating = TestEndpoint::start(|number, req| {
        let mut steps = vec![Step::Send(response(req, req.header("x-id").unwrap()))];
        if number == 0 {
            steps.push(Step::Pause(Duration::from_millis(30)));
            steps.push(Step::Send(response(req, "extra")));
        }
        steps
    })
    .await;
    let gateway = TestGateway::start(&[("a", &duplicating)]).await;
    let mut client = Client::connect(gateway.addr).await;
    for number in 0..20 {
        let id = format!("id-{number}");
        let received = client.request("/idempotent/x", &id, "").await;
        if received.status == 200 {
            assert_eq!(received.body, id);
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
}

/// Guards against a non-idempotent request being sent twice, or reported as not run, after its
/// connection was reset before a response.
#[tokio::test]
async fn non_idempotent_request_in_doubt_is_not_retried() {
    let resetting = TestEndpoint::start(|_, _| vec![Step::Reset]).await;
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("lost", &resetting), ("other", &working)]).await;
    let mut sent = 0;
    for number in 0..30 {
        let mut client = Client::connect(gateway.addr).await;
        let received = client.request("/once/x", &format!("id-{number}"), "").await;
        assert!(
            received.status == 502 || received.status == 200,
            "{received:?}"
        );
        sent += 1;
        assert_eq!(resetting.received().len() + working.received().len(), sent);
    }
    assert!(!resetting.received().is_empty());
}

/// Guards against a truncated response being delivered as a complete one. An idempotent request is
/// retried at another endpoint instead.
#[tokio::test]
async fn truncated_response_of_an_idempotent_request_is_retried() {
    let truncating = TestEndpoint::start(|_, req| {
        let id = req.header("x-id").unwrap();
        let head =
            format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nwh");
        vec![Step::Send(head.into_bytes()), Step::Close]
    })
    .await;
    let working = TestEndpoint::start(|_, req| vec![Step::Send(response(req, "whole"))]).await;
    let gateway = TestGateway::start(&[("cut", &truncating), ("whole", &working)]).await;
    for number in 0..10 {
        let mut client = Client::connect(gateway.addr).await;
        let id = format!("id-{number}");
        let received = client.request("/idempotent/x", &id, "").await;
        assert_eq!((received.status, &*received.body), (200, "whole"));
    }
    assert!(!truncating.received().is_empty());
}

/// Guards against a success response without the endpoint's signature, or with an encoding that was
/// not requested, being delivered as the result.
#[tokio::test]
async fn unsigned_or_encoded_success_is_not_delivered() {
    for extra in ["", "x-seal: s\r\ncontent-encoding: gzip\r\n"] {
        let endpoint = TestEndpoint::start(move |_, req| {
            let id = req.header("x-id").unwrap();
            let text =
                format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n{extra}content-length: 3\r\n\r\nbad");
            vec![Step::Send(text.into_bytes())]
        })
        .await;
        let gateway = TestGateway::start(&[("a", &endpoint)]).await;
        let mut client = Client::connect(gateway.addr).await;
        assert_eq!(client.request("/once/x", "id", "").await.status, 502);
    }
}

/// Guards against late or wrong refusals when all endpoints state that they did not run a request,
/// and against refusals without a retry-after time.
#[tokio::test]
async fn refusal_by_all_endpoints_is_immediate_and_names_a_retry_time() {
    let full = TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "503 Full"))]).await;
    let gateway = TestGateway::start(&[("a", &full), ("b", &full)]).await;
    let started_at = Instant::now();
    let mut client = Client::connect(gateway.addr).await;
    let received = client.request("/once/x", "id", "").await;
    assert_eq!(received.status, 503);
    assert!(
        received
            .retry_after()
            .is_some_and(|after| after > Duration::ZERO)
    );
    assert!(started_at.elapsed() < Duration::from_millis(500));
}

/// Guards against a refusal when one endpoint is full: the request has not run there, so another
/// endpoint runs it.
#[tokio::test]
async fn request_that_was_not_run_is_sent_to_another_endpoint() {
    let full = TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "503 Full"))]).await;
    let free = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("full", &full), ("free", &free)]).await;
    for number in 0..10 {
        let mut client = Client::connect(gateway.addr).await;
        let received = client.request("/once/x", &format!("id-{number}"), "").await;
        assert_eq!((received.status, &*received.body), (200, "ran"));
    }
    assert_eq!(free.received().len(), 10);
}

/// Guards against further requests for an endpoint whose address another incarnation has taken
/// over.
#[tokio::test]
async fn replaced_endpoint_receives_no_further_requests() {
    let replaced =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))])
            .await;
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("taken", &replaced), ("right", &working)]).await;
    for number in 0..10 {
        let mut client = Client::connect(gateway.addr).await;
        let received = client.request("/once/x", &format!("id-{number}"), "").await;
        assert_eq!(received.status, 200);
    }
    assert!(replaced.received().len() <= 1);
    let forwarded = working.received();
    assert!(
        forwarded
            .iter()
            .all(|req| req.header("x-endpoint") == Some("right"))
    );
}

/// Guards against a request to an unresponsive endpoint that outlasts its timeout, or that is
/// reported as not run.
#[tokio::test]
async fn request_to_an_unresponsive_endpoint_ends_at_its_timeout() {
    let unresponsive = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let gateway = TestGateway::start(&[("a", &unresponsive)]).await;
    let mut client = Client::connect(gateway.addr).await;
    let started_at = Instant::now();
    let received = client.request("/once/x", "id", "x-wait: 700\r\n").await;
    assert_eq!(received.status, 504);
    let duration = started_at.elapsed();
    assert!(duration >= Duration::from_millis(650) && duration < Duration::from_millis(1_200));
}

/// Guards against an idempotent request waiting for an unresponsive endpoint up to its deadline,
/// and against an endpoint being given more than the remaining time.
#[tokio::test]
async fn idempotent_request_does_not_wait_for_an_unresponsive_endpoint() {
    let unresponsive = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let working = TestEndpoint::start(|_, req| vec![Step::Send(response(req, "found"))]).await;
    let gateway = TestGateway::start(&[("silent", &unresponsive), ("good", &working)]).await;
    for number in 0..10 {
        let mut client = Client::connect(gateway.addr).await;
        let id = format!("id-{number}");
        let received = client
            .request("/idempotent/x", &id, "x-wait: 2000\r\n")
            .await;
        assert_eq!((received.status, &*received.body), (200, "found"));
    }
    let waits = working.received();
    let waits = waits
        .iter()
        .map(|req| req.header("x-wait").unwrap().parse::<u64>().unwrap());
    assert!(waits.into_iter().all(|ms| ms <= 2_000));
}

/// Guards against endpoints that keep working for disconnected clients: the endpoint's connection
/// is closed within half a second.
#[tokio::test]
async fn disconnected_client_closes_the_endpoint_connection() {
    let unresponsive = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let gateway = TestGateway::start(&[("a", &unresponsive)]).await;
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/idempotent/x", "id", "content-length: 0\r\n")
        .await;
    while unresponsive.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(client);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(unresponsive.abandoned(), 1);
}

/// Guards against retries that multiply the load when many requests fail at once: they stay within
/// this gateway's share of the retry budget.
#[tokio::test]
async fn retries_stay_within_the_shared_budget() {
    let broken = TestEndpoint::start(|_, _| vec![Step::Reset]).await;
    let gateway = TestGateway::start(&[("a", &broken), ("b", &broken)]).await;
    let requests = 200;
    for number in 0..requests {
        let mut client = Client::connect(gateway.addr).await;
        let received = client
            .request("/idempotent/x", &format!("id-{number}"), "")
            .await;
        assert_eq!(received.status, 502);
    }
    // One sixteenth of the slack of 200, until the ledger reports the number of gateways.
    let retries = broken.received().len() - requests;
    assert!(retries <= requests / 5 + 200 / 16, "{retries} sent again");
}

/// Guards against wrong causes of refusals: unknown key, unknown path, oversized body. Without a
/// routing table the refusal is temporary.
#[tokio::test]
async fn refusals_name_the_correct_cause() {
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("a", &working)]).await;
    let mut client = Client::connect(gateway.addr).await;
    assert_eq!(client.request("/nowhere/x", "1", "").await.status, 404);
    let mut routes = crate::gateway::routes();
    routes[0].public = false;
    let table = crate::gateway::table(2, routes);
    gateway.gw.table.store(Some(table.into()));
    assert_eq!(
        client
            .request("/idempotent/x", "2", "x-key: no\r\n")
            .await
            .status,
        401
    );
    assert_eq!(
        client
            .request("/idempotent/x", "3", "x-key: key\r\n")
            .await
            .status,
        200
    );
    let forwarded = &working.received()[0];
    assert_eq!(forwarded.header("x-organisation"), Some("co-op"));
    assert_eq!(forwarded.header("x-key"), None);
    client
        .send(
            "/idempotent/x",
            "4",
            "content-length: 20000\r\nx-key: key\r\n",
        )
        .await;
    assert_eq!(client.read_response().await.status, 413);
    let empty = TestGateway::start_empty().await;
    let mut client = Client::connect(empty.addr).await;
    assert_eq!(client.request("/nowhere/x", "1", "").await.status, 503);
}

/// Guards against a refusal by the gateway replacing an endpoint's own signed error response when
/// no other endpoint exists or the only other one is full.
#[tokio::test]
async fn endpoint_error_is_delivered_when_no_other_endpoint_answers() {
    let failing = TestEndpoint::start(|_, req| {
        let id = req.header("x-id").unwrap();
        let text = format!(
            "HTTP/1.1 500 Failed\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nwhy."
        );
        vec![Step::Send(text.into_bytes())]
    })
    .await;
    let full = TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "503 Full"))]).await;
    for endpoints in [&[("a", &failing)][..], &[("a", &failing), ("b", &full)][..]] {
        let gateway = TestGateway::start(endpoints).await;
        let mut delivered = 0;
        for number in 0..8 {
            let mut client = Client::connect(gateway.addr).await;
            let received = client
                .request("/idempotent/x", &format!("id-{number}"), "")
                .await;
            assert!(matches!(received.status, 500 | 503), "{received:?}");
            delivered += u32::from(received.status == 500 && received.body == "why.");
        }
        assert!(delivered >= 4, "{delivered} of 8");
    }
}

/// Guards against an endpoint that turns requests away looking free: its refusals state its load too.
#[tokio::test]
async fn load_in_a_refusal_counts() {
    let full = TestEndpoint::start(|number, req| {
        let lines = if number == 0 {
            "x-load: 0,0,8\r\n"
        } else {
            "x-load: 8,6,8\r\n"
        };
        if number == 0 {
            return vec![Step::Send(response_with(req, lines, "ran"))];
        }
        vec![Step::Send(refusal_with(req, lines))]
    })
    .await;
    let free = TestEndpoint::start(|_, req| {
        vec![Step::Send(response_with(req, "x-load: 1,0,8\r\n", "ran"))]
    })
    .await;
    let gateway = TestGateway::start(&[("full", &full), ("free", &free)]).await;
    for number in 0..10 {
        let mut client = Client::connect(gateway.addr).await;
        let response = client.request("/once/x", &format!("id-{number}"), "").await;
        assert_eq!(response.status, 200);
        // Past the cooldown after a refusal.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(full.received().len(), 2);
}
