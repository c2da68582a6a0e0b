//! Serves clients' connections and the load balancer's readiness checks.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::accept::client_listener::{ClientListener, ListenerContext};
use crate::accept::client_socket::{ClientConnection, ClientSocket};
use crate::admit::handle_request;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::reply::{Reply, full_body, set_connection_close};
use anvilreel::event;

/// Idle timeout of a client's connection until a routing table sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time in which load balancers notice that a process is stopping: they check once per second and
/// act on the second failed check. Until then the process does not end, even if it is idle.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time after that in which a client sends the request for which it has connected.
const LAST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Pause after an accept failed for lack of file descriptors or memory.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Takes over the listener for clients. A failure ends the process, which would serve nobody.
pub fn client_listener(gw: &Arc<Gateway>, listener: TcpListener) -> io::Result<ClientListener> {
    ClientListener::new(listener, listener_context(gw))
}

/// Serves clients until a planned stop is complete.
pub async fn serve_clients(gw: Arc<Gateway>, listener: ClientListener) {
    let mut server = ClientServer {
        gw,
        listener,
        connections: JoinSet::new(),
        stop_tx: watch::Sender::new(false),
    };
    server.serve_until_noticed().await;
    let time_to_close = server.gw.time_to_close().unwrap_or_default();
    // Connections that are left at the end are closed.
    let _ = timeout(time_to_close, server.serve_until_idle()).await;
    let ClientServer {
        gw,
        listener,
        mut connections,
        ..
    } = server;
    drop(listener);
    gw.is_grace_over.store(true, Ordering::Relaxed);
    connections.shutdown().await;
}

/// The clients' connections.
struct ClientServer {
    gw: Arc<Gateway>,
    listener: ClientListener,
    connections: JoinSet<()>,
    /// Whether connections end that have no request.
    stop_tx: watch::Sender<bool>,
}

impl ClientServer {
    /// Serves clients until load balancers have noticed that the process is stopping.
    async fn serve_until_noticed(&mut self) {
        let gw = self.gw.clone();
        let noticed = async {
            gw.lifecycle.drain_begun().await;
            sleep(NOTICE_TIME.min(gw.time_to_close().unwrap_or_default())).await;
        };
        tokio::pin!(noticed);
        loop {
            tokio::select! {
                () = &mut noticed => return,
                Some(_) = self.connections.join_next() => {}
                accepted = self.listener.accept() => self.serve_accepted(accepted).await,
            }
        }
    }

    /// Ends connections without a request, and serves clients until none is connected.
    ///
    /// Failure: where most routers of a zone stop together, load balancers go on sending
    /// connections to all of them, and a closed listener would refuse them.
    async fn serve_until_idle(&mut self) {
        self.stop_tx.send_replace(true);
        loop {
            tokio::select! {
                biased;
                accepted = self.listener.accept() => self.serve_accepted(accepted).await,
                ended = self.connections.join_next() => if ended.is_none() {
                    return;
                }
            }
        }
    }

    async fn serve_accepted(&mut self, accepted: io::Result<TcpStream>) {
        match accepted {
            Ok(socket) => {
                // Without TCP_NODELAY small chunks wait for an acknowledgement. If setting it
                // fails, they are only slower.
                let _ = socket.set_nodelay(true);
                let (socket, client) = ClientSocket::new(socket, &self.gw.sockets);
                let stop_rx = self.stop_tx.subscribe();
                let served = serve_client(self.gw.clone(), socket, client, stop_rx);
                self.connections.spawn(served);
            }
            Err(e) => {
                event!(self.gw.log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

fn listener_context(gw: &Arc<Gateway>) -> ListenerContext {
    let close_gw = gw.clone();
    ListenerContext {
        limits: gw.cfg.limits,
        sockets: gw.sockets.clone(),
        status: gw.intake.clone(),
        close_idle: Box::new(move |count| close_gw.directory.close_idle(count)),
        log: gw.log.clone(),
        metrics: gw.metrics.clone(),
    }
}

async fn serve_client(
    gw: Arc<Gateway>,
    socket: ClientSocket,
    client: ClientConnection,
    mut stop_rx: watch::Receiver<bool>,
) {
    let client = Arc::new(client);
    let table = gw.table.load();
    let idle_timeout = table
        .as_ref()
        .map_or(DEFAULT_IDLE_TIMEOUT, |table| table.limits.idle_timeout);
    drop(table);
    let service = service_fn(|req: Request<Incoming>| {
        let (gw, client) = (gw.clone(), client.clone());
        async move {
            let mut reply = handle_request(&gw, client, req).await;
            if gw.lifecycle.is_draining() || gw.is_starved() || gw.intake.is_shedding() {
                set_connection_close(&mut reply);
            }
            Ok::<Reply, Infallible>(reply)
        }
    });
    let is_late = *stop_rx.borrow();
    let head_timeout = if is_late {
        LAST_REQUEST_TIME
    } else {
        idle_timeout
    };
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .keep_alive(!is_late)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let served = tokio::select! {
        served = &mut connection => served,
        () = wait_for_stop(&mut stop_rx, &client), if !is_late => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = served {
        event!(gw.log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
    }
}

/// Returns when the connection is to end after the request in progress, if there is one.
///
/// Failure: a client connects just before, and its request arrives just after. Its connection would
/// be closed, without telling it whether the request has run.
async fn wait_for_stop(stop_rx: &mut watch::Receiver<bool>, client: &ClientConnection) {
    // An error means that the accept loop has ended, which happens after the stop.
    let _ = stop_rx.wait_for(|stop| *stop).await;
    if client.expects_request() {
        sleep(LAST_REQUEST_TIME).await;
    }
}

/// Answers readiness checks on any path for as long as the process runs.
pub async fn serve_readiness(listener: TcpListener, log: Logger, is_ready: impl Fn() -> bool) {
    let is_ready = &is_ready;
    let mut connections = futures::stream::FuturesUnordered::new();
    loop {
        use futures::StreamExt;
        tokio::select! {
            Some(()) = connections.next() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => connections.push(answer_readiness_check(socket, is_ready)),
                Err(e) => {
                    event!(log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
                    sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
        }
    }
}

async fn answer_readiness_check(socket: TcpStream, is_ready: impl Fn() -> bool) {
    let service = service_fn(|_: Request<Incoming>| {
        let status = if is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move {
            let mut reply = Response::new(full_body(bytes::Bytes::new()));
            *reply.status_mut() = status;
            Ok::<Reply, Infallible>(reply)
        }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service);
    // On failure the load balancer receives no answer and counts the check as failed.
    let _ = connection.await;
}
