//! Accepts callers' connections and lets them finish on a planned stop.
//!
//! viz routes the requests. Its own server is not used: it cuts connections ten seconds after the
//! stop, whereas a planned stop must not cut any request short.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_http::Admission;
use futures::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;
use viz::{Responder, Tree};

use super::connection;
use crate::lifecycle::Lifecycle;

/// Pause after a failed accept, for instance when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until `close` is notified and all requests have ended.
///
/// The connections' tasks are owned by this one, so that aborting it closes the connections as the
/// death of a process would. Otherwise a router killed in-process would leave a connection open
/// whose request waits for a task that no longer exists, and its caller would wait for ever.
pub async fn serve(
    listener: TcpListener,
    routes: viz::Router,
    admission: Admission,
    lifecycle: Lifecycle,
    close: Arc<Notify>,
) {
    let tree = Arc::new(Tree::from(routes));
    let closing = watch::Sender::new(false);
    let mut tasks = JoinSet::new();
    let spawn = |tasks: &mut JoinSet<()>, (socket, peer): (TcpStream, SocketAddr)| {
        // Without room the connection is closed unread.
        let Some(admitted) = admission.admit(connection::limits()) else {
            return;
        };
        let responder = Responder::new(tree.clone(), Some(Arc::new(peer)));
        let rx = closing.subscribe();
        let lifecycle = lifecycle.clone();
        tasks.spawn(connection::serve(
            socket, admitted, responder, lifecycle, rx,
        ));
    };
    loop {
        let accepted = tokio::select! {
            () = close.notified() => break,
            Some(_) = tasks.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(accepted) => spawn(&mut tasks, accepted),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    // The operating system resets connections that it has established and that were not accepted.
    while let Some(Ok(accepted)) = listener.accept().now_or_never() {
        spawn(&mut tasks, accepted);
    }
    drop(listener);
    closing.send_replace(true);
    while tasks.join_next().await.is_some() {}
}
