//! Listens with receive buffers of a known size, and serves listeners that need nothing else.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::service::Service;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::admission::{Admission, Admitted};
use crate::connection::{ConnectionOptions, serve_connection};
use crate::limits::ConnectionLimits;

/// Connections of clients that may wait to be accepted.
pub const CLIENT_BACKLOG: u32 = 1_024;
/// The same at other listeners: the kernel holds unread bytes of these, too.
pub const BACKLOG: u32 = 128;
/// Pause after a connection could not be accepted, before the next attempt.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Listens at an address. Its connections have receive buffers of this size, up to which the kernel holds
/// unread bytes for each of them; `backlog` of them may wait to be accepted.
pub fn bind(addr: SocketAddr, receive_buffer_bytes: u32, backlog: u32) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Connections take the size of the listener.
    socket.set_recv_buffer_size(receive_buffer_bytes)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

/// Serves all connections of a listener, for as long as it isn't dropped. `on_error` is called when a
/// connection can't be accepted.
pub async fn serve<Svc, B>(
    listener: TcpListener,
    admission: Admission,
    service: Svc,
    on_error: impl Fn(io::Error),
) where
    Svc: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>
        + Clone
        + Send
        + Unpin
        + 'static,
    Svc::Future: Send + 'static,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((socket, _)) => {
                // Without room the connection is closed unread.
                if let Some(admitted) = admission.admit(ConnectionLimits::default()) {
                    connections.spawn(serve_one(socket, admitted, service.clone()));
                }
            }
            Err(e) => {
                on_error(e);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_one<Svc, B>(socket: TcpStream, admitted: Admitted, service: Svc)
where
    Svc: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>
        + Send
        + Unpin
        + 'static,
    Svc::Future: Send + 'static,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Without TCP_NODELAY small responses wait for an acknowledgement. If setting it fails, they are only
    // slower.
    let _ = socket.set_nodelay(true);
    let options = ConnectionOptions::default();
    let state = admitted.state.clone();
    // The other side notices by itself that its connection has ended.
    let _ = serve_connection(socket, state, options, service, pending()).await;
}
