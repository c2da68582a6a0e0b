//! Streams: whole events at once, continued without a gap, never complete in part.

use std::time::Duration;

use crate::client::Client;
use crate::endpoint::{Endpoint, Received, Step, chunk, event, stream_end, stream_head};
use crate::fleet::Fleet;

fn events(req: &Received, upto: u64) -> Vec<Step> {
    let after = req.header("x-after").and_then(|id| id.parse().ok());
    let first = after.map_or(1, |after: u64| after + 1);
    let mut steps = vec![Step::Send(stream_head(req))];
    steps.extend((first..=upto).map(|id| Step::Send(chunk(&event(id)))));
    steps
}

fn whole(upto: u64) -> String {
    (1..=upto).map(event).collect()
}

/// An endpoint is lost in the middle of an event. Another one goes on after the last whole event;
/// the client sees each event once, in order, within one answer.
#[tokio::test]
async fn a_broken_stream_goes_on_elsewhere_without_a_gap() {
    let broken = Endpoint::start(|_, req| {
        let mut steps = events(req, 3);
        steps.push(Step::Send(chunk("id: 4\ndata: pie")));
        steps.push(Step::Reset);
        steps
    })
    .await;
    let good = Endpoint::start(|_, req| {
        let mut steps = events(req, 6);
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await;
    let fleet = Fleet::start(&[("broken", &broken), ("good", &good)]).await;
    for number in 0..10 {
        let mut client = Client::connect(fleet.addr).await;
        let got = client.ask("/resumed/x", &format!("id-{number}"), "").await;
        assert!(got.whole, "{got:?}");
        assert_eq!((got.status, got.body), (200, whole(6)));
    }
    assert!(!broken.received().is_empty());
}

/// A stream that may not be continued breaks off. The client must see that it did: an end that
/// looks complete would pass for a whole answer.
#[tokio::test]
async fn a_stream_that_cannot_go_on_ends_visibly_broken() {
    let broken = Endpoint::start(|_, req| {
        let mut steps = events(req, 3);
        // Time to be read: a reset throws away what has not been.
        steps.push(Step::Pause(Duration::from_millis(100)));
        steps.push(Step::Reset);
        steps
    })
    .await;
    let fleet = Fleet::start(&[("a", &broken), ("b", &broken)]).await;
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/stream/x", "id", "").await;
    assert!(!got.whole, "{got:?}");
    assert_eq!((got.status, got.body), (200, whole(3)));
    assert_eq!(broken.received().len(), 1);
}

/// An endpoint that continues a stream begins at the wrong event. What does not follow is not
/// delivered, or the client would see a piece twice.
#[tokio::test]
async fn events_that_do_not_follow_are_not_delivered() {
    let wrong = Endpoint::start(|_, req| {
        let mut steps = vec![Step::Send(stream_head(req))];
        for id in [1, 2, 2, 3] {
            steps.push(Step::Send(chunk(&event(id))));
        }
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await;
    let fleet = Fleet::start(&[("a", &wrong)]).await;
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/stream/x", "id", "").await;
    assert!(!got.whole, "{got:?}");
    assert_eq!(got.body, whole(2));
}

/// Events come one by one. Each is passed on as it comes, not with the next one.
#[tokio::test]
async fn events_are_passed_on_as_they_come() {
    let slow = Endpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Pause(Duration::from_millis(700)),
            Step::Send(chunk(&event(2))),
            Step::Send(stream_end()),
        ]
    })
    .await;
    let fleet = Fleet::start(&[("a", &slow)]).await;
    let mut client = Client::connect(fleet.addr).await;
    client
        .send("/stream/x", "id", "content-length: 0\r\n")
        .await;
    let begun = std::time::Instant::now();
    let mut seen = client.some().await;
    while !seen.contains("piece 1") {
        seen = client.some().await;
    }
    assert!(begun.elapsed() < Duration::from_millis(400));
    assert!(!seen.contains("piece 2"));
    assert!(client.answer().await.whole);
}

/// A resumable stream falls silent in the middle. Another endpoint goes on before the client
/// leaves, and the silent one is told to stop.
#[tokio::test]
async fn a_silent_stream_goes_on_elsewhere() {
    let silent = Endpoint::start(|_, req| {
        let mut steps = events(req, 2);
        steps.push(Step::Hang);
        steps
    })
    .await;
    let good = Endpoint::start(|_, req| {
        let mut steps = events(req, 4);
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await;
    let fleet = Fleet::start(&[("silent", &silent), ("good", &good)]).await;
    let mut continued = 0;
    for number in 0..6 {
        let mut client = Client::connect(fleet.addr).await;
        let got = client.ask("/resumed/x", &format!("id-{number}"), "").await;
        assert!(got.whole, "{got:?}");
        assert_eq!(got.body, whole(4));
        continued += silent.received().len();
    }
    assert!(continued > 0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(silent.left(), silent.received().len());
}
