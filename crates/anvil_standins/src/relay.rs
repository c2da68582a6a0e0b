//! A TCP relay that can delay, hold, discard or cut traffic while it runs.
//!
//! Tests use it to simulate network partitions: a process is configured with the relay's address
//! in place of its peer's.

mod pump;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

use crate::error::{Error, ListenSnafu};
use pump::pump;

/// One direction of the link, or both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    ToTarget,
    /// From the target to the connecting side.
    FromTarget,
    /// Both directions.
    Both,
}

/// What happens to bytes in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// They are forwarded.
    #[default]
    Forward,
    /// They are held until the link heals, as in a short partition that TCP survives.
    Hold,
    /// They are discarded without a reset, as in a long partition. A connection that may have
    /// lost bytes is closed when the link heals, because its stream has a gap.
    Discard,
}

/// Current state of the link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Link {
    pub to_target: Flow,
    pub from_target: Flow,
    pub to_target_delay: Duration,
    pub from_target_delay: Duration,
    pub cut: bool,
}

/// Configuration of a relay.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// The target that connections are forwarded to.
    pub to: SocketAddr,
}

impl Config {
    /// A relay to this target, on a free port of loopback.
    pub fn to(addr: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            to: addr,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    bytes: AtomicU64,
    connections: AtomicU64,
}

impl Counters {
    pub(crate) fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A running relay. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Handle {
    addr: SocketAddr,
    link: watch::Sender<Link>,
    counters: Arc<Counters>,
    task: AbortHandle,
}

/// Starts a relay.
pub async fn start(cfg: Config) -> Result<Handle, Error> {
    let addr = cfg.listen;
    let listener = TcpListener::bind(addr).await;
    let listener = listener.context(ListenSnafu { addr })?;
    let addr = listener.local_addr().context(ListenSnafu { addr })?;
    let link = watch::Sender::new(Link::default());
    let counters = Arc::new(Counters::default());
    let task = tokio::spawn(accept(listener, cfg.to, link.clone(), counters.clone()));
    Ok(Handle {
        addr,
        link,
        counters,
        task: task.abort_handle(),
    })
}

impl Handle {
    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes forwarded, in both directions.
    pub fn bytes(&self) -> u64 {
        self.counters.bytes.load(Ordering::Relaxed)
    }

    /// Connections accepted.
    pub fn connections(&self) -> u64 {
        self.counters.connections.load(Ordering::Relaxed)
    }

    /// Sets what happens to bytes in this direction.
    pub fn set_flow(&self, direction: Direction, flow: Flow) {
        self.link.send_modify(|link| {
            if direction != Direction::FromTarget {
                link.to_target = flow;
            }
            if direction != Direction::ToTarget {
                link.from_target = flow;
            }
        });
    }

    /// Sets the delay of bytes in this direction.
    pub fn set_delay(&self, direction: Direction, delay: Duration) {
        self.link.send_modify(|link| {
            if direction != Direction::FromTarget {
                link.to_target_delay = delay;
            }
            if direction != Direction::ToTarget {
                link.from_target_delay = delay;
            }
        });
    }

    /// Closes all connections, and new ones as soon as they are accepted, until the link heals.
    pub fn cut(&self) {
        self.link.send_modify(|link| link.cut = true);
    }

    /// Forwards bytes again in both directions; delays stay.
    pub fn heal(&self) {
        self.link.send_modify(|link| {
            link.to_target = Flow::Forward;
            link.from_target = Flow::Forward;
            link.cut = false;
        });
    }

    /// Closes the listener and all connections, and waits until the address is free.
    pub async fn stop(self) {
        self.task.abort();
        while !self.task.is_finished() {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    link: watch::Sender<Link>,
    counters: Arc<Counters>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    counters.connections.fetch_add(1, Ordering::Relaxed);
                    connections.spawn(forward_connection(socket, to, link.subscribe(), counters.clone()));
                }
                // Out of file descriptors: wait for some connections to end.
                Err(_) => tokio::task::yield_now().await,
            },
        }
    }
}

/// Forwards one connection in both directions, until either side closes it, the link is cut, or
/// it heals after bytes may have been discarded.
async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    link: watch::Receiver<Link>,
    counters: Arc<Counters>,
) {
    if link.borrow().cut {
        return;
    }
    let Ok(target) = TcpStream::connect(to).await else {
        return;
    };
    // Without TCP_NODELAY small chunks wait for an acknowledgement. An error only costs latency.
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let to_target = |link: &Link| (link.to_target, link.to_target_delay);
    let from_target = |link: &Link| (link.from_target, link.from_target_delay);
    let pumps = async {
        tokio::join!(
            pump(
                client_read,
                target_write,
                link.clone(),
                to_target,
                &counters
            ),
            pump(
                target_read,
                client_write,
                link.clone(),
                from_target,
                &counters
            ),
        )
    };
    let (mut cut, mut healed) = (link.clone(), link.clone());
    tokio::select! {
        _ = pumps => {}
        _ = cut.wait_for(|link| link.cut) => {}
        () = healed_after_loss(&mut healed) => {}
    }
}

/// Returns when the link heals after bytes may have been discarded.
async fn healed_after_loss(link: &mut watch::Receiver<Link>) {
    let discards =
        |link: &Link| link.to_target == Flow::Discard || link.from_target == Flow::Discard;
    if link.wait_for(discards).await.is_ok() {
        // An error means that the relay is gone, which ends the connection too.
        let _ = link.wait_for(|link| !discards(link)).await;
    }
}
