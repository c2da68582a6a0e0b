//! Takes callers' connections and lets them finish on a planned stop.
//!
//! viz routes the requests; its own server is not used, because it cuts connections ten seconds
//! after the stop, and a planned stop here cuts no request short.

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

/// Bytes kept for a caller that reads slowly, in each direction.
const CONNECTION_BUFFER: usize = 16 << 10;
/// Longest time a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed accept, such as when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until told to close and all requests have ended.
///
/// The connections' tasks belong to this one. Failure: a router that is killed in the process
/// leaves a connection behind whose request waits for a task that is gone; its caller waits for
/// ever, where a process that died would have closed the connection.
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
    // Without it small events wait for an acknowledgement; with a failure they are only slower.
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
    // An error is a caller that left; its request's task notices that by itself.
    tasks.spawn(async move {
        let _ = connection.await;
    });
}
