//! A gateway that has just started, and endpoints that have.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::client::Client;
use crate::endpoint::{Endpoint, Step, answer, not_run};
use crate::fleet::{Fleet, listed, routes, table};

/// All processes lose power and are back. A client comes back a moment later, before the ledger has
/// a leader; it has no return left. Refused, it is lost; the table comes a tenth of a second later.
#[tokio::test]
async fn a_request_waits_for_the_first_routing_table() {
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::empty().await;
    fleet.gw.directory.apply_list(&[listed("well", well.addr)]);
    let gw = fleet.gw.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        gw.table.store(Some(Arc::new(table(1, routes()))));
        gw.state_changed.notify_waiters();
    });
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id-1", "").await;
    assert_eq!((got.status, &*got.body), (200, "ran"));
}

/// The ledger stays away. A process that has been up for longer than a start takes expects no table
/// soon, so it refuses at once and lets the client go elsewhere.
#[tokio::test]
async fn a_request_is_refused_at_once_when_no_table_is_expected() {
    let fleet = Fleet::empty().await;
    sleep(Duration::from_millis(1_050)).await;
    let asked = Instant::now();
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id-1", "").await;
    assert_eq!(got.status, 503);
    assert!(asked.elapsed() < Duration::from_millis(200));
}

/// All endpoints lose power and are back in other lives, and the list has not heard of it. An order
/// is refused by the one that has the address now and would be turned away, though the list names
/// the new lives a moment later. It has not run anywhere, so it waits for that.
#[tokio::test]
async fn a_request_waits_for_endpoints_in_their_new_lives() {
    let other =
        Endpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))]).await;
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[("before", &other)]).await;
    let gw = fleet.gw.clone();
    let addr = well.addr;
    tokio::spawn(async move {
        sleep(Duration::from_millis(200)).await;
        gw.directory.apply_list(&[listed("after", addr)]);
        gw.state_changed.notify_waiters();
    });
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id-1", "").await;
    assert_eq!((got.status, &*got.body), (200, "ran"));
    assert_eq!(well.received().len(), 1);
}

/// No endpoint comes. The order is refused within a second, with most of its client's time left, and
/// the refusal is true.
#[tokio::test]
async fn a_request_does_not_wait_for_endpoints_for_long() {
    let other =
        Endpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))]).await;
    let fleet = Fleet::start(&[("before", &other)]).await;
    let asked = Instant::now();
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id-1", "").await;
    assert_eq!(got.status, 503);
    assert!(asked.elapsed() < Duration::from_millis(1_200));
}

/// All six endpoints are back in other lives before the list names them. Each request asked one after
/// the other in vain, until the tries that all gateways share were used up and everybody was refused.
/// After two in a row the list is taken for old, and the next requests wait for it without asking.
#[tokio::test]
async fn an_old_list_uses_up_few_tries() {
    let other =
        Endpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))]).await;
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let ids = ["b1", "b2", "b3", "b4", "b5", "b6"];
    let fleet = Fleet::start(&ids.map(|id| (id, &other))).await;
    let gw = fleet.gw.clone();
    let addr = well.addr;
    tokio::spawn(async move {
        sleep(Duration::from_millis(300)).await;
        gw.directory.apply_list(&[listed("after", addr)]);
        gw.state_changed.notify_waiters();
    });
    for number in 0..4 {
        let mut client = Client::connect(fleet.addr).await;
        let got = client.ask("/once/x", &format!("id-{number}"), "").await;
        assert_eq!((got.status, &*got.body), (200, "ran"));
    }
    assert_eq!(other.received().len(), 2);
}

/// One endpoint of three crashed and another one has its address: the two others go on serving, and
/// nobody waits.
#[tokio::test]
async fn one_replaced_endpoint_makes_no_old_list() {
    let other =
        Endpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))]).await;
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[("gone", &other), ("w1", &well), ("w2", &well)]).await;
    let asked = Instant::now();
    for number in 0..4 {
        let mut client = Client::connect(fleet.addr).await;
        let got = client.ask("/once/x", &format!("id-{number}"), "").await;
        assert_eq!((got.status, &*got.body), (200, "ran"));
    }
    assert!(asked.elapsed() < Duration::from_millis(300));
}
