//! Clients that close their connection, or whose deadline passes, before their request is sent to an
//! endpoint.
//!
//! The runtime of these tests has one thread, so what a test does without awaiting happens before the
//! gateway looks at its sockets again, as on a machine whose processor is busy.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_wire::msg::ListedEndpoint;
use tokio::time::sleep;

use crate::charging::{KEY, add_grant};
use crate::client::Client;
use crate::endpoint::TestEndpoint;
use crate::gateway::{TestGateway, listed};

/// Time in which a request that is sent arrives at its endpoint.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Sends these bytes on a new connection, without letting the gateway run.
fn send_at_once(addr: SocketAddr, bytes: &str) -> std::net::TcpStream {
    let mut socket = std::net::TcpStream::connect(addr).expect("a connection");
    socket.write_all(bytes.as_bytes()).expect("sent");
    socket
}

fn head(id: &str, lines: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nhost: shop\r\nx-id: {id}\r\ncontent-length: 0\r\n{lines}\r\n"
    )
}

/// A gateway that has an idle connection to its endpoint, so that it can send without waiting.
async fn start_connected(endpoint: &TestEndpoint) -> TestGateway {
    let gateway = TestGateway::start(&[("only", endpoint)]).await;
    let mut client = Client::connect(gateway.addr).await;
    let served = client.request("/idempotent/x", "first", "").await;
    assert_eq!(served.status, 200);
    gateway
}

fn received_ids(endpoint: &TestEndpoint) -> Vec<String> {
    let received = endpoint.received();
    let ids = received.iter().filter_map(|req| req.header("x-id"));
    ids.map(Into::into).collect()
}

/// Guards against a request being run whose client closed its connection while the request lay in the
/// accept queue: nobody receives the response, and the endpoint works for nothing.
#[tokio::test]
async fn request_whose_client_left_before_the_accept_is_not_sent() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_connected(&endpoint).await;
    drop(send_at_once(gateway.addr, &head("left", "")));
    sleep(ARRIVAL_TIME).await;
    assert_eq!(received_ids(&endpoint), ["first"]);
}

/// Guards against the same for a connection that was reset instead of closed.
#[tokio::test]
async fn request_whose_client_reset_its_connection_is_not_sent() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_connected(&endpoint).await;
    let socket = send_at_once(gateway.addr, &head("left", ""));
    let socket = tokio::net::TcpStream::from_std({
        socket.set_nonblocking(true).expect("a socket option");
        socket
    });
    let socket = socket.expect("a socket");
    socket.set_zero_linger().expect("a socket option");
    drop(socket);
    sleep(ARRIVAL_TIME).await;
    assert_eq!(received_ids(&endpoint), ["first"]);
}

/// Guards against a request being sent, and charged, when its tokens arrive after its client has left.
#[tokio::test]
async fn request_whose_client_left_while_it_waited_for_tokens_is_not_sent() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_connected(&endpoint).await;
    let lines = format!("{KEY}x-tokens: 100,10\r\n");
    let socket = send_at_once(gateway.addr, &head("left", &lines));
    sleep(Duration::from_millis(50)).await;
    drop(socket);
    add_grant(&gateway, 1, 500);
    sleep(ARRIVAL_TIME).await;
    assert_eq!(received_ids(&endpoint), ["first"]);
    let view = gateway.gw.grant_account.budget_status("co-op");
    assert_eq!((view.free, view.reserved), (500, 0));
}

/// Guards against a request being sent to an endpoint that returns after the request's client has left.
#[tokio::test]
async fn request_whose_client_left_while_it_waited_for_an_endpoint_is_not_sent() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[]).await;
    let list = [ListedEndpoint {
        slots: 1,
        ..listed("only", endpoint.addr)
    }];
    let socket = send_at_once(gateway.addr, &head("left", ""));
    sleep(Duration::from_millis(50)).await;
    assert_eq!(
        gateway
            .gw
            .open_requests
            .load(std::sync::atomic::Ordering::Relaxed),
        1
    );
    drop(socket);
    gateway.gw.directory.apply_list(&list);
    gateway.gw.state_changed.notify_waiters();
    sleep(ARRIVAL_TIME).await;
    assert_eq!(received_ids(&endpoint), [""; 0]);
}

/// Guards against a request being sent after its deadline, if it was read late: its client has given up.
#[tokio::test]
async fn deadline_of_the_first_request_counts_from_the_accept() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_connected(&endpoint).await;
    let head = head("late", "x-wait: 100\r\n");
    let (beginning, rest) = head.split_at(20);
    let mut client = send_at_once(gateway.addr, beginning);
    sleep(Duration::from_millis(150)).await;
    client.write_all(rest.as_bytes()).expect("sent");
    sleep(ARRIVAL_TIME).await;
    assert_eq!(received_ids(&endpoint), ["first"]);
}

/// Guards against connections that are opened in advance: the deadline of their first request counts from
/// its own arrival.
#[tokio::test]
async fn connection_opened_in_advance_is_served() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_connected(&endpoint).await;
    let mut client = Client::connect(gateway.addr).await;
    sleep(Duration::from_millis(150)).await;
    let served = client
        .request("/idempotent/x", "later", "x-wait: 100\r\n")
        .await;
    assert_eq!(served.status, 200);
}
