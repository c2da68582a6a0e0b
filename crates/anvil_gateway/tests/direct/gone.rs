//! Endpoints that are gone and still listed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvil_gateway::dialect::{ListPage, ListSource};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::client::Client;
use crate::endpoint::{Endpoint, Step, answer, not_run};
use crate::fleet::{Fleet, listed, routes, table};

/// An address at which nobody listens.
async fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

/// Lets each request be sent to one endpoint, with these near ones and one far one that is well.
async fn fleet_of_one_try(near: &[(&str, SocketAddr)], well: &Endpoint) -> Fleet {
    let fleet = Fleet::start(&[]).await;
    let mut list: Vec<_> = near.iter().map(|(id, addr)| listed(id, *addr)).collect();
    let mut far = listed("well", well.addr);
    far.zone = "local-b".into();
    list.push(far);
    fleet.gw.directory.apply_list(&list);
    let mut routes = routes();
    for route in &mut routes {
        route.attempts = 1;
    }
    fleet.gw.table.store(Some(Arc::new(table(2, routes))));
    fleet
}

/// Three endpoints die and stay on the list for some seconds. A request that may be sent to one
/// endpoint meets a dead one, is refused, comes back and meets the next, with the others free.
/// Nothing was sent to the dead ones, so the request goes on until it reaches one.
#[tokio::test]
async fn an_endpoint_that_is_not_there_uses_up_no_try() {
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let dead = [
        ("d1", nobody().await),
        ("d2", nobody().await),
        ("d3", nobody().await),
    ];
    let fleet = fleet_of_one_try(&dead, &well).await;
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id-1", "").await;
    assert_eq!((got.status, &*got.body), (200, "ran"));
    assert_eq!(well.received().len(), 1);
}

/// The address of an endpoint that is gone belongs to another one by now, which says so and runs
/// nothing. The request was refused although the one it is sent to next is free.
#[tokio::test]
async fn an_address_that_another_has_uses_up_no_try() {
    let other =
        Endpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))]).await;
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = fleet_of_one_try(&[("was-here", other.addr)], &well).await;
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id-1", "").await;
    assert_eq!((got.status, &*got.body), (200, "ran"));
}

/// An endpoint that is full is asked and says no; where one endpoint may be asked, that was it.
/// Asking on would take more of the platform's endpoints than the route allows.
#[tokio::test]
async fn an_endpoint_that_is_full_uses_up_a_try() {
    let full =
        Endpoint::start(|_, req| vec![Step::Send(not_run(req, "503 Service Unavailable"))]).await;
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = fleet_of_one_try(&[("full", full.addr)], &well).await;
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id-1", "").await;
    assert_eq!(got.status, 503);
    assert!(well.received().is_empty());
}

/// With an order in doubt, endpoints that are gone change nothing: it may have run, so it is sent
/// nowhere else.
#[tokio::test]
async fn an_order_in_doubt_stays_in_doubt_beside_endpoints_that_are_gone() {
    let lost = Endpoint::start(|_, _| vec![Step::Reset]).await;
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = fleet_of_one_try(&[("gone", nobody().await), ("lost", lost.addr)], &well).await;
    for number in 0..6 {
        let mut client = Client::connect(fleet.addr).await;
        let got = client.ask("/once/x", &format!("id-{number}"), "").await;
        assert!(got.status == 502 || got.status == 200, "{got:?}");
        let ran = lost.received().len() + well.received().len();
        assert_eq!(ran, number + 1);
    }
    assert!(!lost.received().is_empty());
}

/// A page of the tests' list: one endpoint, its id and address.
fn page(bytes: &Bytes) -> Result<ListPage, String> {
    let text = String::from_utf8_lossy(bytes);
    let (id, addr) = text.split_once(' ').ok_or("no endpoint")?;
    let addr = addr.parse().map_err(|e| format!("{e}"))?;
    Ok(ListPage {
        listed: vec![listed(id, addr)],
        ..ListPage::default()
    })
}

/// All endpoints lose power and are back in other lives, just after the list was read. Every request
/// is refused until the list is due again, two seconds later, although the list knows by now.
#[tokio::test]
async fn a_list_that_is_wrong_is_read_again_soon() {
    let other =
        Endpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))]).await;
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let listed = Arc::new(Mutex::new(format!("before {}", other.addr)));
    let told = listed.clone();
    let list = Endpoint::start(move |_, _| {
        let body = told.lock().expect("a text").clone();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        vec![Step::Send((head + &body).into_bytes())]
    })
    .await;
    let source = ListSource {
        addr: list.addr,
        path: "/".into(),
        lag: Duration::from_millis(300),
        calls_per_second: 50.0,
        page,
    };
    let fleet = Fleet::reading(source, Duration::from_mins(10)).await;
    while fleet.gw.directory.is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    *listed.lock().expect("a text") = format!("after {}", well.addr);
    let served = async {
        for number in 0.. {
            let mut client = Client::connect(fleet.addr).await;
            let got = client.ask("/once/x", &format!("id-{number}"), "").await;
            if got.status == 200 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(3), served)
        .await
        .expect("served soon");
}
