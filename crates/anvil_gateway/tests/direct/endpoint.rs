//! An endpoint that does byte for byte what a test tells it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// A request as it came.
#[derive(Debug, Clone)]
pub struct Received {
    /// First line and headers, as text.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Received {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// One thing that an endpoint does.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Waits.
    Pause(Duration),
    /// Closes the connection as if all were well.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends as a process does: all connections are reset, and nobody listens any more.
    Crash,
    /// Does nothing until the other side closes, and notes when it did.
    Hang,
}

type Behaviour = dyn Fn(usize, &Received) -> Vec<Step> + Send + Sync;

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub addr: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    left: Arc<Mutex<usize>>,
    crashed: watch::Sender<bool>,
}

impl Endpoint {
    /// Starts one; `behave` is told the request's number, from 0, and the request.
    pub async fn start(
        behave: impl Fn(usize, &Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let endpoint = Self {
            addr: listener.local_addr().expect("an address"),
            received: Arc::default(),
            left: Arc::default(),
            crashed: watch::Sender::new(false),
        };
        let behave: Arc<Behaviour> = Arc::new(behave);
        let own = endpoint.clone();
        tokio::spawn(async move {
            let mut crashed = own.crashed.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((socket, _)) = accepted else { return };
                        tokio::spawn(own.clone().serve_until_crash(socket, behave.clone()));
                    }
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                }
            }
        });
        endpoint
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
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().expect("a list").clone()
    }

    /// How many requests were given up by the other side while the endpoint hung.
    pub fn left(&self) -> usize {
        *self.left.lock().expect("a number")
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
                        *self.left.lock().expect("a number") += 1;
                        return;
                    }
                }
            }
        }
    }
}

async fn read_request(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Received> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut received = Received {
                head,
                body: Vec::new(),
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

/// The endpoint's whole answer to a request, with its signature.
pub fn answer(req: &Received, body: &str) -> Vec<u8> {
    answer_with(req, "", body)
}

/// The same with further lines in its head.
pub fn answer_with(req: &Received, lines: &str, body: &str) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n{lines}content-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// An answer that says that the request was not run.
pub fn not_run(req: &Received, status: &str) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

/// The head of a stream in chunks.
pub fn stream_head(req: &Received) -> Vec<u8> {
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

/// The end of a stream in chunks.
pub fn stream_end() -> Vec<u8> {
    b"0\r\n\r\n".to_vec()
}
