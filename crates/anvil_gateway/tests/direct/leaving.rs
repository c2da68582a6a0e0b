//! Planned work: endpoints that leave, and this process's own stop.

use std::time::Duration;

use crate::client::Client;
use crate::endpoint::{Endpoint, Step, answer};
use crate::fleet::{Fleet, listed};

/// The platform lists an endpoint as leaving, then not at all, then, from a list that lags, as
/// ready again. From the first word on it gets nothing new.
#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_work() {
    let leaving = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let staying = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[("leaving", &leaving), ("staying", &staying)]).await;
    let ready = [
        listed("leaving", leaving.addr),
        listed("staying", staying.addr),
    ];
    let mut marked = ready.clone();
    marked[0].leaving = true;
    for (list, may_be_used) in [
        (&ready[..], true),
        (&marked[..], false),
        (&ready[1..], false),
        (&ready[..], false),
    ] {
        fleet.gw.directory.apply_list(list);
        let before = leaving.received().len();
        for number in 0..10 {
            let mut client = Client::connect(fleet.addr).await;
            let got = client.ask("/once/x", &format!("id-{number}"), "").await;
            assert_eq!(got.status, 200);
        }
        assert!(may_be_used || leaving.received().len() == before);
    }
}

/// A planned stop comes while an order runs. The order is answered whole, the client is asked to
/// use another connection, the balancer hears that no more are wanted, and the process ends.
#[tokio::test]
async fn a_planned_stop_cuts_nothing() {
    let slow = Endpoint::start(|_, req| {
        vec![
            Step::Pause(Duration::from_millis(800)),
            Step::Send(answer(req, "ran")),
        ]
    })
    .await;
    let fleet = Fleet::start(&[("a", &slow)]).await;
    let mut client = Client::connect(fleet.addr).await;
    client.send("/once/x", "id", "content-length: 0\r\n").await;
    while slow.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(fleet.gw.is_ready());
    fleet.gw.lifecycle.leave();
    assert!(!fleet.gw.is_ready());
    let got = client.answer().await;
    assert_eq!((got.status, &*got.body), (200, "ran"));
    assert!(got.head.contains("connection: close"));
    // The balancer still sends a client or two: they are served.
    let mut late = Client::connect(fleet.addr).await;
    assert_eq!(late.ask("/once/x", "late", "").await.status, 200);
    let ended = tokio::time::timeout(Duration::from_secs(4), fleet.serving).await;
    assert!(ended.is_ok(), "it goes on past its grace period");
}

/// A stream is still running when the grace period ends. It is cut, and must look cut.
#[tokio::test]
async fn a_stream_beyond_the_grace_period_ends_visibly_broken() {
    let endless = Endpoint::start(|_, req| {
        vec![
            Step::Send(crate::endpoint::stream_head(req)),
            Step::Send(crate::endpoint::chunk(&crate::endpoint::event(1))),
            Step::Hang,
        ]
    })
    .await;
    let fleet = Fleet::start(&[("a", &endless)]).await;
    let mut client = Client::connect(fleet.addr).await;
    client
        .send("/stream/x", "id", "content-length: 0\r\nx-wait: 20000\r\n")
        .await;
    while !client.some().await.contains("piece 1") {}
    fleet.gw.lifecycle.leave();
    let got = client.answer().await;
    assert!(!got.whole, "{got:?}");
}
