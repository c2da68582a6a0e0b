//! Endpoints in trouble that send bytes without end, in a head or in a body, until the gateway closes the
//! connection.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::{Instant, sleep, timeout};

use crate::client::{Client, ClientResponse};
use crate::endpoint::{ReceivedRequest, Step, TestEndpoint, chunk, response, stream_head};
use crate::gateway::TestGateway;

/// Time limit of the routes in the tests, and a moment more.
const TIMEOUT: Duration = Duration::from_millis(3_500);
/// Longest time in which a sound request is answered beside the others.
const SOUND_WITHIN: Duration = Duration::from_millis(500);
/// Time after the end of a request in which its connection is closed.
const CLOSED_WITHIN: Duration = Duration::from_millis(500);
/// Requests to the endpoint in trouble that are open together.
const OPEN: usize = 12;

/// What an endpoint sends without end, and what before that.
type Endless = fn(&ReceivedRequest) -> [Vec<u8>; 2];

fn head_of(req: &ReceivedRequest, framing: &str) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n{framing}\r\n").into_bytes()
}

const BEGINNINGS: [(&str, Endless); 9] = [
    ("no head", |_| [Vec::new(), vec![b'x'; 4_096]]),
    ("a line of a head", |_| {
        [b"HTTP/1.1 200 OK\r\nx-a: ".to_vec(), vec![b'x'; 4_096]]
    }),
    ("lines of a head", |_| {
        [b"HTTP/1.1 200 OK\r\n".to_vec(), b"x-a: b\r\n".repeat(500)]
    }),
    ("interim heads", |_| {
        [Vec::new(), b"HTTP/1.1 100 Continue\r\n\r\n".repeat(200)]
    }),
    ("a body without length", |req| {
        [head_of(req, ""), vec![b'x'; 4_096]]
    }),
    ("chunks of one byte", |req| {
        let head = head_of(req, "transfer-encoding: chunked\r\n");
        [head, b"1\r\nx\r\n".repeat(1_000)]
    }),
    ("an extension of a chunk", |req| {
        let head = head_of(req, "transfer-encoding: chunked\r\n");
        [[head, b"1;".to_vec()].concat(), vec![b'x'; 4_096]]
    }),
    ("trailers", |req| {
        let head = head_of(req, "transfer-encoding: chunked\r\n");
        [
            [head, b"0\r\n".to_vec()].concat(),
            b"x-a: b\r\n".repeat(500),
        ]
    }),
    ("a part of an event", |req| {
        [stream_head(req), chunk(&"x".repeat(4_096))]
    }),
];

async fn endless(sent: Endless) -> TestEndpoint {
    TestEndpoint::start(move |_, req| {
        let [before, repeated] = sent(req);
        vec![Step::Send(before), Step::Repeat(repeated)]
    })
    .await
}

async fn request(gateway: &TestGateway, path: &str) -> ClientResponse {
    let mut client = Client::connect(gateway.addr).await;
    client.request(path, "id", "").await
}

/// Guards against a request that gets no end, or an answer that looks whole, and against a gateway that
/// reads on for good.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_end_with_the_request() {
    let played = BEGINNINGS.map(|(case, sent)| async move {
        for path in ["/once/x", "/stream/x"] {
            let endpoint = endless(sent).await;
            let gateway = TestGateway::start(&[("only", &endpoint)]).await;
            let received = timeout(TIMEOUT, request(&gateway, path)).await;
            let received = received.unwrap_or_else(|_| panic!("{case}, {path}: no end"));
            let is_whole = received.status == 200 && received.complete;
            assert!(!is_whole, "{case}, {path}: {}", received.head);
            assert_ne!(received.status, 503, "{case}, {path}: it may have run");
            sleep(CLOSED_WITHIN).await;
            assert_eq!(endpoint.abandoned(), 1, "{case}, {path}: still read");
        }
    });
    join_all(played).await;
}

/// Guards against a gateway that serves nobody else while endpoints send it bytes without end.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_are_served_beside_bytes_without_end() {
    for (case, sent) in BEGINNINGS {
        let trouble = endless(sent).await;
        let gateway = TestGateway::start(&[("only", &trouble)]).await;
        let sound = TestEndpoint::start(|_, req| vec![Step::Send(response(req, "ran"))]).await;
        let other = TestGateway::start(&[("sound", &sound)]).await;
        let open = join_all((0..OPEN).map(|_| request(&gateway, "/once/x")));
        let beside = async {
            for _ in 0..5 {
                let started = Instant::now();
                assert_eq!(request(&other, "/once/x").await.status, 200, "{case}");
                assert!(
                    started.elapsed() < SOUND_WITHIN,
                    "{case}: {:?}",
                    started.elapsed()
                );
            }
        };
        let _ = timeout(TIMEOUT, async { tokio::join!(open, beside) }).await;
    }
}
