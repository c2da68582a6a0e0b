//! Accepts callers' connections and lets them finish on a planned stop.
//!
//! viz routes the requests. Its own server is not used: it cuts connections ten seconds after the
//! stop, whereas a planned stop must not cut any request short.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;
use viz::{Responder, Tree};

/// Buffer for one connection, in bytes and for each direction; bounds the memory of a slow reader.
const CONNECTION_BUFFER: usize = 16 << 10;
/// Longest time a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed accept, for instance when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until `close` is notified and all requests have ended.
///
/// The connections' tasks are owned by this one, so that aborting it closes the connections as the
/// death of a process would. Otherwise a router killed in-process would leave a connection open
/// whose request waits for a task that no longer exists, and its caller would wait for ever.
pub async fn serve(listener: TcpListener, routes: viz::Router, close: Arc<Notify>) {
    let tree = Arc::new(Tree::from(routes));
    let connections = GracefulShutdown::new();
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = close.notified() => break,
            Some(_) = tasks.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((socket, _)) => spawn_connection(socket, &tree, &connections, &mut tasks),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    connections.shutdown().await;
}

fn spawn_connection(
    socket: TcpStream,
    tree: &Arc<Tree>,
    connections: &GracefulShutdown,
    tasks: &mut JoinSet<()>,
) {
    // Disables Nagle's algorithm, which would delay small events; a failure here only costs
    // latency.
    let _ = socket.set_nodelay(true);
    let peer = socket.peer_addr().ok().map(Arc::new);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(CONNECTION_BUFFER);
    let responder = Responder::new(tree.clone(), peer);
    let connection = builder.serve_connection(TokioIo::new(socket), responder);
    let connection = connections.watch(connection.into_owned());
    // An error means that the caller disconnected; the task of its request notices that by itself.
    tasks.spawn(async move {
        let _ = connection.await;
    });
}
