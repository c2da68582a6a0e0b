//! Streams: events are forwarded at once and complete, resumed without a gap, never cut unnoticed.

use std::time::Duration;

use crate::client::Client;
use crate::endpoint::{
    ReceivedRequest, Step, TestEndpoint, chunk, event, response, stream_end, stream_head,
};
use crate::gateway::TestGateway;

fn events(req: &ReceivedRequest, last: u64) -> Vec<Step> {
    let after = req.header("x-after").and_then(|id| id.parse().ok());
    let first = after.map_or(1, |after: u64| after + 1);
    let mut steps = vec![Step::Send(stream_head(req))];
    steps.extend((first..=last).map(|id| Step::Send(chunk(&event(id)))));
    steps
}

fn events_text(last: u64) -> String {
    (1..=last).map(event).collect()
}

/// Guards against gaps, repeats or partial events when an endpoint is lost in the middle of an
/// event and another one resumes the stream.
#[tokio::test]
async fn broken_stream_resumes_without_a_gap() {
    let broken = TestEndpoint::start(|_, req| {
        let mut steps = events(req, 3);
        steps.push(Step::Send(chunk("id: 4\ndata: pie")));
        steps.push(Step::Reset);
        steps
    })
    .await;
    let working = TestEndpoint::start(|_, req| {
        let mut steps = events(req, 6);
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await;
    let gateway = TestGateway::start(&[("broken", &broken), ("good", &working)]).await;
    for number in 0..10 {
        let mut client = Client::connect(gateway.addr).await;
        let received = client
            .request("/resumed/x", &format!("id-{number}"), "")
            .await;
        assert!(received.complete, "{received:?}");
        assert_eq!((received.status, received.body), (200, events_text(6)));
    }
    assert!(!broken.received().is_empty());
}

/// Guards against a broken stream that can't be resumed looking complete.
#[tokio::test]
async fn stream_that_cannot_be_resumed_looks_incomplete() {
    let broken = TestEndpoint::start(|_, req| {
        let mut steps = events(req, 3);
        // Time for the events to be read: a reset discards unread data.
        steps.push(Step::Pause(Duration::from_millis(100)));
        steps.push(Step::Reset);
        steps
    })
    .await;
    let gateway = TestGateway::start(&[("a", &broken), ("b", &broken)]).await;
    let mut client = Client::connect(gateway.addr).await;
    let received = client.request("/stream/x", "id", "").await;
    assert!(!received.complete, "{received:?}");
    assert_eq!((received.status, received.body), (200, events_text(3)));
    assert_eq!(broken.received().len(), 1);
}

/// Guards against repeated events being delivered when an endpoint resumes a stream at the wrong
/// one.
#[tokio::test]
async fn out_of_order_events_are_not_delivered() {
    let misnumbering = TestEndpoint::start(|_, req| {
        let mut steps = vec![Step::Send(stream_head(req))];
        for id in [1, 2, 2, 3] {
            steps.push(Step::Send(chunk(&event(id))));
        }
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await;
    let gateway = TestGateway::start(&[("a", &misnumbering)]).await;
    let mut client = Client::connect(gateway.addr).await;
    let received = client.request("/stream/x", "id", "").await;
    assert!(!received.complete, "{received:?}");
    assert_eq!(received.body, events_text(2));
}

/// Guards against an event being held back until the next one arrives.
#[tokio::test]
async fn events_are_forwarded_immediately() {
    let slow = TestEndpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Pause(Duration::from_millis(700)),
            Step::Send(chunk(&event(2))),
            Step::Send(stream_end()),
        ]
    })
    .await;
    let gateway = TestGateway::start(&[("a", &slow)]).await;
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/stream/x", "id", "content-length: 0\r\n")
        .await;
    let started_at = std::time::Instant::now();
    let mut seen = client.read_some().await;
    while !seen.contains("piece 1") {
        seen = client.read_some().await;
    }
    assert!(started_at.elapsed() < Duration::from_millis(400));
    assert!(!seen.contains("piece 2"));
    assert!(client.read_response().await.complete);
}

/// Guards against a stalled stream: another endpoint resumes it before the client gives up, and the
/// stalled endpoint's connection is closed.
#[tokio::test]
async fn stalled_stream_is_resumed_elsewhere() {
    let stalled = TestEndpoint::start(|_, req| {
        let mut steps = events(req, 2);
        steps.push(Step::Hang);
        steps
    })
    .await;
    let working = TestEndpoint::start(|_, req| {
        let mut steps = events(req, 4);
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await;
    let gateway = TestGateway::start(&[("silent", &stalled), ("good", &working)]).await;
    let mut continued = 0;
    for number in 0..6 {
        let mut client = Client::connect(gateway.addr).await;
        let received = client
            .request("/resumed/x", &format!("id-{number}"), "")
            .await;
        assert!(received.complete, "{received:?}");
        assert_eq!(received.body, events_text(4));
        continued += stalled.received().len();
    }
    assert!(continued > 0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(stalled.abandoned(), stalled.received().len());
}

/// Guards against a connection that is closed without an answer: a client takes up a stream of which it
/// has the last event, but not the end, and the endpoint answers without an event.
#[tokio::test]
async fn stream_taken_up_after_its_last_event_is_answered() {
    let chunked: fn(&ReceivedRequest) -> Vec<u8> = |req| [stream_head(req), stream_end()].concat();
    let with_length: fn(&ReceivedRequest) -> Vec<u8> = |req| response(req, "");
    let until_closed: fn(&ReceivedRequest) -> Vec<u8> = |req| {
        let id = req.header("x-id").unwrap_or_default();
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\r\n").into_bytes()
    };
    for ended in [chunked, with_length, until_closed] {
        let endpoint =
            TestEndpoint::start(move |_, req| vec![Step::Send(ended(req)), Step::Close]).await;
        let gateway = TestGateway::start(&[("a", &endpoint)]).await;
        for headers in ["x-after: 3\r\nx-first: first\r\n", ""] {
            let mut client = Client::connect(gateway.addr).await;
            let answer = client.request("/resumed/x", "id", headers).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
            assert_eq!(answer.body, "");
        }
        assert_eq!(endpoint.received().len(), 2);
    }
}

/// Guards against a status that the endpoint didn't give, where it refuses a stream that is taken up
/// after its last event.
#[tokio::test]
async fn refusal_of_a_stream_taken_up_after_its_last_event_is_passed_on() {
    let endpoint = TestEndpoint::start(|_, req| {
        let id = req.header("x-id").unwrap_or_default();
        let gone =
            format!("HTTP/1.1 410 Gone\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n");
        vec![Step::Send(gone.into_bytes())]
    })
    .await;
    let gateway = TestGateway::start(&[("a", &endpoint)]).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = "x-after: 3\r\nx-first: first\r\n";
    let answer = client.request("/resumed/x", "id", headers).await;
    assert_eq!((answer.status, answer.complete), (410, true), "{answer:?}");
}
