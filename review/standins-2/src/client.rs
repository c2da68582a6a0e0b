//! A client: its connections, and the requests on them.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{
    Headers, Request, Response, read_response, read_response_head, read_rest, write_request,
};

/// Clients allow a new connection this long to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Host of all routes.
pub const HOST: &str = "review.example";

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// `SOL_SOCKET` and `SO_RCVBUF` of Linux.
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of an attempt.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Builds a request with the headers that every client sends.
pub fn request(
    method: &str,
    target: &str,
    key: &str,
    deadline: Duration,
    more: Headers,
) -> Request {
    let mut headers = vec![
        ("Attempt-Id".to_owned(), new_id()),
        ("Deadline-Ms".to_owned(), deadline.as_millis().to_string()),
        ("Authorization".to_owned(), format!("Bearer {key}")),
    ];
    headers.extend(more);
    Request {
        method: method.into(),
        target: target.into(),
        headers,
        body: Vec::new(),
    }
}

/// The id of a request.
pub fn id_of(request: &Request) -> String {
    let id = request
        .headers
        .iter()
        .find(|(name, _)| name == "Attempt-Id");
    id.map(|(_, value)| value.clone()).unwrap_or_default()
}

/// A connection to a router.
pub struct Connection {
    socket: TcpStream,
    input: BufReader<TcpStream>,
}

impl Connection {
    /// Connects.
    pub fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
        socket.set_nodelay(true)?;
        let input = BufReader::new(socket.try_clone()?);
        Ok(Self { socket, input })
    }

    /// Limits what the kernel takes in before the client reads, as on a machine with little memory.
    pub fn limit_receive_buffer(&self, bytes: i32) {
        // SAFETY: the value is a valid integer of the stated length.
        unsafe {
            setsockopt(
                self.socket.as_raw_fd(),
                SOL_SOCKET,
                SO_RCVBUF,
                &raw const bytes,
                4,
            )
        };
    }

    /// Sends a request and reads the whole response.
    pub fn exchange(&mut self, request: &Request, within: Duration) -> std::io::Result<Response> {
        self.send(request, within)?;
        read_response(&mut self.input)
    }

    /// Sends a request.
    pub fn send(&mut self, request: &Request, within: Duration) -> std::io::Result<()> {
        self.socket.set_read_timeout(Some(within))?;
        write_request(&mut &self.socket, request, HOST)
    }

    /// Reads the head of the response, waits, and then reads its body. Returns the status and whether the
    /// whole body came.
    pub fn read_after_pause(&mut self, pause: Duration) -> std::io::Result<(u16, bool, usize)> {
        let mut head = read_response_head(&mut self.input)?;
        std::thread::sleep(pause);
        let is_whole = read_rest(&mut self.input, &mut head).is_ok();
        Ok((head.status, is_whole, head.body.len()))
    }
}

/// Sends a request on a new connection. Returns what came of the response, and whether it is whole.
pub fn send_and_keep(
    addr: SocketAddr,
    request: &Request,
    within: Duration,
) -> std::io::Result<(Response, bool)> {
    let mut connection = Connection::open(addr)?;
    connection.send(request, within)?;
    let mut response = read_response_head(&mut connection.input)?;
    let is_whole = read_rest(&mut connection.input, &mut response).is_ok();
    Ok((response, is_whole))
}

/// Number of complete events in a body.
pub fn count_events(body: &[u8]) -> u64 {
    String::from_utf8_lossy(body).matches("\n\n").count() as u64
}

/// Sends a request on a new connection.
pub fn send_once(
    addr: SocketAddr,
    request: &Request,
    within: Duration,
) -> std::io::Result<Response> {
    Connection::open(addr)?.exchange(request, within)
}
