//! A client that sees the raw bytes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for a response in any test.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a client received on one connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClientResponse {
    /// Status; 0 if the connection ended without one.
    pub status: u16,
    /// Head, as text.
    pub head: String,
    /// The decoded body.
    pub body: String,
    /// Whether the response was complete.
    pub complete: bool,
}

impl ClientResponse {
    /// The retry-after time of the response.
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

    /// Connects to a process that may not be running.
    pub async fn try_connect(addr: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect(addr).await?;
        let buf = Vec::new();
        Ok(Self { socket, buf })
    }

    /// Uses a socket that is connected already.
    pub fn on(socket: TcpStream) -> Self {
        let buf = Vec::new();
        Self { socket, buf }
    }

    /// Sends a request with this body and waits for the response.
    pub async fn request_with_body(&mut self, path: &str, id: &str, body: &str) -> ClientResponse {
        let response = self.try_request_with_body(path, id, body).await;
        response.expect("sent")
    }

    /// The same; an error if the gateway has closed the connection.
    pub async fn try_request_with_body(
        &mut self,
        path: &str,
        id: &str,
        body: &str,
    ) -> std::io::Result<ClientResponse> {
        let length = body.len();
        let req = format!(
            "POST {path} HTTP/1.1\r\nhost: shop\r\nx-id: {id}\r\ncontent-length: {length}\r\n\r\n"
        );
        self.socket.write_all(req.as_bytes()).await?;
        self.socket.write_all(body.as_bytes()).await?;
        Ok(self.read_response().await)
    }

    /// Sends a request with these headers in addition to its id.
    pub async fn send(&mut self, path: &str, id: &str, headers: &str) {
        let req = format!("POST {path} HTTP/1.1\r\nhost: shop\r\nx-id: {id}\r\n{headers}\r\n");
        self.socket.write_all(req.as_bytes()).await.expect("sent");
    }

    /// Sends these bytes.
    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).await.expect("sent");
    }

    /// Sends a request and waits for the response.
    pub async fn request(&mut self, path: &str, id: &str, headers: &str) -> ClientResponse {
        let headers = format!("content-length: 0\r\n{headers}");
        self.send(path, id, &headers).await;
        self.read_response().await
    }

    /// Waits for the next response.
    pub async fn read_response(&mut self) -> ClientResponse {
        let read = timeout(RESPONSE_TIMEOUT, self.read_until_complete()).await;
        read.expect("a response within the timeout")
    }

    /// Waits until more bytes arrive; returns everything that is unread.
    pub async fn read_some(&mut self) -> String {
        let read = timeout(RESPONSE_TIMEOUT, self.socket.read_buf(&mut self.buf)).await;
        read.expect("data within the timeout").expect("bytes");
        String::from_utf8_lossy(&self.buf).into_owned()
    }

    async fn read_until_complete(&mut self) -> ClientResponse {
        loop {
            let (response, response_bytes) = parse(&self.buf);
            if response.complete {
                self.buf.drain(..response_bytes);
                return response;
            }
            match self.socket.read_buf(&mut self.buf).await {
                Ok(0) | Err(_) => return response,
                Ok(_) => {}
            }
        }
    }
}

/// The response as far as the bytes contain it, and the number of bytes of a complete one.
fn parse(buf: &[u8]) -> (ClientResponse, usize) {
    let mut response = ClientResponse {
        status: 0,
        head: String::new(),
        body: String::new(),
        complete: false,
    };
    let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") else {
        return (response, 0);
    };
    response.head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    response.status = response.head[9..12].parse().expect("a status");
    let mut at = end + 4;
    let mut lines = response
        .head
        .lines()
        .filter_map(|line| line.split_once(": "));
    if let Some((_, length)) = lines.find(|(key, _)| *key == "content-length") {
        let length: usize = length.parse().expect("a length");
        let end = buf.len().min(at + length);
        response.body = String::from_utf8_lossy(&buf[at..end]).into_owned();
        response.complete = end == at + length;
        return (response, end);
    }
    while let Some(line) = buf[at..].windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&buf[at..at + line]).expect("a chunk's size");
        let size = usize::from_str_radix(size, 16).expect("a chunk's size");
        let from = at + line + 2;
        if buf.len() < from + size + 2 {
            break;
        }
        response.body += &String::from_utf8_lossy(&buf[from..from + size]);
        at = from + size + 2;
        if size == 0 {
            response.complete = true;
            break;
        }
    }
    (response, at)
}
