//! Connections over pipes in memory: what is served, what is refused, and who makes room.

use std::convert::Infallible;
use std::future::pending;
use std::time::Duration;

use anvil_http::admission::Admitted;
use anvil_http::connection::ConnectionOptions;
use anvil_http::limits::RECEIVE_BUFFER_BYTES;
use anvil_http::{Admission, ConnectionLimits, serve_connection};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, sleep};

const LIMITS: ConnectionLimits = ConnectionLimits {
    head_bytes: 16 << 10,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
    receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
};
/// Bytes that a connection holds on their way.
const PIPE_BYTES: usize = 4 << 10;
/// Memory for a few connections.
const FEW_CONNECTIONS: u64 = 200 << 10;

/// The client's side of a connection whose requests are answered with this body, after the seconds that their
/// header `x-after` says; `None`: they are not answered.
fn connect(admitted: Admitted, body: impl Into<Option<Vec<u8>>>) -> DuplexStream {
    let (client, server) = duplex(PIPE_BYTES);
    let body = body.into().map(Bytes::from);
    tokio::spawn(async move {
        let service = service_fn(|req: Request<Incoming>| {
            let body = body.clone();
            async move {
                let after = req.headers().get("x-after");
                let after = after.and_then(|after| after.to_str().ok()?.parse().ok());
                sleep(Duration::from_secs(after.unwrap_or(0))).await;
                match body {
                    Some(body) => Ok::<_, Infallible>(Response::new(Full::new(body))),
                    None => pending().await,
                }
            }
        });
        let options = ConnectionOptions::default();
        let state = admitted.state.clone();
        // The tests look at what the client receives.
        let _ = serve_connection(server, state, options, service, pending()).await;
        drop(admitted);
    });
    client
}

fn connect_alone() -> DuplexStream {
    connect(Admission::new(1).register(LIMITS), b"ok".to_vec())
}

/// A request whose head has this length.
fn head_of(length: usize) -> Vec<u8> {
    let beginning = "GET / HTTP/1.1\r\nx-long: ";
    let value = "x".repeat(length - beginning.len() - 4);
    format!("{beginning}{value}\r\n\r\n").into_bytes()
}

/// Sends these bytes and reads until the connection ends or the response is complete.
async fn answer(client: &mut DuplexStream, sent: &[u8]) -> String {
    let (mut reading, mut writing) = tokio::io::split(client);
    let receive = async {
        let mut received = Vec::new();
        while !received.ends_with(b"ok")
            && reading.read_buf(&mut received).await.is_ok_and(|n| n > 0)
        {}
        String::from_utf8_lossy(&received).into_owned()
    };
    let (_, received) = tokio::join!(writing.write_all(sent), receive);
    received
}

/// Guards against a limit of heads that is off by a byte, and against one that counts a later head together
/// with earlier ones.
#[tokio::test]
async fn head_is_served_up_to_its_limit() {
    let mut client = connect_alone();
    for _ in 0..3 {
        let served = answer(&mut client, &head_of(LIMITS.head_bytes)).await;
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    }
    let refused = answer(&mut client, &head_of(LIMITS.head_bytes + 1)).await;
    assert!(refused.starts_with("HTTP/1.1 431"), "{refused}");
    assert!(refused.contains("not_run"), "{refused}");
}

/// Guards against a head of many short headers that is refused, or that costs the connection its other requests.
#[tokio::test]
async fn head_may_have_as_many_headers_as_fit() {
    let mut client = connect_alone();
    for count in [10, 100, 101, 3_000, 10, 2_000] {
        let head = format!("\r\nGET / HTTP/1.1\r\n{}\r\n", "a:\r\n".repeat(count));
        let served = answer(&mut client, head.as_bytes()).await;
        assert!(served.starts_with("HTTP/1.1 200"), "{count}: {served}");
    }
}

