//! An endpoint that sends exactly the bytes a test specifies.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, LazyLock, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// A request as received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request line and headers, as text.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
    /// When it was complete.
    pub at: Instant,
}

impl ReceivedRequest {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// One action of an endpoint.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Waits.
    Pause(Duration),
    /// Closes the connection normally.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends like a crashed process: all connections are reset and nothing listens any more.
    Crash,
    /// Waits until the other side closes the connection, and counts that.
    Hang,
    /// Sends these bytes again and again until the other side closes the connection, and counts that.
    Repeat(Vec<u8>),
}

/// A loopback address that no other caller in this process gets.
///
/// Failure: an endpoint crashes, the kernel gives its port to an endpoint of another test, and this
/// receives what gateways of the first test still send to the crashed one.
pub fn own_ip() -> Ipv4Addr {
    /// 127.251.0.0, beyond the addresses of the tests that draw their own.
    const FIRST: u32 = 0x7ffb_0000;
    const COUNT: u32 = 0x4_0000;
    // Drawn, as other test processes run beside this one.
    static NEXT: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(rand::random()));
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % COUNT;
    Ipv4Addr::from(FIRST + number)
}

type Behaviour = dyn Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync;

/// A running endpoint.
#[derive(Clone)]
pub struct TestEndpoint {
    /// Where it listens.
    pub addr: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    abandoned: Arc<Mutex<usize>>,
    crashed: watch::Sender<bool>,
}

impl TestEndpoint {
    /// Starts one; `behave` receives the request's number, from 0, and the request.
    pub async fn start(
        behave: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self::start_at((own_ip(), 0).into(), behave).await
    }

    /// Starts one at this address, as a crashed endpoint that returns.
    pub async fn start_at(
        addr: SocketAddr,
        behave: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(addr).await.expect("a free address");
        let endpoint = Self {
            addr: listener.local_addr().expect("an address"),
            received: Arc::default(),
            abandoned: Arc::default(),
            crashed: watch::Sender::new(false),
        };
        let behave: Arc<Behaviour> = Arc::new(behave);
        let server = endpoint.clone();
        tokio::spawn(async move {
            let mut crashed = server.crashed.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((socket, _)) = accepted else { return };
                        tokio::spawn(server.clone().serve_until_crash(socket, behave.clone()));
                    }
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                }
            }
        });
        endpoint
    }

    /// Starts one that answers every request.
    pub async fn answering() -> Self {
        Self::start(|_, req| vec![Step::Send(response(req, "ran"))]).await
    }

    /// Starts one whose streams break off after their first event.
    pub async fn breaking_off() -> Self {
        Self::start(|_, req| {
            vec![
                Step::Send(stream_head(req)),
                Step::Send(chunk(&event(1))),
                // Time for the event to be read: a reset discards unread data.
                Step::Pause(Duration::from_millis(100)),
                Step::Reset,
            ]
        })
        .await
    }

    /// Ends it as [`Step::Crash`] does.
    pub fn crash(&self) {
        self.crashed.send_replace(true);
    }

    async fn serve_until_crash(self, mut socket: TcpStream, behave: Arc<Behaviour>) {
        let mut crashed = self.crashed.subscribe();
        let has_crashed = tokio::select! {
            () = self.serve(&mut socket, behave) => false,
            _ = crashed.wait_for(|crashed| *crashed) => true,
        };
        if has_crashed {
            socket.set_zero_linger().expect("a socket option");
        }
    }

    /// All requests so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("a list").clone()
    }

    /// When the requests so far arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        let received = self.received.lock().expect("a list");
        received.iter().map(|req| req.at).collect()
    }

    /// Number of requests that were abandoned by the other side during [`Step::Hang`] or
    /// [`Step::Repeat`].
    pub fn abandoned(&self) -> usize {
        *self.abandoned.lock().expect("a number")
    }

    async fn serve(&self, socket: &mut TcpStream, behave: Arc<Behaviour>) {
        let mut buf = Vec::new();
        while let Some(req) = read_request(socket, &mut buf).await {
            let number = {
                let mut received = self.received.lock().expect("a list");
                received.push(req.clone());
                received.len() - 1
            };
            for step in behave(number, &req) {
                match step {
                    Step::Send(bytes) => {
                        if socket.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                    Step::Pause(time) => sleep(time).await,
                    Step::Close => return,
                    Step::Reset => {
                        socket.set_zero_linger().expect("a socket option");
                        return;
                    }
                    Step::Crash => {
                        self.crashed.send_replace(true);
                        std::future::pending::<()>().await;
                    }
                    Step::Hang => {
                        let mut rest = [0; 64];
                        while matches!(socket.read(&mut rest).await, Ok(n) if n > 0) {}
                        *self.abandoned.lock().expect("a number") += 1;
                        return;
                    }
                    Step::Repeat(bytes) => {
                        while socket.write_all(&bytes).await.is_ok() {}
                        *self.abandoned.lock().expect("a number") += 1;
                        return;
                    }
                }
            }
        }
    }
}

async fn read_request(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut received = ReceivedRequest {
                head,
                body: Vec::new(),
                at: Instant::now(),
            };
            let length = received.header("content-length");
            let length: usize = length.and_then(|n| n.parse().ok()).unwrap_or(0);
            if buf.len() >= end + 4 + length {
                received.body = buf[end + 4..end + 4 + length].to_vec();
                buf.drain(..end + 4 + length);
                return Some(received);
            }
        }
        if socket.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}

/// A complete, signed response.
pub fn response(req: &ReceivedRequest, body: &str) -> Vec<u8> {
    response_with(req, "", body)
}

/// The same with additional header lines.
pub fn response_with(req: &ReceivedRequest, lines: &str, body: &str) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n{lines}content-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// A response that states that the request was not run.
pub fn not_run(req: &ReceivedRequest, status: &str) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

/// A refusal of a request that was not run, with additional header lines.
pub fn refusal_with(req: &ReceivedRequest, lines: &str) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    format!("HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-not-run: 1\r\n{lines}content-length: 0\r\n\r\n")
        .into_bytes()
}

/// The head of a chunked stream.
pub fn stream_head(req: &ReceivedRequest) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n")
        .into_bytes()
}

/// One chunk.
pub fn chunk(bytes: &str) -> Vec<u8> {
    format!("{:x}\r\n{bytes}\r\n", bytes.len()).into_bytes()
}

/// One event.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// The end of a chunked stream.
pub fn stream_end() -> Vec<u8> {
    b"0\r\n\r\n".to_vec()
}
