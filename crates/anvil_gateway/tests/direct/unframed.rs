//! Responses of endpoints that have neither a length nor chunks and end with their connection.

use std::time::Duration;

use crate::client::{Client, ClientResponse};
use crate::endpoint::{ReceivedRequest, Step, TestEndpoint, event, response};
use crate::gateway::TestGateway;

/// Time in which what was sent is read: a reset discards unread data.
const READ_TIME: Duration = Duration::from_millis(100);

/// A response head after which the body ends with the connection.
fn unframed_head(req: &ReceivedRequest) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\r\n").into_bytes()
}

/// Sends this body, and ends the connection with the last step.
fn unframed(req: &ReceivedRequest, body: &str, end: Step) -> Vec<Step> {
    let bytes = [unframed_head(req), body.into()].concat();
    vec![Step::Send(bytes), Step::Pause(READ_TIME), end]
}

/// Sends the events after the one that the request names.
fn events_after(req: &ReceivedRequest, last: u64) -> String {
    let after = req.header("x-after").and_then(|id| id.parse().ok());
    (after.unwrap_or(0) + 1..=last).map(event).collect()
}

async fn request(gateway: &TestGateway, path: &str) -> ClientResponse {
    let mut client = Client::connect(gateway.addr).await;
    client.request(path, "id", "").await
}

/// Guards against a whole response being lost because it ends with its connection, and against the
/// connection being used again.
#[tokio::test]
async fn response_that_ends_with_its_connection_is_delivered() {
    let endpoint = TestEndpoint::start(|_, req| unframed(req, "ran", Step::Close)).await;
    let gateway = TestGateway::start(&[("only", &endpoint)]).await;
    for _ in 0..2 {
        let response = request(&gateway, "/once/x").await;
        assert!(response.complete, "{response:?}");
        assert_eq!((response.status, &*response.body), (200, "ran"));
    }
}

/// Guards against a reset being taken for the end of a response.
#[tokio::test]
async fn reset_is_not_the_end_of_a_response() {
    let broken = TestEndpoint::start(|_, req| unframed(req, "ra", Step::Reset)).await;
    let well = TestEndpoint::start(|_, req| vec![Step::Send(response(req, "ran"))]).await;
    let gateway = TestGateway::start(&[("broken", &broken), ("well", &well)]).await;
    assert_eq!(request(&gateway, "/once/x").await.status, 502);
    let response = request(&gateway, "/idempotent/x").await;
    assert_eq!((response.status, &*response.body), (200, "ran"));
}

/// Guards against a whole stream being lost because it ends with its connection.
#[tokio::test]
async fn stream_that_ends_with_its_connection_is_delivered() {
    let endpoint = TestEndpoint::start(|_, req| {
        let events = events_after(req, 3);
        unframed(req, &events, Step::Close)
    })
    .await;
    let gateway = TestGateway::start(&[("only", &endpoint)]).await;
    for path in ["/stream/x", "/resumed/x"] {
        let response = request(&gateway, path).await;
        assert!(response.complete, "{path}: {response:?}");
        let events: String = (1..=3).map(event).collect();
        assert_eq!((response.status, response.body), (200, events));
    }
}

/// Guards against a stream that ends inside an event, or with a reset, being taken for a whole one.
#[tokio::test]
async fn stream_that_breaks_off_is_resumed_or_looks_incomplete() {
    for (rest, end) in [("id: 3\nda", Step::Close), ("", Step::Reset)] {
        let behave = move |_, req: &ReceivedRequest| {
            let body = events_after(req, 2) + rest;
            unframed(req, &body, end.clone())
        };
        let broken = TestEndpoint::start(behave).await;
        let well = TestEndpoint::start(|_, req| {
            let events = events_after(req, 4);
            unframed(req, &events, Step::Close)
        })
        .await;
        let gateway = TestGateway::start(&[("broken", &broken), ("well", &well)]).await;
        let response = request(&gateway, "/stream/x").await;
        assert!(!response.complete, "{response:?}");
        let response = request(&gateway, "/resumed/x").await;
        assert!(response.complete, "{response:?}");
        assert_eq!(response.body, (1..=4).map(event).collect::<String>());
    }
}
