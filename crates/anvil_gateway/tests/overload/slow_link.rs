//! A machine's link, as proxies in front of everything that the machine talks to.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

/// Bytes that cross the link at once.
const PACKET: usize = 1_460;

/// One direction of a link: packets cross it one after the other.
struct Direction {
    bytes_per_second: u32,
    free_at: Mutex<Instant>,
}

/// A link of the same speed each way.
#[derive(Clone)]
pub struct SlowLink {
    to_machine: Arc<Direction>,
    from_machine: Arc<Direction>,
}

/// Which side of the link connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opener {
    /// The machine connects to others.
    Machine,
    /// Others connect to the machine.
    Others,
}

impl Direction {
    fn new(bytes_per_second: u32) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_second,
            free_at: Mutex::new(Instant::now()),
        })
    }

    /// Waits until a packet has crossed.
    async fn cross(&self, bytes: usize) {
        let bytes = u32::try_from(bytes).expect("a packet's size");
        let time = Duration::from_secs(1) * bytes / self.bytes_per_second;
        let arrives_at = {
            let mut free_at = self.free_at.lock().expect("a time");
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(arrives_at).await;
    }
}

impl SlowLink {
    /// A link that is idle.
    pub fn new(bytes_per_second: u32) -> Self {
        Self {
            to_machine: Direction::new(bytes_per_second),
            from_machine: Direction::new(bytes_per_second),
        }
    }

    /// An address at which `target` is reached over the link.
    pub async fn reach(&self, target: SocketAddr, opener: Opener) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (out, back) = match opener {
            Opener::Machine => (self.from_machine.clone(), self.to_machine.clone()),
            Opener::Others => (self.to_machine.clone(), self.from_machine.clone()),
        };
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (out, back) = (out.clone(), back.clone());
                tokio::spawn(async move {
                    // If the target refuses the connection, this one is closed.
                    let Ok(target) = TcpStream::connect(target).await else {
                        return;
                    };
                    let (from_opener, to_opener) = socket.into_split();
                    let (from_target, to_target) = target.into_split();
                    tokio::join!(
                        forward(from_opener, to_target, out),
                        forward(from_target, to_opener, back)
                    );
                });
            }
        });
        addr
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Arc<Direction>) {
    let mut packet = [0; PACKET];
    while let Ok(bytes) = from.read(&mut packet).await {
        if bytes == 0 {
            break;
        }
        direction.cross(bytes).await;
        if to.write_all(&packet[..bytes]).await.is_err() {
            break;
        }
    }
    // Dropping `to` closes this direction.
}
