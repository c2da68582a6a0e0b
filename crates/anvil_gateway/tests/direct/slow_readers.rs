//! Clients that read their streams slowly, in front of an endpoint that cuts off what stays unread.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anvil_policy::read_ahead::MAX_STREAM_BYTES;
use anvilreel::metrics::Metrics;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::charging::add_grant;
use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, chunk, stream_end, stream_head};
use crate::gateway::{TestGateway, listed};

/// The endpoint cuts a response off when it can't write for this time.
const CUT_OFF_AFTER: Duration = Duration::from_secs(1);
/// Bytes of one event, about.
const EVENT_BYTES: usize = 1_000;
/// Small socket buffers, so that a response of some hundred kilobytes does not fit into them.
const SOCKET_BYTES: u32 = 4_096;
/// Events of a response that is larger than the socket buffers on its way, and smaller than these
/// and the stream's buffer.
const EVENTS: u64 = 280;
/// Events that fit into the sockets' and the connection's buffers to the client, at most.
const MAX_EVENTS_ON_THE_WAY: u64 = 64;
const KEY: &str = "x-key: key\r\n";

fn listen(send_buffer: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    // Accepted connections inherit it.
    socket.set_send_buffer_size(send_buffer).expect("a size");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port");
    socket.listen(64).expect("a listener")
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES))
}

/// An endpoint that writes `events` events, one each `pause`.
struct CuttingEndpoint {
    addr: SocketAddr,
    has_cut_off: AtomicBool,
    /// Connections that the gateway has closed.
    closed: AtomicU64,
}

