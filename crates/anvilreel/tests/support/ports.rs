//! Addresses for processes that stop and come back.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First of the ports that are handed out. All lie below those that the operating system gives to
/// outgoing connections: one of these would take the address of a process while it is down.
const FIRST: u16 = 12_000;
/// How many there are.
const COUNT: u16 = 20_000;

static TAKEN: AtomicU16 = AtomicU16::new(0);

/// An address at which nobody listens. Each call gives another one; several test processes begin at
/// different places.
pub fn free_addr() -> std::io::Result<SocketAddr> {
    let begin = u16::try_from(std::process::id() * 97 % u32::from(COUNT)).unwrap_or(0);
    loop {
        let at = (u32::from(begin) + u32::from(TAKEN.fetch_add(1, Ordering::Relaxed)))
            % u32::from(COUNT);
        let port = FIRST + u16::try_from(at).unwrap_or(0);
        match TcpListener::bind(("127.0.0.1", port)) {
            Ok(listener) => return listener.local_addr(),
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
}
