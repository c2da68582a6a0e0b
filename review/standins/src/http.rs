//! A minimal HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a request or a response.
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, without transfer coding.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    /// The first header with this name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

/// Reads one message. A body that breaks off is returned as far as it came.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let first_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_lowercase(), value.trim().to_string()));
        }
    }
    let mut message = Message {
        first_line,
        headers,
        body: Vec::new(),
        is_whole: true,
    };
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let read = if is_chunked {
        read_chunks(reader, &mut message.body)
    } else {
        read_exactly(reader, length.unwrap_or(0), &mut message.body)
    };
    message.is_whole = read.is_ok();
    Ok(message)
}

fn read_exactly(reader: &mut impl BufRead, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let start = body.len();
    body.resize(start + length, 0);
    reader.read_exact(&mut body[start..])
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let length = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if length > 0 {
            read_exactly(reader, length, body)?;
        }
        read_line(reader)?;
        if length == 0 {
            return Ok(());
        }
    }
}

/// A call on a connection of its own. The error says what went wrong.
pub fn call(
    addr: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let mut socket = TcpStream::connect_timeout(&addr, Duration::from_secs(1))
        .map_err(|e| format!("no connection: {e}"))?;
    call_on(&mut socket, head, body, timeout)
}

/// A call on this connection.
pub fn call_on(
    socket: &mut TcpStream,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let failed = |e: io::Error| format!("no answer: {e}");
    let _ = socket.set_nodelay(true);
    socket.set_read_timeout(Some(timeout)).map_err(failed)?;
    let request = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    socket.write_all(request.as_bytes()).map_err(failed)?;
    socket.write_all(body).map_err(failed)?;
    read_message(&mut BufReader::new(&mut *socket)).map_err(failed)
}

/// Whether the other side has closed the connection.
pub fn is_closed(socket: &TcpStream) -> bool {
    let mut byte = [0];
    if socket.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = socket.peek(&mut byte);
    let _ = socket.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Waits until a moment, or until the other side closes the connection. Returns whether it is open.
pub fn sleep_while_open(socket: &TcpStream, until: Instant) -> bool {
    loop {
        if is_closed(socket) {
            return false;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        std::thread::sleep(left.min(Duration::from_millis(5)));
    }
}

/// Reads the requests of one connection.
pub struct Requests {
    reader: BufReader<TcpStream>,
}

impl Requests {
    /// The requests on this connection.
    pub fn new(socket: &TcpStream) -> io::Result<Self> {
        Ok(Self {
            reader: BufReader::new(socket.try_clone()?),
        })
    }

    /// The next request; `None` once the connection has ended.
    pub fn next(&mut self) -> Option<Message> {
        read_message(&mut self.reader).ok().filter(|m| m.is_whole)
    }
}