impl CuttingEndpoint {
    fn start(events: u64, pause: Duration) -> Arc<Self> {
        let listener = listen(SOCKET_BYTES);
        let endpoint = Arc::new(Self {
            addr: listener.local_addr().expect("an address"),
            has_cut_off: AtomicBool::new(false),
            closed: AtomicU64::new(0),
        });
        let server = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move {
                    server.serve(socket, events, pause).await;
                    server.closed.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        endpoint
    }

    async fn serve(&self, mut socket: TcpStream, events: u64, pause: Duration) {
        let mut head = Vec::new();
        while !head.windows(4).any(|window| window == b"\r\n\r\n") {
            if matches!(socket.read_buf(&mut head).await, Ok(0) | Err(_)) {
                return;
            }
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
        let id = id.expect("an id");
        let mut parts =
            vec![format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        .into_bytes()];
        parts.extend((1..=events).map(|id| chunk(&event(id))));
        parts.push(stream_end());
        for part in parts {
            match timeout(CUT_OFF_AFTER, socket.write_all(&part)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => {
                    self.has_cut_off.store(true, Ordering::Relaxed);
                    socket.set_zero_linger().expect("a socket option");
                    return;
                }
            }
            sleep(pause).await;
        }
        let mut rest = [0; 64];
        while matches!(socket.read(&mut rest).await, Ok(n) if n > 0) {}
    }
}

/// A gateway in front of this endpoint, with small buffers towards its clients and tokens to spend.
async fn start_gateway(endpoint: &CuttingEndpoint) -> (TestGateway, impl Fn() -> String + use<>) {
    let (metrics, registry) = Metrics::in_memory("gateway");
    let gateway = TestGateway::start_on(listen(SOCKET_BYTES), endpoint.addr, metrics);
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("{KEY}x-tokens: 10,10\r\n");
    // The first request finds no grant and makes the gateway ask for one.
    assert!(client.request("/stream/x", "first", &headers).await.status >= 400);
    add_grant(&gateway, 1, 1_000_000);
    (gateway, move || registry.render())
}

/// A client with a small buffer, which holds little that it has not read.
async fn connect_slowly(gateway: &TestGateway) -> Client {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SOCKET_BYTES).expect("a size");
    let socket = socket.connect(gateway.addr).await.expect("a connection");
    Client::on(socket)
}

/// A client that has sent a request for a stream, and has read nothing yet.
async fn send_request(gateway: &TestGateway) -> Client {
    let mut client = connect_slowly(gateway).await;
    let headers = format!("content-length: 0\r\n{KEY}x-tokens: 100,300000\r\n");
    client.send("/stream/x", "slow", &headers).await;
    client
}

fn charged(gateway: &TestGateway) -> u64 {
    let view = gateway.gw.grant_account.budget_status("co-op");
    assert_eq!(view.reserved, 0);
    1_000_000 - view.free
}

/// Guards against a response that the endpoint cuts off because its client reads nothing for
/// seconds.
#[tokio::test]
async fn stream_of_a_client_that_pauses_is_not_cut_off() {
    let endpoint = CuttingEndpoint::start(EVENTS, Duration::ZERO);
    let (gateway, rendered) = start_gateway(&endpoint).await;
    let mut client = send_request(&gateway).await;
    sleep(2 * CUT_OFF_AFTER).await;
    let response = client.read_response().await;
    assert!(!endpoint.has_cut_off.load(Ordering::Relaxed));
    assert!(response.complete);
    let expected: String = (1..=EVENTS).map(event).collect();
    assert!(response.body == expected, "{} bytes", response.body.len());
    assert!(rendered().contains("anvilreel_gateway_streams_read_ahead 1"));
    // Three tokens for each event.
    sleep(Duration::from_millis(50)).await;
    assert_eq!(charged(&gateway), 100 + 3 * EVENTS);
    assert_eq!(gateway.gw.read_ahead().total(), 0);
}

/// Guards against a client that reads nothing and takes ever more memory, against an endpoint that
/// goes on for a client that has left, and against a charge for output that the client never got.
#[tokio::test]
async fn client_that_never_reads_is_bounded_and_pays_only_for_what_it_got() {
    let endpoint = CuttingEndpoint::start(20 * EVENTS, Duration::ZERO);
    let (gateway, _) = start_gateway(&endpoint).await;
    let client = send_request(&gateway).await;
    until(|| gateway.gw.read_ahead().total() >= MAX_STREAM_BYTES).await;
    sleep(CUT_OFF_AFTER / 4).await;
    let held = gateway.gw.read_ahead().total();
    let one_more = 2 * EVENT_BYTES as u64;
    assert!(
        (MAX_STREAM_BYTES..MAX_STREAM_BYTES + one_more).contains(&held),
        "{held}"
    );
    drop(client);
    sleep(CUT_OFF_AFTER / 4).await;
    assert!(!endpoint.has_cut_off.load(Ordering::Relaxed));
    assert_eq!(endpoint.closed.load(Ordering::Relaxed), 1);
    assert_eq!(gateway.gw.read_ahead().total(), 0);
    let output = charged(&gateway) - 100;
    assert!(
        (3..=3 * MAX_EVENTS_ON_THE_WAY).contains(&output),
        "{output}"
    );
}

/// Guards against a client that stays connected and reads nothing, and keeps its buffer and its
/// connection for good: both while the endpoint has more to send, and once all of it has been read.
#[tokio::test]
async fn stream_of_a_client_that_never_reads_ends_at_its_deadline() {
    for events in [EVENTS, 20 * EVENTS] {
        let endpoint = CuttingEndpoint::start(events, Duration::ZERO);
        let (gateway, rendered) = start_gateway(&endpoint).await;
        let mut client = connect_slowly(&gateway).await;
        let headers = format!("content-length: 0\r\nx-wait: 2000\r\n{KEY}x-tokens: 100,300000\r\n");
        client.send("/stream/x", "slow", &headers).await;
        let held = || gateway.gw.read_ahead().total();
        until(|| held() > MAX_STREAM_BYTES / 2).await;
        until(|| held() == 0).await;
        until(|| rendered().contains("requests_no_answer_in_time 1")).await;
        assert!(!client.read_response().await.complete);
        // The connection of a stream that was read to its end is kept for the next request.
        let is_broken_off = endpoint.closed.load(Ordering::Relaxed) == 1;
        assert_eq!(is_broken_off, events > EVENTS);
        let output = charged(&gateway) - 100;
        assert!(
            (3..=3 * MAX_EVENTS_ON_THE_WAY).contains(&output),
            "{output}"
        );
    }
}

/// Waits for a state, for some seconds.
async fn until(is_reached: impl Fn() -> bool) {
    let reaching = async {
        while !is_reached() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let reached = timeout(5 * CUT_OFF_AFTER, reaching).await;
    reached.expect("the state");
}

/// An endpoint that writes the events from the one asked for up to `last`, then resets the
/// connection or ends the stream.
async fn writing_endpoint(last: u64, is_lost: bool) -> TestEndpoint {
    TestEndpoint::start(move |_, req| {
        let after = req.header("x-after").and_then(|id| id.parse().ok());
        let events = after.map_or(1, |after: u64| after + 1)..=last;
        let mut bytes = stream_head(req);
        bytes.extend(events.flat_map(|id| chunk(&event(id))));
        if !is_lost {
            bytes.extend(stream_end());
        }
        // Time for the events to be read: a reset discards unread data.
        let reading = Step::Pause(CUT_OFF_AFTER / 4);
        let end = if is_lost { Step::Reset } else { Step::Hang };
        vec![Step::Send(bytes), reading, end]
    })
    .await
}

/// Guards against events that are lost or repeated when the endpoint of a stream that is read ahead
/// is lost: the next endpoint continues after the last event read, not after the last one that the
/// client has.
#[tokio::test]
async fn stream_that_is_read_ahead_is_resumed_after_the_last_event_read() {
    let lost = writing_endpoint(EVENTS / 2, true).await;
    let other = writing_endpoint(EVENTS, false).await;
    let (metrics, _) = Metrics::in_memory("gateway");
    let gateway = TestGateway::start_on(listen(SOCKET_BYTES), lost.addr, metrics);
    let mut away = listed("b", other.addr);
    // Tried second.
    away.zone = "local-b".into();
    let endpoints = [listed("a", lost.addr), away];
    gateway.gw.directory.apply_list(&endpoints);
    let mut client = connect_slowly(&gateway).await;
    let headers = "content-length: 0\r\n";
    client.send("/resumed/x", "slow", headers).await;
    sleep(CUT_OFF_AFTER).await;
    let resumed = other.received();
    let after = resumed.first().and_then(|req| req.header("x-after"));
    assert_eq!(after, Some(&*(EVENTS / 2).to_string()));
    let response = client.read_response().await;
    let expected: String = (1..=EVENTS).map(event).collect();
    assert!(response.complete && response.body == expected);
}

/// Guards against a stream that is read ahead being moved, or ended, in a silence after which its
/// endpoint goes on.
#[tokio::test]
async fn stream_that_is_read_ahead_goes_on_after_a_silence() {
    let silence = Duration::from_millis(1_400);
    let silent = TestEndpoint::start(move |_, req| {
        let events = |range: RangeInclusive<u64>| range.flat_map(|id| chunk(&event(id)));
        let mut begin = stream_head(req);
        begin.extend(events(1..=EVENTS / 2));
        let mut rest: Vec<_> = events(EVENTS / 2 + 1..=EVENTS).collect();
        rest.extend(stream_end());
        vec![Step::Send(begin), Step::Pause(silence), Step::Send(rest)]
    })
    .await;
    let other = writing_endpoint(EVENTS, false).await;
    let (metrics, registry) = Metrics::in_memory("gateway");
    let gateway = TestGateway::start_on(listen(SOCKET_BYTES), silent.addr, metrics);
    let mut away = listed("b", other.addr);
    away.zone = "local-b".into();
    let endpoints = [listed("a", silent.addr), away];
    gateway.gw.directory.apply_list(&endpoints);
    let mut client = connect_slowly(&gateway).await;
    let headers = "content-length: 0\r\n";
    client.send("/resumed/x", "slow", headers).await;
    sleep(CUT_OFF_AFTER / 2).await;
    let response = client.read_response().await;
    let expected: String = (1..=EVENTS).map(event).collect();
    assert!(response.complete && response.body == expected);
    assert!(registry.render().contains("streams_read_ahead 1"));
    assert_eq!((silent.received().len(), other.received().len()), (1, 0));
}

/// Guards against a task and a buffer for each stream: a client that keeps up needs none.
#[tokio::test]
async fn stream_of_a_client_that_keeps_up_is_not_read_ahead() {
    let endpoint = CuttingEndpoint::start(50, Duration::from_millis(5));
    let (gateway, rendered) = start_gateway(&endpoint).await;
    let mut client = send_request(&gateway).await;
    assert!(client.read_response().await.complete);
    assert!(!rendered().contains("streams_read_ahead 1"));
}
