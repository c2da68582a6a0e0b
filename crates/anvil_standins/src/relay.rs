//! A TCP link that can be delayed, cut, held or silenced while it runs.
//!
//! The small fake at the interface for tests of partitions: a process is given the relay's
//! address in place of its peer's.

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
pub enum Way {
    /// From whoever connected.
    Out,
    /// To whoever connected.
    Back,
    /// Both directions.
    Both,
}

/// What happens to bytes in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// They go on.
    #[default]
    Pass,
    /// They wait until the link heals, as in a short partition that TCP outlives.
    Hold,
    /// They are swallowed without a reset, as in a long partition. A connection that lost bytes
    /// is closed when the link heals, for its stream has a hole.
    Swallow,
}

/// How the link is now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Link {
    pub out: Flow,
    pub back: Flow,
    pub out_delay: Duration,
    pub back_delay: Duration,
    pub cut: bool,
}

/// Which ends a relay joins.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where connections go on to.
    pub to: SocketAddr,
}

impl Config {
    /// A relay on a free port of loopback.
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

/// A running link. Dropping it closes everything.
#[derive(Debug)]
pub struct Handle {
    addr: SocketAddr,
    link: watch::Sender<Link>,
    counters: Arc<Counters>,
    task: AbortHandle,
}

/// Starts a link.
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
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes passed on, both directions together.
    pub fn bytes(&self) -> u64 {
        self.counters.bytes.load(Ordering::Relaxed)
    }

    /// Connections taken.
    pub fn connections(&self) -> u64 {
        self.counters.connections.load(Ordering::Relaxed)
    }

    /// What happens to bytes in this direction from now on.
    pub fn set_flow(&self, way: Way, flow: Flow) {
        self.link.send_modify(|link| {
            if way != Way::Back {
                link.out = flow;
            }
            if way != Way::Out {
                link.back = flow;
            }
        });
    }

    /// How long bytes take in this direction from now on.
    pub fn set_delay(&self, way: Way, delay: Duration) {
        self.link.send_modify(|link| {
            if way != Way::Back {
                link.out_delay = delay;
            }
            if way != Way::Out {
                link.back_delay = delay;
            }
        });
    }

    /// Closes every connection and every new one at once, until the link heals.
    pub fn cut(&self) {
        self.link.send_modify(|link| link.cut = true);
    }

    /// Bytes pass again; delays stay.
    pub fn heal(&self) {
        self.link.send_modify(|link| {
            link.out = Flow::Pass;
            link.back = Flow::Pass;
            link.cut = false;
        });
    }

    /// Closes everything.
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
                    connections.spawn(join(socket, to, link.subscribe(), counters.clone()));
                }
                // Out of file descriptors: let some connections end first.
                Err(_) => tokio::task::yield_now().await,
            },
        }
    }
}

/// Joins one connection to the other end until either closes it or the link is cut.
async fn join(
    near: TcpStream,
    to: SocketAddr,
    link: watch::Receiver<Link>,
    counters: Arc<Counters>,
) {
    if link.borrow().cut {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // Without it small pieces wait for an acknowledgement; with a failure they are only slower.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let out = |link: &Link| (link.out, link.out_delay);
    let back = |link: &Link| (link.back, link.back_delay);
    let both = async {
        tokio::join!(
            pump(near_in, far_out, link.clone(), out, &counters),
            pump(far_in, near_out, link.clone(), back, &counters),
        )
    };
    let (mut cut, mut healed) = (link.clone(), link.clone());
    tokio::select! {
        _ = both => {}
        _ = cut.wait_for(|link| link.cut) => {}
        () = holes(&mut healed) => {}
    }
}

/// Returns when the link heals after bytes may have been swallowed.
async fn holes(link: &mut watch::Receiver<Link>) {
    let swallows = |link: &Link| link.out == Flow::Swallow || link.back == Flow::Swallow;
    if link.wait_for(swallows).await.is_ok() {
        // Either it healed or the relay is gone.
        let _ = link.wait_for(|link| !swallows(link)).await;
    }
}