/// Guards against a head that is waited for as long as an idle connection.
#[tokio::test(start_paused = true)]
async fn head_has_a_time_limit_of_its_own() {
    let mut client = connect_alone();
    sleep(Duration::from_secs(10)).await;
    let started = Instant::now();
    let refused = answer(&mut client, b"GET / HTTP/1.1\r\n").await;
    assert!(refused.starts_with("HTTP/1.1 408"), "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
    assert_eq!(started.elapsed(), LIMITS.head_timeout);
}

/// Guards against a connection without a request that is kept for good, or that is told of an error.
#[tokio::test(start_paused = true)]
async fn idle_connection_ends_without_a_word() {
    let mut client = connect_alone();
    let served = answer(&mut client, &head_of(100)).await;
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    let started = Instant::now();
    assert_eq!(answer(&mut client, b"").await, "");
    assert_eq!(started.elapsed(), LIMITS.idle_timeout);
}

/// Guards against a response that is held for a client that reads nothing.
#[tokio::test(start_paused = true)]
async fn client_that_reads_nothing_is_not_waited_for() {
    let admission = Admission::within_memory(Some(FEW_CONNECTIONS));
    let body = vec![b'x'; 1 << 20];
    let mut client = connect(admission.register(LIMITS), body);
    client.write_all(&head_of(100)).await.expect("sent");
    sleep(2 * LIMITS.idle_timeout).await;
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.expect("an end");
    assert!(received.len() <= PIPE_BYTES, "{}", received.len());
}

/// Guards against a client that reads slowly and loses its response.
#[tokio::test(start_paused = true)]
async fn client_that_reads_slowly_gets_its_response() {
    let body = vec![b'x'; 20 * PIPE_BYTES];
    let mut client = connect(Admission::new(1).register(LIMITS), body.clone());
    client.write_all(&head_of(100)).await.expect("sent");
    let mut received = Vec::new();
    while received.len() < body.len() {
        sleep(LIMITS.idle_timeout / 2).await;
        assert!(client.read_buf(&mut received).await.expect("more") > 0);
    }
}

/// Guards against a response that comes late, and is then given up because its client doesn't read at once.
#[tokio::test(start_paused = true)]
async fn client_that_reads_a_late_response_slowly_gets_it() {
    let body = vec![b'x'; 4 * PIPE_BYTES];
    let mut client = connect(Admission::new(1).register(LIMITS), body.clone());
    let late = 2 * LIMITS.idle_timeout;
    let head = format!("GET / HTTP/1.1\r\nx-after: {}\r\n\r\n", late.as_secs());
    client.write_all(head.as_bytes()).await.expect("sent");
    sleep(late).await;
    let mut received = Vec::new();
    while received.len() < body.len() {
        sleep(LIMITS.idle_timeout / 2).await;
        assert!(client.read_buf(&mut received).await.expect("more") > 0);
    }
}

/// Guards against connections that take all the memory, and against memory that isn't returned.
#[tokio::test(start_paused = true)]
async fn connections_and_requests_stay_within_their_memory() {
    let admission = Admission::within_memory(Some(FEW_CONNECTIONS));
    let mut clients = Vec::new();
    while admission.has_room(&LIMITS) {
        clients.push(connect(admission.register(LIMITS), None));
    }
    assert!((2..10).contains(&clients.len()), "{}", clients.len());
    assert!(!admission.is_overcommitted());
    for client in &mut clients {
        client.write_all(&head_of(100)).await.expect("sent");
    }
    sleep(Duration::from_secs(1)).await;
    assert!(admission.is_overcommitted());
    drop(clients);
    sleep(Duration::from_secs(2)).await;
    assert!(admission.has_room(&LIMITS));
}

/// Guards against ordinary users that find no room while connections that have stalled take all of it.
#[tokio::test(start_paused = true)]
async fn connection_without_progress_makes_room() {
    let admission = Admission::new(2);
    let connect_next = || Some(connect(admission.admit(LIMITS)?, b"ok".to_vec()));
    let mut kept = connect_next().expect("room");
    assert!(answer(&mut kept, &head_of(100)).await.contains("200"));
    sleep(Duration::from_secs(1)).await;
    let mut stalled = connect_next().expect("room");
    let stalling = async { answer(&mut stalled, b"GET / HTTP/1.1\r\n").await };
    let newcomer = async {
        sleep(Duration::from_secs(1)).await;
        let mut newcomer = connect_next().expect("room");
        answer(&mut newcomer, &head_of(100)).await
    };
    let (refused, served) = tokio::join!(stalling, newcomer);
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(served.contains("200"), "{served}");
    let served = answer(&mut kept, &head_of(100)).await;
    assert!(served.contains("200"), "the idle one was ended: {served}");
}
