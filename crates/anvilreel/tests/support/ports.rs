//! Loopback addresses for processes that are stopped and restarted in a test.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the range. The range lies below the ephemeral ports of the operating system: an
/// outgoing connection could otherwise take the port of a process while it is down.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 20_000;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a free address on loopback. Each call returns another one, and the starting point
/// depends on the process id, so that concurrent test processes use different ports.
pub fn free_addr() -> std::io::Result<SocketAddr> {
    let start = u16::try_from(std::process::id() * 97 % u32::from(PORT_COUNT)).unwrap_or(0);
    loop {
        let offset = (u32::from(start) + u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)))
            % u32::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or(0);
        match TcpListener::bind(("127.0.0.1", port)) {
            Ok(listener) => return listener.local_addr(),
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
}
