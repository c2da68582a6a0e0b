//! An HTTP server on loopback that can be stopped abruptly, like a killed process.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_http::admission::Admitted;
use anvil_http::connection::ConnectionOptions;
use anvil_http::limits::MEDIUM_RECEIVE_BUFFER_BYTES;
use anvil_http::{Admission, ConnectionLimits, serve_connection};
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use viz::{Responder, Router, Tree};

use crate::error::{Error, ListenSnafu};

/// Limits of a connection: callers may keep one open for as long as a test lasts.
const LIMITS: ConnectionLimits = ConnectionLimits {
    head_bytes: 64 << 10,
    head_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_hours(1),
    receive_buffer_bytes: MEDIUM_RECEIVE_BUFFER_BYTES,
};

/// A running server. Dropping it closes the listener and every connection at once.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    task: AbortHandle,
}

impl Server {
    /// Listens and serves; port 0 takes a free port.
    pub async fn start(listen: SocketAddr, router: Router) -> Result<Self, Error> {
        let listener = TcpListener::bind(listen).await;
        let listener = listener.context(ListenSnafu { addr: listen })?;
        let addr = listener.local_addr();
        let addr = addr.context(ListenSnafu { addr: listen })?;
        let task = tokio::spawn(accept(listener, Arc::new(router.into())));
        Ok(Self {
            addr,
            task: task.abort_handle(),
        })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops abruptly and waits until the address is free again.
    pub async fn stop(self) {
        self.task.abort();
        while !self.task.is_finished() {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, tree: Arc<Tree>) {
    let admission = Admission::within_memory(None);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, peer)) => {
                    let admitted = admission.register(LIMITS);
                    connections.spawn(serve(socket, peer, admitted, tree.clone()));
                }
                // Out of file descriptors: wait for some connections to end.
                Err(_) => tokio::task::yield_now().await,
            },
        }
    }
}

async fn serve(socket: TcpStream, peer: SocketAddr, admitted: Admitted, tree: Arc<Tree>) {
    // Without TCP_NODELAY small chunks wait for an acknowledgement. An error only costs latency.
    let _ = socket.set_nodelay(true);
    let responder = Responder::new(tree, Some(Arc::new(peer)));
    let options = ConnectionOptions {
        http2: true,
        ..ConnectionOptions::default()
    };
    let state = admitted.state.clone();
    // A broken connection needs no handling here: the peer sees it too.
    let _ = serve_connection(socket, state, options, responder, pending()).await;
}
