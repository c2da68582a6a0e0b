//! A client that sees the bytes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for an answer in any test.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a client got on one connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Got {
    /// Status, 0 when the connection ended without one.
    pub status: u16,
    /// Head, as text.
    pub head: String,
    /// The body, out of its chunks.
    pub body: String,
    /// Whether the answer came to its end.
    pub whole: bool,
}

impl Got {
    /// When to come back, as the answer says.
    pub fn retry_after(&self) -> Option<Duration> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case("retry-after"))?;
        value.parse().ok().map(Duration::from_secs_f64)
    }
}

/// One client's connection.
pub struct Client {
    socket: TcpStream,
    buf: Vec<u8>,
}

impl Client {
    /// Connects.
    pub async fn connect(addr: SocketAddr) -> Self {
        Self::try_connect(addr).await.expect("a connection")
    }

    /// Connects to a process that may not be there.
    pub async fn try_connect(addr: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect(addr).await?;
        let buf = Vec::new();
        Ok(Self { socket, buf })
    }

    /// Sends a request with this body and waits for its answer.
    pub async fn ask_with(&mut self, path: &str, id: &str, body: &str) -> Got {
        let headers = format!("content-length: {}\r\n", body.len());
        self.send(path, id, &headers).await;
        self.socket.write_all(body.as_bytes()).await.expect("sent");
        self.answer().await
    }

    /// Sends a request with these headers beside its id.
    pub async fn send(&mut self, path: &str, id: &str, headers: &str) {
        let req = format!("POST {path} HTTP/1.1\r\nhost: shop\r\nx-id: {id}\r\n{headers}\r\n");
        self.socket.write_all(req.as_bytes()).await.expect("sent");
    }

    /// Sends a request and waits for its answer.
    pub async fn ask(&mut self, path: &str, id: &str, headers: &str) -> Got {
        let headers = format!("content-length: 0\r\n{headers}");
        self.send(path, id, &headers).await;
        self.answer().await
    }

    /// Waits for the next answer.
    pub async fn answer(&mut self) -> Got {
        let read = timeout(PATIENCE, self.read_answer()).await;
        read.expect("an answer within the patience")
    }

    /// Waits until something has come.
    pub async fn some(&mut self) -> String {
        let read = timeout(PATIENCE, self.socket.read_buf(&mut self.buf)).await;
        read.expect("within the patience").expect("bytes");
        String::from_utf8_lossy(&self.buf).into_owned()
    }

    async fn read_answer(&mut self) -> Got {
        loop {
            let (got, used) = parse(&self.buf);
            if got.whole {
                self.buf.drain(..used);
                return got;
            }
            match self.socket.read_buf(&mut self.buf).await {
                Ok(0) | Err(_) => return got,
                Ok(_) => {}
            }
        }
    }
}

/// What the bytes say so far, and how many of them a whole answer takes.
fn parse(buf: &[u8]) -> (Got, usize) {
    let mut got = Got {
        status: 0,
        head: String::new(),
        body: String::new(),
        whole: false,
    };
    let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") else {
        return (got, 0);
    };
    got.head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    got.status = got.head[9..12].parse().expect("a status");
    let mut at = end + 4;
    let mut lines = got.head.lines().filter_map(|line| line.split_once(": "));
    if let Some((_, length)) = lines.find(|(key, _)| *key == "content-length") {
        let length: usize = length.parse().expect("a length");
        let end = buf.len().min(at + length);
        got.body = String::from_utf8_lossy(&buf[at..end]).into_owned();
        got.whole = end == at + length;
        return (got, end);
    }
    while let Some(line) = buf[at..].windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&buf[at..at + line]).expect("a chunk's size");
        let size = usize::from_str_radix(size, 16).expect("a chunk's size");
        let from = at + line + 2;
        if buf.len() < from + size + 2 {
            break;
        }
        got.body += &String::from_utf8_lossy(&buf[from..from + size]);
        at = from + size + 2;
        if size == 0 {
            got.whole = true;
            break;
        }
    }
    (got, at)
}
